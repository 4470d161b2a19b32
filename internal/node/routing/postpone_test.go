package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/admission"
)

// newPacedFixture is a world that knows how long brokers take for a token: 20 us.
func newPacedFixture(t *testing.T, brokers int) *fixture {
	f := newFixture(t, instances(brokers))
	for i := range 80 {
		f.answerAfterPrefill(f.mustBegin(f.unsharedPrompt(200 + 40*i)))
	}
	assert.Assert(t, f.services[service].pool.PrefillPaceKnown())
	return f
}

// queueOnAllBrokers makes every broker have so many tokens to read, and tell of so many requests that wait.
func (f *fixture) queueOnAllBrokers(tokens, waiting int) {
	for id := range f.Router.brokers {
		f.PeerSentPrompt(f.now, SentPrompt{Instance: id, PrefillTokens: tokens})
		f.ObserveLoad(f.now, id, Load{Running: 9, Waiting: waiting, Slots: 64})
	}
}

// First tries that would be answered too late because of what waits are sent back (target: 300 ms).
func TestLateFirstAttemptsArePostponed(t *testing.T) {
	for _, c := range []struct {
		name             string
		tokens           int // that wait at each broker; 10,000 take 200 ms
		waiting          int // requests, by their word
		size             int
		left             time.Duration // of the client's 4 s
		postponed        bool
		minimum, maximum time.Duration // to come again after
	}{
		{"in time", 10000, 5, 1000, 4 * time.Second, false, 0, 0},
		{"late by what waits", 30000, 5, 1000, 4 * time.Second, true, 470 * ms, 630 * ms},
		{"late by its own size", 1000, 5, 30000, 4 * time.Second, false, 0, 0},
		{"no request waits, by the brokers' word", 30000, 0, 1000, 4 * time.Second, false, 0, 0},
		{"it came again", 30000, 5, 1000, 3500 * ms, false, 0, 0},
		{"too late to come again", 90000, 5, 1000, 4 * time.Second, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPacedFixture(t, 4)
			f.queueOnAllBrokers(c.tokens, c.waiting)
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

// A request without a model is never sent back for what waits, nor one before the pace is known.
func TestNobodyIsPostponedBlindly(t *testing.T) {
	f := newPacedFixture(t, 4)
	f.queueOnAllBrokers(60000, 5)
	assert.Assert(t, f.mustBegin(f.request(safeRoute)) != nil)
	blind := newFixture(t, instances(4))
	blind.queueOnAllBrokers(60000, 5)
	assert.Assert(t, blind.mustBegin(blind.unsharedPrompt(1000)) != nil)
}
