package distribution

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// polledNode is a proxy among four core machines, which reply as a test says.
type polledNode struct {
	*Distribution
	now     core.Time
	replies map[string]*nodepb.StatePollReply // by address; nil: none
}

func newPolledNode(coreAddresses ...string) *polledNode {
	n := &polledNode{Distribution: single(nil), replies: map[string]*nodepb.StatePollReply{}}
	view := &nodepb.View{Epoch: 1}
	var members []*nodepb.Member
	for _, address := range coreAddresses {
		members = append(members, &nodepb.Member{NodeId: address, Address: address, CountsForQuorum: true})
		view.Voters = append(view.Voters, &nodepb.Voter{DiskId: address, Address: address})
		view.Chain = append(view.Chain, address)
	}
	n.SetMembers(0, members)
	n.SetView(0, view)
	return n
}

// run lets time pass, and reports whether the core was unable to confirm at its end.
func (n *polledNode) run(span time.Duration) bool {
	for end := n.now + span; n.now < end; n.now += 20 * time.Millisecond {
		for _, output := range n.Tick(n.now) {
			send, ok := output.(core.Send)
			if !ok || n.replies[send.Destination] == nil {
				continue
			}
			reply := proto.CloneOf(n.replies[send.Destination])
			reply.Nonce = send.Message.GetStatePoll().GetNonce()
			n.Receive(n.now, core.Peer{NodeID: send.Destination, Address: send.Destination},
				&nodepb.Envelope{Body: &nodepb.Envelope_StatePollReply{StatePollReply: reply}})
		}
	}
	return n.CoreUnableToConfirm(n.now, 4*time.Second)
}

// reply has some machines answer polls, as confirmed or as unable to say.
func (n *polledNode) reply(confirmed bool, addresses ...string) {
	clear(n.replies)
	for _, address := range addresses {
		n.replies[address] = &nodepb.StatePollReply{Confirmed: confirmed}
	}
}

func TestMajorityOfTheCoreWithoutConfirmationIsUnable(t *testing.T) {
	n := newPolledNode("a", "b", "c", "d")
	n.reply(true, "a", "b", "c", "d")
	assert.Assert(t, !n.run(10*time.Second))
	n.reply(false, "b", "c", "d")
	assert.Assert(t, !n.run(3*time.Second), "a change of the chain takes less")
	assert.Assert(t, n.run(3*time.Second), "three of four, for six seconds")
	n.reply(true, "b", "c", "d")
	assert.Assert(t, !n.run(3*time.Second))
}

// TestNodeThatIsCutOffServesOn: it reaches no more than half of the core, also where membership has dropped the rest.
func TestNodeThatIsCutOffServesOn(t *testing.T) {
	n := newPolledNode("a", "b", "c", "d")
	n.reply(true, "a", "b", "c", "d")
	n.run(10 * time.Second)
	n.reply(false, "c", "d")
	assert.Assert(t, !n.run(20*time.Second), "two of four")
	n.SetMembers(n.now, []*nodepb.Member{{NodeId: "c", Address: "c", CountsForQuorum: true}, {NodeId: "d", Address: "d", CountsForQuorum: true}})
	assert.Assert(t, !n.run(20*time.Second), "two of the four voters")
	n.reply(false)
	assert.Assert(t, !n.run(20*time.Second), "none")
}
