package zonefailure

import (
	"fmt"
	"testing"
)

// scenario is a detector with simulated servers and clock, and the changes that the detector has returned.
type scenario struct {
	*Detector
	now     float64 // in milliseconds
	changes []Change
	sites   [][]int // indices of the servers of each site
}

// newScenario returns a scenario in which site i has servers[i] servers, all of them ready.
func newScenario(config Config, ownSite int, servers ...int) *scenario {
	p := &scenario{Detector: New(config, ownSite), now: 1000}
	id := 0
	for at, n := range servers {
		p.sites = append(p.sites, nil)
		for range n {
			p.SetServer(id, at, true)
			p.sites[at] = append(p.sites[at], id)
			id++
		}
	}
	return p
}

// advanceTo advances the clock with a turn every 10 ms, as an aggregator with pending searches has them.
func (p *scenario) advanceTo(at float64) {
	for p.now < at {
		p.now = min(p.now+10, at)
		p.BeginTurn(p.now)
		p.changes = append(p.changes, p.EndTurn()...)
	}
}

// sendBurst sends one sub-request to each of the servers, and returns the sending time.
func (p *scenario) sendBurst(ids ...int) float64 {
	p.BeginTurn(p.now)
	for _, id := range ids {
		p.RecordSent(id)
	}
	p.changes = append(p.changes, p.EndTurn()...)
	return p.now
}

// answer has the servers answer the sub-requests that were sent to them at sent.
func (p *scenario) answer(sent float64, ids ...int) {
	p.BeginTurn(p.now)
	for _, id := range ids {
		p.RecordDone(id, sent, true, false)
	}
	p.changes = append(p.changes, p.EndTurn()...)
}

// runHealthy runs rounds of some 340 ms, in each of which every server answers one sub-request within 20 or 40 ms.
func (p *scenario) runHealthy(rounds int) {
	for range rounds {
		var all []int
		for _, s := range p.sites {
			all = append(all, s...)
		}
		sent := p.sendBurst(all...)
		p.advanceTo(p.now + 20)
		p.answer(sent, all[:len(all)/2]...)
		p.advanceTo(p.now + 20)
		p.answer(sent, all[len(all)/2:]...)
		p.advanceTo(p.now + 300)
	}
}

// wantStates fails the test unless the site has changed to exactly these states, in this order.
func (p *scenario) wantStates(t *testing.T, site int, states ...State) {
	t.Helper()
	var got []State
	for _, c := range p.changes {
		if c.Site == site {
			got = append(got, c.To)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(states) {
		t.Fatalf("site %d changed to %v, want %v", site, got, states)
	}
}

// losses returns how often the site was declared lost, according to the changes kept.
func (p *scenario) losses(site int) (n int) {
	for _, c := range p.changes {
		if c.Site == site && c.To == Lost {
			n++
		}
	}
	return n
}

// loseSite1 leaves sub-requests to site 1 unanswered until the detector declares the site lost.
func (p *scenario) loseSite1(t *testing.T) {
	t.Helper()
	before := p.losses(1)
	for range 3 {
		sent := p.sendBurst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
		p.advanceTo(p.now + 30)
		p.answer(sent, p.sites[0][:6]...)
		p.advanceTo(p.now + p.TimeoutMs() + 20)
		if p.losses(1) > before {
			return
		}
	}
	t.Fatalf("site 1 is %v after three unanswered bursts, timeout %.0f ms, changes %+v", p.State(1), p.TimeoutMs(), p.changes)
}

// answerProbes sends a sub-request to each of the servers, one after the other, and has it answered within 30 ms.
func (p *scenario) answerProbes(ids ...int) {
	for _, id := range ids {
		sent := p.sendBurst(id)
		p.advanceTo(p.now + 30)
		p.answer(sent, id)
	}
}
