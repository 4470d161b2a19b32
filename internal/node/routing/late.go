package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/units"
)

// LateCause is why an answer of a model broker was late. Late answers are counted by cause, and the
// newest are kept with the state that was assumed of their broker. They show the engineer on call
// whether the router chose the wrong broker or the broker was slower than expected.
type LateCause string

// The causes of late answers. Their texts are part of the node's status and stay as they are.
const (
	// LateByAttempts: more than half of the target had passed before the attempt that answered was sent.
	LateByAttempts LateCause = "earlier attempts"
	// LateByBacklog: the first event was expected late at the send, mainly because of other prompts.
	LateByBacklog LateCause = "waited for other prompts"
	// LateByPrefill: the first event was expected late at the send, and prefilling the request's own
	// prompt was expected to take more than half of the target.
	LateByPrefill LateCause = "its prompt was long"
	// LateUnexpected: the first event was expected in time at the send.
	LateUnexpected LateCause = "first event unforeseen"
	// LateByLongPrefill: a gap between events was too long, and a long prompt had been sent to the broker
	// during the stream or within longPromptLead before it.
	LateByLongPrefill LateCause = "pause: a long prompt was read"
	// LateByUnexplainedGap: a gap between events was too long, and no cause is known.
	LateByUnexplainedGap LateCause = "pause: nothing known"
)

// LateRequest describes an answer that was late, with the state that was assumed of its broker at the
// send.
type LateRequest struct {
	DetectedAt          core.Time // when the router learned of it
	Route               string
	Instance            string
	Cause               LateCause
	FirstEvent          core.Time // from the receipt of the request to the first event
	MaxGap              core.Time // longest gap between two events; 0: not known yet
	PrefillTokens       int       // tokens of its prompt that the broker had to prefill
	QueuedPrefillTokens int       // tokens that the broker had to prefill before the first event, PrefillTokens included
	LongestOtherPrompt  int       // tokens of the longest prompt that was sent to the broker meanwhile
	Load                float64   // estimated load of the broker at the send
	Reported            Load      // the broker's last load report
}

const (
	maxRecentLate = 32 // number of the newest late answers that are kept
	// longPromptLead is how long before a stream a prompt may have been sent whose prefill can still
	// delay the stream's events.
	longPromptLead = 500 * time.Millisecond
)

// recentLateAnswers counts late answers by cause and keeps the newest.
type recentLateAnswers struct {
	counts map[LateCause]uint64
	newest []LateRequest // ring buffer of at most maxRecentLate
	next   int           // index of the oldest in a full ring, which is overwritten next
}

// add counts a late answer and stores it, in place of the oldest if the ring is full.
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

// list returns the late answers that are kept, the oldest first.
func (l *recentLateAnswers) list() []LateRequest {
	return append(slices.Clone(l.newest[l.next:]), l.newest[:l.next]...)
}

// LateAnswers returns the newest late answers, the oldest first.
func (r *Router) LateAnswers() []LateRequest { return r.lateAnswers.list() }

// recordLateFirstEvent records an answer if its first event came later than its route's target, and
// determines the cause.
func (r *Router) recordLateFirstEvent(now core.Time, req *request, c *brokerstate.Call) {
	target := units.FromMilliseconds(req.Route.TargetLatencyMs)
	if req.ServedModel == "" || target <= 0 || now-req.Received <= target {
		return
	}
	perToken := req.Pool.PrefillTimePerToken(c.Broker)
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

// recordLateGap records an answer if it has a longer gap between events than its route allows, unless
// its first event was late already.
func (r *Router) recordLateGap(now core.Time, req *request, c *brokerstate.Call, gaps EventGaps) {
	allowed := units.FromMilliseconds(req.Route.GapTargetMs)
	if req.ServedModel == "" || allowed <= 0 || gaps.Max <= allowed || c.Late {
		return
	}
	largest := c.Broker.LongPrompts.Largest(c.SentAt-longPromptLead, now)
	cause := LateByUnexplainedGap
	if largest > 0 {
		cause = LateByLongPrefill
	}
	late := newLateRequest(now, req, c, cause)
	late.MaxGap, late.LongestOtherPrompt = gaps.Max, largest
	r.lateAnswers.add(late)
}

// newLateRequest returns the description of a late answer, with the state that was assumed of its
// broker at the send.
func newLateRequest(now core.Time, req *request, c *brokerstate.Call, cause LateCause) LateRequest {
	return LateRequest{
		DetectedAt: now, Route: req.Route.Name, Instance: c.Broker.Instance.ID, Cause: cause,
		PrefillTokens: c.PrefillTokens, QueuedPrefillTokens: int(c.BacklogAhead), Load: c.Load, Reported: c.Broker.LastReport(),
	}
}
