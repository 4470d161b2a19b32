package view

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Timeouts and intervals of the failure detection among voters. Source: docs/design/system.md,
// "Control state".
const (
	// PingInterval is the time between two rounds of pings.
	PingInterval core.Time = 250 * time.Millisecond
	// FoundingPingInterval is the same while there is no view.
	FoundingPingInterval core.Time = 100 * time.Millisecond
	// FailureTimeout is the age of the last proven round trip from which on a voter counts as
	// failed.
	FailureTimeout core.Time = time.Second
	// suspensionThreshold: a node that wakes this much later than it asked to was suspended itself,
	// so that the silence of its peers proves nothing.
	suspensionThreshold = 500 * time.Millisecond
	// passivePingTimeout: the passive one of two peers sends pings of its own after this time
	// without contact.
	passivePingTimeout = 500 * time.Millisecond
	// slowPingTimeout: a peer without direct contact for this long is pinged every slowPingInterval
	// alone.
	slowPingTimeout  = 5 * time.Second
	slowPingInterval = time.Second
	// forgetTimeout is how long the state of a node that is watched no more is kept after the last
	// contact.
	forgetTimeout = 10 * time.Second
	// stalledTimeout is how long a proposer may be wedged before another member of the chain
	// proposes in its place.
	stalledTimeout = 600 * time.Millisecond
	// sentHistory is how many of the newest messages to a peer are remembered by number until they
	// are acknowledged.
	sentHistory = 32
)

// Detector is the failure detector among voters: it proves round trips by numbered pings. Of two
// voters the one with the lower disk id is active and sends the pings. The pong proves a round trip
// to the active one; the next ping, which acknowledges the pong, proves one to the passive one. A
// node that is no voter pings all that it watches.
//
// A Detector reads no clock and sends nothing: its caller passes the time to Advance and sends what
// DuePings lists.
type Detector struct {
	self           *nodepb.Voter
	now            core.Time
	peers          map[string]*peer  // by address
	voterAddresses map[string]string // by disk id
	nonVoter       bool              // this node is not among the voters
	pingInterval   core.Time
	nextPingAt     core.Time
	relays         []string // addresses, best first

	firstSequence uint64
}

// NewDetector returns a Detector that watches nobody. Pings are numbered from firstSequence on,
// which should differ between the incarnations of a process, so that a pong to an earlier
// incarnation proves nothing.
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

// Watch sets the nodes to watch and the voters of the view. Nodes that were watched before keep
// their history. founding selects the shorter ping interval.
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

func (d *Detector) watchTarget(target Target) {
	p := d.peer(target.Address)
	if !p.watched {
		p.watched = true
		p.nextPingAt = min(p.nextPingAt, d.now)
		d.nextPingAt = min(d.nextPingAt, d.now)
	}
	if target.DiskID != "" {
		p.expectedDiskID = target.DiskID
	}
}

// peer returns the state of the node at the address; a new one starts with the timeouts of a fresh
// contact.
func (d *Detector) peer(address string) *peer {
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

// Advance sets the time. lateness is how much later than asked the node woke; if it was suspended,
// the timeouts of all peers start again.
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

// DuePings lists the pings to send now, by address and relay; the caller sends for each what
// NewPing returns.
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
		if !p.watched || !d.sendsPings(p) {
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

// passive reports whether the peer is the one of the two that usually pings.
func (d *Detector) passive(p *peer) bool {
	return !d.nonVoter && p.expectedDiskID != "" && d.self.GetDiskId() >= p.expectedDiskID
}

// sendsPings reports whether this node sends pings to the peer at present.
func (d *Detector) sendsPings(p *peer) bool {
	return !d.passive(p) || d.now-p.lastContact >= passivePingTimeout || d.now-p.paths.directProvenAt >= passiveRelayTimeout
}

// Deadline is when DuePings should be asked again; core.Never where no peer is known.
func (d *Detector) Deadline() core.Time {
	if len(d.peers) == 0 {
		return core.Never
	}
	return d.nextPingAt
}
