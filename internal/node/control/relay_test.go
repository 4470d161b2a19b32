package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// newNode makes a proxy that knows the core machines at the addresses.
func newNode(name string, coreAddresses ...string) *Node {
	n := New(0, Options{
		Self: &nodepb.Member{NodeId: name + "/1", Name: name, Address: name, ControlAddress: name + ":c", Zone: "a", ServesFront: true},
	}, rand.New(rand.NewPCG(1, 2)))
	n.coreAddresses = map[string]bool{}
	for _, address := range coreAddresses {
		n.coreAddresses[address] = true
	}
	return n
}

// sends lists the messages sent, each as "kind>address".
func sends(outputs []core.Output) []string {
	var list []string
	for _, output := range outputs {
		if send, ok := output.(core.Send); ok {
			list = append(list, fmt.Sprintf("%T>%s", send.Message.GetBody(), send.Destination)[len("*nodepb.Envelope_"):])
		}
	}
	return list
}

func relayed(origin, to string, envelope *nodepb.Envelope) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Relay{Relay: &nodepb.Relay{
		Destination: to, OriginId: origin + "/1", OriginAddress: origin, Envelope: envelope,
	}}}
}

func poll(nonce uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_StatePoll{StatePoll: &nodepb.StatePoll{Nonce: nonce}}}
}

// TestRelayForwardsOnceAndToCoreOnly: a relay forwards what it has from the origin itself.
func TestRelayForwardsOnceAndToCoreOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		from string
		to   string
		want []string
	}{
		{"from the sender to a core machine", "core-1", "core-2", []string{"Relay>core-2"}},
		{"forwarded before", "relay-9", "core-2", nil},
		{"to another node", "core-1", "proxy-7", nil},
		{"to nobody", "core-1", "", nil},
	} {
		n := newNode("relay", "core-1", "core-2")
		outputs := n.Receive(time.Second, core.Peer{NodeID: c.from + "/1", Address: c.from}, relayed("core-1", c.to, poll(4)))
		assert.DeepEqual(t, sends(outputs), c.want)
	}
}

// TestRelayedMessageIsAnsweredToItsOrigin, not to the relay.
func TestRelayedMessageIsAnsweredToItsOrigin(t *testing.T) {
	n := newNode("core-2", "core-1")
	outputs := n.Receive(time.Second, core.Peer{NodeID: "relay/1", Address: "relay"}, relayed("core-1", "core-2", poll(4)))
	assert.DeepEqual(t, sends(outputs), []string{"StatePollReply>core-1"})
}

// TestNestedRelayIsNotForwarded: wrapping a message repeatedly doesn't make it travel further.
func TestNestedRelayIsNotForwarded(t *testing.T) {
	n := newNode("core-2", "core-1", "core-3")
	inner := relayed("core-9", "core-3", poll(4))
	outputs := n.Receive(time.Second, core.Peer{NodeID: "relay/1", Address: "relay"}, relayed("core-1", "core-2", inner))
	assert.Equal(t, len(sends(outputs)), 0)
}

func TestRelaysAreRankedByZoneWithCoreLast(t *testing.T) {
	n := newNode("core-1")
	member := func(name, zone string, counts bool, state nodepb.MemberState) *nodepb.Member {
		return &nodepb.Member{NodeId: name + "/1", Address: name, Zone: zone, CountsForQuorum: counts, State: state}
	}
	members := []*nodepb.Member{
		member("core-2", "a", true, nodepb.MemberState_ALIVE), member("near-1", "a", false, nodepb.MemberState_ALIVE),
		member("near-2", "a", false, nodepb.MemberState_SUSPECT), member("far-1", "b", false, nodepb.MemberState_ALIVE),
		member("far-2", "c", false, nodepb.MemberState_ALIVE), {NodeId: "core-1/1", Address: "core-1", Zone: "a"},
	}
	relays := n.rankRelays(members)
	assert.Equal(t, len(relays), 4, "%v", relays)
	assert.Equal(t, relays[0], "near-1")
	assert.Equal(t, relays[3], "core-2", "the core's own come last")
	for i := range 40 {
		members = append(members, member(fmt.Sprintf("more-%d", i), "b", i%2 == 0, nodepb.MemberState_ALIVE))
	}
	assert.Equal(t, len(n.rankRelays(members)), 2*maxRelays)
}

// TestLargeMessagesTravelAsFragments and arrive complete at their plane.
func TestLargeMessagesTravelAsFragments(t *testing.T) {
	from, to := newNode("a"), newNode("b")
	state := &nodepb.StateSnapshot{Index: 7, State: make([]byte, 300_000)}
	push := &nodepb.Envelope{Body: &nodepb.Envelope_StatePush{StatePush: &nodepb.StatePush{Index: 7, Snapshot: state}}}
	pending := from.Send(0, core.Send{Destination: "b", Message: push})
	refused := false
	for rounds := 0; len(pending) > 0 && rounds < 100; rounds++ {
		var next []core.Output
		for _, output := range pending {
			switch output := output.(type) {
			case core.Send:
				node, peer := to, core.Peer{NodeID: "a/1", Address: "a"}
				if output.Destination == "a" {
					node, peer = from, core.Peer{NodeID: "b/1", Address: "b"}
				}
				next = append(next, node.Receive(0, peer, output.Message)...)
			case core.Log:
				refused = refused || output.Message == "distribution: control state not readable"
			}
		}
		pending = next
	}
	assert.Assert(t, refused, "the push came to the distribution, which finds that zeros are no state")
}

// TestReadIsAnsweredByNewestOwnState: where the chain says that the state held here is the newest, and
// not where it is older.
func TestReadIsAnsweredByNewestOwnState(t *testing.T) {
	for _, c := range []struct {
		index    uint64
		answered bool
	}{{0, true}, {1, false}} {
		n := newNode("a")
		n.handleReply(0, core.Reply{Request: 5, State: &nodepb.StateSnapshot{Index: c.index}})
		reply := n.outbox.Take()[0].(core.Reply)
		assert.Equal(t, len(reply.State.GetState()) > 0, c.answered, "index %d", c.index)
	}
}
