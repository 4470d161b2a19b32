package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// voterNetwork simulates voters that ping each other over links that can be partitioned in each direction.
type voterNetwork struct {
	now   core.Time
	nodes map[string]*Detector // by name, which is the disk id and the address; a node that is deleted has crashed
	// partitioned lists the broken links. The key "sender" stands for all direct messages of the sender,
	// "sender>relay" and "relay>destination" for one half of a relayed path.
	partitioned map[string]bool
	reports     map[string]Report // report that each node sends of itself
	sent        int               // number of pings sent, including lost ones
}

// newVoterNetwork returns a network of voters that have not pinged each other yet.
func newVoterNetwork(names ...string) *voterNetwork {
	network := &voterNetwork{nodes: map[string]*Detector{}, partitioned: map[string]bool{}, reports: map[string]Report{}}
	var voters []*nodepb.Voter
	var targets []Target
	for _, name := range names {
		voter := &nodepb.Voter{DiskId: name, Address: name, NodeId: name + "#1"}
		voters = append(voters, voter)
		targets = append(targets, Target{Address: name, DiskID: name})
		network.reports[name] = Report{Voter: voter, DiskHealthy: true, CountsForQuorum: true}
	}
	for i, name := range names {
		network.nodes[name] = NewDetector(0, voters[i], uint64(1000*(i+1)))
		network.nodes[name].Watch(0, targets, voters, false)
	}
	return network
}

// advance advances the time by d in steps of 50 ms, and exchanges the pings that are due in each step.
func (network *voterNetwork) advance(d time.Duration) {
	for end := network.now + d; network.now < end; {
		network.now += 50 * time.Millisecond
		for name, node := range network.nodes {
			node.Advance(network.now, 0)
			for _, due := range node.DuePings() {
				network.exchangePing(name, due)
			}
		}
	}
}

// exchangePing sends a ping from one node, and the pong back to it. Either may be lost.
func (network *voterNetwork) exchangePing(from string, due DuePing) {
	network.sent++
	destination, via := due.Address, due.Via
	ping := network.nodes[from].NewPing(destination, via, network.reports[from])
	if network.isLost(from, destination, via) || network.nodes[destination] == nil {
		return
	}
	pong := network.nodes[destination].ReceivePing(from, via, ping, network.reports[destination])
	if !network.isLost(destination, from, via) {
		network.nodes[from].ReceivePong(destination, via, pong)
	}
}

// isLost reports whether a message is lost. A direct message is lost if its sender is partitioned, and a
// relayed one if either half of its path is.
func (network *voterNetwork) isLost(from, destination, via string) bool {
	if via == "" {
		return network.partitioned[from]
	}
	return network.partitioned[from+">"+via] || network.partitioned[via+">"+destination]
}

// TestRoundTripsProveBothDirections checks that the pings of the active node alone prove round trips to both
// nodes.
func TestRoundTripsProveBothDirections(t *testing.T) {
	network := newVoterNetwork("a", "b")
	assert.Equal(t, network.nodes["a"].Condition("b"), Unknown)
	network.advance(600 * time.Millisecond)
	assert.Equal(t, network.nodes["a"].Condition("b"), Reachable)
	assert.Equal(t, network.nodes["b"].Condition("a"), Reachable, "the next ping acknowledges the pong of b")
	before := network.sent
	network.advance(10 * time.Second)
	assert.Assert(t, network.sent-before <= 41, "%d pings in ten seconds; only one node should ping, four times a second",
		network.sent-before)
}

// TestOneWayPartitionIsDetectedByBoth checks that both nodes detect the failure if the messages of only one
// of them are lost, and that both recover.
func TestOneWayPartitionIsDetectedByBoth(t *testing.T) {
	for _, sender := range []string{"a", "b"} {
		network := newVoterNetwork("a", "b")
		network.advance(time.Second)
		network.partitioned[sender] = true
		network.advance(1800 * time.Millisecond)
		assert.Equal(t, network.nodes["a"].Condition("b"), Failed, "partitioned: %s", sender)
		assert.Equal(t, network.nodes["b"].Condition("a"), Failed, "partitioned: %s", sender)
		assert.DeepEqual(t, network.nodes["a"].UnreachableVoters(), []string{"b"})
		network.advance(3 * time.Second)
		assert.Assert(t, network.nodes["a"].FailedFor("b") > RemovalTimeout)
		network.partitioned[sender] = false
		network.advance(1500 * time.Millisecond)
		assert.Equal(t, network.nodes["a"].Condition("b"), Reachable)
		assert.Equal(t, network.nodes["b"].Condition("a"), Reachable)
		assert.Equal(t, network.nodes["a"].FailedFor("b"), core.Time(0))
	}
}

// TestSuspendedNodeDoesNotFailPeersAtOnce guards against a node that was suspended and takes the silence
// during its own suspension for a failure of its peers.
func TestSuspendedNodeDoesNotFailPeersAtOnce(t *testing.T) {
	network := newVoterNetwork("a", "b")
	network.advance(time.Second)
	network.now += 5 * time.Second
	assert.Assert(t, network.nodes["a"].Advance(network.now, 5*time.Second))
	assert.Equal(t, network.nodes["a"].Condition("b"), Unknown)
	assert.Assert(t, !network.nodes["a"].Advance(network.now+100*time.Millisecond, 100*time.Millisecond))
	network.advance(time.Second)
	assert.Equal(t, network.nodes["a"].Condition("b"), Reachable)
}

