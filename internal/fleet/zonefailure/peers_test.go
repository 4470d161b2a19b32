package zonefailure

import (
	"fmt"
	"testing"
)

func TestPeerReportsLowerRequiredFailures(t *testing.T) {
	failThreeServers := func(p *scenario) {
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
		t.Fatal("site 1 was declared lost by peers' reports alone")
	}
	failThreeServers(p)
	for _, peer := range []string{"a", "b"} {
		p.HandlePeerReport(peer, 1, true, 20)
	}
	p.advanceTo(p.now + 400)
	if p.losses(1) != 1 {
		t.Fatalf("site 1 is %v after three own failures and reports of two peers, want %v", p.State(1), Lost)
	}
	// A single peer, expired reports, reports from before the last contact, invalid reports, and reports that as many peers
	// contradict have no effect.
	for name, report := range map[string]func(p *scenario){
		"one peer":    func(p *scenario) { p.HandlePeerReport("a", 1, true, 0); p.HandlePeerReport("a", 1, true, 0) },
		"old reports": func(p *scenario) { p.HandlePeerReport("a", 1, true, 4000); p.HandlePeerReport("b", 1, true, 9000) },
		"invalid reports": func(p *scenario) {
			p.HandlePeerReport("a", 1, true, -5)
			p.HandlePeerReport("b", 7, true, 1)
			p.HandlePeerReport("c", -1, true, 1)
		},
		"contradicted reports": func(p *scenario) {
			p.HandlePeerReport("a", 1, true, 1)
			p.HandlePeerReport("b", 1, true, 1)
			p.HandlePeerReport("c", 1, false, 1)
			p.HandlePeerReport("d", 1, false, 1)
		},
	} {
		q := newScenario(DefaultConfig, 0, 10, 10)
		q.runHealthy(10)
		failThreeServers(q)
		report(q)
		q.advanceTo(q.now + 2500)
		if q.losses(1) > 0 {
			t.Errorf("%s: site 1 was declared lost", name)
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
		t.Fatalf("the report of one peer led to %+v, want no change", p.changes)
	}
	p.HandlePeerReport("a", 1, false, 10)
	p.HandlePeerReport("b", 1, false, 10)
	p.advanceTo(p.now + 100)
	if len(p.changes) != 1 || !p.changes[0].ProbeHint || p.State(1) != Lost {
		t.Fatalf("reports of two peers led to %+v in state %v, want one probe hint in state %v", p.changes, p.State(1), Lost)
	}
	p.advanceTo(p.now + 100)
	if len(p.changes) != 1 {
		t.Fatalf("the same reports led to a second hint: %+v", p.changes)
	}
}

func TestPeerReportsAreBounded(t *testing.T) {
	p := newScenario(DefaultConfig, 0, 10, 10)
	p.runHealthy(1)
	for i := range 10 * maxPeerReports {
		p.HandlePeerReport(fmt.Sprint(i), 1, true, 0)
	}
	if n := len(p.Detector.sites[1].peerReports); n > maxPeerReports {
		t.Fatalf("%d reports are kept, want %d at most", n, maxPeerReports)
	}
	p.advanceTo(p.now + 6000)
	p.HandlePeerReport("x", 1, true, 0)
	if n := len(p.Detector.sites[1].peerReports); n != 1 {
		t.Fatalf("%d reports are kept after all others have expired, want 1", n)
	}
}
