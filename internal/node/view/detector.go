package view

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// The times of the failure detection among voters. Source: docs/design/system.md, "Control state".
const (
	PingInterval         core.Time = 250 * time.Millisecond
	FoundingPingInterval core.Time = 100 * time.Millisecond
	FailureTimeout       core.Time = time.Second
	// suspensionThreshold: a node that wakes this much later than it asked to was frozen itself, and blames nobody.
	suspensionThreshold = 500 * time.Millisecond
	// passivePingTimeout: who waits for the other's pings pings itself after this silence.
	passivePingTimeout = 500 * time.Millisecond
	// slowPingTimeout and slowPing spare pings to who has been silent for long.
	slowPingTimeout  = 5 * time.Second
	slowPingInterval = time.Second
	// forgetTimeout is when a node that isn't a target is forgotten.
	forgetTimeout = 10 * time.Second
	// stalledTimeout is how long a proposer may be wedged before another member of the chain proposes in its place.
	stalledTimeout = 600 * time.Millisecond
	// sentHistory is how many of the newest messages to a peer are kept by number until they are known to have arrived.
	sentHistory = 32
)

// Detector finds out who can be reached, both ways, by numbered pings. Of two voters the one with the lower disk id pings; the
// pong proves the way to the other and back to it, and the next ping, which names the pong, proves the same to the other.
// A node outside the voters pings all of them.
type Detector struct {
	self           *nodepb.Voter
	now            core.Time
	peers          map[string]*peer  // by address
	voterAddresses map[string]string // addresses by disk id
	nonVoter       bool              // this node is not among the voters
	pingInterval   core.Time
	nextPingAt     core.Time
	relays         []string // addresses, best first

	firstSequence uint64
}

// NewDetector starts without anybody to watch. Pings are numbered from firstSequence on, which should differ between the
// lives of a process, so that a pong to a former life proves nothing.
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

// Watch names who is to be watched. Those watched before keep their history. founding asks for faster pings.
func (d *Detector) Watch(now core.Time, targets []Target, voters []*nodepb.Voter, founding bool) {
	d.now = now
	clear(d.voterAddresses)
	d.nonVoter = true
	for _, voter := range voters {
		d.voterAddresses[voter.GetDiskId()] = voter.GetAddress()
		if voter.GetDiskId() == d.self.GetDiskId() {
			d.nonVoter = false
		}
	}
	for _, p := range d.peers {
		p.watched = false
		p.expectedDiskID = ""
	}
	for _, target := range targets {
		if target.Address == d.self.GetAddress() {
			continue
		}
		p := d.peer(target.Address)
		if !p.watched {
			p.watched = true
			p.nextPingAt = min(p.nextPingAt, now)
			d.nextPingAt = min(d.nextPingAt, now)
		}
		if target.DiskID != "" {
			p.expectedDiskID = target.DiskID
		}
	}
	d.pingInterval = PingInterval
	if founding {
		d.pingInterval = FoundingPingInterval
	}
}

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

// Advance notes the time. late is how much later than asked the node woke; if it was frozen, all are given time anew.
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

// DuePings lists the pings that are to be sent now; the caller sends each what Ping returns.
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

// passive reports whether the other one of the two usually pings.
func (d *Detector) passive(p *peer) bool {
	return !d.nonVoter && p.expectedDiskID != "" && d.self.GetDiskId() >= p.expectedDiskID
}

// sendsPings reports whether this node pings the peer just now.
func (d *Detector) sendsPings(p *peer) bool {
	return !d.passive(p) || d.now-p.lastContact >= passivePingTimeout || d.now-p.paths.directProvenAt >= passiveRelayTimeout
}

// Deadline is when Due has something to say.
func (d *Detector) Deadline() core.Time {
	if len(d.peers) == 0 {
		return core.Never
	}
	return d.nextPingAt
}

