package zonefailure_test

import (
	"slices"
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/standin/fleetsim"
	"kestrelspread/internal/standin/station"
)

// fleet is three hundred brokers and two hundred servers at three sites.
func fleet(seed uint64, detecting bool) fleetsim.Plan {
	p := fleetsim.Plan{Seed: seed, Brokers: 300, Servers: 200, Sites: 3, Places: 50, Copies: 4, Rate: 200, Parts: 30, Target: 500, Timeout: 1500,
		Kind:  station.Kind{Slots: 2, Work: 30, CV: 0.4, Queue: 20, ColdFrom: 0.3, ColdFor: 8000, Multiple: 2.5, Over: 2000},
		Delay: 0.5, Connect: 250, Tries: 4, Retries: 1, Notice: 1500, Until: 14000,
		Lose: []fleetsim.Loss{{Site: 1, From: 4000, To: 9500, Cold: true}}}
	p.Port = func(out policy.Out, seed uint64, own int) policy.Port {
		module := func(out policy.Out) policy.Port { return policy.New(out, seed, p.Brokers, own) }
		var port policy.Port
		if detecting {
			port = zonefailure.Intercept(out, own, zonefailure.DefaultConfig, module)
		} else {
			port = module(out)
		}
		port.QueryType(p.Target, 1, 0.3, policy.Idempotent, 0)
		port.Shares(0, 1, 1, 0, 0)
		port.Fleet(p.Places, p.Copies, 4, 0, false)
		port.Limits(p.Tries, 300, true, true)
		port.MaxRetryAfter(500)
		port.WarmUp(p.Kind.ColdFrom, p.Kind.ColdFor, p.Kind.Multiple, p.Kind.Over)
		port.Probes()
		return port
	}
	return p
}

// What three hundred instances do in the same second when a site goes, and when it comes back cold.
func TestThreeHundredBrokersTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	with, without := fleetsim.Run(fleet(1, true)), fleetsim.Run(fleet(1, false))
	for name, r := range map[string]*fleetsim.Result{"with detection": with, "without": without} {
		t.Logf("%s: %d offered, %d in time, %d late, %d shed, %d failed; %d sub-requests, %d of them to the lost site; cold at most %.2f of what they bear, %.2f before it was told",
			name, r.Offered, r.InTime, r.Late, r.Shed, r.Failed, r.Sent, r.ToLost, r.Worst, r.Untold)
		for sec, s := range r.Second {
			t.Logf("  second %2d: %3d of %3d in time", sec, s.InTime, s.Offered)
		}
	}
	if with.Worst > 1 {
		t.Errorf("a cold server was sent %.2f of what it bears, from all brokers together", with.Worst)
	}
	if with.ToLost*10 > without.ToLost*11 { // few have to do with the lost site here: detection must not cost; where it gains is tested in crowd
		t.Errorf("%d sub-requests to the lost site with detection, %d without", with.ToLost, without.ToLost)
	}
	slices.Sort(with.Detect)
	// Brokers prefer their own site: few have so much to do with another that they could tell, and none needs to.
	t.Logf("%d brokers saw the loss: %.0f; %d false alarms", len(with.Detect), with.Detect, with.False)
	if with.False > 3 {
		t.Errorf("%d false alarms", with.False)
	}
	if a, b := float64(with.InTime)/float64(with.Offered), float64(without.InTime)/float64(without.Offered); a < 0.98*b {
		t.Errorf("%.3f in time with detection, %.3f without", a, b)
	}
}
