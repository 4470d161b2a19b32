package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/brokerstate"
)

// A request is refused only while every broker is full, with a Retry-After of at most a third of the
// time that is left.
func TestRefusedWhileAllBrokersAreFull(t *testing.T) {
	f := newFixture(t, instances(2))
	refusedByBroker := func() Decision {
		q := f.request(unsafeRoute)
		q.Urgency = 1
		a := f.mustBegin(q)
		d := f.AttemptEnded(f.now, a.Request, a.Number, outcomeFull, false)
		f.End(f.now, a.Request)
		return d
	}
	assert.Assert(t, refusedByBroker().Attempt != nil)
	q := f.request(unsafeRoute)
	q.Urgency = 1
	a := f.mustBegin(q)
	f.AttemptEnded(f.now, a.Request, a.Number, outcomeFull, false)
	_, d := f.Begin(f.now, q)
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.ReasonBrokersFull)
	assert.Assert(t, d.Refusal.RetryAfter > 0 && d.Refusal.RetryAfter <= (q.Deadline-f.now)/3)

	f.now += brokerstate.RefusalBackoff * 6 / 10
	_, d = f.Begin(f.now, q)
	assert.Assert(t, d.Refusal != nil)
	urgent := f.request(unsafeRoute)
	assert.Assert(t, f.mustBegin(urgent) != nil, "the backoff of the most urgent requests is shorter")
	f.now += brokerstate.RefusalBackoff
	assert.Assert(t, f.mustBegin(q) != nil)
}

// Brokers that drain or load weights get no attempt (RULES.md, DRAIN). Brokers that miss heartbeats to
// the registry get one only if no other broker is usable.
func TestOnlyUsableBrokers(t *testing.T) {
	list := instances(4)
	list[0].State = registry.Draining
	list[1].Loading = true
	list[2].Unresponsive = true
	f := newFixture(t, list)
	for range 20 {
		a := f.mustBegin(f.request(safeRoute))
		assert.Equal(t, a.Instance.ID, list[3].ID)
		f.answerAfter(a, 5*ms)
	}
	f.SetTable(f.now, tableOf(list[:3]...))
	a := f.mustBegin(f.request(unsafeRoute))
	assert.Equal(t, a.Instance.ID, list[2].ID, "an unresponsive broker is better than none")
	f.SetTable(f.now, tableOf(list[:2]...))
	_, d := f.Begin(f.now, f.request(safeRoute))
	assert.Equal(t, d.Refusal.Reason, admission.ReasonNoBroker)
}

// An unsafe request isn't sent to a broker that doesn't answer: it would be lost there. It is refused,
// so that another proxy may serve it.
func TestUnsafeRequestsAvoidUnresponsiveBrokers(t *testing.T) {
	f := newFixture(t, instances(1))
	f.serveRequests(safeRoute, 40, 10*ms)
	lost := f.mustBegin(f.request(unsafeRoute))
	f.now += 3 * time.Second
	_, d := f.Begin(f.now, f.request(unsafeRoute))
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.ReasonBrokersUnhealthy)
	f.AnswerStarted(f.now, lost.Request, lost.Number, nil)
	assert.Assert(t, f.mustBegin(f.request(unsafeRoute)) != nil, "a late answer shows that the broker responds")
}

// After a pause of this process, missing answers don't count as timeouts of brokers.
func TestPausedProcessEjectsNoBroker(t *testing.T) {
	f := newFixture(t, instances(1))
	f.serveRequests(safeRoute, 40, 10*ms)
	f.mustBegin(f.request(unsafeRoute))
	f.now += 3 * time.Second
	f.RecordProcessPause(f.now)
	assert.Assert(t, f.mustBegin(f.request(unsafeRoute)) != nil)
}

func TestPriorityHeader(t *testing.T) {
	for urgency, want := range []int{0, 3, 6, 9, 9} {
		assert.Equal(t, priorityHeader(urgency), want)
	}
}
