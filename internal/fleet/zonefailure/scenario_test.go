package zonefailure

import (
	"fmt"
	"testing"
)

// scenario is a detector with servers at sites, and the changes that it reported.
type scenario struct {
	*Detector
	now     float64
	changes []Change
	sites   [][]int
}

// newScenario gives each site so many servers.
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

// advanceTo moves the clock in turns of 10 ms, as a broker that holds searches does.
func (p *scenario) advanceTo(at float64) {
	for p.now < at {
		p.now = min(p.now+10, at)
		p.BeginTurn(p.now)
		p.changes = append(p.changes, p.EndTurn()...)
	}
}

// sendBurst sends one sub-request to each of some servers, and returns when.
func (p *scenario) sendBurst(ids ...int) float64 {
	p.BeginTurn(p.now)
	for _, id := range ids {
		p.RecordSent(id)
	}
	p.changes = append(p.changes, p.EndTurn()...)
	return p.now
}

func (p *scenario) answer(sent float64, ids ...int) {
	p.BeginTurn(p.now)
	for _, id := range ids {
		p.RecordDone(id, sent, true, false)
	}
	p.changes = append(p.changes, p.EndTurn()...)
}

// runHealthy has all sites answer in some 20 to 40 ms for a while.
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

func (p *scenario) wantStates(t *testing.T, site int, states ...State) {
	t.Helper()
	var got []State
	for _, c := range p.changes {
		if c.Site == site {
			got = append(got, c.To)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(states) {
		t.Fatalf("site %d went through %v, want %v", site, got, states)
	}
}

func (p *scenario) losses(site int) (n int) {
	for _, c := range p.changes {
		if c.Site == site && c.To == Lost {
			n++
		}
	}
	return n
}

// loseSite1 takes site 1 away and has the detector notice.
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
	t.Fatalf("not lost: %v, time-out %.0f, %v", p.State(1), p.TimeoutMs(), p.changes)
}

// answerProbes has servers of site 1 answer probes.
func (p *scenario) answerProbes(ids ...int) {
	for _, id := range ids {
		sent := p.sendBurst(id)
		p.advanceTo(p.now + 30)
		p.answer(sent, id)
	}
}
