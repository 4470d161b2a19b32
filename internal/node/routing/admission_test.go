package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/brokerstate"
)

// A request is refused only when every broker's places are taken, and is told to come back in a
// third of its time.
func TestRefusedWhenAllAreFull(t *testing.T) {
	w := newWorld(t, instances(2))
	rejectFirst := func() Decision {
		q := w.request(onceRoute)
		q.Urgency = 1
		a := w.begin(q)
		d := w.Finished(w.now, a.Request, a.Number, outcomeFull, false)
		w.End(w.now, a.Request)
		return d
	}
	assert.Assert(t, rejectFirst().Attempt != nil)
	q := w.request(onceRoute)
	q.Urgency = 1
	a := w.begin(q)
	w.Finished(w.now, a.Request, a.Number, outcomeFull, false)
	_, d := w.Begin(w.now, q)
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.Full)
	assert.Assert(t, d.Refusal.RetryAfter > 0 && d.Refusal.RetryAfter <= (q.Deadline-w.now)/3)

	w.now += brokerstate.RefusalBackoff * 6 / 10
	_, d = w.Begin(w.now, q)
	assert.Assert(t, d.Refusal != nil)
	urgent := w.request(onceRoute)
	assert.Assert(t, w.begin(urgent) != nil, "the most urgent try sooner")
	w.now += brokerstate.RefusalBackoff
	assert.Assert(t, w.begin(q) != nil)
}

// Brokers that leave or load take nothing: no attempt goes there (RULES.md, DRAIN).
func TestOnlyUsableBrokers(t *testing.T) {
	list := instances(4)
	list[0].State = registry.Draining
	list[1].Loading = true
	list[2].Unresponsive = true
	w := newWorld(t, list)
	for range 20 {
		a := w.begin(w.request(safeRoute))
		assert.Equal(t, a.Instance.ID, list[3].ID)
		w.serve(a, 5*ms)
	}
	w.SetTable(w.now, tableOf(list[:3]...))
	a := w.begin(w.request(onceRoute))
	assert.Equal(t, a.Instance.ID, list[2].ID, "one that the registry misses is better than none")
	w.SetTable(w.now, tableOf(list[:2]...))
	_, d := w.Begin(w.now, w.request(safeRoute))
	assert.Equal(t, d.Refusal.Reason, admission.NoBroker)
}

// An unsafe request isn't thrown after others that got no answer: it is promised not to have run,
// and may be served elsewhere.
func TestUnsafeRequestAndHangingBrokers(t *testing.T) {
	w := newWorld(t, instances(1))
	w.warm(safeRoute, 40, 10*ms)
	lost := w.begin(w.request(onceRoute))
	w.now += 3 * time.Second
	_, d := w.Begin(w.now, w.request(onceRoute))
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.Unhealthy)
	w.Started(w.now, lost.Request, lost.Number, nil)
	assert.Assert(t, w.begin(w.request(onceRoute)) != nil, "a late answer is a sign of life")
}

// What this process did not hear while it stood still is no silence of brokers.
func TestResumedProcessBlamesNobody(t *testing.T) {
	w := newWorld(t, instances(1))
	w.warm(safeRoute, 40, 10*ms)
	w.begin(w.request(onceRoute))
	w.now += 3 * time.Second
	w.Resumed(w.now)
	assert.Assert(t, w.begin(w.request(onceRoute)) != nil)
}

func TestPriorityHeader(t *testing.T) {
	for urgency, want := range []int{0, 3, 6, 9, 9} {
		assert.Equal(t, priorityHeader(urgency), want)
	}
}
