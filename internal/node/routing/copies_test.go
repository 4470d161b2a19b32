package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// late begins a request that gets no answer by the time at which a copy is due.
func (w *world) late(q Request) *Attempt {
	w.t.Helper()
	a := w.begin(q)
	if a.CopyAt != core.Never {
		w.now = a.CopyAt
	}
	return a
}

// The design's copy: one, of what may be repeated, past pX of its class, within maxAttempts.
func TestCopy(t *testing.T) {
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
			a := w.late(w.request(c.route))
			assert.Equal(t, a.CopyAt != core.Never, c.want)
			d := w.Copy(w.now, a.Request)
			assert.Equal(t, d.Attempt != nil, c.want)
			if !c.want {
				return
			}
			assert.Assert(t, a.CopyAt-from >= 17*ms && a.CopyAt-from < 40*ms, "copied after %v", a.CopyAt-from)
			assert.Assert(t, d.Attempt.Instance != a.Instance)
			assert.Equal(t, d.Attempt.CopyAt, core.Never)
			assert.Assert(t, w.Copy(w.now+time.Second, a.Request) == Decision{}, "a second copy")
		})
	}
}

func TestNoCopyOnceAnAnswerHasBegun(t *testing.T) {
	w := newWorld(t, instances(4))
	w.warm(safeRoute, 60, 10*ms)
	a := w.late(w.request(safeRoute))
	w.Started(w.now, a.Request, a.Number, nil)
	assert.Assert(t, w.Copy(w.now, a.Request) == Decision{})
}

// Where all are slow, a copy takes from another request what it gives to its own; a hang is copied all the same.
func TestNoCopyInACrowd(t *testing.T) {
	w := newWorld(t, instances(4))
	w.warm(safeRoute, 60, 10*ms)
	w.warm(safeRoute, 200, 60*ms)
	w.now += time.Second
	w.warm(safeRoute, 40, 60*ms)
	a := w.late(w.request(safeRoute))
	assert.Assert(t, w.services[service].pool.Crowded())
	assert.Assert(t, w.Copy(w.now, a.Request) == Decision{})
	w.now += 3 * time.Second
	assert.Assert(t, w.Copy(w.now, a.Request).Attempt != nil)
}
