package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
)

// Timeouts and limits of relayed paths between voters. Source: docs/design/control.md, "Relays".
const (
	// relayTimeout is the time for which the direct path to a peer may be unproven before this node,
	// if it is the active one of the two, sends pings through relays as well. It is shorter than
	// FailureTimeout, to leave time to find a relay.
	relayTimeout = 400 * time.Millisecond
	// passiveRelayTimeout is the same time for the passive one of the two. It is longer because a
	// path is proven to the passive node one ping later. For both nodes it is also the age of the
	// newest proof of the direct path after which messages are sent through a relay.
	passiveRelayTimeout = 650 * time.Millisecond
	// maxRelaysUnproven is the number of relays to ping through at a time while no relay is proven.
	maxRelaysUnproven = 3
	// maxRelaysProven is the number of relays to ping through at a time once a relay is proven: that
	// relay, and one of the others in rotation.
	maxRelaysProven = 2
)

// DuePing is a ping to be sent now.
type DuePing struct {
	Address string // internal address of the node to ping
	Via     string // internal address of the relay; empty if the ping is to be sent directly
}

// paths holds when each path to one peer, direct or through a relay, was last proven. The time is
// when the newest message that the peer is known to have received over the path was sent.
type paths struct {
	directProvenAt core.Time            // initially when the observation of the peer began
	relayProvenAt  map[string]core.Time // by address of the relay
	nextRelay      int                  // number of relays tried in rotation, which selects the next
}

// recordProof records that a message sent at sentAt has arrived through the relay via, or directly
// if via is empty.
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

// bestRelay returns the relay with the newest proof and the time of the proof. It deletes relays
// whose proof is older than FailureTimeout, and returns an empty relay if none remains.
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

// selectRelays returns the relays through which to ping the peer now: the best relay and another one
// in rotation, or several in rotation if no relay is proven. It never selects the address target,
// which is the peer itself.
func (p *paths) selectRelays(now core.Time, relays []string, target string) []string {
	var selected []string
	maxRelays := maxRelaysUnproven
	if best, _ := p.bestRelay(now); best != "" {
		selected = append(selected, best)
		maxRelays = maxRelaysProven
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

// SetRelays sets the internal addresses of the nodes that may relay messages to peers without a
// direct path, in order of preference. It drops this node's own address.
func (d *Detector) SetRelays(addresses []string) {
	d.relays = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == d.self.GetAddress() })
}

// RelayFor returns the internal address of the relay through which to send messages to the address, or
// an empty string if they should be sent directly. It returns a relay only if the direct path has
// not been proven for longer than passiveRelayTimeout and the path through the relay was proven
// later than the direct one.
func (d *Detector) RelayFor(address string) string {
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

// relaysToPing returns the relays through which to ping the peer now. A peer without contact for
// longer than slowPingTimeout is pinged through one relay every slowPingInterval.
func (d *Detector) relaysToPing(address string, p *peer) []string {
	timeout := relayTimeout
	if d.isPassive(p) {
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
