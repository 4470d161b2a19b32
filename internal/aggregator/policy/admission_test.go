package policy

import (
	"testing"
)

// Searches worth less than the capacity floor are refused, and a share of those worth exactly the
// floor.
func TestSearchUnderTheCapacityFloorIsRefused(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	p.SetCapacityFloor(0.5, 0.9) // all searches here are worth 1: above the floor
	runSearch(p, 1000, 0, 1)
	failIf(t, len(out.shed) != 0 || len(p.requests[1].attempts) == 0, "above the floor: %v shed, want none", out.shed)
	endLastAttempts(p, 1050, Answered, 1)
	p.SetCapacityFloor(1.5, 0)
	runSearch(p, 1100, 2, 1)
	failIf(t, len(out.shed) != 1 || p.Refusals(0)[OverCapacity] != 1, "below the floor: %v shed, refusals %v", out.shed, p.Refusals(0))
	p.SetCapacityFloor(1, 0.5)
	for i := range 200 {
		runSearch(p, 1200+float64(i), 4+2*i, 1)
		endLastAttempts(p, 1200.5+float64(i), Answered, 5+2*i)
	}
	refused := p.Refusals(0)[OverCapacity]
	failIf(t, refused < 70 || refused > 140, "at the floor: %d of 200 refused, want about half; refusals %v", refused-1, p.Refusals(0))
	p.SetCapacityFloor(0, 0)
	runSearch(p, 1500, 1000, 1)
	failIf(t, len(out.shed) < 1 || p.Refusals(0)[OverCapacity] != refused, "a search is refused for the capacity floor though none is known")
}

// A search with more shard requests than the pending limit is served if nothing else is pending.
func TestPendingLimitSmallerThanASearch(t *testing.T) {
	p, out := newTestPolicy(2, func(p *Policy) { p.SetLimits(4, 2, true, true) })
	runSearch(p, 1000, 0, 4)
	failIf(t, len(out.sent) != 4, "sent %v, want all four requests of the most valuable search", out.sent)
}

// Guards against work for clients that have given up and asked again: a search is shed if less time
// is left until its deadline than it is expected to take.
func TestAdmissionConsidersTheTimeToTheDeadline(t *testing.T) {
	p, out := newTestPolicy(1, nil)
	now := runAnsweredSearches(p, 1000, 30)
	p.BeginRound(now)
	p.AddSearch(0, 0, 0, now+60, 1)
	p.AddShardRequest(0, 1, 0, 1, 100, 0)
	p.EndRound()
	wantInts(t, "shed when 60 ms are left and answers take 100 ms", out.shed, 0)
}

// Shard requests that are expected to take too long are abandoned if a partial answer will do;
// otherwise the search is shed.
func TestRequestsExpectedToBeTooSlowAreAbandoned(t *testing.T) {
	for _, floor := range []float64{0.5, 1} {
		p, out := newTestPolicy(4, func(p *Policy) { p.SetFleet(4, 1, 1, 0, false); p.SetAnswerShares(0, 1, floor, 0.8, 0) })
		p.BeginRound(1001)
		for i := range 4 {
			p.UpdateServer(i, 0, i, Ready, 1, 0)
		}
		p.EndRound()
		p.servers[3].meanLatency, p.servers[3].latencyAt = 5000, 1002
		p.BeginRound(1002)
		p.AddSearch(0, 0, 0, 4000, 4)
		for i := range 4 {
			p.AddShardRequest(0, 1+i, i, 0.25, 100, 0)
		}
		p.EndRound()
		failIf(t, len(out.sent) != map[float64]int{0.5: 3, 1: 0}[floor],
			"minimum share %.1f: sent %v, want three shard requests with 0.5 and none with 1", floor, out.sent)
	}
}

// Guards against admitting searches of many shard requests by the latency of each alone: with fifty
// of them, the slowest was late each time.
func TestAdmissionConsidersTheSlowestRequest(t *testing.T) {
	for _, requests := range []int{1, 50} {
		p, out := newTestPolicy(4, nil)
		now := runAnsweredSearches(p, 1000, 30)
		for i := range 100 {
			p.predictor.recentLatencies.Add(now, 100+float64(i/97)*4900)
		}
		admitted := 0
		for i := range 20 {
			out.shed = nil
			runSearch(p, now, 100*i, requests)
			admitted += 1 - len(out.shed)
		}
		failIf(t, requests == 1 && admitted < 20 || requests > 1 && admitted > 4, "%d of 20 searches of %d requests admitted", admitted, requests)
	}
}

// Rejections are fast answers. If they counted as such, admission would not notice queues so long
// that nothing more fits.
func TestRejectionCountsAsLateAnswerForAdmission(t *testing.T) {
	p, out := newTestPolicy(4, nil)
	now := runAnsweredSearches(p, 1000, 30)
	for i := range 10 {
		runSearch(p, now, 100*i, 2)
		endLastAttempts(p, now+1, Rejected, 100*i+1, 100*i+2)
		endLastAttempts(p, now+2, Rejected, 100*i+1, 100*i+2)
		now += 400
	}
	if latency, _ := p.predictor.recentLatencies.Quantile(now, 0.9); latency < 900 || len(out.shed) < 5 {
		t.Fatalf("the 0.9 quantile of latencies is %.0f ms after rejections, want at least 900; %d shed, want at least 5", latency, len(out.shed))
	}
}

// A server that is ejected for errors still answers some attempts, so it is used before a search is shed.
func TestFailingReplicasAreUsedBeforeShedding(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 40)
	p.BeginRound(now)
	p.eject(0, false, "errors")
	p.eject(1, false, "errors")
	p.EndRound()
	sent := len(out.servers)
	runSearch(p, now, 10, 1)
	failIf(t, len(out.shed) > 0 || len(out.servers) != sent+1, "%d shed, want 0; %d sent, want 1", len(out.shed), len(out.servers)-sent)
}
