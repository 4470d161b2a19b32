package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// RULES.md TWICE, REFUSED, BUDGET: what may follow an attempt, by the kind of route and by what is
// known of it.
func TestWhatFollowsAnAttempt(t *testing.T) {
	type next int
	const (
		nothing next = iota
		attempt
		refusal
	)
	for _, c := range []struct {
		name    string
		request func(*world) Request
		outcome Outcome
		want    next
	}{
		{"safe, full", func(w *world) Request { return w.request(safeRoute) }, outcomeFull, attempt},
		{"safe, unreachable", func(w *world) Request { return w.request(safeRoute) }, outcomeUnreachable, attempt},
		{"safe, misdirected", func(w *world) Request { return w.request(safeRoute) }, outcomeMisdirected, attempt},
		{"safe, reset", func(w *world) Request { return w.request(safeRoute) }, outcomeReset, attempt},
		{"safe, 500", func(w *world) Request { return w.request(safeRoute) }, outcomeFailure, attempt},
		{"unsafe, full", func(w *world) Request { return w.request(onceRoute) }, outcomeFull, attempt},
		{"unsafe, unreachable", func(w *world) Request { return w.request(onceRoute) }, outcomeUnreachable, attempt},
		{"unsafe, misdirected", func(w *world) Request { return w.request(onceRoute) }, outcomeMisdirected, attempt},
		{"unsafe, reset", func(w *world) Request { return w.request(onceRoute) }, outcomeReset, nothing},
		{"unsafe, 500", func(w *world) Request { return w.request(onceRoute) }, outcomeFailure, nothing},
		{"stream, full", func(w *world) Request { return w.prompt(flowRoute, 7) }, outcomeFull, attempt},
		{"stream, reset", func(w *world) Request { return w.prompt(flowRoute, 7) }, outcomeReset, nothing},
		{"resumable stream, reset", func(w *world) Request { return w.prompt(againRoute, 7) }, outcomeReset, attempt},
		{"safe, too late", func(w *world) Request {
			q := w.request(safeRoute)
			q.Deadline = w.now + 40*ms
			return q
		}, outcomeFull, refusal},
		{"safe, too late and may have run", func(w *world) Request {
			q := w.request(safeRoute)
			q.Deadline = w.now + 40*ms
			return q
		}, outcomeReset, nothing},
		{"unsafe, too late and may have run", func(w *world) Request {
			q := w.request(onceRoute)
			q.Deadline = w.now + 40*ms
			return q
		}, outcomeReset, nothing},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, instances(4))
			w.warm(safeRoute, 40, 10*ms)
			first := w.begin(c.request(w))
			w.now += 30 * ms
			d := w.Finished(w.now, first.Request, first.Number, c.outcome, false)
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

func TestNothingIsPendingAfterTheEnd(t *testing.T) {
	w := newWorld(t, instances(3))
	a := w.begin(w.request(safeRoute))
	assert.Equal(t, w.Pending(), 1)
	w.End(w.now, a.Request)
	assert.Equal(t, w.Pending(), 0)
	assert.Equal(t, w.Router.brokers[a.Instance.ID].InFlight(), 0)
	w.Started(w.now, a.Request, a.Number, nil)
	assert.Equal(t, w.Finished(w.now, a.Request, a.Number, outcomeFull, false), Decision{})
}
