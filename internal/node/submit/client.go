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
	// nextAttemptAfter is when a call that got no answer goes to another core machine as well.
	nextAttemptAfter = 250 * time.Millisecond
	// transferBytesPerSecond is how fast large commands are taken to come to the head and through the chain.
	transferBytesPerSecond = 2 << 20
	// allowanceFreeBytes of a command need no further time.
	allowanceFreeBytes = 128 << 10
)

// SizeAllowance is how much longer a call with a body of that many bytes may take.
func SizeAllowance(bytes int) core.Time {
	return core.Time(max(0, bytes-allowanceFreeBytes)) * time.Second / transferBytesPerSecond
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
	apiRequest    uint64 // as this node's API names it
	message       *nodepb.Submit
	attempted     []string  // addresses
	sizeAllowance core.Time // for its size
	nextAttempt   core.Time
	expiresAt     core.Time
}

// Client is the state machine of a node's calls.
type Client struct {
	options     Options
	view        *nodepb.View
	coreMembers []*nodepb.Member
	calls       []*call // oldest first
	lastRequest uint64
	outputs     []core.Output
}

// New makes a Client without calls.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	return &Client{options: options, lastRequest: options.Random.Uint64()}
}

// SetView tells the agreed view, if it is newer than the one known. Calls under way go to a new head at once.
func (c *Client) SetView(now core.Time, agreed *nodepb.View) []core.Output {
	c.installView(now, agreed)
	return c.finish()
}

func (c *Client) installView(now core.Time, agreed *nodepb.View) {
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

// SetCoreMembers names the members that count, to be tried where no head is known or it does not answer.
func (c *Client) SetCoreMembers(now core.Time, members []*nodepb.Member) []core.Output {
	c.coreMembers = members
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
	c.lastRequest++
	message.Request = c.lastRequest
	allowance := SizeAllowance(len(message.GetCommand().GetConfigChange().GetBody()))
	call := &call{apiRequest: request, message: message, sizeAllowance: allowance, expiresAt: now + c.options.Timeout + allowance}
	c.calls = append(c.calls, call)
	c.attempt(now, call)
}

// Receive takes the answer of a tail.
func (c *Client) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	reply := envelope.GetSubmitReply()
	if reply == nil {
		return nil
	}
	c.installView(now, reply.GetView())
	for i, call := range c.calls {
		if call.message.GetRequest() != reply.GetRequest() || !isAnswer(call.message, reply) {
			continue
		}
		c.calls = append(c.calls[:i], c.calls[i+1:]...)
		c.outputs = append(c.outputs, core.Reply{Request: call.apiRequest, Result: reply.GetResult(), State: reply.GetState()})
		break
	}
	return c.finish()
}

// isAnswer reports whether the reply says anything about the call.
func isAnswer(message *nodepb.Submit, reply *nodepb.SubmitReply) bool {
	if message.GetRead() {
		return reply.GetState() != nil
	}
	return reply.GetResult().GetCode() != nodepb.ResultCode_UNKNOWN
}

// Tick tries other machines, and ends the calls whose time is over.
func (c *Client) Tick(now core.Time) []core.Output {
	pending := c.calls[:0]
	for _, call := range c.calls {
		if now >= call.expiresAt {
			c.outputs = append(c.outputs, core.Reply{
				Request: call.apiRequest,
				Result: &nodepb.CommandResult{
					Code: nodepb.ResultCode_UNAVAILABLE,
					Text: "no answer from the core in time",
				},
			})
			continue
		}
		pending = append(pending, call)
		if now >= call.nextAttempt {
			c.attempt(now, call)
		}
	}
	clear(c.calls[len(pending):])
	c.calls = pending
	return c.finish()
}

// Deadline is when Tick wants to be called.
func (c *Client) Deadline() core.Time {
	deadline := core.Never
	for _, call := range c.calls {
		deadline = min(deadline, call.expiresAt, call.nextAttempt)
	}
	return deadline
}

// attempt sends the call to the head, or to the next machine that was not tried.
func (c *Client) attempt(now core.Time, call *call) {
	call.nextAttempt = now + nextAttemptAfter + call.sizeAllowance
	if address := c.nextAddress(call); address != "" {
		c.sendTo(now, call, address)
	}
}

func (c *Client) nextAddress(call *call) string {
	candidates := make([]string, 0, len(c.coreMembers)+len(c.view.GetVoters()))
	if head := view.Head(c.view); head != nil {
		candidates = append(candidates, head.GetAddress())
	}
	offset := int(call.message.GetRequest() % uint64(max(1, len(c.coreMembers))))
	for i := range c.coreMembers {
		candidates = append(candidates, c.coreMembers[(i+offset)%len(c.coreMembers)].GetAddress())
	}
	for _, voter := range c.view.GetVoters() {
		candidates = append(candidates, voter.GetAddress())
	}
	return firstUnattempted(candidates, call.attempted)
}

// firstUnattempted returns the first address that was not tried, or the first of all where each was.
func firstUnattempted(candidates, attempted []string) string {
	for _, candidate := range candidates {
		if !slices.Contains(attempted, candidate) {
			return candidate
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0]
}

func (c *Client) sendTo(now core.Time, call *call, address string) {
	call.attempted = append(call.attempted, address)
	call.nextAttempt = now + nextAttemptAfter + call.sizeAllowance
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
