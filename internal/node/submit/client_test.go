package submit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

func viewOf(epoch uint64, chain ...string) *nodepb.View {
	v := &nodepb.View{Epoch: epoch, Chain: chain}
	for _, diskID := range chain {
		v.Voters = append(v.Voters, &nodepb.Voter{DiskId: diskID, Address: "addr-" + diskID})
	}
	return v
}

func newClient(seed uint64) *Client {
	return New(Options{Random: rand.New(rand.NewPCG(seed, 0))})
}

// sends lists where the outputs go, and the last message.
func sends(t *testing.T, outputs []core.Output) (to []string, last *nodepb.Submit) {
	t.Helper()
	for _, output := range outputs {
		send, ok := output.(core.Send)
		if !ok {
			t.Fatalf("%T", output)
		}
		to = append(to, send.Destination)
		last = send.Message.GetSubmit()
	}
	return to, last
}

func replyOf(request uint64, code nodepb.ResultCode) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_SubmitReply{SubmitReply: &nodepb.SubmitReply{
		Request: request, Result: &nodepb.CommandResult{Code: code},
	}}}
}

func TestCommandGoesToTheHead(t *testing.T) {
	c := newClient(1)
	c.SetView(0, viewOf(3, "a", "b", "c"))
	to, message := sends(t, c.Submit(0, 5, &nodepb.Command{Id: "x"}))
	assert.DeepEqual(t, to, []string{"addr-a"})
	outputs := c.Receive(time.Millisecond, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))
	reply := outputs[0].(core.Reply)
	assert.Equal(t, reply.Request, uint64(5))
	assert.Equal(t, reply.Result.GetCode(), nodepb.ResultCode_TAKEN)
	assert.Equal(t, c.Deadline(), core.Never)
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))), 0)
}

func TestOthersAreTriedThenUnavailable(t *testing.T) {
	c := newClient(2)
	c.SetView(0, viewOf(3, "a", "b"))
	c.SetCore(0, []*nodepb.Member{{Address: "addr-a"}, {Address: "addr-b"}, {Address: "addr-c"}})
	tried := map[string]bool{}
	to, _ := sends(t, c.Submit(0, 5, &nodepb.Command{Id: "x"}))
	tried[to[0]] = true
	for range 2 {
		now := c.Deadline()
		to, _ = sends(t, c.Tick(now))
		tried[to[0]] = true
	}
	assert.Equal(t, len(tried), 3, "three machines in half a second: %v", tried)
	c.Tick(c.Deadline())
	assert.Equal(t, c.Deadline(), DefaultTimeout)
	reply := c.Tick(DefaultTimeout)[0].(core.Reply)
	assert.Equal(t, reply.Result.GetCode(), nodepb.ResultCode_UNAVAILABLE)
}

func TestWithoutViewACoreMemberIsAsked(t *testing.T) {
	c := newClient(3)
	to, _ := sends(t, c.Submit(0, 1, &nodepb.Command{Id: "x"}))
	assert.Equal(t, len(to), 0, "nobody is known")
	c.SetCore(0, []*nodepb.Member{{Address: "addr-b"}})
	to, _ = sends(t, c.Tick(tryElsewhereAfter))
	assert.DeepEqual(t, to, []string{"addr-b"})
}

func TestCallsFollowTheHead(t *testing.T) {
	c := newClient(4)
	c.SetView(0, viewOf(3, "a", "b"))
	c.Submit(0, 1, &nodepb.Command{Id: "x"})
	to, _ := sends(t, c.SetView(10*time.Millisecond, viewOf(4, "b", "a")))
	assert.DeepEqual(t, to, []string{"addr-b"})
	to, _ = sends(t, c.SetView(20*time.Millisecond, viewOf(5, "b")))
	assert.Equal(t, len(to), 0, "the head is the same")
	to, _ = sends(t, c.SetView(30*time.Millisecond, viewOf(4, "a")))
	assert.Equal(t, len(to), 0, "older")
}

func TestReadNeedsAState(t *testing.T) {
	c := newClient(5)
	c.SetView(0, viewOf(3, "a"))
	_, message := sends(t, c.Read(0, 8, 0))
	assert.Assert(t, message.GetRead())
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))), 0)
	state := &nodepb.StateSnapshot{Index: 4}
	outputs := c.Receive(0, core.Peer{}, &nodepb.Envelope{Body: &nodepb.Envelope_SubmitReply{
		SubmitReply: &nodepb.SubmitReply{Request: message.GetRequest(), State: state},
	}})
	assert.Equal(t, outputs[0].(core.Reply).State, state)
}

func TestAnswersToAFormerLifeAreNotTaken(t *testing.T) {
	former, c := newClient(6), newClient(7)
	for _, client := range []*Client{former, c} {
		client.SetView(0, viewOf(3, "a"))
	}
	_, message := sends(t, former.Submit(0, 1, &nodepb.Command{Id: "x"}))
	c.Submit(0, 1, &nodepb.Command{Id: "y"})
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))), 0)
}

func TestUnknownResultsAreNotTaken(t *testing.T) {
	c := newClient(8)
	c.SetView(0, viewOf(3, "a"))
	_, message := sends(t, c.Submit(0, 1, &nodepb.Command{Id: "x"}))
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_UNKNOWN))), 0)
}
