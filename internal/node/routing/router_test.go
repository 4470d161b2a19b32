package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Whether a retry, a refusal or nothing follows an attempt depends on the kind of the route and on the
// outcome (RULES.md, TWICE, REFUSED, BUDGET).
func TestDecisionAfterAnAttempt(t *testing.T) {
	type decisionKind int
	const (
		nothing decisionKind = iota
		attempt
		refusal
	)
	for _, c := range []struct {
		name    string
		request func(*fixture) Request
		outcome Outcome
		want    decisionKind
	}{
		{"safe, full", func(f *fixture) Request { return f.request(safeRoute) }, outcomeFull, attempt},
		{"safe, unreachable", func(f *fixture) Request { return f.request(safeRoute) }, outcomeUnreachable, attempt},
		{"safe, misdirected", func(f *fixture) Request { return f.request(safeRoute) }, outcomeMisdirected, attempt},
		{"safe, reset", func(f *fixture) Request { return f.request(safeRoute) }, outcomeReset, attempt},
		{"safe, 500", func(f *fixture) Request { return f.request(safeRoute) }, outcomeFailure, attempt},
		{"unsafe, full", func(f *fixture) Request { return f.request(unsafeRoute) }, outcomeFull, attempt},
		{"unsafe, unreachable", func(f *fixture) Request { return f.request(unsafeRoute) }, outcomeUnreachable, attempt},
		{"unsafe, misdirected", func(f *fixture) Request { return f.request(unsafeRoute) }, outcomeMisdirected, attempt},
		{"unsafe, reset", func(f *fixture) Request { return f.request(unsafeRoute) }, outcomeReset, nothing},
		{"unsafe, 500", func(f *fixture) Request { return f.request(unsafeRoute) }, outcomeFailure, nothing},
		{"stream, full", func(f *fixture) Request { return f.prompt(streamRoute, 7) }, outcomeFull, attempt},
		{"stream, reset", func(f *fixture) Request { return f.prompt(streamRoute, 7) }, outcomeReset, nothing},
		{"resumable stream, reset", func(f *fixture) Request { return f.prompt(resumableRoute, 7) }, outcomeReset, attempt},
		{"safe, too late", func(f *fixture) Request {
			q := f.request(safeRoute)
			q.Deadline = f.now + 40*ms
			return q
		}, outcomeFull, refusal},
		{"safe, too late and may have run", func(f *fixture) Request {
			q := f.request(safeRoute)
			q.Deadline = f.now + 40*ms
			return q
		}, outcomeReset, nothing},
		{"unsafe, too late and may have run", func(f *fixture) Request {
			q := f.request(unsafeRoute)
			q.Deadline = f.now + 40*ms
			return q
		}, outcomeReset, nothing},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(4))
			f.serveRequests(safeRoute, 40, 10*ms)
			first := f.mustBegin(c.request(f))
			f.now += 30 * ms
			d := f.AttemptEnded(f.now, first.Request, first.Number, c.outcome, false)
			got := nothing
			switch {
			case d.Attempt != nil:
				got = attempt
				assert.Assert(t, d.Attempt.Instance != first.Instance)
			case d.Refusal != nil:
				got = refusal
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// End removes all state of a request, and later events of it are ignored.
func TestNothingIsPendingAfterTheEnd(t *testing.T) {
	f := newFixture(t, instances(3))
	a := f.mustBegin(f.request(safeRoute))
	assert.Equal(t, f.PendingRequests(), 1)
	f.End(f.now, a.Request)
	assert.Equal(t, f.PendingRequests(), 0)
	assert.Equal(t, f.Router.brokers[a.Instance.ID].InFlight(), 0)
	f.AnswerStarted(f.now, a.Request, a.Number, nil)
	assert.Equal(t, f.AttemptEnded(f.now, a.Request, a.Number, outcomeFull, false), Decision{})
}
