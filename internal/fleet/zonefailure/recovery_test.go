package zonefailure

import "testing"

func TestRecoveryTakesAnswersAndTime(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	p.loseSite1(t)
	p.advanceTo(p.now + 3000)
	if p.State(1) != Lost {
		t.Fatalf("site 1 is %v without any answer, want %v", p.State(1), Lost)
	}
	p.answerProbes(p.sites[1][0])
	if p.State(1) != Recovering {
		t.Fatalf("site 1 is %v after one answer, want %v", p.State(1), Recovering)
	}
	p.advanceTo(p.now + 5000)
	p.answerProbes(p.sites[1][0])
	if p.State(1) != Recovering {
		t.Fatalf("site 1 is %v after 5 s with only two answers, want %v", p.State(1), Recovering)
	}
	p.answerProbes(p.sites[1][1:5]...)
	if p.State(1) != Healthy {
		t.Fatalf("site 1 is %v after six answers, want %v", p.State(1), Healthy)
	}
}

func TestRelapseSlowsRecoveryUntilForgotten(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	var steps []float64
	for range 3 {
		p.loseSite1(t)
		p.advanceTo(p.now + 200)
		p.answerProbes(p.sites[1][:4]...)
		for _, c := range p.changes {
			if c.To == Recovering {
				steps = append(steps, c.ProbeSpreadMs)
			}
		}
		p.changes = nil
		p.runHealthy(10)
		p.advanceTo(p.now + 500)
		p.changes = nil
	}
	if len(steps) != 3 || steps[1] != 2*steps[0] || steps[2] != 4*steps[0] {
		t.Fatalf("recovery steps are %v ms, want three, each twice as long as the one before", steps)
	}
	p.runHealthy(300) // more than Config.LossMemoryMs
	if p.RecentLosses(1) != 0 {
		t.Fatalf("%d recent losses of site 1 after Config.LossMemoryMs, want 0", p.RecentLosses(1))
	}
}

func TestLateAnswerDisprovesLoss(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	sent := p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.advanceTo(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.advanceTo(sent + 10*p.TimeoutMs())
	if p.State(1) != Lost {
		t.Fatalf("site 1 is %v, want %v", p.State(1), Lost)
	}
	p.answer(sent, p.sites[1][:6]...) // after ten times the timeout
	if p.State(1) == Lost || p.FalseAlarms != 1 || p.RecentLosses(1) != 0 {
		t.Fatalf("after a late answer site 1 is %v with %d false alarms and %d recent losses, want it not lost, 1 and 0",
			p.State(1), p.FalseAlarms, p.RecentLosses(1))
	}
	if last := p.changes[len(p.changes)-1]; last.To != Healthy || last.FalseAlarmMs <= 0 || last.FalseAlarmMs > DefaultConfig.FalseAlarmWindowMs {
		t.Errorf("the loss was not undone at once, the last change is %+v", last)
	}
	// A site that was stalled for longer than Config.FalseAlarmWindowMs recovers in steps, even if it answers earlier sub-requests.
	p.runHealthy(3)
	sent = p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.advanceTo(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.advanceTo(sent + 10*p.TimeoutMs() + DefaultConfig.FalseAlarmWindowMs)
	p.answer(sent, p.sites[1][:6]...)
	if p.State(1) != Recovering || p.FalseAlarms != 2 {
		t.Errorf("after a stall longer than Config.FalseAlarmWindowMs site 1 is %v with %d false alarms, want %v and 2",
			p.State(1), p.FalseAlarms, Recovering)
	}
}
