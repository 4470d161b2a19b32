package policy

import (
	"testing"
)

// Guards against a cancelled trial counting as a failed one, which kept a healthy server ejected
// for most of a day.
func TestCancelledTrialStaysDue(t *testing.T) {
	p, out := newTestPolicy(1, nil)
	p.eject(0, true, "test")
	s := p.servers[0]
	s.trialAt = 2500
	runSearch(p, 2500, 0, 1)
	wantInts(t, "sent as a trial", out.sent, 1)
	trialAt := s.trialAt
	endLastAttempts(p, 2600, Cancelled, 1)
	failIf(t, s.trialAt != trialAt, "a cancelled trial counts as failed: the next is at %.0f, want %.0f", s.trialAt, trialAt)
}

// Guards against trials every second in a large fleet, where an aggregator sends no more than that
// to any server: an ejected server got as many attempts as the others.
func TestTrialIntervalIsAtLeastTheSendInterval(t *testing.T) {
	p, _ := newTestPolicy(20, nil)
	now := runAnsweredSearches(p, 1000, 90) // about one attempt per server in two seconds
	p.eject(0, true, "test")
	first := p.servers[0].trialAt - now
	p.backOffTrial(p.servers[0])
	failIf(t, first < 1500 || first > 4000 || p.servers[0].trialBackoff < 1.5*first, "trials after %.0f and %.0f ms", first,
		p.servers[0].trialBackoff)
}

// A server that only paused gets its first trial soon, and searches that the trial can serve in time wait
// for it.
func TestPausedServerIsTriedSoonAndItsRequestsWait(t *testing.T) {
	p, out := newTestPolicy(1, nil)
	now := 1000.0
	for range 60 {
		runSearch(p, now, 500, 1)
		endLastAttempts(p, now+20, Answered, 501)
		now += 30
	}
	runSearch(p, now, 1, 1)
	for _, ms := range []float64{20, 40, 60} {
		endLastAttempts(p, now+ms, Answered)
	}
	failIf(t, !p.servers[0].ejected || !p.servers[0].unresponsive, "not ejected as unresponsive after three times its usual latency")
	sent := len(out.servers)
	runSearch(p, now+80, 10, 1)
	failIf(t, len(out.shed) > 0 || len(out.servers) != sent,
		"a search that the trial may serve in time: %d shed, %d sent, want it to wait", len(out.shed), len(out.servers)-sent)
	endLastAttempts(p, now+300, Answered)
	failIf(t, len(out.servers) != sent+1, "no trial 240 ms after the ejection though answers take 20 ms")
}