// NewPing makes the next ping for the address, to be sent by the relay, or directly where that is empty.
func (d *Detector) NewPing(address, via string, self Report) *nodepb.VoterPing {
	p := d.peer(address)
	p.pingSequence++
	p.sentPings[p.pingSequence%sentHistory] = sentMessage{p.pingSequence, d.now, via}
	if via == "" {
		p.nextPingAt = d.now
		if d.now-p.lastDirectContact > slowPingTimeout {
			p.nextPingAt = d.now + slowPingInterval
		}
	}
	return &nodepb.VoterPing{
		Sequence:          p.pingSequence,
		Self:              self.Voter,
		Epoch:             self.Epoch,
		Committed:         self.Committed,
		DiskHealthy:       self.DiskHealthy,
		CountsForQuorum:   self.CountsForQuorum,
		Founding:          self.Founding,
		AcknowledgedPong:  p.lastPongSequence,
		UnreachableVoters: self.UnreachableVoters,
		Wedged:            self.Wedged,
	}
}

// ReceivePing takes a ping and makes the pong, which is to go back the way that the ping came.
func (d *Detector) ReceivePing(address, via string, ping *nodepb.VoterPing, self Report) *nodepb.VoterPong {
	p := d.peer(address)
	d.recordReport(p, via, Report{
		Voter:             ping.GetSelf(),
		Epoch:             ping.GetEpoch(),
		Committed:         ping.GetCommitted(),
		DiskHealthy:       ping.GetDiskHealthy(),
		CountsForQuorum:   ping.GetCountsForQuorum(),
		Founding:          ping.GetFounding(),
		Wedged:            ping.GetWedged(),
		UnreachableVoters: ping.GetUnreachableVoters(),
	})
	d.recordArrival(p, p.sentPongs[ping.GetAcknowledgedPong()%sentHistory], ping.GetAcknowledgedPong())
	p.sentPongs[ping.GetSequence()%sentHistory] = sentMessage{ping.GetSequence(), d.now, via}
	return &nodepb.VoterPong{
		Sequence:          ping.GetSequence(),
		Self:              self.Voter,
		Epoch:             self.Epoch,
		Committed:         self.Committed,
		DiskHealthy:       self.DiskHealthy,
		CountsForQuorum:   self.CountsForQuorum,
		Founding:          self.Founding,
		UnreachableVoters: self.UnreachableVoters,
		Wedged:            self.Wedged,
	}
}

// ReceivePong takes the answer to a ping.
func (d *Detector) ReceivePong(address, via string, pong *nodepb.VoterPong) {
	p := d.peer(address)
	d.recordReport(p, via, Report{
		Voter:             pong.GetSelf(),
		Epoch:             pong.GetEpoch(),
		Committed:         pong.GetCommitted(),
		DiskHealthy:       pong.GetDiskHealthy(),
		CountsForQuorum:   pong.GetCountsForQuorum(),
		Founding:          pong.GetFounding(),
		Wedged:            pong.GetWedged(),
		UnreachableVoters: pong.GetUnreachableVoters(),
	})
	if d.recordArrival(p, p.sentPings[pong.GetSequence()%sentHistory], pong.GetSequence()) {
		p.lastPongSequence = max(p.lastPongSequence, pong.GetSequence())
	}
}

// RecordRoundTrip notes a round trip that other messages have shown: one that left at the time was answered.
func (d *Detector) RecordRoundTrip(address string, voter *nodepb.Voter, sentAt core.Time) {
	p := d.peer(address)
	if p.lastReport == nil || p.lastReport.Voter.GetDiskId() != voter.GetDiskId() {
		d.recordReport(p, "", Report{Voter: voter, DiskHealthy: true, CountsForQuorum: true})
	}
	p.lastContact = d.now
	p.roundTripProven = true
	p.lastRoundTrip = max(p.lastRoundTrip, sentAt)
}

// recordArrival notes that the numbered message arrived, if it is one that this life of the node sent.
func (d *Detector) recordArrival(p *peer, message sentMessage, sequence uint64) bool {
	if sequence == 0 || message.sequence != sequence {
		return false
	}
	p.roundTripProven = true
	p.lastRoundTrip = max(p.lastRoundTrip, message.sentAt)
	p.paths.recordProof(message.via, message.sentAt)
	return true
}

