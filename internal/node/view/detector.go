package view

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Timeouts and intervals of failure detection among voters. Source: docs/design/system.md,
// "Control state".
const (
	// PingInterval is the time between two rounds of pings.
	PingInterval core.Time = 250 * time.Millisecond
	// FoundingPingInterval is the time between two rounds of pings while there is no view.
	FoundingPingInterval core.Time = 100 * time.Millisecond
	// FailureTimeout is the age of the last proven round trip beyond which a voter counts as failed.
	FailureTimeout core.Time = time.Second
	// suspensionThreshold is the delay beyond which a late wake-up means that this node itself was
	// suspended. The silence of its peers then proves nothing.
	suspensionThreshold = 500 * time.Millisecond
	// passivePingTimeout is the time without contact after which the passive one of two peers sends
	// pings of its own.
	passivePingTimeout = 500 * time.Millisecond
	// slowPingTimeout is the time without direct contact after which a peer is pinged directly only
	// once in every slowPingInterval. Relayed pings slow down likewise after this time without any
	// contact.
	slowPingTimeout  = 5 * time.Second
	slowPingInterval = time.Second
	// forgetTimeout is the time after the last contact for which the state of a node that is no
	// longer watched is kept.
	forgetTimeout = 10 * time.Second
	// stalledTimeout is the time for which a proposer may be wedged before another member of the
	// chain proposes in its place.
	stalledTimeout = 600 * time.Millisecond
	// sentHistorySize is the number of the newest pings to a peer, and of the newest pongs, that are
	// kept to match acknowledgements.
	sentHistorySize = 32
)

// Detector is the failure detector among voters. It proves round trips by numbered pings.
//
// Of two voters, the one with the lower disk id is active and sends the pings; the other is passive
// and answers with pongs. A pong proves a round trip to the active node. The next ping acknowledges
// the pong and so proves a round trip to the passive node. A node that is not a voter pings all nodes
// that it watches.
//
// A Detector does no I/O and reads no clock: its caller passes the time to Advance and sends the
// pings that DuePings returns.
type Detector struct {
	self           *nodepb.Voter
	now            core.Time
	peers          map[string]*peer  // by address
	voterAddresses map[string]string // by disk id
	nonVoter       bool              // whether this node is not among the voters
	pingInterval   core.Time
	nextPingAt     core.Time // time of the next round of pings
	relays         []string  // addresses of the possible relays, in order of preference

	firstSequence uint64 // see NewDetector
}

// NewDetector returns a Detector that doesn't watch any node yet. The sequence numbers of the pings
// to a peer follow firstSequence. It should differ between the incarnations of a process, so that a
// pong to an earlier incarnation proves nothing.
func NewDetector(now core.Time, self *nodepb.Voter, firstSequence uint64) *Detector {
	return &Detector{
		self:           self,
		now:            now,
		peers:          make(map[string]*peer),
		voterAddresses: make(map[string]string),
		nonVoter:       true,
		pingInterval:   PingInterval,
		nextPingAt:     now,
		firstSequence:  firstSequence,
	}
}

// Watch sets the nodes to watch and the voters of the current view. It keeps the state of nodes that
// were watched before. founding is whether there is no view yet, which selects FoundingPingInterval.
func (d *Detector) Watch(now core.Time, targets []Target, voters []*nodepb.Voter, founding bool) {
	d.now = now
	d.setVoters(voters)
	for _, p := range d.peers {
		p.watched = false
		p.expectedDiskID = ""
	}
	for _, target := range targets {
		if target.Address != d.self.GetAddress() {
			d.watchTarget(target)
		}
	}
	d.pingInterval = PingInterval
	if founding {
		d.pingInterval = FoundingPingInterval
	}
}

// setVoters replaces the voters by those of the current view.
func (d *Detector) setVoters(voters []*nodepb.Voter) {
	clear(d.voterAddresses)
	d.nonVoter = true
	for _, voter := range voters {
		d.voterAddresses[voter.GetDiskId()] = voter.GetAddress()
		if voter.GetDiskId() == d.self.GetDiskId() {
			d.nonVoter = false
		}
	}
}

// watchTarget starts or continues to watch the target. A node that was not watched is pinged in the
// next round, which is due at once.
func (d *Detector) watchTarget(target Target) {
	p := d.peerAt(target.Address)
	if !p.watched {
		p.watched = true
		p.nextPingAt = min(p.nextPingAt, d.now)
		d.nextPingAt = min(d.nextPingAt, d.now)
	}
	if target.DiskID != "" {
		p.expectedDiskID = target.DiskID
	}
}

// peerAt returns the state of the node at the address. It creates the state if there is none, with
// timeouts that run as if there had been a contact just now.
func (d *Detector) peerAt(address string) *peer {
	p := d.peers[address]
	if p == nil {
		p = &peer{
			observedSince:     d.now,
			lastContact:       d.now,
			nextPingAt:        d.now,
			pingSequence:      d.firstSequence,
			lastDirectContact: d.now,
			paths:             paths{directProvenAt: d.now},
			diskFaultSince:    core.Never,
			wedgedSince:       core.Never,
		}
		d.peers[address] = p
	}
	return p
}

// Advance sets the current time. lateness is how much later than requested the node woke up. If it
// exceeds suspensionThreshold, Advance restarts the timeouts of all peers and returns true, as this
// node was suspended.
func (d *Detector) Advance(now, lateness core.Time) (suspended bool) {
	d.now = now
	if lateness <= suspensionThreshold {
		return false
	}
	for _, p := range d.peers {
		p.observedSince = now
		p.lastContact = max(p.lastContact, now-passivePingTimeout)
		p.paths.directProvenAt = max(p.paths.directProvenAt, now-relayTimeout)
	}
	return true
}

// DuePings returns the pings to send now, sorted by address and relay. For each, the caller must send
// the message that NewPing returns. DuePings also deletes nodes that are no longer watched once
// forgetTimeout has passed.
func (d *Detector) DuePings() []DuePing {
	if d.now < d.nextPingAt {
		return nil
	}
	d.nextPingAt = d.now + d.pingInterval
	var due []DuePing
	for address, p := range d.peers {
		if !p.watched && d.now-p.lastContact > forgetTimeout {
			delete(d.peers, address)
			continue
		}
		if !p.watched || !d.shouldPing(p) {
			continue
		}
		if d.now >= p.nextPingAt {
			due = append(due, DuePing{Address: address})
		}
		for _, relay := range d.relaysToPing(address, p) {
			due = append(due, DuePing{Address: address, Via: relay})
		}
	}
	slices.SortFunc(due, func(a, b DuePing) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Via, b.Via))
	})
	return due
}

// isPassive reports whether this node is the passive one of the two, so that usually the peer sends
// the pings.
func (d *Detector) isPassive(p *peer) bool {
	return !d.nonVoter && p.expectedDiskID != "" && d.self.GetDiskId() >= p.expectedDiskID
}

// shouldPing reports whether this node should send pings to the peer at present: always if this node
// is the active one, and otherwise if there was no contact for passivePingTimeout or no proof of the
// direct path for passiveRelayTimeout.
func (d *Detector) shouldPing(p *peer) bool {
	return !d.isPassive(p) || d.now-p.lastContact >= passivePingTimeout || d.now-p.paths.directProvenAt >= passiveRelayTimeout
}

// Deadline returns when DuePings should be called again, or core.Never if no peer is known.
func (d *Detector) Deadline() core.Time {
	if len(d.peers) == 0 {
		return core.Never
	}
	return d.nextPingAt
}
