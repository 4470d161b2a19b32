package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/admission"
)

// newPacedFixture returns a fixture whose router has learned how long brokers take to prefill a token: 20 µs.
func newPacedFixture(t *testing.T, brokers int) *fixture {
	f := newFixture(t, instances(brokers))
	for i := range 80 {
		f.answerAfterPrefill(f.mustBegin(f.unsharedPrompt(200 + 40*i)))
	}
	assert.Assert(t, f.services[service].pool.PrefillTimeKnown())
	return f
}

// queueOnAllBrokers adds tokens to the backlog of every broker, and has each report waiting requests.
func (f *fixture) queueOnAllBrokers(tokens, waiting int) {
	for id := range f.Router.brokers {
		f.RecordPeerPrompt(f.now, SentPrompt{Instance: id, PrefillTokens: tokens})
		f.ObserveLoad(f.now, id, Load{Running: 9, Waiting: waiting, Slots: 64})
	}
}

// First tries that would be answered late because of the brokers' backlog are postponed. The target is 300 ms.
func TestLateFirstAttemptsArePostponed(t *testing.T) {
	for _, c := range []struct {
		name             string
		backlog          int           // tokens at each broker; 10,000 take 200 ms
		waiting          int           // requests that each broker reports
		size             int           // tokens of the prompt
		left             time.Duration // of the client's 4 s
		postponed        bool
		minimum, maximum time.Duration // bounds of Retry-After
	}{
		{"in time", 10000, 5, 1000, 4 * time.Second, false, 0, 0},
		{"late because of the backlog", 30000, 5, 1000, 4 * time.Second, true, 470 * ms, 630 * ms},
		{"late because of its own size", 1000, 5, 30000, 4 * time.Second, false, 0, 0},
		{"late, but brokers report no waiting requests", 30000, 0, 1000, 4 * time.Second, false, 0, 0},
		{"second try", 30000, 5, 1000, 3500 * ms, false, 0, 0},
		{"too little time left for a second try", 90000, 5, 1000, 4 * time.Second, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPacedFixture(t, 4)
			f.queueOnAllBrokers(c.backlog, c.waiting)
			q := f.unsharedPrompt(c.size)
			q.ClientWait = c.left
			q.Deadline = f.now + c.left
			_, d := f.Begin(f.now, q)
			assert.Equal(t, d.Refusal != nil, c.postponed)
			if c.postponed {
				assert.Equal(t, d.Refusal.Reason, admission.ReasonPostponed)
				assert.Assert(t, d.Refusal.RetryAfter > c.minimum && d.Refusal.RetryAfter < c.maximum, "%v", d.Refusal.RetryAfter)
			}
		})
	}
}

// Requests without a model are never postponed, and no request is before the prefill pace is known.
func TestNoPostponingWithoutModelOrPace(t *testing.T) {
	f := newPacedFixture(t, 4)
	f.queueOnAllBrokers(60000, 5)
	assert.Assert(t, f.mustBegin(f.request(safeRoute)) != nil)
	unpaced := newFixture(t, instances(4))
	unpaced.queueOnAllBrokers(60000, 5)
	assert.Assert(t, unpaced.mustBegin(unpaced.unsharedPrompt(1000)) != nil)
}
