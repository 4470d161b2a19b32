package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// voterPair has voters that ping one another over links that can be partitioned in each direction.
type voterPair struct {
	now         core.Time
	nodes       map[string]*Detector
	partitioned map[string]bool // by sender, or by relayed link as "sender>relay"
	reports     map[string]Report
	sent        int
}

func newVoterPair(names ...string) *voterPair {
	p := &voterPair{nodes: map[string]*Detector{}, partitioned: map[string]bool{}, reports: map[string]Report{}}
	var voters []*nodepb.Voter
	var targets []Target
	for _, name := range names {
		voter := &nodepb.Voter{DiskId: name, Address: name, NodeId: name + "#1"}
		voters = append(voters, voter)
		targets = append(targets, Target{Address: name, DiskID: name})
		p.reports[name] = Report{Voter: voter, DiskHealthy: true, CountsForQuorum: true}
	}
	for i, name := range names {
		p.nodes[name] = NewDetector(0, voters[i], uint64(1000*(i+1)))
		p.nodes[name].Watch(0, targets, voters, false)
	}
	return p
}

// step lets the time pass in steps of 50 ms, with the pings of all nodes.
func (p *voterPair) step(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * time.Millisecond
		for name, node := range p.nodes {
			node.Advance(p.now, 0)
			for _, due := range node.DuePings() {
				p.ping(name, due)
			}
		}
	}
}

func (p *voterPair) ping(from string, due DuePing) {
	p.sent++
	destination, via := due.Address, due.Via
	ping := p.nodes[from].NewPing(destination, via, p.reports[from])
	if p.isLost(from, destination, via) || p.nodes[destination] == nil {
		return
	}
	pong := p.nodes[destination].ReceivePing(from, via, ping, p.reports[destination])
	if !p.isLost(destination, from, via) {
		p.nodes[from].ReceivePong(destination, via, pong)
	}
}

// isLost reports whether a message does not arrive: a partitioned sender reaches relays alone, and
// a relay reaches those that it is not partitioned from.
func (p *voterPair) isLost(from, destination, via string) bool {
	if via == "" {
		return p.partitioned[from]
	}
	return p.partitioned[from+">"+via] || p.partitioned[via+">"+destination]
}

func TestRoundTripsProveBothDirections(t *testing.T) {
	p := newVoterPair("a", "b")
	assert.Equal(t, p.nodes["a"].Condition("b"), Unknown)
	p.step(600 * time.Millisecond)
	assert.Equal(t, p.nodes["a"].Condition("b"), Reachable)
	assert.Equal(t, p.nodes["b"].Condition("a"), Reachable, "by the pong that the next ping acknowledges")
	before := p.sent
	p.step(10 * time.Second)
	assert.Assert(t, p.sent-before <= 41, "only one of the two pings, four times a second: %d", p.sent-before)
}

func TestOneWayPartitionIsDetectedByBoth(t *testing.T) {
	for _, mute := range []string{"a", "b"} {
		p := newVoterPair("a", "b")
		p.step(time.Second)
		p.partitioned[mute] = true
		p.step(1800 * time.Millisecond)
		assert.Equal(t, p.nodes["a"].Condition("b"), Failed, "mute: %s", mute)
		assert.Equal(t, p.nodes["b"].Condition("a"), Failed, "mute: %s", mute)
		assert.DeepEqual(t, p.nodes["a"].UnreachableVoters(), []string{"b"})
		p.step(3 * time.Second)
		assert.Assert(t, p.nodes["a"].FailedFor("b") > RemovalTimeout)
		p.partitioned[mute] = false
		p.step(1500 * time.Millisecond)
		assert.Equal(t, p.nodes["a"].Condition("b"), Reachable)
		assert.Equal(t, p.nodes["b"].Condition("a"), Reachable)
		assert.Equal(t, p.nodes["a"].FailedFor("b"), core.Time(0))
	}
}

func TestSuspendedNodeFailsNobodyAtOnce(t *testing.T) {
	p := newVoterPair("a", "b")
	p.step(time.Second)
	p.now += 5 * time.Second
	assert.Assert(t, p.nodes["a"].Advance(p.now, 5*time.Second))
	assert.Equal(t, p.nodes["a"].Condition("b"), Unknown)
	assert.Assert(t, !p.nodes["a"].Advance(p.now+100*time.Millisecond, 100*time.Millisecond))
	p.step(time.Second)
	assert.Equal(t, p.nodes["a"].Condition("b"), Reachable)
}

