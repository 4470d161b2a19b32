package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// newRelayedNetwork returns a network of two voters, a and b, and two relays, r1 and r2, after one second. The relays are
// no voters. The voters also list themselves as relays, which they must not use.
func newRelayedNetwork() *voterNetwork {
	network := newVoterNetwork("a", "b")
	for _, node := range network.nodes {
		node.SetRelays([]string{"r1", "r2", "b", "a"})
	}
	network.advance(time.Second)
	return network
}

// TestNoRelayWhileTheDirectPathIsProven checks that relays cause no additional pings while they aren't needed.
func TestNoRelayWhileTheDirectPathIsProven(t *testing.T) {
	network := newRelayedNetwork()
	before := network.sent
	network.advance(10 * time.Second)
	assert.Assert(t, network.sent-before <= 41, "%d pings in ten seconds", network.sent-before)
	assert.Equal(t, network.nodes["a"].RelayFor("b"), "")
	assert.Equal(t, network.nodes["b"].RelayFor("a"), "")
}

// TestRelayProvesThePathBeforeThePeerFails checks that a peer stays Reachable at all times when its direct path
// breaks in one or both directions, because a relay is found before FailureTimeout.
func TestRelayProvesThePathBeforeThePeerFails(t *testing.T) {
	for _, senders := range [][]string{{"a"}, {"b"}, {"a", "b"}} {
		network := newRelayedNetwork()
		for _, name := range senders {
			network.partitioned[name] = true
		}
		for range 100 {
			network.advance(50 * time.Millisecond)
			assert.Equal(t, network.nodes["a"].Condition("b"), Reachable, "partitioned: %v, at %v", senders, network.now)
			assert.Equal(t, network.nodes["b"].Condition("a"), Reachable, "partitioned: %v, at %v", senders, network.now)
		}
		assert.Assert(t, network.nodes["a"].RelayFor("b") != "", "partitioned: %v", senders)
		assert.Assert(t, network.nodes["b"].RelayFor("a") != "", "partitioned: %v", senders)
	}
}

// TestDirectPathIsUsedAgainOnceProven checks that messages and pings return to the direct path after a partition.
func TestDirectPathIsUsedAgainOnceProven(t *testing.T) {
	network := newRelayedNetwork()
	network.partitioned["a"], network.partitioned["b"] = true, true
	network.advance(12 * time.Second)
	network.partitioned["a"], network.partitioned["b"] = false, false
	network.advance(2 * time.Second)
	assert.Equal(t, network.nodes["a"].RelayFor("b"), "")
	assert.Equal(t, network.nodes["b"].RelayFor("a"), "")
	before := network.sent
	network.advance(10 * time.Second)
	assert.Assert(t, network.sent-before <= 41, "%d pings in ten seconds after the partition", network.sent-before)
}

// TestPartitionedRelayIsReplaced checks that the peer stays Reachable through another relay when the relay in use
// is partitioned.
func TestPartitionedRelayIsReplaced(t *testing.T) {
	network := newRelayedNetwork()
	network.partitioned["a"], network.partitioned["b"] = true, true
	network.advance(2 * time.Second)
	chosen := network.nodes["a"].RelayFor("b")
	network.partitioned["a>"+chosen] = true
	for range 60 {
		network.advance(50 * time.Millisecond)
		assert.Equal(t, network.nodes["a"].Condition("b"), Reachable, "at %v", network.now)
	}
	other := network.nodes["a"].RelayFor("b")
	assert.Assert(t, other != chosen && other != "", "relay %q after %q was partitioned", other, chosen)
}

// TestPeerWithoutWorkingPathFails checks that a peer fails if neither the direct path nor a relay works, and that
// both nodes then ping less often.
func TestPeerWithoutWorkingPathFails(t *testing.T) {
	network := newRelayedNetwork()
	network.partitioned["a"], network.partitioned["b"] = true, true
	for _, relay := range []string{"r1", "r2"} {
		network.partitioned["a>"+relay], network.partitioned["b>"+relay] = true, true
	}
	network.advance(1500 * time.Millisecond)
	assert.Equal(t, network.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, network.nodes["a"].RelayFor("b"), "")
	network.advance(6 * time.Second)
	before := network.sent
	network.advance(10 * time.Second)
	assert.Assert(t, network.sent-before <= 44, "%d direct and relayed pings of both nodes in ten seconds", network.sent-before)
}

// TestRelayProvesNothingForAnotherIncarnation checks that a path proven through a relay is discarded when the peer
// restarts.
func TestRelayProvesNothingForAnotherIncarnation(t *testing.T) {
	network := newRelayedNetwork()
	network.partitioned["a"], network.partitioned["b"] = true, true
	network.advance(2 * time.Second)
	assert.Assert(t, network.nodes["a"].RelayFor("b") != "")
	restarted := &nodepb.Voter{DiskId: "b", Address: "b", NodeId: "b#2"}
	network.nodes["a"].ReceivePing("b", "r1", &nodepb.VoterPing{Sequence: 1, Self: restarted, DiskHealthy: true}, network.reports["a"])
	assert.Equal(t, network.nodes["a"].RelayFor("b"), "")
	assert.Equal(t, network.nodes["a"].Condition("b"), Unknown)
}

// TestPeerIsNotItsOwnRelay checks that an unresponsive peer isn't used as its own relay when it is the only other node
// known. It is then pinged directly only.
func TestPeerIsNotItsOwnRelay(t *testing.T) {
	network := newVoterNetwork("a", "b")
	for _, node := range network.nodes {
		node.SetRelays([]string{"b", "a"})
	}
	network.advance(time.Second)
	delete(network.nodes, "b")
	network.advance(10 * time.Second)
	assert.Equal(t, network.nodes["a"].Condition("b"), Failed)
	assert.Equal(t, network.nodes["a"].RelayFor("b"), "")
}