func (d *Detector) recordReport(p *peer, via string, report Report) {
	if via == "" {
		p.lastDirectContact = d.now
	}
	if p.lastReport != nil && p.lastReport.Voter.GetNodeId() != report.Voter.GetNodeId() {
		p.sentPongs = [sentHistory]sentMessage{}
		p.roundTripProven = false
		p.observedSince = d.now
		p.lastPongSequence = 0
		p.paths = paths{directProvenAt: max(p.paths.directProvenAt, d.now-relayTimeout)}
	}
	p.lastContact = d.now
	if report.DiskHealthy {
		p.diskFaultSince = core.Never
	} else {
		p.diskFaultSince = min(p.diskFaultSince, d.now)
	}
	if !report.Wedged || p.lastReport == nil || p.lastReport.Epoch != report.Epoch {
		p.wedgedSince = core.Never
	}
	if report.Wedged {
		p.wedgedSince = min(p.wedgedSince, d.now)
	}
	p.lastReport = &report
}

// LastReport returns what the node at the address last said of itself, nil if it is silent for long or was never heard.
func (d *Detector) LastReport(address string) *Report {
	p := d.peers[address]
	if p == nil || p.lastReport == nil || d.now-p.lastContact > FailureTimeout {
		return nil
	}
	return p.lastReport
}

func (d *Detector) voterPeer(diskID string) *peer { return d.peers[d.voterAddresses[diskID]] }

// diskReplaced reports whether another disk speaks at the voter's address.
func (p *peer) diskReplaced(diskID string) bool {
	return p.lastReport != nil && p.lastReport.Voter.GetDiskId() != diskID
}

// Condition implements Reach.
func (d *Detector) Condition(diskID string) Condition {
	p := d.voterPeer(diskID)
	switch {
	case p == nil:
		return Failed
	case p.diskReplaced(diskID) || p.diskFaultSince != core.Never:
		return Failed
	case p.roundTripProven && d.now-p.lastRoundTrip <= FailureTimeout:
		return Reachable
	case d.now-p.observedSince <= FailureTimeout:
		return Unknown
	default:
		return Failed
	}
}

// FailedFor implements Reach. A machine whose disk was replaced is missing for ever.
func (d *Detector) FailedFor(diskID string) core.Time {
	p := d.voterPeer(diskID)
	if p == nil || d.Condition(diskID) != Failed {
		return 0
	}
	if p.diskReplaced(diskID) {
		return core.Never
	}
	failedFor := d.now - max(p.lastRoundTrip, p.observedSince)
	if p.diskFaultSince != core.Never {
		failedFor = max(failedFor, d.now-p.diskFaultSince)
	}
	return failedFor
}

// LinkBroken implements Reach.
func (d *Detector) LinkBroken(a, b string) bool {
	return d.reportsUnreachable(a, b) || d.reportsUnreachable(b, a)
}

// reportsUnreachable reports whether the voter said lately that it misses the other.
func (d *Detector) reportsUnreachable(diskID, other string) bool {
	report := d.LastReport(d.voterAddresses[diskID])
	if report == nil || report.Voter.GetDiskId() != diskID {
		return false
	}
	for _, unreachable := range report.UnreachableVoters {
		if unreachable == other {
			return true
		}
	}
	return false
}

// Stalled implements Reach.
func (d *Detector) Stalled(diskID string) bool {
	p := d.voterPeer(diskID)
	return p != nil && p.wedgedSince != core.Never && d.now-p.wedgedSince > stalledTimeout
}

// UnreachableVoters lists the voters to which there is no way; those with a disk in trouble are not among them.
func (d *Detector) UnreachableVoters() []string {
	var unreachable []string
	for diskID, address := range d.voterAddresses {
		p := d.peers[address]
		if p == nil || p.diskReplaced(diskID) || p.roundTripProven && d.now-p.lastRoundTrip <= FailureTimeout || d.now-p.observedSince <= FailureTimeout {
			continue
		}
		unreachable = append(unreachable, diskID)
	}
	slices.Sort(unreachable)
	return unreachable
}

// Unreachable implements Reach.
func (d *Detector) Unreachable(diskID string) bool {
	return slices.Contains(d.UnreachableVoters(), diskID)
}

// ReachableVoters lists the voters with a round trip lately.
func (d *Detector) ReachableVoters() []string {
	var reachable []string
	for diskID := range d.voterAddresses {
		if d.Condition(diskID) == Reachable {
			reachable = append(reachable, diskID)
		}
	}
	slices.Sort(reachable)
	return reachable
}
