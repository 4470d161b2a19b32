package policy

import (
	"testing"
)

func TestRequestsOfOneRoundShareABatch(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	runSearch(b, 1000, 0, 4)
	for _, to := range n.servers[1:] {
		failIf(t, to != n.servers[0], "requests went to %v: joining an open call adds nothing to what is in flight", n.servers)
	}
	if s := b.servers[n.servers[0]]; s.batches != 1 {
		t.Fatalf("%d calls outstanding, want 1", s.batches)
	}
	runSearch(b, 1001, 10, 1)
	failIf(t, n.servers[4] == n.servers[0], "the next round went to the server with more calls outstanding")
}

// In a crowd all are slow, and who looks fast is who was left alone: the fewest own calls decide
// there, and nowhere else.
func TestPredictionDoesNotChooseInOverload(t *testing.T) {
	b, _ := newTestPolicy(2, nil)
	b.Begin(1000)
	slow, quick := b.servers[0], b.servers[1]
	b.predictor.samples, b.predictor.fleetSlowThreshold, b.predictor.median, b.predictor.minMedian, b.predictor.avgLoad = 100, 50, 30, 30, 3
	for i := range slow.history {
		slow.history[i] = latencySample{400, 990, 1}
		quick.history[i] = latencySample{10, 990, 1}
	}
	quick.batches = 3
	choose := func() int {
		y := &placement{search: &searchState{queryType: b.queryTypes[0]}, request: &shardRequest{}, candidates: []int{0, 1}}
		b.chooseServer(y)
		return y.server
	}
	failIf(t, !b.predictedSlow(b.predictor.features(1000, slow, 1)) || b.predictedSlow(b.predictor.features(1000, quick, 1)), "the two are not distinguished")
	failIf(t, choose() != 1, "calm: a slow one was chosen")
	b.predictor.median = 60
	failIf(t, choose() != 0, "crowd: the one with more calls out was chosen")
}
