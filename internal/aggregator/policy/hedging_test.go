package policy

import (
	"math"
	"testing"
)

func TestHedgePastLatencyQuantileAndLoserCancelled(t *testing.T) {
	p, out := newTestPolicy(3, nil)
	now := runAnsweredSearches(p, 1000, 30)
	out.sent, out.servers, out.cancelled = nil, nil, nil
	runSearch(p, now, 0, 4)
	endLastAttempts(p, now+90, Answered)
	wantInts(t, "sent before the latency quantile", out.sent, 1, 2, 3, 4)
	endLastAttempts(p, now+160, Answered)
	failIf(t, len(out.sent) != 5 || out.servers[4] == out.servers[0],
		"sent %v to %v: want one hedge for a tenth of four requests, rounded up, to another server", out.sent, out.servers)
	endLastAttempts(p, now+170, Answered, out.sent[4])
	wantInts(t, "cancelled after the hedge was answered", out.cancelled, out.sent[4])
}

// The false submit rate, which sets the quantile for hedges, is the share of slow answers among those
// predicted fast.
func TestFalseSubmitRateIsMeasured(t *testing.T) {
	p, _ := newTestPolicy(1, nil)
	for i := range 100 {
		p.predictor.train(1000, &attemptState{features: vector{1}, predictedFast: true}, i < 7)
	}
	if got := p.predictor.falseSubmitRate(1000); math.Abs(got-0.07) > 1e-9 {
		t.Fatalf("false submit rate %.3f, want 0.07", got)
	}
}
