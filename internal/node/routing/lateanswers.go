package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/units"
)

// LateCause says why an answer of a model broker was late. Late answers are counted by cause, and
// the newest are kept with what was believed of their broker, so that on-call can tell a wrong
// choice from a broker that did not do what was expected of it.
type LateCause string

// The causes.
const (
	LateByAttempts    LateCause = "earlier attempts"         // time went by before it was sent to the broker that answered
	LateByBacklog     LateCause = "waited for other prompts" // as expected at the send
	LateByPrefill     LateCause = "its prompt was long"      // as expected at the send
	LateUnexpected    LateCause = "first event unforeseen"   // the estimate at the send was in time
	LateByLongPrefill LateCause = "pause: a long prompt was read"
	LateByUnknownGap  LateCause = "pause: nothing known"
)

// LateRequest is an answer that was late, with what was believed of its broker when it was sent.
type LateRequest struct {
	DetectedAt          core.Time // when it showed
	Route               string
	Instance            string
	Cause               LateCause
	FirstEvent          core.Time // from the receipt to the first event
	MaxGap              core.Time // the longest between two events; 0: not known yet
	PrefillTokens       int       // tokens of its prompt that the broker was to read
	QueuedPrefillTokens int       // tokens that the broker was to read before the first event, its own included
	LongestOtherPrompt  int       // tokens of the longest prompt that the broker was sent meanwhile
	Load                float64   // of the broker, as believed
	Reported            Load      // the broker's last report
}

const (
	maxRecentLate = 32 // late answers that are kept
	// longPromptLead is how long before a stream began a prompt may have been sent that is still
	// read in it.
	longPromptLead = 500 * time.Millisecond
)

// recentLateAnswers counts late answers and keeps the newest.
type recentLateAnswers struct {
	counts map[LateCause]uint64
	newest []LateRequest // a ring
	next   int
}

// add counts a late answer and keeps it in place of the oldest.
func (l *recentLateAnswers) add(late LateRequest) {
	if l.counts == nil {
		l.counts = make(map[LateCause]uint64)
	}
	l.counts[late.Cause]++
	if len(l.newest) < maxRecentLate {
		l.newest = append(l.newest, late)
		return
	}
	l.newest[l.next] = late
	l.next = (l.next + 1) % maxRecentLate
}

// list gives what is kept, the oldest first.
func (l *recentLateAnswers) list() []LateRequest {
	return append(slices.Clone(l.newest[l.next:]), l.newest[:l.next]...)
}

// Late lists the newest late answers, the oldest first.
func (r *Router) Late() []LateRequest { return r.lateAnswers.list() }

// recordLateFirstEvent counts an answer whose first event came later than its route's target.
func (r *Router) recordLateFirstEvent(now core.Time, req *request, c *brokerstate.Call) {
	target := units.FromMilliseconds(req.Route.TargetLatencyMs)
	if req.ServedModel == "" || target <= 0 || now-req.Received <= target {
		return
	}
	perToken := req.Pool.PrefillPerToken(c.Broker)
	expected := units.FromMilliseconds(perToken * c.BacklogAhead)
	cause := LateUnexpected
	switch {
	case c.SentAt-req.Received > target/2:
		cause = LateByAttempts
	case expected > target && perToken*float64(c.PrefillTokens) > req.Route.TargetLatencyMs/2:
		cause = LateByPrefill
	case expected > target:
		cause = LateByBacklog
	}
	late := newLateRequest(now, req, c, cause)
	late.FirstEvent = now - req.Received
	c.Late = true
	r.lateAnswers.add(late)
}

// recordLateGap counts an answer with a gap between events that is longer than its route allows,
// unless its first event was late already.
func (r *Router) recordLateGap(now core.Time, req *request, c *brokerstate.Call, gaps EventGaps) {
	allowed := units.FromMilliseconds(req.Route.GapTargetMs)
	if req.ServedModel == "" || allowed <= 0 || gaps.Max <= allowed || c.Late {
		return
	}
	largest := c.Broker.LongPrompts.Largest(c.SentAt-longPromptLead, now)
	cause := LateByUnknownGap
	if largest > 0 {
		cause = LateByLongPrefill
	}
	late := newLateRequest(now, req, c, cause)
	late.MaxGap, late.LongestOtherPrompt = gaps.Max, largest
	r.lateAnswers.add(late)
}

// newLateRequest is a late answer with what was believed of its broker at the send.
func newLateRequest(now core.Time, req *request, c *brokerstate.Call, cause LateCause) LateRequest {
	return LateRequest{
		DetectedAt: now, Route: req.Route.Name, Instance: c.Broker.Instance.ID, Cause: cause,
		PrefillTokens: c.PrefillTokens, QueuedPrefillTokens: int(c.BacklogAhead), Load: c.Load, Reported: c.Broker.LastReport(),
	}
}
