package policy

import (
	"testing"
)

func TestRequestsOfOneRoundShareABatch(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	runSearch(p, 1000, 0, 4)
	for _, server := range out.servers[1:] {
		failIf(t, server != out.servers[0], "sent to %v: want one server, as joining an open batch adds none in flight", out.servers)
	}
	if s := p.servers[out.servers[0]]; s.batches != 1 {
		t.Fatalf("%d batches in flight, want 1", s.batches)
	}
	runSearch(p, 1001, 10, 1)
	failIf(t, out.servers[4] == out.servers[0], "the next round's request went to the server with more batches in flight")
}

// In an overload all servers are slow, and one that looks fast is merely one that was left alone.
// There, and only there, the fewest batches in flight decide.
func TestPredictionDoesNotChooseInOverload(t *testing.T) {
	p, _ := newTestPolicy(2, nil)
	p.BeginRound(1000)
	slow, fast := p.servers[0], p.servers[1]
	predictor := &p.predictor
	predictor.samples, predictor.fleetSlowThreshold, predictor.median, predictor.minMedian, predictor.avgLoad = 100, 50, 30, 30, 3
	for i := range slow.history {
		slow.history[i] = latencySample{400, 990, 1}
		fast.history[i] = latencySample{10, 990, 1}
	}
	fast.batches = 3
	choose := func() int {
		placement := &placement{search: &searchState{queryType: p.queryTypes[0]}, request: &shardRequest{}, candidates: []int{0, 1}}
		p.chooseServer(placement)
		return placement.server
	}
	failIf(t, !p.predictedSlow(predictor.features(1000, slow, 1)) || p.predictedSlow(predictor.features(1000, fast, 1)),
		"the prediction does not tell the slow server from the fast one")
	failIf(t, choose() != 1, "without overload: the slow server was chosen")
	predictor.median = 60
	failIf(t, choose() != 0, "in an overload: the server with more batches in flight was chosen")
}
