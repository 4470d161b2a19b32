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
	PingEvery    core.Time = 250 * time.Millisecond
	FoundingPing core.Time = 100 * time.Millisecond
	MissingAfter core.Time = time.Second
	// thawedAfter: a node that wakes this much later than it asked to was frozen itself, and blames nobody.
	thawedAfter = 500 * time.Millisecond
	// passiveAfter: who waits for the other's pings pings itself after this silence.
	passiveAfter = 500 * time.Millisecond
	// slowPingAfter and slowPing spare pings to who has been silent for long.
	slowPingAfter = 5 * time.Second
	slowPing      = time.Second
	// forgetAfter is when a node that isn't a target is forgotten.
	forgetAfter = 10 * time.Second
	// stuckAfter is how long a proposer may be wedged before another member of the chain proposes in its place.
	stuckAfter = 600 * time.Millisecond
	// sentKept is how many of the newest messages to a peer are kept by number until they are known to have arrived.
	sentKept = 32
)

// Detector finds out who can be reached, both ways, by numbered pings. Of two voters the one with the lower disk id pings; the
// pong proves the way to the other and back to it, and the next ping, which names the pong, proves the same to the other.
// A node outside the voters pings all of them.
type Detector struct {
	self     *nodepb.Voter
	now      core.Time
	peers    map[string]*peer  // by address
	voters   map[string]string // addresses by disk id
	outsider bool              // this node is not among the voters
	interval core.Time
	nextPing core.Time
	relays   []string // addresses, best first

	firstSequence uint64
}

// NewDetector starts without anybody to watch. Pings are numbered from firstSequence on, which should differ between the
// lives of a process, so that a pong to a former life proves nothing.
func NewDetector(now core.Time, self *nodepb.Voter, firstSequence uint64) *Detector {
	return &Detector{
		self:          self,
		now:           now,
		peers:         make(map[string]*peer),
		voters:        make(map[string]string),
		outsider:      true,
		interval:      PingEvery,
		nextPing:      now,
		firstSequence: firstSequence,
	}
}

// Watch names who is to be watched. Those watched before keep their history. founding asks for faster pings.
func (d *Detector) Watch(now core.Time, targets []Target, voters []*nodepb.Voter, founding bool) {
	d.now = now
	clear(d.voters)
	d.outsider = true
	for _, voter := range voters {
		d.voters[voter.GetDiskId()] = voter.GetAddress()
		if voter.GetDiskId() == d.self.GetDiskId() {
			d.outsider = false
		}
	}
	for _, p := range d.peers {
		p.target = false
		p.expects = ""
	}
	for _, target := range targets {
		if target.Address == d.self.GetAddress() {
			continue
		}
		p := d.peer(target.Address)
		if !p.target {
			p.target = true
			p.nextPing = min(p.nextPing, now)
			d.nextPing = min(d.nextPing, now)
		}
		if target.DiskID != "" {
			p.expects = target.DiskID
		}
	}
	d.interval = PingEvery
	if founding {
		d.interval = FoundingPing
	}
}

func (d *Detector) peer(address string) *peer {
	p := d.peers[address]
	if p == nil {
		p = &peer{
			since:          d.now,
			heard:          d.now,
			nextPing:       d.now,
			sequence:       d.firstSequence,
			heardDirect:    d.now,
			paths:          paths{direct: d.now},
			unhealthySince: core.Never,
			wedgedSince:    core.Never,
		}
		d.peers[address] = p
	}
	return p
}

// Advance notes the time. late is how much later than asked the node woke; if it was frozen, all are given time anew.
func (d *Detector) Advance(now, late core.Time) (thawed bool) {
	d.now = now
	if late <= thawedAfter {
		return false
	}
	for _, p := range d.peers {
		p.since = now
		p.heard = max(p.heard, now-passiveAfter)
		p.paths.direct = max(p.paths.direct, now-relayAfter)
	}
	return true
}

// Due lists the pings that are to be sent now; the caller sends each what Ping returns.
func (d *Detector) Due() []Probe {
	if d.now < d.nextPing {
		return nil
	}
	d.nextPing = d.now + d.interval
	var due []Probe
	for address, p := range d.peers {
		if !p.target && d.now-p.heard > forgetAfter {
			delete(d.peers, address)
			continue
		}
		if !p.target || !d.pings(p) {
			continue
		}
		if d.now >= p.nextPing {
			due = append(due, Probe{Address: address})
		}
		for _, relay := range d.relayDue(address, p) {
			due = append(due, Probe{Address: address, Via: relay})
		}
	}
	slices.SortFunc(due, func(a, b Probe) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Via, b.Via))
	})
	return due
}

