package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/routing/upstream"
)

// LateCause says why an answer of a model broker was late. Late answers are counted by cause, and the newest are kept
// with what was believed of their broker, so that on-call can tell a wrong choice from a broker that did not do what was
// expected of it.
type LateCause string

// The causes.
const (
	LateByAttempts   LateCause = "earlier attempts"         // time went by before it was sent to the broker that answered
	LateByWaiting    LateCause = "waited for other prompts" // as was foreseen
	LateByReading    LateCause = "its prompt was long"      // as was foreseen
	LateUnforeseen   LateCause = "first event unforeseen"   // the estimate at the send was in time
	LateByLongPrompt LateCause = "pause: a long prompt was read"
	LateByOtherPause LateCause = "pause: nothing known"
)

// LateRequest is an answer that was late, with what was believed of its broker when it was sent.
type LateRequest struct {
	At           core.Time // when it showed
	Route        string
	Instance     string
	Cause        LateCause
	First        core.Time // from the receipt to the first event
	Pause        core.Time // the longest between two events; 0: not known yet
	Unread       int       // tokens of its prompt that the broker was to read
	Ahead        int       // tokens that the broker was to read before the first event, its own included
	LongestOther int       // tokens of the longest prompt that the broker was sent meanwhile
	Load         float64   // of the broker, as believed
	Reported     Load      // the broker's last report
}

const (
	lateKept = 32 // late answers that are kept
	// longPromptLead is how long before a stream began a prompt may have been sent that is still read in it.
	longPromptLead = 500 * time.Millisecond
)

// lateRecord counts late answers and keeps the newest.
type lateRecord struct {
	counts map[LateCause]uint64
	newest []LateRequest // in a ring
	next   int
}

func (l *lateRecord) add(late LateRequest) {
	if l.counts == nil {
		l.counts = make(map[LateCause]uint64)
	}
	l.counts[late.Cause]++
	if len(l.newest) < lateKept {
		l.newest = append(l.newest, late)
		return
	}
	l.newest[l.next] = late
	l.next = (l.next + 1) % lateKept
}

// list gives what is kept, the oldest first.
func (l *lateRecord) list() []LateRequest {
	return append(slices.Clone(l.newest[l.next:]), l.newest[:l.next]...)
}

// Late lists the newest late answers, the oldest first.
func (r *Router) Late() []LateRequest { return r.late.list() }

// recordLateFirstEvent counts an answer whose first event came later than its route's target.
func (r *Router) recordLateFirstEvent(now core.Time, req *request, c *upstream.Call) {
	target := units.FromMilliseconds(req.Route.TargetLatencyMs)
	if req.ServedModel == "" || target <= 0 || now-req.Received <= target {
		return
	}
	perToken := req.Pool.PrefillPerToken(c.Broker)
	expected := units.FromMilliseconds(perToken * c.BacklogAhead)
	cause := LateUnforeseen
	switch {
	case c.SentAt-req.Received > target/2:
		cause = LateByAttempts
	case expected > target && perToken*float64(c.PrefillTokens) > req.Route.TargetLatencyMs/2:
		cause = LateByReading
	case expected > target:
		cause = LateByWaiting
	}
	late := describeLate(now, req, c, cause)
	late.First = now - req.Received
	c.Late = true
	r.late.add(late)
}

// recordLatePause counts an answer with a pause that is longer than its route allows, unless its first event was late
// already.
func (r *Router) recordLatePause(now core.Time, req *request, c *upstream.Call, pauses Pauses) {
	allowed := units.FromMilliseconds(req.Route.GapTargetMs)
	if req.ServedModel == "" || allowed <= 0 || pauses.Longest <= allowed || c.Late {
		return
	}
	largest := c.Broker.LongPrompts.Largest(c.SentAt-longPromptLead, now)
	cause := LateByOtherPause
	if largest > 0 {
		cause = LateByLongPrompt
	}
	late := describeLate(now, req, c, cause)
	late.Pause, late.LongestOther = pauses.Longest, largest
	r.late.add(late)
}

func describeLate(now core.Time, req *request, c *upstream.Call, cause LateCause) LateRequest {
	return LateRequest{
		At: now, Route: req.Route.Name, Instance: c.Broker.Instance.ID, Cause: cause,
		Unread: c.PrefillTokens, Ahead: int(c.BacklogAhead), Load: c.Load, Reported: c.Broker.LastReport(),
	}
}