func TestDiskFaultCountsAsFailed(t *testing.T) {
	p := newVoterPair("a", "b")
	p.step(time.Second)
	report := p.reports["b"]
	report.DiskHealthy = false
	p.reports["b"] = report
	p.step(500 * time.Millisecond)
	assert.Equal(t, p.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, len(p.nodes["a"].UnreachableVoters()), 0, "the link is healthy")
	p.step(3 * time.Second)
	assert.Assert(t, p.nodes["a"].FailedFor("b") >= 3*time.Second)
	report.DiskHealthy = true
	p.reports["b"] = report
	p.step(500 * time.Millisecond)
	assert.Equal(t, p.nodes["a"].Condition("b"), Reachable)
}

func TestReplacedDiskHasFailedForever(t *testing.T) {
	p := newVoterPair("a", "b")
	p.step(time.Second)
	report := p.reports["b"]
	report.Voter = &nodepb.Voter{DiskId: "new", Address: "b", NodeId: "b#2"}
	p.reports["b"] = report
	p.step(500 * time.Millisecond)
	assert.Equal(t, p.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, p.nodes["a"].FailedFor("b"), core.Never)
}

func TestLinkBrokenFollowsReportsOfPeers(t *testing.T) {
	p := newVoterPair("a", "b", "c")
	p.step(time.Second)
	assert.Assert(t, !p.nodes["a"].LinkBroken("b", "c"))
	report := p.reports["b"]
	report.UnreachableVoters = []string{"c"}
	p.reports["b"] = report
	p.step(500 * time.Millisecond)
	assert.Assert(t, p.nodes["a"].LinkBroken("b", "c"))
	assert.Assert(t, p.nodes["a"].LinkBroken("c", "b"))
	delete(p.nodes, "b")
	p.step(1500 * time.Millisecond)
	assert.Assert(t, !p.nodes["a"].LinkBroken("b", "c"), "the report of an unresponsive peer counts no more")
}

func TestWedgedProposerStalls(t *testing.T) {
	p := newVoterPair("a", "b")
	p.step(time.Second)
	report := p.reports["b"]
	report.Wedged = true
	report.Epoch = 3
	p.reports["b"] = report
	p.step(300 * time.Millisecond)
	assert.Assert(t, !p.nodes["a"].Stalled("b"))
	p.step(time.Second)
	assert.Assert(t, p.nodes["a"].Stalled("b"))
	report.Epoch = 4
	p.reports["b"] = report
	p.step(300 * time.Millisecond)
	assert.Assert(t, !p.nodes["a"].Stalled("b"), "wedged again, in a later epoch")
}

func TestPongToAnEarlierIncarnationProvesNothing(t *testing.T) {
	p := newVoterPair("a", "b")
	earlier := p.nodes["a"].NewPing("b", "", p.reports["a"])
	pong := p.nodes["b"].ReceivePing("a", "", earlier, p.reports["b"])
	restarted := NewDetector(0, p.reports["a"].Voter, 777)
	restarted.Watch(0, []Target{{Address: "b", DiskID: "b"}}, []*nodepb.Voter{p.reports["a"].Voter, p.reports["b"].Voter}, false)
	restarted.NewPing("b", "", p.reports["a"])
	restarted.ReceivePong("b", "", pong)
	assert.Equal(t, restarted.Condition("b"), Unknown)
	assert.Equal(t, restarted.NewPing("b", "", p.reports["a"]).GetAcknowledgedPong(), uint64(0))
}

func TestRestartedPeerNeedsANewRoundTrip(t *testing.T) {
	p := newVoterPair("a", "b")
	p.step(time.Second)
	report := p.reports["b"]
	report.Voter = &nodepb.Voter{DiskId: "b", Address: "b", NodeId: "b#2"}
	p.nodes["a"].ReceivePing("b", "", &nodepb.VoterPing{Sequence: 1, Self: report.Voter, DiskHealthy: true}, p.reports["a"])
	assert.Equal(t, p.nodes["a"].Condition("b"), Unknown)
}

func TestUnresponsivePeersArePingedLessOften(t *testing.T) {
	p := newVoterPair("a", "b")
	delete(p.nodes, "b")
	p.step(6 * time.Second)
	before := p.sent
	p.step(10 * time.Second)
	assert.Assert(t, p.sent-before <= 11, "%d pings in ten seconds", p.sent-before)
}
