package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
)

// Timeouts and bounds of relayed paths between voters. Source: docs/design/control.md, "Relays".
const (
	// relayTimeout is how long the direct path to a peer may be unproven before this node, if it is
	// the active one of the two, pings through relays as well. It leaves time to find a relay
	// before FailureTimeout.
	relayTimeout = 400 * time.Millisecond
	// passiveRelayTimeout is the same for the passive one, to which a path is proven one ping
	// later. It is also the age of the proof of the direct path from which on messages go by a
	// relay.
	passiveRelayTimeout = 650 * time.Millisecond
	// maxRelayedPings is how many relays are pinged at a time while none is proven.
	maxRelayedPings = 3
	// maxRelayedPingsProven is the same once one is proven: that one, and another in turn.
	maxRelayedPingsProven = 2
)

// DuePing is a ping to send now.
type DuePing struct {
	Address string // of the node to ping
	Via     string // internal address of the relay; empty: directly
}

// paths are the round trips to one peer, direct and by relays. Each is proven as of the time at
// which the newest message was sent that is known to have arrived.
type paths struct {
	directProvenAt core.Time            // or when the direct path began to be watched
	relayProvenAt  map[string]core.Time // by address of the relay
	nextRelay      int                  // counts the relays that were selected in turn
}

// recordProof records that a message sent at sentAt has arrived by the relay via, or directly where
// that is empty.
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

// bestRelay returns the relay with the newest proof, if that is no older than FailureTimeout, and
// else none. It forgets relays with an older one.
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

// selectRelays lists the relays to ping now: the best one and one in turn, or several in turn where
// none is proven. The peer itself, at the address target, is no relay.
func (p *paths) selectRelays(now core.Time, relays []string, target string) []string {
	var selected []string
	maxRelays := maxRelayedPings
	if best, _ := p.bestRelay(now); best != "" {
		selected = append(selected, best)
		maxRelays = maxRelayedPingsProven
	}
	for range relays {
		if len(selected) >= maxRelays {
			break
		}
		candidate := relays[p.nextRelay%len(relays)]
		p.nextRelay++
		if candidate != target && !slices.Contains(selected, candidate) {
			selected = append(selected, candidate)
		}
	}
	return selected
}

// SetRelays sets the addresses of the nodes that may relay messages to peers without a direct path,
// best first.
func (d *Detector) SetRelays(addresses []string) {
	d.relays = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == d.self.GetAddress() })
}

// Route is the internal address of the relay by which messages to the address should go; empty:
// directly. It is a relay only while the direct path has been unproven for passiveRelayTimeout and
// a round trip by the relay is newer.
func (d *Detector) Route(address string) string {
	p := d.peers[address]
	if p == nil || d.now-p.paths.directProvenAt <= passiveRelayTimeout {
		return ""
	}
	relay, provenAt := p.paths.bestRelay(d.now)
	if provenAt <= p.paths.directProvenAt {
		return ""
	}
	return relay
}

// relaysToPing lists the relays by which the peer should be pinged now. An unresponsive one is
// pinged by one relay at a time, and less often.
func (d *Detector) relaysToPing(address string, p *peer) []string {
	timeout := relayTimeout
	if d.passive(p) {
		timeout = passiveRelayTimeout
	}
	if len(d.relays) == 0 || d.now-p.paths.directProvenAt < timeout || d.now < p.nextRelayedPingAt {
		return nil
	}
	relays := p.paths.selectRelays(d.now, d.relays, address)
	if d.now-p.lastContact > slowPingTimeout {
		p.nextRelayedPingAt = d.now + slowPingInterval
		return relays[:min(1, len(relays))]
	}
	return relays
}
