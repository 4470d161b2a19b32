package policy

import (
	"testing"
)

// A trial that this broker called off told nothing, yet kept a sound server aside for most of a day.
func TestCancelledTrialStaysDue(t *testing.T) {
	b, n := newTestPolicy(1, nil)
	b.eject(0, true, "test")
	s := b.servers[0]
	s.trialAt = 2500
	runSearch(b, 2500, 0, 1)
	wantInts(t, "trial", n.sent, 1)
	due := s.trialAt
	endLastAttempts(b, 2600, Cancelled, 1)
	failIf(t, s.trialAt != due, "a trial called off counts as failed")
}

// Trials each second were all that a broker sent to a server set aside, and as much as it sends to
// any.
func TestTrialsComeNoSoonerThanOrdinarySends(t *testing.T) {
	b, _ := newTestPolicy(20, nil)
	now := runAnsweredSearches(b, 1000, 90) // about one a server in two seconds
	b.eject(0, true, "test")
	first := b.servers[0].trialAt - now
	b.backOffTrial(b.servers[0])
	failIf(t, first < 1500 || first > 4000 || b.servers[0].trialBackoff < 1.5*first, "trials after %.0f and %.0f ms", first,
		b.servers[0].trialBackoff)
}

func TestPausedServerIsTriedSoonAndItsRequestsWait(t *testing.T) {
	b, n := newTestPolicy(1, nil)
	now := 1000.0
	for range 60 {
		runSearch(b, now, 500, 1)
		endLastAttempts(b, now+20, Answered, 501)
		now += 30
	}
	runSearch(b, now, 1, 1)
	for _, ms := range []float64{20, 40, 60} {
		endLastAttempts(b, now+ms, Answered)
	}
	failIf(t, !b.servers[0].ejected || !b.servers[0].unresponsive, "not silent after three times what it takes")
	sent := len(n.servers)
	runSearch(b, now+80, 10, 1)
	failIf(t, len(n.shed) > 0 || len(n.servers) != sent, "a search that a trial may serve in time: %d shed, %d sent", len(n.shed),
		len(n.servers)-sent)
	endLastAttempts(b, now+300, Answered)
	failIf(t, len(n.servers) != sent+1, "no trial 240 ms after it fell silent, where an answer takes 20")
}
