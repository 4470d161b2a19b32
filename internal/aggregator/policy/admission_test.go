package policy

import (
	"testing"
)

// What servers do not bear is refused from the least valued up, a share of those at the line.
func TestSearchUnderTheCapacityFloorIsRefused(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	b.CapacityFloor(0.5, 0.9) // all count 1 here: above the line
	runSearch(b, 1000, 0, 1)
	failIf(t, len(n.shed) != 0 || len(b.requests[1].attempts) == 0, "above the line: %v shed", n.shed)
	endLastAttempts(b, 1050, Answered, 1)
	b.CapacityFloor(1.5, 0)
	runSearch(b, 1100, 2, 1)
	failIf(t, len(n.shed) != 1 || b.Refusals(0)[OverCapacity] != 1, "under the line: %v shed, %v", n.shed, b.Refusals(0))
	b.CapacityFloor(1, 0.5)
	for i := range 200 {
		runSearch(b, 1200+float64(i), 4+2*i, 1)
		endLastAttempts(b, 1200.5+float64(i), Answered, 5+2*i)
	}
	failIf(t, b.Refusals(0)[OverCapacity] < 70 || b.Refusals(0)[OverCapacity] > 140, "at the line, half of it: %d of 200 shed, %v", b.Refusals(0)[OverCapacity]-1, b.Refusals(0))
	was := b.Refusals(0)[OverCapacity]
	b.CapacityFloor(0, 0)
	runSearch(b, 1500, 1000, 1)
	failIf(t, len(n.shed) < 1 || b.Refusals(0)[OverCapacity] != was, "no line, and one is refused for it")
}

// One search may be more than the hold limit; where nothing else is held it is served all the same.
func TestPendingLimitSmallerThanASearch(t *testing.T) {
	b, n := newTestPolicy(2, func(b *Policy) { b.Limits(4, 2, true, true) })
	runSearch(b, 1000, 0, 4)
	failIf(t, len(n.sent) != 4, "sent %v, want all four requests of the most valued search", n.sent)
}

// Clients that gave up early and asked again: the work was done for nobody.
func TestAdmissionGoesByTheClientsTime(t *testing.T) {
	b, n := newTestPolicy(1, nil)
	now := runAnsweredSearches(b, 1000, 30)
	b.Begin(now)
	b.Search(0, 0, 0, now+60, 1)
	b.ShardRequest(0, 1, 0, 1, 100, 0)
	b.End()
	wantInts(t, "shed where 60 ms are left and answers take 100", n.shed, 0)
}

func TestRequestsExpectedPastTheLimitAreSkipped(t *testing.T) {
	for _, floor := range []float64{0.5, 1} {
		b, n := newTestPolicy(4, func(b *Policy) { b.Fleet(4, 1, 1, 0, false); b.Shares(0, 1, floor, 0.8, 0) })
		b.Begin(1001)
		for i := range 4 {
			b.Server(i, 0, i, Ready, 1, 0)
		}
		b.End()
		b.servers[3].meanLatency, b.servers[3].latencyAt = 5000, 1002
		b.Begin(1002)
		b.Search(0, 0, 0, 4000, 4)
		for i := range 4 {
			b.ShardRequest(0, 1+i, i, 0.25, 100, 0)
		}
		b.End()
		failIf(t, len(n.sent) != map[float64]int{0.5: 3, 1: 0}[floor], "least share %.1f: sent %v", floor, n.sent)
	}
}

// Each request was predicted fast enough, yet a search of fifty of them was late each time.
func TestAdmissionGoesByTheSlowestRequest(t *testing.T) {
	for _, requests := range []int{1, 50} {
		b, n := newTestPolicy(4, nil)
		now := runAnsweredSearches(b, 1000, 30)
		for i := range 100 {
			b.predictor.recentLatencies.Add(now, 100+float64(i/97)*4900)
		}
		taken := 0
		for i := range 20 {
			n.shed = nil
			runSearch(b, now, 100*i, requests)
			taken += 1 - len(n.shed)
		}
		failIf(t, requests == 1 && taken < 20 || requests > 1 && taken > 4, "%d of 20 searches of %d requests admitted", taken, requests)
	}
}

// Refusals are quick answers of a kind, and admission saw nothing of queues so long that no more
// fitted.
func TestRejectionCountsAsLateAnswerForAdmission(t *testing.T) {
	b, n := newTestPolicy(4, nil)
	now := runAnsweredSearches(b, 1000, 30)
	for i := range 10 {
		runSearch(b, now, 100*i, 2)
		endLastAttempts(b, now+1, Rejected, 100*i+1, 100*i+2)
		endLastAttempts(b, now+2, Rejected, 100*i+1, 100*i+2)
		now += 400
	}
	if v, _ := b.predictor.recentLatencies.Quantile(now, 0.9); v < 900 || len(n.shed) < 5 {
		t.Fatalf("the slowest tenth took %.0f ms after refusals, %d shed", v, len(n.shed))
	}
}

func TestHoldersThatFailSomeRequestsAreAskedBeforeShedding(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 40)
	b.Begin(now)
	b.eject(0, false, "errors")
	b.eject(1, false, "errors")
	b.End()
	sent := len(n.servers)
	runSearch(b, now, 10, 1)
	failIf(t, len(n.shed) > 0 || len(n.servers) != sent+1, "%d shed, %d sent", len(n.shed), len(n.servers)-sent)
}