// passive reports whether the other one of the two usually pings.
func (d *Detector) passive(p *peer) bool {
	return !d.outsider && p.expects != "" && d.self.GetDiskId() >= p.expects
}

// pings reports whether this node pings the peer just now.
func (d *Detector) pings(p *peer) bool {
	return !d.passive(p) || d.now-p.heard >= passiveAfter || d.now-p.paths.direct >= passiveRelayAfter
}

// Deadline is when Due has something to say.
func (d *Detector) Deadline() core.Time {
	if len(d.peers) == 0 {
		return core.Never
	}
	return d.nextPing
}

// Ping makes the next ping for the address, to be sent by the relay, or directly where that is empty.
func (d *Detector) Ping(address, via string, self Told) *nodepb.VoterPing {
	p := d.peer(address)
	p.sequence++
	p.pings[p.sequence%sentKept] = sent{p.sequence, d.now, via}
	if via == "" {
		p.nextPing = d.now
		if d.now-p.heardDirect > slowPingAfter {
			p.nextPing = d.now + slowPing
		}
	}
	return &nodepb.VoterPing{
		Sequence:     p.sequence,
		Self:         self.Voter,
		Epoch:        self.Epoch,
		Committed:    self.Committed,
		DiskHealthy:  self.DiskHealthy,
		Counts:       self.Counts,
		Founding:     self.Founding,
		Acknowledged: p.acknowledged,
		Missing:      self.Missing,
		Wedged:       self.Wedged,
	}
}

// Pinged takes a ping and makes the pong, which is to go back the way that the ping came.
func (d *Detector) Pinged(address, via string, ping *nodepb.VoterPing, self Told) *nodepb.VoterPong {
	p := d.peer(address)
	d.note(p, via, Told{
		Voter:       ping.GetSelf(),
		Epoch:       ping.GetEpoch(),
		Committed:   ping.GetCommitted(),
		DiskHealthy: ping.GetDiskHealthy(),
		Counts:      ping.GetCounts(),
		Founding:    ping.GetFounding(),
		Wedged:      ping.GetWedged(),
		Missing:     ping.GetMissing(),
	})
	d.confirm(p, p.pongs[ping.GetAcknowledged()%sentKept], ping.GetAcknowledged())
	p.pongs[ping.GetSequence()%sentKept] = sent{ping.GetSequence(), d.now, via}
	return &nodepb.VoterPong{
		Sequence:    ping.GetSequence(),
		Self:        self.Voter,
		Epoch:       self.Epoch,
		Committed:   self.Committed,
		DiskHealthy: self.DiskHealthy,
		Counts:      self.Counts,
		Founding:    self.Founding,
		Missing:     self.Missing,
		Wedged:      self.Wedged,
	}
}

// Ponged takes the answer to a ping.
func (d *Detector) Ponged(address, via string, pong *nodepb.VoterPong) {
	p := d.peer(address)
	d.note(p, via, Told{
		Voter:       pong.GetSelf(),
		Epoch:       pong.GetEpoch(),
		Committed:   pong.GetCommitted(),
		DiskHealthy: pong.GetDiskHealthy(),
		Counts:      pong.GetCounts(),
		Founding:    pong.GetFounding(),
		Wedged:      pong.GetWedged(),
		Missing:     pong.GetMissing(),
	})
	if d.confirm(p, p.pings[pong.GetSequence()%sentKept], pong.GetSequence()) {
		p.acknowledged = max(p.acknowledged, pong.GetSequence())
	}
}

// Proven notes a round trip that other messages have shown: one that left at the time was answered.
func (d *Detector) Proven(address string, voter *nodepb.Voter, left core.Time) {
	p := d.peer(address)
	if p.told == nil || p.told.Voter.GetDiskId() != voter.GetDiskId() {
		d.note(p, "", Told{Voter: voter, DiskHealthy: true, Counts: true})
	}
	p.heard = d.now
	p.proven = true
	p.confirmed = max(p.confirmed, left)
}

