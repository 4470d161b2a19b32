package zonefailure

import (
	"math/rand/v2"
	"testing"
)

func TestUnansweredBurstIsLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	if p.TimeoutMs() < 25 || p.TimeoutMs() > 100 {
		t.Fatal("time-out", p.TimeoutMs())
	}
	p.wantStates(t, 1)
	sent := p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.advanceTo(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.advanceTo(sent + p.TimeoutMs() + 15)
	p.wantStates(t, 0)
	if p.State(1) != Lost || p.losses(1) != 1 {
		t.Fatal("after one burst: ", p.State(1), p.changes)
	}
	c := p.changes[len(p.changes)-1]
	if c.FailedServers != 6 || !c.Isolated || c.ProbeSpreadMs < 2000 {
		t.Fatalf("%+v", c)
	}
}

func TestAnsweringSiblingsPreventLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	for range 40 { // six of ten are silent for good, the others answer
		sent := p.sendBurst(append(p.sites[0][:4:4], p.sites[1]...)...)
		p.advanceTo(p.now + 40)
		p.answer(sent, append(p.sites[0][:4:4], p.sites[1][6:]...)...)
		p.advanceTo(p.now + 400)
	}
	if p.losses(1) > 0 {
		t.Fatal("lost", p.changes)
	}
}

func TestOverloadAndStallAreNoLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	// All are slow alike: nobody answers in time, here or there.
	sent := p.sendBurst(append(p.sites[0], p.sites[1]...)...)
	p.advanceTo(sent + 900)
	if p.losses(0)+p.losses(1) > 0 {
		t.Fatal("overload everywhere is declared a loss", p.changes)
	}
	p.answer(sent, append(p.sites[0], p.sites[1]...)...)
	p.runHealthy(40)
	p.changes = nil
	// This broker is stalled for two seconds with answers unread, and reads those of one site first.
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
		t.Fatal("a stall is declared a loss", p.changes)
	}
}

func TestPartitionedBrokerDeclaresNoLoss(t *testing.T) {
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
			p.RecordDone(id, p.now-500, false, false) // given up
		}
		p.changes = append(p.changes, p.EndTurn()...)
	}
	for at := range p.sites {
		if p.losses(at) > 0 {
			t.Fatal("partitioned, it declared the loss of site ", at)
		}
	}
}

// Where work takes seconds, nothing is said of a site that has not answered for a quarter of one.
func TestInitialTimeoutFollowsLatencyTarget(t *testing.T) {
	for target, want := range map[float64]float64{200: 250, 2000: 1000} {
		p := New(DefaultConfig, 0)
		p.SetLatencyTarget(5 * target)
		p.SetLatencyTarget(target)
		p.SetLatencyTarget(3 * target)
		if p.TimeoutMs() != want {
			t.Errorf("a target of %.0f: %v", target, p.TimeoutMs())
		}
	}
}

func TestFewFailuresAreSuspicionOnly(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	for range 5 { // two that are bad, and nobody else of their site is asked
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
	if p.State(1) != Lost { // a site of four needs all four
		t.Fatal(p.State(1))
	}
	if c := p.changes[len(p.changes)-1]; c.FailedServers != 4 {
		t.Fatalf("%+v", c)
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
		t.Fatal("a site without servers is lost")
	}
	p.RemoveServer(p.sites[1][0])
	p.SetServer(p.sites[1][0], 0, true) // its index stands for another
	p.BeginTurn(p.now)
	p.RecordDone(p.sites[1][1], p.now-5, true, false) // a late answer of one that is gone
	p.EndTurn()
}

// Weeks of ordinary faults: one of eight servers silent by itself, overload, stalls of the broker, slow halves. Sped up by
// what a broker of a large fleet sees in a day.
func TestFalseAlarmsAreRareOverWeeks(t *testing.T) {
	days := 14
	if testing.Short() {
		days = 2
	}
	rng := rand.New(rand.NewPCG(1, 2))
	p := newScenario(DefaultConfig, 0, 40, 40, 40)
	bad := make([]bool, 120)
	alarms, searches := 0, 0
	for p.now = 1000; p.now < float64(days)*86400_000; {
		if rng.IntN(50) == 0 { // another one of eight
			for i := range bad {
				bad[i] = rng.IntN(8) == 0
			}
		}
		slow := 1.0
		if rng.IntN(20) == 0 {
			slow = 1 + 9*rng.Float64()
		}
		stands := rng.IntN(100) == 0
		// A search of thirty parts; answers come in order of their times.
		ids := rng.Perm(120)[:30]
		sent := p.sendBurst(ids...)
		searches++
		took := make([]float64, len(ids))
		for i := range ids {
			took[i] = (15 + 20*rng.ExpFloat64()) * slow
		}
		for step := 10.0; step <= 400; step += 10 {
			if stands && step == 20 {
				p.now = sent + 250 // the broker was stalled
				step = 250
			}
			p.now = sent + step
			p.BeginTurn(p.now)
			for i, id := range ids {
				if took[i] >= 0 && took[i] <= step && !bad[id] {
					took[i] = -1
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
			if took[i] >= 0 {
				p.RecordDone(id, sent, false, false)
			}
		}
		p.EndTurn()
		p.now += 60_000 * rng.ExpFloat64()
	}
	t.Logf("%d false alarms in %d searches over %d days", alarms, searches, days)
	if alarms*1000 > searches { // each costs a return that a late answer brings at once
		t.Fatalf("%d false alarms in %d searches", alarms, searches)
	}
}
