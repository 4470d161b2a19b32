package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// beginAndAwaitHedge begins a request and moves the clock to the time at which it may be hedged.
func (f *fixture) beginAndAwaitHedge(q Request) *Attempt {
	f.t.Helper()
	a := f.mustBegin(q)
	if a.HedgeAt != core.Never {
		f.now = a.HedgeAt
	}
	return a
}

// Only idempotent requests are hedged, once, after a high percentile of the latencies of their class, and
// within the route's MaxAttempts.
func TestHedgeOfIdempotentRequests(t *testing.T) {
	single := *safeRoute
	single.MaxAttempts = 1
	for _, c := range []struct {
		name  string
		route *config.Route
		want  bool
	}{
		{"safe", safeRoute, true},
		{"resumable stream", resumableRoute, true},
		{"unsafe", unsafeRoute, false},
		{"stream", streamRoute, false},
		{"one attempt allowed", &single, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(4))
			for i := range 60 {
				f.answerAfter(f.mustBegin(f.request(c.route)), core.Time(10+i%10)*ms)
			}
			from := f.now
			a := f.beginAndAwaitHedge(f.request(c.route))
			assert.Equal(t, a.HedgeAt != core.Never, c.want)
			d := f.Hedge(f.now, a.Request)
			assert.Equal(t, d.Attempt != nil, c.want)
			if !c.want {
				return
			}
			assert.Assert(t, a.HedgeAt-from >= 17*ms && a.HedgeAt-from < 40*ms, "hedged after %v", a.HedgeAt-from)
			assert.Assert(t, d.Attempt.Instance != a.Instance)
			assert.Equal(t, d.Attempt.HedgeAt, core.Never)
			assert.Assert(t, f.Hedge(f.now+time.Second, a.Request) == Decision{}, "a second hedge")
		})
	}
}

func TestNoHedgeOnceAnAnswerHasBegun(t *testing.T) {
	f := newFixture(t, instances(4))
	f.serveRequests(safeRoute, 60, 10*ms)
	a := f.beginAndAwaitHedge(f.request(safeRoute))
	f.AnswerStarted(f.now, a.Request, a.Number, nil)
	assert.Assert(t, f.Hedge(f.now, a.Request) == Decision{})
}

// While all brokers are slow, requests aren't hedged, because that would delay other requests. A request
// whose broker timed out is hedged nevertheless.
func TestNoHedgeWhileAllAreSlow(t *testing.T) {
	f := newFixture(t, instances(4))
	f.serveRequests(safeRoute, 60, 10*ms)
	f.serveRequests(safeRoute, 200, 60*ms)
	f.now += time.Second
	f.serveRequests(safeRoute, 40, 60*ms)
	a := f.beginAndAwaitHedge(f.request(safeRoute))
	assert.Assert(t, f.services[service].pool.FleetSlow())
	assert.Assert(t, f.Hedge(f.now, a.Request) == Decision{})
	f.now += 3 * time.Second
	assert.Assert(t, f.Hedge(f.now, a.Request).Attempt != nil)
}