// confirm notes that the numbered message arrived, if it is one that this life of the node sent.
func (d *Detector) confirm(p *peer, message sent, sequence uint64) bool {
	if sequence == 0 || message.sequence != sequence {
		return false
	}
	p.proven = true
	p.confirmed = max(p.confirmed, message.at)
	p.paths.proven(message.via, message.at)
	return true
}

func (d *Detector) note(p *peer, via string, told Told) {
	if via == "" {
		p.heardDirect = d.now
	}
	if p.told != nil && p.told.Voter.GetNodeId() != told.Voter.GetNodeId() {
		p.pongs = [sentKept]sent{}
		p.proven = false
		p.since = d.now
		p.acknowledged = 0
		p.paths = paths{direct: max(p.paths.direct, d.now-relayAfter)}
	}
	p.heard = d.now
	if told.DiskHealthy {
		p.unhealthySince = core.Never
	} else {
		p.unhealthySince = min(p.unhealthySince, d.now)
	}
	if !told.Wedged || p.told == nil || p.told.Epoch != told.Epoch {
		p.wedgedSince = core.Never
	}
	if told.Wedged {
		p.wedgedSince = min(p.wedgedSince, d.now)
	}
	p.told = &told
}

// Told returns what the node at the address last said of itself, nil if it is silent for long or was never heard.
func (d *Detector) Told(address string) *Told {
	p := d.peers[address]
	if p == nil || p.told == nil || d.now-p.heard > MissingAfter {
		return nil
	}
	return p.told
}

func (d *Detector) voter(diskID string) *peer { return d.peers[d.voters[diskID]] }

// replaced reports whether another disk speaks at the voter's address.
func (p *peer) replaced(diskID string) bool {
	return p.told != nil && p.told.Voter.GetDiskId() != diskID
}

// Condition implements Reach.
func (d *Detector) Condition(diskID string) Condition {
	p := d.voter(diskID)
	switch {
	case p == nil:
		return Missing
	case p.replaced(diskID) || p.unhealthySince != core.Never:
		return Missing
	case p.proven && d.now-p.confirmed <= MissingAfter:
		return Reachable
	case d.now-p.since <= MissingAfter:
		return Unknown
	default:
		return Missing
	}
}

// MissingFor implements Reach. A machine whose disk was replaced is missing for ever.
func (d *Detector) MissingFor(diskID string) core.Time {
	p := d.voter(diskID)
	if p == nil || d.Condition(diskID) != Missing {
		return 0
	}
	if p.replaced(diskID) {
		return core.Never
	}
	missing := d.now - max(p.confirmed, p.since)
	if p.unhealthySince != core.Never {
		missing = max(missing, d.now-p.unhealthySince)
	}
	return missing
}

// LinkBroken implements Reach.
func (d *Detector) LinkBroken(a, b string) bool { return d.says(a, b) || d.says(b, a) }

// says reports whether the voter said lately that it misses the other.
func (d *Detector) says(diskID, other string) bool {
	told := d.Told(d.voters[diskID])
	if told == nil || told.Voter.GetDiskId() != diskID {
		return false
	}
	for _, missing := range told.Missing {
		if missing == other {
			return true
		}
	}
	return false
}

// Stuck implements Reach.
func (d *Detector) Stuck(diskID string) bool {
	p := d.voter(diskID)
	return p != nil && p.wedgedSince != core.Never && d.now-p.wedgedSince > stuckAfter
}

// MissingVoters lists the voters to which there is no way; those with a disk in trouble are not among them.
func (d *Detector) MissingVoters() []string {
	var missing []string
	for diskID, address := range d.voters {
		p := d.peers[address]
		if p == nil || p.replaced(diskID) || p.proven && d.now-p.confirmed <= MissingAfter || d.now-p.since <= MissingAfter {
			continue
		}
		missing = append(missing, diskID)
	}
	slices.Sort(missing)
	return missing
}

// OutOfReach implements Reach.
func (d *Detector) OutOfReach(diskID string) bool { return slices.Contains(d.MissingVoters(), diskID) }

// ReachableVoters lists the voters with a round trip lately.
func (d *Detector) ReachableVoters() []string {
	var reachable []string
	for diskID := range d.voters {
		if d.Condition(diskID) == Reachable {
			reachable = append(reachable, diskID)
		}
	}
	slices.Sort(reachable)
	return reachable
}
