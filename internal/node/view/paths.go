package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
)

// The times and bounds of relayed ways between voters. Source: docs/design/control.md, "Relays".
const (
	// relayAfter is how long the direct way to a peer may be unproven before this node, if it is the one of the two that
	// pings, pings by way of relays as well. It leaves time to find a relay before MissingAfter.
	relayAfter = 400 * time.Millisecond
	// passiveRelayAfter is the same for the other one, to which a way is proven one ping later. It is also how old the proof
	// of the direct way must be for messages to go by a relay.
	passiveRelayAfter = 650 * time.Millisecond
	// relaysTried is how many relays are pinged at a time while none is proven; else it is the proven one and another.
	relaysTried = 3
)

// Probe is a ping that is due: to whom, and by which relay.
type Probe struct {
	Address string
	Via     string // internal address of the relay; empty: directly
}

// paths are the ways to one peer and back, with the moments at which the newest message left that is known to have arrived.
type paths struct {
	direct core.Time            // or when the direct way began to be watched
	relays map[string]core.Time // by address of the relay
	turn   int                  // of the relay that is tried next
}

// proven notes that a message that left at the time has arrived by the relay, or directly.
func (p *paths) proven(via string, at core.Time) {
	if via == "" {
		p.direct = max(p.direct, at)
		return
	}
	if p.relays == nil {
		p.relays = make(map[string]core.Time)
	}
	p.relays[via] = max(p.relays[via], at)
}

// best is the relay with the newest proof that is no older than MissingAfter; empty: none.
func (p *paths) best(now core.Time) (relay string, at core.Time) {
	for candidate, confirmed := range p.relays {
		switch {
		case now-confirmed > MissingAfter:
			delete(p.relays, candidate)
		case relay == "" || confirmed > at || confirmed == at && candidate < relay:
			relay, at = candidate, confirmed
		}
	}
	return relay, at
}

// tried lists the relays to ping by now: the best one and one that takes its turn, or some in turn where none is proven.
func (p *paths) tried(now core.Time, relays []string, target string) []string {
	var chosen []string
	most := relaysTried
	if best, _ := p.best(now); best != "" {
		chosen = append(chosen, best)
		most = 2
	}
	for range relays {
		if len(chosen) >= most {
			break
		}
		candidate := relays[p.turn%len(relays)]
		p.turn++
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
	if p == nil || d.now-p.paths.direct <= passiveRelayAfter {
		return ""
	}
	relay, at := p.paths.best(d.now)
	if at <= p.paths.direct {
		return ""
	}
	return relay
}

// relayDue lists the relays by which the peer should be pinged now.
func (d *Detector) relayDue(address string, p *peer) []string {
	limit := relayAfter
	if d.passive(p) {
		limit = passiveRelayAfter
	}
	if len(d.relays) == 0 || d.now-p.paths.direct < limit || d.now < p.nextRelayed {
		return nil
	}
	tried := p.paths.tried(d.now, d.relays, address)
	if d.now-p.heard > slowPingAfter {
		p.nextRelayed = d.now + slowPing
		return tried[:min(1, len(tried))]
	}
	return tried
}
