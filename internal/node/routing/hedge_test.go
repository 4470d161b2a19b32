package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// awaitHedge begins a request that gets no answer by the time at which it is hedged.
func (w *world) awaitHedge(q Request) *Attempt {
	w.t.Helper()
	a := w.begin(q)
	if a.HedgeAt != core.Never {
		w.now = a.HedgeAt
	}
	return a
}

// The design's hedged request: one, of idempotent requests, past pX of its class, within
// maxAttempts.
func TestHedgeOfIdempotentRequests(t *testing.T) {
	single := *safeRoute
	single.MaxAttempts = 1
	for _, c := range []struct {
		name  string
		route *config.Route
		want  bool
	}{
		{"safe", safeRoute, true},
		{"resumable stream", againRoute, true},
		{"unsafe", onceRoute, false},
		{"stream", flowRoute, false},
		{"one attempt allowed", &single, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, instances(4))
			for i := range 60 {
				w.serve(w.begin(w.request(c.route)), core.Time(10+i%10)*ms)
			}
			from := w.now
			a := w.awaitHedge(w.request(c.route))
			assert.Equal(t, a.HedgeAt != core.Never, c.want)
			d := w.Hedge(w.now, a.Request)
			assert.Equal(t, d.Attempt != nil, c.want)
			if !c.want {
				return
			}
			assert.Assert(t, a.HedgeAt-from >= 17*ms && a.HedgeAt-from < 40*ms, "hedged after %v", a.HedgeAt-from)
			assert.Assert(t, d.Attempt.Instance != a.Instance)
			assert.Equal(t, d.Attempt.HedgeAt, core.Never)
			assert.Assert(t, w.Hedge(w.now+time.Second, a.Request) == Decision{}, "a second hedge")
		})
	}
}

func TestNoHedgeOnceAnAnswerHasBegun(t *testing.T) {
	w := newWorld(t, instances(4))
	w.warm(safeRoute, 60, 10*ms)
	a := w.awaitHedge(w.request(safeRoute))
	w.Started(w.now, a.Request, a.Number, nil)
	assert.Assert(t, w.Hedge(w.now, a.Request) == Decision{})
}

// Where all are slow, a hedged request takes from another what it gives to its own; a timeout is
// hedged all the same.
func TestNoHedgeWhereAllAreSlow(t *testing.T) {
	w := newWorld(t, instances(4))
	w.warm(safeRoute, 60, 10*ms)
	w.warm(safeRoute, 200, 60*ms)
	w.now += time.Second
	w.warm(safeRoute, 40, 60*ms)
	a := w.awaitHedge(w.request(safeRoute))
	assert.Assert(t, w.services[service].pool.Crowded())
	assert.Assert(t, w.Hedge(w.now, a.Request) == Decision{})
	w.now += 3 * time.Second
	assert.Assert(t, w.Hedge(w.now, a.Request).Attempt != nil)
}
