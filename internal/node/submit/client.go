// Package submit sends the commands and reads of a node's API to the head of the control state's
// chain, and returns the answers. It runs on every node. It neither judges commands nor keeps state
// of the chain but the newest view.
//
// Invariants: every call is answered exactly once, by a tail or, after its timeout, as UNAVAILABLE;
// an answer is accepted for the call whose number it carries alone. A call that is sent to several
// machines is applied once: commands are idempotent.
//
// Source: docs/design/system.md, "Control state".
package submit

import (
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// Timeouts of a call.
const (
	// DefaultTimeout is when a call without an answer is answered UNAVAILABLE.
	DefaultTimeout core.Time = 800 * time.Millisecond
	// nextAttemptAfter is when a call without an answer is sent to another core machine as well.
	nextAttemptAfter = 250 * time.Millisecond
	// transferBytesPerSecond is the assumed rate at which a large command reaches the head and
	// passes the chain.
	transferBytesPerSecond = 2 << 20
	// allowanceFreeBytes is the size up to which a command needs no further time.
	allowanceFreeBytes = 128 << 10
)

// SizeAllowance is how much longer a call with a body of so many bytes may take.
func SizeAllowance(bytes int) core.Time {
	return core.Time(max(0, bytes-allowanceFreeBytes)) * time.Second / transferBytesPerSecond
}

// Options of a Client.
type Options struct {
	// Timeout of a call; 0 means DefaultTimeout.
	Timeout core.Time
	// Random makes the numbers of calls differ between the incarnations of a process, so that a
	// late answer to an earlier incarnation is never taken for that of another command.
	Random *rand.Rand
}

// call is one command or read without an answer yet.
type call struct {
	apiRequest    uint64         // the number that this node's API gave it
	message       *nodepb.Submit // with the number of this package
	attempted     []string       // addresses it was sent to
	sizeAllowance core.Time
	nextAttemptAt core.Time
	expiresAt     core.Time
}

// Client is the state machine of a node's calls, in the sense of package core.
type Client struct {
	options     Options
	view        *nodepb.View
	coreMembers []*nodepb.Member
	calls       []*call // oldest first
	lastRequest uint64  // number of the newest call
	outputs     []core.Output
}

// New returns a Client without calls.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	return &Client{options: options, lastRequest: options.Random.Uint64()}
}

// SetView installs a decided view if it is newer than the one known. Pending calls are sent to a
// new head at once.
func (c *Client) SetView(now core.Time, agreed *nodepb.View) []core.Output {
	c.installView(now, agreed)
	return c.finish()
}

// installView installs a view as SetView does, without taking the outputs.
func (c *Client) installView(now core.Time, agreed *nodepb.View) {
	if agreed.GetEpoch() <= c.view.GetEpoch() {
		return
	}
	previousHead := view.Head(c.view).GetAddress()
	c.view = agreed
	head := view.Head(agreed).GetAddress()
	if head == previousHead {
		return
	}
	for _, call := range c.calls {
		c.sendTo(now, call, head)
	}
}

// SetCoreMembers sets the members that count for a quorum; calls are sent to them where no head is
// known or it does not answer.
func (c *Client) SetCoreMembers(_ core.Time, members []*nodepb.Member) []core.Output {
	c.coreMembers = members
	return c.finish()
}

// Submit sends a command to the head. core.Reply with the request number follows. The same command,
// named by its id, may be submitted again at any time.
func (c *Client) Submit(now core.Time, request uint64, command *nodepb.Command) []core.Output {
	c.start(now, request, &nodepb.Submit{Command: command})
	return c.finish()
}

// Read reads the committed state at the tail. core.Reply with the request number follows.
// knownIndex is the index of the state that this node holds: where that is the newest, the answer
// has the index alone.
func (c *Client) Read(now core.Time, request, knownIndex uint64) []core.Output {
	c.start(now, request, &nodepb.Submit{Read: true, KnownIndex: knownIndex})
	return c.finish()
}

// start numbers a call and makes the first attempt.
func (c *Client) start(now core.Time, request uint64, message *nodepb.Submit) {
	c.lastRequest++
	message.Request = c.lastRequest
	allowance := SizeAllowance(len(message.GetCommand().GetConfigChange().GetBody()))
	call := &call{
		apiRequest:    request,
		message:       message,
		sizeAllowance: allowance,
		expiresAt:     now + c.options.Timeout + allowance,
	}
	c.calls = append(c.calls, call)
	c.attempt(now, call)
}

// Receive processes the answer of a tail. Answers to no pending call are ignored.
func (c *Client) Receive(now core.Time, _ core.Peer, envelope *nodepb.Envelope) []core.Output {
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

// isAnswer reports whether the reply is of the kind that answers the call: a read by a state, a
// command by a known result.
func isAnswer(message *nodepb.Submit, reply *nodepb.SubmitReply) bool {
	if message.GetRead() {
		return reply.GetState() != nil
	}
	return reply.GetResult().GetCode() != nodepb.ResultCode_UNKNOWN
}

// Tick sends calls without an answer to other machines, and answers those that have expired as
// UNAVAILABLE.
func (c *Client) Tick(now core.Time) []core.Output {
	pending := c.calls[:0]
	for _, call := range c.calls {
		if now >= call.expiresAt {
			c.outputs = append(c.outputs, unavailable(call))
			continue
		}
		pending = append(pending, call)
		if now >= call.nextAttemptAt {
			c.attempt(now, call)
		}
	}
	clear(c.calls[len(pending):])
	c.calls = pending
	return c.finish()
}

// unavailable is the answer to a call without one.
func unavailable(call *call) core.Reply {
	return core.Reply{
		Request: call.apiRequest,
		Result: &nodepb.CommandResult{
			Code: nodepb.ResultCode_UNAVAILABLE,
			Text: "no answer from the core in time",
		},
	}
}

// Deadline is when Tick should be called next; core.Never without calls.
func (c *Client) Deadline() core.Time {
	deadline := core.Never
	for _, call := range c.calls {
		deadline = min(deadline, call.expiresAt, call.nextAttemptAt)
	}
	return deadline
}

// attempt sends the call to the next machine, if any is known.
func (c *Client) attempt(now core.Time, call *call) {
	call.nextAttemptAt = now + nextAttemptAfter + call.sizeAllowance
	if address := c.nextAddress(call); address != "" {
		c.sendTo(now, call, address)
	}
}

// nextAddress is the machine of the next attempt: the head, then the core members from a start that
// differs by call, then the voters, each once. After all of them it is the first again.
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

// firstUnattempted returns the first candidate without an attempt, else the first one; empty where
// there is none.
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

// sendTo sends the call to an address; the next attempt follows after its time.
func (c *Client) sendTo(now core.Time, call *call, address string) {
	call.attempted = append(call.attempted, address)
	call.nextAttemptAt = now + nextAttemptAfter + call.sizeAllowance
	c.outputs = append(c.outputs, core.Send{
		Destination: address,
		Message:     &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: call.message}},
	})
}

// finish returns the outputs of an input.
func (c *Client) finish() []core.Output {
	outputs := c.outputs
	c.outputs = nil
	return outputs
}
