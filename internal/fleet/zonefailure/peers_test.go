package zonefailure

import (
	"fmt"
	"testing"
)

func TestPeerReportsLowerRequiredFailures(t *testing.T) {
	three := func(p *scenario) {
		sent := p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:3]...)...)
		p.advanceTo(p.now + 30)
		p.answer(sent, p.sites[0][:6]...)
	}
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	for _, peer := range []string{"a", "b", "c"} {
		p.HandlePeerReport(peer, 1, true, 100)
	}
	p.advanceTo(p.now + 1000)
	if p.losses(1) > 0 {
		t.Fatal("lost by peers' reports alone")
	}
	three(p)
	for _, peer := range []string{"a", "b"} {
		p.HandlePeerReport(peer, 1, true, 20)
	}
	p.advanceTo(p.now + 400)
	if p.losses(1) != 1 {
		t.Fatal("three own failures and two peers do not suffice: ", p.State(1))
	}
	// One peer, expired reports, and reports from before the last contact count for nothing.
	for name, tell := range map[string]func(p *scenario){
		"one": func(p *scenario) { p.HandlePeerReport("a", 1, true, 0); p.HandlePeerReport("a", 1, true, 0) },
		"old": func(p *scenario) { p.HandlePeerReport("a", 1, true, 4000); p.HandlePeerReport("b", 1, true, 9000) },
		"odd": func(p *scenario) {
			p.HandlePeerReport("a", 1, true, -5)
			p.HandlePeerReport("b", 7, true, 1)
			p.HandlePeerReport("c", -1, true, 1)
		},
		"both": func(p *scenario) {
			p.HandlePeerReport("a", 1, true, 1)
			p.HandlePeerReport("b", 1, true, 1)
			p.HandlePeerReport("c", 1, false, 1)
			p.HandlePeerReport("d", 1, false, 1)
		},
	} {
		q := newScenario(DefaultConfig, 0, 10, 10)
		q.runHealthy(10)
		three(q)
		tell(q)
		q.advanceTo(q.now + 2500)
		if q.losses(1) > 0 {
			t.Error(name, "made a loss")
		}
	}
}

func TestPeersThatReportRecoveryHintProbes(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(10)
	p.loseSite1(t)
	p.changes = nil
	p.HandlePeerReport("a", 1, false, 10)
	p.advanceTo(p.now + 100)
	if len(p.changes) > 0 {
		t.Fatal("one peer suffices: ", p.changes)
	}
	p.HandlePeerReport("a", 1, false, 10)
	p.HandlePeerReport("b", 1, false, 10)
	p.advanceTo(p.now + 100)
	if len(p.changes) != 1 || !p.changes[0].ProbeHint || p.State(1) != Lost {
		t.Fatal("hints: ", p.changes, p.State(1))
	}
	p.advanceTo(p.now + 100)
	if len(p.changes) != 1 {
		t.Fatal("the same reports hint twice")
	}
}

func TestPeerReportsAreBounded(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(1)
	for i := range 10 * maxPeerReports {
		p.HandlePeerReport(fmt.Sprint(i), 1, true, 0)
	}
	if n := len(p.Detector.sites[1].peerReports); n > maxPeerReports {
		t.Fatal(n, "reports kept")
	}
	p.advanceTo(p.now + 6000)
	p.HandlePeerReport("x", 1, true, 0)
	if n := len(p.Detector.sites[1].peerReports); n != 1 {
		t.Fatal(n, "reports kept after all had expired")
	}
}
