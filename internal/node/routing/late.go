package routing

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
)

// Why answers of model brokers were late is counted by cause, and the newest ones are kept with what was believed of their broker, so
// that on-call can tell a wrong choice from a broker that did not do what was expected of it.

// LateCause says why an answer was late.
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

// lateKept bounds the late answers that are kept.
const lateKept = 32

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

// noteFirst counts an answer whose first event came later than its route's target.
func (r *Router) noteFirst(now core.Time, req *request, a *attempt) {
	target := units.FromMilliseconds(req.Route.TargetLatencyMs)
	if req.model == "" || target <= 0 || now-req.Received <= target {
		return
	}
	perToken := req.pool.perToken(a.broker)
	expected := units.FromMilliseconds(perToken * a.ahead)
	cause := LateUnforeseen
	switch {
	case a.sentAt-req.Received > target/2:
		cause = LateByAttempts
	case expected > target && perToken*float64(a.unread) > req.Route.TargetLatencyMs/2:
		cause = LateByReading
	case expected > target:
		cause = LateByWaiting
	}
	late := describeLate(now, req, a, cause)
	late.First = now - req.Received
	a.late = true
	r.late.add(late)
}

// notePauses counts an answer with a pause that is longer than its route allows, unless its first event was late already.
func (r *Router) notePauses(now core.Time, req *request, a *attempt, pauses Pauses) {
	allowed := units.FromMilliseconds(req.Route.GapTargetMs)
	if req.model == "" || allowed <= 0 || pauses.Longest <= allowed || a.late {
		return
	}
	largest := a.broker.longReads.largest(a.sentAt-longReadLead, now)
	cause := LateByOtherPause
	if largest > 0 {
		cause = LateByLongPrompt
	}
	late := describeLate(now, req, a, cause)
	late.Pause, late.LongestOther = pauses.Longest, largest
	r.late.add(late)
}

func describeLate(now core.Time, req *request, a *attempt, cause LateCause) LateRequest {
	return LateRequest{
		At: now, Route: req.Route.Name, Instance: a.broker.instance.ID, Cause: cause,
		Unread: a.unread, Ahead: int(a.ahead), Load: a.load, Reported: a.broker.report.load,
	}
}

// countPrompt counts the shared tokens of a prompt by where they were expected to come from when it was sent.
func (r *Router) countPrompt(req *request, chosen *candidate, out *Attempt) {
	shared := prompt.SharedTokens(req.Parts)
	held := min(chosen.kept, shared)
	coming := max(min(chosen.coming, shared)-held, 0)
	missing := shared - held - coming
	moved := max(missing-chosen.anew, 0)
	counts := &r.counters.Prompts
	counts.Shared += uint64(shared)
	counts.Held += uint64(held)
	counts.Coming += uint64(coming)
	if out.FetchFrom != "" && r.stores[out.FetchFrom] != nil {
		counts.FromStore += uint64(moved)
	} else {
		counts.FromBroker += uint64(moved)
	}
	counts.Again += uint64(chosen.again)
	counts.First += uint64(max(missing-moved-chosen.again, 0))
	if out.FetchFrom != "" && moved == 0 {
		counts.BlindFetches++
	}
}
