package policy

import (
	"math"
	"testing"
)

func TestHedgePastLatencyQuantileAndLoserCancelled(t *testing.T) {
	b, n := newTestPolicy(3, nil)
	now := runAnsweredSearches(b, 1000, 30)
	n.sent, n.servers, n.cancelled = nil, nil, nil
	runSearch(b, now, 0, 4)
	endLastAttempts(b, now+90, Answered)
	wantInts(t, "before the share", n.sent, 1, 2, 3, 4)
	endLastAttempts(b, now+160, Answered)
	failIf(t, len(n.sent) != 5 || n.servers[4] == n.servers[0], "sent %v to %v: want one hedge for a tenth of four requests, rounded up, to another server", n.sent, n.servers)
	endLastAttempts(b, now+170, Answered, n.sent[4])
	wantInts(t, "cancelled", n.cancelled, n.sent[4])
}

func TestFalseSubmitsLowerTheHedgeShare(t *testing.T) {
	b, _ := newTestPolicy(1, nil)
	for i := range 100 {
		b.predictor.train(1000, &attemptState{features: vector{1}, predictedFast: true}, i < 7)
	}
	if got := b.predictor.falseSubmitRate(1000); math.Abs(got-0.07) > 1e-9 {
		t.Fatalf("false-submit rate %.3f, want 0.07", got)
	}
}
