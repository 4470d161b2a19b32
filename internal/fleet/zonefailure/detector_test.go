package zonefailure

import (
	"math/rand/v2"
	"testing"
)

func TestUnansweredBurstIsLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	if p.TimeoutMs() < 25 || p.TimeoutMs() > 100 {
		t.Fatalf("timeout is %v ms, want 25 to 100", p.TimeoutMs())
	}
	p.wantStates(t, 1)
	sent := p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.advanceTo(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.advanceTo(sent + p.TimeoutMs() + 15)
	p.wantStates(t, 0)
	if p.State(1) != Lost || p.losses(1) != 1 {
		t.Fatalf("after one burst site 1 is %v with changes %+v, want one loss", p.State(1), p.changes)
	}
	c := p.changes[len(p.changes)-1]
	if c.FailedServers != 6 || !c.Isolated || c.ProbeSpreadMs < 2000 {
		t.Fatalf("loss of site 1 is %+v, want 6 failed servers, isolated, and probes spread over 2000 ms or more", c)
	}
}

func TestAnsweringSiblingsPreventLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	for range 40 { // six of the ten servers never answer, the others do
		sent := p.sendBurst(append(p.sites[0][:4:4], p.sites[1]...)...)
		p.advanceTo(p.now + 40)
		p.answer(sent, append(p.sites[0][:4:4], p.sites[1][6:]...)...)
		p.advanceTo(p.now + 400)
	}
	if p.losses(1) > 0 {
		t.Fatalf("site 1 was declared lost though four servers answer: %+v", p.changes)
	}
}

func TestOverloadAndStallAreNoLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	// The servers of both sites are overloaded: none answers in time.
	sent := p.sendBurst(append(p.sites[0], p.sites[1]...)...)
	p.advanceTo(sent + 900)
	if p.losses(0)+p.losses(1) > 0 {
		t.Fatalf("overload of all sites was declared a loss: %+v", p.changes)
	}
	p.answer(sent, append(p.sites[0], p.sites[1]...)...)
	p.runHealthy(40)
	p.changes = nil
	// The aggregator is stalled for two seconds with unread answers, and then reads those of site 0 before those of site 1.
	sent = p.sendBurst(append(p.sites[0], p.sites[1]...)...)
	p.now += 2000
	p.BeginTurn(p.now)
	for _, id := range p.sites[0] {
		p.RecordDone(id, sent, true, false)
	}
	p.changes = append(p.changes, p.EndTurn()...)
	p.advanceTo(p.now + 10)
	p.answer(sent, p.sites[1]...)
	if p.losses(1) > 0 {
		t.Fatalf("a stall of the aggregator was declared the loss of site 1: %+v", p.changes)
	}
}

func TestPartitionedAggregatorDeclaresNoLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 8, 8, 8)
	p.runHealthy(10)
	for range 10 {
		var all []int
		for _, s := range p.sites {
			all = append(all, s[:6]...)
		}
		p.sendBurst(all...)
		p.advanceTo(p.now + 500)
		p.BeginTurn(p.now)
		for _, id := range all {
			p.RecordDone(id, p.now-500, false, false) // cancelled by the aggregator
		}
		p.changes = append(p.changes, p.EndTurn()...)
	}
	for at := range p.sites {
		if p.losses(at) > 0 {
			t.Fatalf("a partitioned aggregator declared site %d lost", at)
		}
	}
}

// TestInitialTimeoutFollowsLatencyTarget guards against declaring a loss too early where requests take seconds: a site that does not
// answer within a quarter of a second is no evidence there, so the initial timeout grows with the shortest latency target.
func TestInitialTimeoutFollowsLatencyTarget(t *testing.T) {
	for target, want := range map[float64]float64{200: 250, 2000: 1000} {
		p := New(DefaultConfig, 0)
		p.SetLatencyTarget(5 * target)
		p.SetLatencyTarget(target)
		p.SetLatencyTarget(3 * target)
		if p.TimeoutMs() != want {
			t.Errorf("timeout is %v ms with a latency target of %.0f ms, want %v ms", p.TimeoutMs(), target, want)
		}
	}
}

