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

// sentTo lists the destinations of the outputs, and returns the last message.
func sentTo(t *testing.T, outputs []core.Output) (destinations []string, last *nodepb.Submit) {
	t.Helper()
	for _, output := range outputs {
		send, ok := output.(core.Send)
		if !ok {
			t.Fatalf("%T", output)
		}
		destinations = append(destinations, send.Destination)
		last = send.Message.GetSubmit()
	}
	return destinations, last
}

func replyOf(request uint64, code nodepb.ResultCode) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_SubmitReply{SubmitReply: &nodepb.SubmitReply{
		Request: request, Result: &nodepb.CommandResult{Code: code},
	}}}
}

func TestCommandGoesToTheHead(t *testing.T) {
	c := newClient(1)
	c.SetView(0, viewOf(3, "a", "b", "c"))
	destinations, message := sentTo(t, c.Submit(0, 5, &nodepb.Command{Id: "x"}))
	assert.DeepEqual(t, destinations, []string{"addr-a"})
	outputs := c.Receive(time.Millisecond, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))
	reply := outputs[0].(core.Reply)
	assert.Equal(t, reply.Request, uint64(5))
	assert.Equal(t, reply.Result.GetCode(), nodepb.ResultCode_TAKEN)
	assert.Equal(t, c.Deadline(), core.Never)
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))), 0)
}

func TestOtherMachinesAreAttemptedThenUnavailable(t *testing.T) {
	c := newClient(2)
	c.SetView(0, viewOf(3, "a", "b"))
	c.SetCoreMembers(0, []*nodepb.Member{{Address: "addr-a"}, {Address: "addr-b"}, {Address: "addr-c"}})
	attempted := map[string]bool{}
	destinations, _ := sentTo(t, c.Submit(0, 5, &nodepb.Command{Id: "x"}))
	attempted[destinations[0]] = true
	for range 2 {
		now := c.Deadline()
		destinations, _ = sentTo(t, c.Tick(now))
		attempted[destinations[0]] = true
	}
	assert.Equal(t, len(attempted), 3, "three machines in half a second: %v", attempted)
	c.Tick(c.Deadline())
	assert.Equal(t, c.Deadline(), DefaultTimeout)
	reply := c.Tick(DefaultTimeout)[0].(core.Reply)
	assert.Equal(t, reply.Result.GetCode(), nodepb.ResultCode_UNAVAILABLE)
}

func TestCoreMemberIsAskedWithoutAView(t *testing.T) {
	c := newClient(3)
	destinations, _ := sentTo(t, c.Submit(0, 1, &nodepb.Command{Id: "x"}))
	assert.Equal(t, len(destinations), 0, "no machine is known")
	c.SetCoreMembers(0, []*nodepb.Member{{Address: "addr-b"}})
	destinations, _ = sentTo(t, c.Tick(nextAttemptAfter))
	assert.DeepEqual(t, destinations, []string{"addr-b"})
}

func TestCallsFollowTheHead(t *testing.T) {
	c := newClient(4)
	c.SetView(0, viewOf(3, "a", "b"))
	c.Submit(0, 1, &nodepb.Command{Id: "x"})
	destinations, _ := sentTo(t, c.SetView(10*time.Millisecond, viewOf(4, "b", "a")))
	assert.DeepEqual(t, destinations, []string{"addr-b"})
	destinations, _ = sentTo(t, c.SetView(20*time.Millisecond, viewOf(5, "b")))
	assert.Equal(t, len(destinations), 0, "the head is the same")
	destinations, _ = sentTo(t, c.SetView(30*time.Millisecond, viewOf(4, "a")))
	assert.Equal(t, len(destinations), 0, "older")
}

func TestReadNeedsAState(t *testing.T) {
	c := newClient(5)
	c.SetView(0, viewOf(3, "a"))
	_, message := sentTo(t, c.Read(0, 8, 0))
	assert.Assert(t, message.GetRead())
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))), 0)
	state := &nodepb.StateSnapshot{Index: 4}
	outputs := c.Receive(0, core.Peer{}, &nodepb.Envelope{Body: &nodepb.Envelope_SubmitReply{
		SubmitReply: &nodepb.SubmitReply{Request: message.GetRequest(), State: state},
	}})
	assert.Equal(t, outputs[0].(core.Reply).State, state)
}

func TestAnswersToAnEarlierIncarnationAreIgnored(t *testing.T) {
	earlier, c := newClient(6), newClient(7)
	for _, client := range []*Client{earlier, c} {
		client.SetView(0, viewOf(3, "a"))
	}
	_, message := sentTo(t, earlier.Submit(0, 1, &nodepb.Command{Id: "x"}))
	c.Submit(0, 1, &nodepb.Command{Id: "y"})
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_TAKEN))), 0)
}

// TestCallNumbersDifferBetweenIncarnations: a process may be replaced at its address any number of times, and an answer to
// any of its predecessors may still be under way.
func TestCallNumbersDifferBetweenIncarnations(t *testing.T) {
	const incarnations, callsEach = 300, 20
	owners := map[uint64]uint64{}
	for seed := range uint64(incarnations) {
		c := newClient(seed)
		c.SetView(0, viewOf(3, "a"))
		for range callsEach {
			_, message := sentTo(t, c.Submit(0, 1, &nodepb.Command{Id: "x"}))
			owner, taken := owners[message.GetRequest()]
			assert.Assert(t, !taken, "incarnations %d and %d both number a call %d", owner, seed, message.GetRequest())
			owners[message.GetRequest()] = seed
		}
	}
}

func TestUnknownResultsAreIgnored(t *testing.T) {
	c := newClient(8)
	c.SetView(0, viewOf(3, "a"))
	_, message := sentTo(t, c.Submit(0, 1, &nodepb.Command{Id: "x"}))
	assert.Equal(t, len(c.Receive(0, core.Peer{}, replyOf(message.GetRequest(), nodepb.ResultCode_UNKNOWN))), 0)
}
