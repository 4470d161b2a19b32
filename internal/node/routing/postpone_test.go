package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/admission"
)

// paced is a world that knows how long brokers take for a token: 20 us.
func paced(t *testing.T, brokers int) *world {
	w := newWorld(t, instances(brokers))
	for i := range 80 {
		w.read(w.begin(w.sized(200 + 40*i)))
	}
	assert.Assert(t, w.services[service].pool.PrefillPaceKnown())
	return w
}

// wait makes every broker have so many tokens to read, and tell of so many requests that wait.
func (w *world) wait(tokens, waiting int) {
	for id := range w.Router.brokers {
		w.PeerSentPrompt(w.now, SentPrompt{Instance: id, PrefillTokens: tokens})
		w.ObserveLoad(w.now, id, Load{Running: 9, Waiting: waiting, Slots: 64})
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
			w := paced(t, 4)
			w.wait(c.tokens, c.waiting)
			q := w.sized(c.size)
			q.ClientWait = c.left
			q.Deadline = w.now + c.left
			_, d := w.Begin(w.now, q)
			assert.Equal(t, d.Refusal != nil, c.postponed)
			if c.postponed {
				assert.Equal(t, d.Refusal.Reason, admission.Late)
				assert.Assert(t, d.Refusal.RetryAfter > c.minimum && d.Refusal.RetryAfter < c.maximum, "%v", d.Refusal.RetryAfter)
			}
		})
	}
}

// A request without a model is never sent back for what waits, nor one before the pace is known.
func TestNobodyIsPostponedBlindly(t *testing.T) {
	w := paced(t, 4)
	w.wait(60000, 5)
	assert.Assert(t, w.begin(w.request(safeRoute)) != nil)
	blind := newWorld(t, instances(4))
	blind.wait(60000, 5)
	assert.Assert(t, blind.begin(blind.sized(1000)) != nil)
}
