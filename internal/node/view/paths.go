package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
)

// The times and bounds of relayed ways between voters. Source: docs/design/control.md, "Relays".
const (
	// relayTimeout is how long the direct way to a peer may be unproven before this node, if it is the one of the two that
	// pings, pings by way of relays as well. It leaves time to find a relay before MissingAfter.
	relayTimeout = 400 * time.Millisecond
	// passiveRelayTimeout is the same for the other one, to which a way is proven one ping later. It is also how old the proof
	// of the direct way must be for messages to go by a relay.
	passiveRelayTimeout = 650 * time.Millisecond
	// maxRelayedPings is how many relays are pinged at a time while none is proven; else it is the proven one and another.
	maxRelayedPings = 3
)

// DuePing is a ping that is due: to whom, and by which relay.
type DuePing struct {
	Address string
	Via     string // internal address of the relay; empty: directly
}

// paths are the ways to one peer and back, with the moments at which the newest message left that is known to have arrived.
type paths struct {
	directProvenAt core.Time            // or when the direct way began to be watched
	relayProvenAt  map[string]core.Time // by address of the relay
	nextRelay      int                  // of the relay that is tried next
}

// recordProof notes that a message that left at the time has arrived by the relay, or directly.
func (p *paths) recordProof(via string, sentAt core.Time) {
	if via == "" {
		p.directProvenAt = max(p.directProvenAt, sentAt)
		return
	}
	if p.relayProvenAt == nil {
		p.relayProvenAt = make(map[string]core.Time)
	}
	p.relayProvenAt[via] = max(p.relayProvenAt[via], sentAt)
}

// bestRelay is the relay with the newest proof that is no older than MissingAfter; empty: none.
func (p *paths) bestRelay(now core.Time) (relay string, provenAt core.Time) {
	for candidate, candidateProvenAt := range p.relayProvenAt {
		switch {
		case now-candidateProvenAt > FailureTimeout:
			delete(p.relayProvenAt, candidate)
		case relay == "" || candidateProvenAt > provenAt || candidateProvenAt == provenAt && candidate < relay:
			relay, provenAt = candidate, candidateProvenAt
		}
	}
	return relay, provenAt
}

// selectRelays lists the relays to ping by now: the best one and one that takes its turn, or some in turn where none is proven.
func (p *paths) selectRelays(now core.Time, relays []string, target string) []string {
	var chosen []string
	maxRelays := maxRelayedPings
	if best, _ := p.bestRelay(now); best != "" {
		chosen = append(chosen, best)
		maxRelays = 2
	}
	for range relays {
		if len(chosen) >= maxRelays {
			break
		}
		candidate := relays[p.nextRelay%len(relays)]
		p.nextRelay++
		if candidate != target && !slices.Contains(chosen, candidate) {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// SetRelays names the nodes that may relay messages to peers that can't be reached directly, best first.
func (d *Detector) SetRelays(addresses []string) {
	d.relays = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == d.self.GetAddress() })
}

// Route is the internal address of the relay by which messages to the address should go; empty: directly. A relay is named
// only while the direct way is unproven for long and a round trip by the relay is newer.
func (d *Detector) Route(address string) string {
	p := d.peers[address]
	if p == nil || d.now-p.paths.directProvenAt <= passiveRelayTimeout {
		return ""
	}
	relay, at := p.paths.bestRelay(d.now)
	if at <= p.paths.directProvenAt {
		return ""
	}
	return relay
}

// relaysToPing lists the relays by which the peer should be pinged now.
func (d *Detector) relaysToPing(address string, p *peer) []string {
	timeout := relayTimeout
	if d.passive(p) {
		timeout = passiveRelayTimeout
	}
	if len(d.relays) == 0 || d.now-p.paths.directProvenAt < timeout || d.now < p.nextRelayedPingAt {
		return nil
	}
	selected := p.paths.selectRelays(d.now, d.relays, address)
	if d.now-p.lastContact > slowPingTimeout {
		p.nextRelayedPingAt = d.now + slowPingInterval
		return selected[:min(1, len(selected))]
	}
	return selected
}
