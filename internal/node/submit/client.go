// Package submit brings commands and reads of this node's API to the head of the control state's chain, and their answers
// back. It runs on every node.
package submit

import (
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// The times of a call.
const (
	// DefaultTimeout is when a call that got no answer is answered UNAVAILABLE.
	DefaultTimeout core.Time = 800 * time.Millisecond
	// tryElsewhereAfter is when a call that got no answer goes to another core machine as well.
	tryElsewhereAfter = 250 * time.Millisecond
	// extraBytesPerSecond is how fast large commands are taken to come to the head and through the chain.
	extraBytesPerSecond = 2 << 20
	// freeBytes of a command need no further time.
	freeBytes = 128 << 10
)

// ExtraTime is how much longer a call with a body of that many bytes may take.
func ExtraTime(bytes int) core.Time {
	return core.Time(max(0, bytes-freeBytes)) * time.Second / extraBytesPerSecond
}

// Options of a Client.
type Options struct {
	// Timeout of a call; 0 means DefaultTimeout.
	Timeout core.Time
	// Random makes the numbers of calls differ between the lives of a process, so that a late answer to a former life
	// is never taken for that of another command.
	Random *rand.Rand
}

// call is one command or read under way.
type call struct {
	request uint64 // as this node's API names it
	message *nodepb.Submit
	tried   []string  // addresses
	extra   core.Time // for its size
	nextTry core.Time
	expires core.Time
}

// Client is the state machine of a node's calls.
type Client struct {
	options Options
	view    *nodepb.View
	members []*nodepb.Member
	calls   []*call // oldest first
	counter uint64
	outputs []core.Output
}

// New makes a Client without calls.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	return &Client{options: options, counter: options.Random.Uint64()}
}

// SetView tells the agreed view, if it is newer than the one known. Calls under way go to a new head at once.
func (c *Client) SetView(now core.Time, agreed *nodepb.View) []core.Output {
	c.learn(now, agreed)
	return c.finish()
}

func (c *Client) learn(now core.Time, agreed *nodepb.View) {
	if agreed.GetEpoch() <= c.view.GetEpoch() {
		return
	}
	before := view.Head(c.view).GetAddress()
	c.view = agreed
	head := view.Head(agreed).GetAddress()
	if head == before {
		return
	}
	for _, call := range c.calls {
		c.sendTo(now, call, head)
	}
}

// SetCore names the members that count, to be tried where no head is known or it does not answer.
func (c *Client) SetCore(now core.Time, members []*nodepb.Member) []core.Output {
	c.members = members
	return c.finish()
}

// Submit brings a command to the head. The same command, named by its id, may be submitted again at any time.
func (c *Client) Submit(now core.Time, request uint64, command *nodepb.Command) []core.Output {
	c.start(now, request, &nodepb.Submit{Command: command})
	return c.finish()
}

// Read asks the tail for the committed state. knownIndex is that of the state that this node holds: where it is the newest, the
// answer names just the index.
func (c *Client) Read(now core.Time, request, knownIndex uint64) []core.Output {
	c.start(now, request, &nodepb.Submit{Read: true, KnownIndex: knownIndex})
	return c.finish()
}

func (c *Client) start(now core.Time, request uint64, message *nodepb.Submit) {
	c.counter++
	message.Request = c.counter
	extra := ExtraTime(len(message.GetCommand().GetConfigChange().GetBody()))
	call := &call{request: request, message: message, extra: extra, expires: now + c.options.Timeout + extra}
	c.calls = append(c.calls, call)
	c.try(now, call)
}

// Receive takes the answer of a tail.
func (c *Client) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	reply := envelope.GetSubmitReply()
	if reply == nil {
		return nil
	}
	c.learn(now, reply.GetView())
	for i, call := range c.calls {
		if call.message.GetRequest() != reply.GetRequest() || !answers(call.message, reply) {
			continue
		}
		c.calls = append(c.calls[:i], c.calls[i+1:]...)
		c.outputs = append(c.outputs, core.Reply{Request: call.request, Result: reply.GetResult(), State: reply.GetState()})
		break
	}
	return c.finish()
}

// answers reports whether the reply says anything about the call.
func answers(message *nodepb.Submit, reply *nodepb.SubmitReply) bool {
	if message.GetRead() {
		return reply.GetState() != nil
	}
	return reply.GetResult().GetCode() != nodepb.ResultCode_UNKNOWN
}

// Tick tries other machines, and ends the calls whose time is over.
func (c *Client) Tick(now core.Time) []core.Output {
	kept := c.calls[:0]
	for _, call := range c.calls {
		if now >= call.expires {
			c.outputs = append(c.outputs, core.Reply{
				Request: call.request,
				Result: &nodepb.CommandResult{
					Code: nodepb.ResultCode_UNAVAILABLE,
					Text: "no answer from the core in time",
				},
			})
			continue
		}
		kept = append(kept, call)
		if now >= call.nextTry {
			c.try(now, call)
		}
	}
	clear(c.calls[len(kept):])
	c.calls = kept
	return c.finish()
}

// Deadline is when Tick wants to be called.
func (c *Client) Deadline() core.Time {
	deadline := core.Never
	for _, call := range c.calls {
		deadline = min(deadline, call.expires, call.nextTry)
	}
	return deadline
}

// try sends the call to the head, or to the next machine that was not tried.
func (c *Client) try(now core.Time, call *call) {
	call.nextTry = now + tryElsewhereAfter + call.extra
	if address := c.choose(call); address != "" {
		c.sendTo(now, call, address)
	}
}

func (c *Client) choose(call *call) string {
	candidates := make([]string, 0, len(c.members)+len(c.view.GetVoters()))
	if head := view.Head(c.view); head != nil {
		candidates = append(candidates, head.GetAddress())
	}
	offset := int(call.message.GetRequest() % uint64(max(1, len(c.members))))
	for i := range c.members {
		candidates = append(candidates, c.members[(i+offset)%len(c.members)].GetAddress())
	}
	for _, voter := range c.view.GetVoters() {
		candidates = append(candidates, voter.GetAddress())
	}
	return firstUntried(candidates, call.tried)
}

// firstUntried returns the first address that was not tried, or the first of all where each was.
func firstUntried(candidates, tried []string) string {
	for _, candidate := range candidates {
		if !slices.Contains(tried, candidate) {
			return candidate
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0]
}

func (c *Client) sendTo(now core.Time, call *call, address string) {
	call.tried = append(call.tried, address)
	call.nextTry = now + tryElsewhereAfter + call.extra
	c.outputs = append(c.outputs, core.Send{
		Destination: address,
		Message:     &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: call.message}},
	})
}

func (c *Client) finish() []core.Output {
	outputs := c.outputs
	c.outputs = nil
	return outputs
}
