package zonefailure

import "testing"

func TestRecoveryTakesAnswersAndTime(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	p.loseSite1(t)
	p.advanceTo(p.now + 3000)
	if p.State(1) != Lost {
		t.Fatal("back without an answer: ", p.State(1))
	}
	p.answerProbes(p.sites[1][0])
	if p.State(1) != Recovering {
		t.Fatal("not returning: ", p.State(1))
	}
	p.advanceTo(p.now + 5000)
	p.answerProbes(p.sites[1][0])
	if p.State(1) != Recovering {
		t.Fatal("well by the clock alone, with two answers")
	}
	p.answerProbes(p.sites[1][1:5]...)
	if p.State(1) != Healthy {
		t.Fatal("not well after five answers: ", p.State(1))
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
		t.Fatal("steps", steps)
	}
	p.runHealthy(300) // more than a minute
	if p.RecentLosses(1) != 0 {
		t.Fatal("losses are not forgotten: ", p.RecentLosses(1))
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
		t.Fatal("not lost")
	}
	p.answer(sent, p.sites[1][:6]...) // ten times as slow
	if p.State(1) == Lost || p.FalseAlarms != 1 || p.RecentLosses(1) != 0 {
		t.Fatal("a slow site stays lost: ", p.State(1), p.FalseAlarms, p.RecentLosses(1))
	}
	if last := p.changes[len(p.changes)-1]; last.To != Healthy || last.FalseAlarmMs <= 0 || last.FalseAlarmMs > DefaultConfig.FalseAlarmMs {
		t.Errorf("it is not undone at once: %+v", last)
	}
	// What stood still for longer comes back in steps, though it answers what was sent before.
	p.runHealthy(3)
	sent = p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.advanceTo(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.advanceTo(sent + 10*p.TimeoutMs() + DefaultConfig.FalseAlarmMs)
	p.answer(sent, p.sites[1][:6]...)
	if p.State(1) != Recovering || p.FalseAlarms != 2 {
		t.Errorf("a stall of seconds ends in %v", p.State(1))
	}
}