// TestDiskFaultCountsAsFailed checks that a voter with a disk fault has failed but is not unreachable.
func TestDiskFaultCountsAsFailed(t *testing.T) {
	network := newVoterNetwork("a", "b")
	network.advance(time.Second)
	report := network.reports["b"]
	report.DiskHealthy = false
	network.reports["b"] = report
	network.advance(500 * time.Millisecond)
	assert.Equal(t, network.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, len(network.nodes["a"].UnreachableVoters()), 0, "the node with the disk fault is reachable")
	network.advance(3 * time.Second)
	assert.Assert(t, network.nodes["a"].FailedFor("b") >= 3*time.Second)
	report.DiskHealthy = true
	network.reports["b"] = report
	network.advance(500 * time.Millisecond)
	assert.Equal(t, network.nodes["a"].Condition("b"), Reachable)
}

// TestReplacedDiskHasFailedForever checks that a voter has failed for good once another disk is reported at
// its address.
func TestReplacedDiskHasFailedForever(t *testing.T) {
	network := newVoterNetwork("a", "b")
	network.advance(time.Second)
	report := network.reports["b"]
	report.Voter = &nodepb.Voter{DiskId: "new", Address: "b", NodeId: "b#2"}
	network.reports["b"] = report
	network.advance(500 * time.Millisecond)
	assert.Equal(t, network.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, network.nodes["a"].FailedFor("b"), core.Never)
}

// TestLinkBrokenFollowsReportsOfPeers checks that a node learns of a broken link between two others from the
// reports of either, as long as the reports are recent.
func TestLinkBrokenFollowsReportsOfPeers(t *testing.T) {
	network := newVoterNetwork("a", "b", "c")
	network.advance(time.Second)
	assert.Assert(t, !network.nodes["a"].LinkBroken("b", "c"))
	report := network.reports["b"]
	report.UnreachableVoters = []string{"c"}
	network.reports["b"] = report
	network.advance(500 * time.Millisecond)
	assert.Assert(t, network.nodes["a"].LinkBroken("b", "c"))
	assert.Assert(t, network.nodes["a"].LinkBroken("c", "b"))
	delete(network.nodes, "b")
	network.advance(1500 * time.Millisecond)
	assert.Assert(t, !network.nodes["a"].LinkBroken("b", "c"), "the report of an unresponsive peer no longer counts")
}

// TestWedgedProposerStalls checks that a voter is stalled once it has been wedged in one epoch for longer
// than stalledTimeout.
func TestWedgedProposerStalls(t *testing.T) {
	network := newVoterNetwork("a", "b")
	network.advance(time.Second)
	report := network.reports["b"]
	report.Wedged = true
	report.Epoch = 3
	network.reports["b"] = report
	network.advance(300 * time.Millisecond)
	assert.Assert(t, !network.nodes["a"].Stalled("b"))
	network.advance(time.Second)
	assert.Assert(t, network.nodes["a"].Stalled("b"))
	report.Epoch = 4
	network.reports["b"] = report
	network.advance(300 * time.Millisecond)
	assert.Assert(t, !network.nodes["a"].Stalled("b"), "the time starts again in a later epoch")
}

// TestPongToAnEarlierIncarnationProvesNothing checks that a restarted node ignores the pong to a ping that it
// sent before the restart, as the peer may have failed since.
func TestPongToAnEarlierIncarnationProvesNothing(t *testing.T) {
	network := newVoterNetwork("a", "b")
	earlier := network.nodes["a"].NewPing("b", "", network.reports["a"])
	pong := network.nodes["b"].ReceivePing("a", "", earlier, network.reports["b"])
	restarted := NewDetector(0, network.reports["a"].Voter, 777)
	restarted.Watch(0, []Target{{Address: "b", DiskID: "b"}}, []*nodepb.Voter{network.reports["a"].Voter, network.reports["b"].Voter}, false)
	restarted.NewPing("b", "", network.reports["a"])
	restarted.ReceivePong("b", "", pong)
	assert.Equal(t, restarted.Condition("b"), Unknown)
	assert.Equal(t, restarted.NewPing("b", "", network.reports["a"]).GetAcknowledgedPong(), uint64(0))
}

// TestRestartedPeerNeedsANewRoundTrip checks that round trips with an earlier incarnation of a peer don't
// count for the present one.
func TestRestartedPeerNeedsANewRoundTrip(t *testing.T) {
	network := newVoterNetwork("a", "b")
	network.advance(time.Second)
	report := network.reports["b"]
	report.Voter = &nodepb.Voter{DiskId: "b", Address: "b", NodeId: "b#2"}
	network.nodes["a"].ReceivePing("b", "", &nodepb.VoterPing{Sequence: 1, Self: report.Voter, DiskHealthy: true}, network.reports["a"])
	assert.Equal(t, network.nodes["a"].Condition("b"), Unknown)
}

// TestUnresponsivePeersArePingedLessOften checks that an unresponsive peer is pinged once a second rather than four times.
func TestUnresponsivePeersArePingedLessOften(t *testing.T) {
	network := newVoterNetwork("a", "b")
	delete(network.nodes, "b")
	network.advance(6 * time.Second)
	before := network.sent
	network.advance(10 * time.Second)
	assert.Assert(t, network.sent-before <= 11, "%d pings in ten seconds", network.sent-before)
}
