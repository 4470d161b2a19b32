package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// relayedPair is a voterPair with two nodes that may relay between them.
func relayedPair() *voterPair {
	p := newVoterPair("a", "b")
	for _, node := range p.nodes {
		node.SetRelays([]string{"r1", "r2", "b", "a"})
	}
	p.step(time.Second)
	return p
}

func TestNoRelayWhileTheDirectPathIsProven(t *testing.T) {
	p := relayedPair()
	before := p.sent
	p.step(10 * time.Second)
	assert.Assert(t, p.sent-before <= 41, "%d pings in ten seconds", p.sent-before)
	assert.Equal(t, p.nodes["a"].Route("b"), "")
	assert.Equal(t, p.nodes["b"].Route("a"), "")
}

func TestRelayProvesThePathBeforeThePeerFails(t *testing.T) {
	for _, mute := range [][]string{{"a"}, {"b"}, {"a", "b"}} {
		p := relayedPair()
		for _, name := range mute {
			p.partitioned[name] = true
		}
		for range 100 {
			p.step(50 * time.Millisecond)
			assert.Equal(t, p.nodes["a"].Condition("b"), Reachable, "mute: %v, at %v", mute, p.now)
			assert.Equal(t, p.nodes["b"].Condition("a"), Reachable, "mute: %v, at %v", mute, p.now)
		}
		assert.Assert(t, p.nodes["a"].Route("b") != "", "mute: %v", mute)
		assert.Assert(t, p.nodes["b"].Route("a") != "", "mute: %v", mute)
	}
}

func TestDirectPathIsUsedAgainOnceProven(t *testing.T) {
	p := relayedPair()
	p.partitioned["a"], p.partitioned["b"] = true, true
	p.step(12 * time.Second)
	p.partitioned["a"], p.partitioned["b"] = false, false
	p.step(2 * time.Second)
	assert.Equal(t, p.nodes["a"].Route("b"), "")
	assert.Equal(t, p.nodes["b"].Route("a"), "")
	before := p.sent
	p.step(10 * time.Second)
	assert.Assert(t, p.sent-before <= 41, "%d pings in ten seconds after the partition", p.sent-before)
}

func TestPartitionedRelayIsReplaced(t *testing.T) {
	p := relayedPair()
	p.partitioned["a"], p.partitioned["b"] = true, true
	p.step(2 * time.Second)
	chosen := p.nodes["a"].Route("b")
	p.partitioned["a>"+chosen] = true
	for range 60 {
		p.step(50 * time.Millisecond)
		assert.Equal(t, p.nodes["a"].Condition("b"), Reachable, "at %v", p.now)
	}
	other := p.nodes["a"].Route("b")
	assert.Assert(t, other != chosen && other != "", "%s after %s", other, chosen)
}

func TestPeerThatNoPathReachesHasFailed(t *testing.T) {
	p := relayedPair()
	p.partitioned["a"], p.partitioned["b"] = true, true
	for _, relay := range []string{"r1", "r2"} {
		p.partitioned["a>"+relay], p.partitioned["b>"+relay] = true, true
	}
	p.step(1500 * time.Millisecond)
	assert.Equal(t, p.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, p.nodes["a"].Route("b"), "")
	p.step(6 * time.Second)
	before := p.sent
	p.step(10 * time.Second)
	assert.Assert(t, p.sent-before <= 44, "%d pings of both, direct and relayed, in ten seconds", p.sent-before)
}

func TestRelayProvesNothingForAnotherIncarnation(t *testing.T) {
	p := relayedPair()
	p.partitioned["a"], p.partitioned["b"] = true, true
	p.step(2 * time.Second)
	assert.Assert(t, p.nodes["a"].Route("b") != "")
	restarted := &nodepb.Voter{DiskId: "b", Address: "b", NodeId: "b#2"}
	p.nodes["a"].ReceivePing("b", "r1", &nodepb.VoterPing{Sequence: 1, Self: restarted, DiskHealthy: true}, p.reports["a"])
	assert.Equal(t, p.nodes["a"].Route("b"), "")
	assert.Equal(t, p.nodes["a"].Condition("b"), Unknown)
}

// TestPeerIsNotItsOwnRelay: an unresponsive peer that is the only other node known is pinged
// directly alone.
func TestPeerIsNotItsOwnRelay(t *testing.T) {
	p := newVoterPair("a", "b")
	for _, node := range p.nodes {
		node.SetRelays([]string{"b", "a"})
	}
	p.step(time.Second)
	delete(p.nodes, "b")
	p.step(10 * time.Second)
	assert.Equal(t, p.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, p.nodes["a"].Route("b"), "")
}