func TestFewFailuresAreSuspicionOnly(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	for range 5 { // three servers of site 1 never answer, and no other server of it is asked
		sent := p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:3]...)...)
		p.advanceTo(p.now + 30)
		p.answer(sent, p.sites[0][:6]...)
		p.advanceTo(p.now + 500)
	}
	p.wantStates(t, 1, Suspected)
}

func TestUnreachableServersFailAtOnce(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 4)
	p.runHealthy(10)
	sent := p.sendBurst(append(p.sites[0][:4:4], p.sites[1]...)...)
	p.advanceTo(p.now + 10)
	p.answer(sent, p.sites[0][:4]...)
	p.BeginTurn(p.now)
	for _, id := range p.sites[1] {
		p.RecordDone(id, sent, false, true)
	}
	p.changes = append(p.changes, p.EndTurn()...)
	if p.State(1) != Lost { // a site of four servers is lost when all four have failed
		t.Fatalf("site 1 is %v, want %v", p.State(1), Lost)
	}
	if c := p.changes[len(p.changes)-1]; c.FailedServers != 4 {
		t.Fatalf("loss of site 1 is %+v, want 4 failed servers", c)
	}
}

func TestServersLeaveAndReturn(t *testing.T) {
	p := newScenario(DefaultConfig, -1, 6, 6)
	p.runHealthy(3)
	p.sendBurst(p.sites[1]...)
	for _, id := range p.sites[1] {
		p.SetServer(id, 1, false)
	}
	p.advanceTo(p.now + 2000)
	if p.losses(1) > 0 {
		t.Fatal("site 1 was declared lost though it has no servers")
	}
	p.RemoveServer(p.sites[1][0])
	p.SetServer(p.sites[1][0], 0, true) // the index is used again for another server
	p.BeginTurn(p.now)
	p.RecordDone(p.sites[1][1], p.now-5, true, false) // a late answer of a server that is no longer ready
	p.EndTurn()
}

// TestFalseAlarmsAreRareOverWeeks runs two weeks of ordinary faults: one of eight servers that never answers, overload of all sites
// and stalls of the aggregator. Searches are a minute apart on average, fewer than an aggregator of a large fleet has, so that
// weeks pass quickly.
func TestFalseAlarmsAreRareOverWeeks(t *testing.T) {
	days := 14
	if testing.Short() {
		days = 2
	}
	rng := rand.New(rand.NewPCG(1, 2))
	p := newScenario(DefaultConfig, 0, 40, 40, 40)
	silent := make([]bool, 120)
	alarms, searches := 0, 0
	for p.now = 1000; p.now < float64(days)*86400_000; {
		if rng.IntN(50) == 0 { // choose anew which servers, one of eight, never answer
			for i := range silent {
				silent[i] = rng.IntN(8) == 0
			}
		}
		slowdown := 1.0
		if rng.IntN(20) == 0 {
			slowdown = 1 + 9*rng.Float64()
		}
		stalled := rng.IntN(100) == 0
		// A search with thirty sub-requests, whose answers arrive in the order of their latencies.
		ids := rng.Perm(120)[:30]
		sent := p.sendBurst(ids...)
		searches++
		latencies := make([]float64, len(ids))
		for i := range ids {
			latencies[i] = (15 + 20*rng.ExpFloat64()) * slowdown
		}
		for step := 10.0; step <= 400; step += 10 {
			if stalled && step == 20 {
				p.now = sent + 250 // the aggregator was stalled
				step = 250
			}
			p.now = sent + step
			p.BeginTurn(p.now)
			for i, id := range ids {
				if latencies[i] >= 0 && latencies[i] <= step && !silent[id] {
					latencies[i] = -1
					p.RecordDone(id, sent, true, false)
				}
			}
			for _, c := range p.EndTurn() {
				if c.To == Lost {
					alarms++
				}
			}
		}
		p.BeginTurn(p.now)
		for i, id := range ids {
			if latencies[i] >= 0 {
				p.RecordDone(id, sent, false, false)
			}
		}
		p.EndTurn()
		p.now += 60_000 * rng.ExpFloat64()
	}
	t.Logf("%d false alarms in %d searches over %d days", alarms, searches, days)
	if alarms*1000 > searches { // a false alarm costs little, as a late answer undoes it at once
		t.Fatalf("%d false alarms in %d searches, want one in 1000 at most", alarms, searches)
	}
}
