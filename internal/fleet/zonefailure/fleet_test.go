package zonefailure_test

import (
	"slices"
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/standin/fleetsim"
	"kestrelspread/internal/standin/servermodel"
)

// fleetConfig returns the configuration of a simulated fleet of 300 aggregators and 200 servers at three sites. Site 1 is lost from
// second 4 to 9.5, and its servers warm up when it returns. With detecting, the aggregators detect the loss of sites.
func fleetConfig(seed uint64, detecting bool) fleetsim.Config {
	p := fleetsim.Config{Seed: seed, Brokers: 300, Servers: 200, Sites: 3,
		ShardCount: 50, ReplicaCount: 4, RatePerS: 200, ShardsPerQuery: 30, TargetMs: 500, TimeoutMs: 1500,
		ServerModel: servermodel.Config{Slots: 2, WorkMs: 30, WorkCV: 0.4, QueueLength: 20,
			WarmUpShare: 0.3, WarmUpMs: 8000, OverloadFactor: 2.5, OverloadWindowMs: 2000},
		DelayMs: 0.5, ConnectTimeoutMs: 250, MaxAttempts: 4, ClientRetries: 1, NotificationMs: 1500, DurationMs: 14000,
		SiteLosses: []fleetsim.SiteLoss{{Site: 1, StartMs: 4000, EndMs: 9500, ReturnsWarmingUp: true}}}
	p.NewPolicy = func(out policy.Executor, seed uint64, own int) policy.Decider {
		newPolicy := func(out policy.Executor) policy.Decider { return policy.New(out, seed, p.Brokers, own) }
		var port policy.Decider
		if detecting {
			port = zonefailure.Intercept(out, own, zonefailure.DefaultConfig, newPolicy)
		} else {
			port = newPolicy(out)
		}
		port.AddQueryType(p.TargetMs, 1, 0.3, policy.Idempotent, 0)
		port.SetAnswerShares(0, 1, 1, 0, 0)
		port.SetFleet(p.ShardCount, p.ReplicaCount, 4, 0, false)
		port.SetLimits(p.MaxAttempts, 300, true, true)
		port.SetMaxRetryAfter(500)
		port.SetWarmUp(p.ServerModel.WarmUpShare, p.ServerModel.WarmUpMs, p.ServerModel.OverloadFactor, p.ServerModel.OverloadWindowMs)
		port.AllowProbes()
		return port
	}
	return p
}

// TestFleetWithSiteLoss simulates 300 aggregators that all lose and recover a site at the same time. It guards against aggregators that
// together overload the servers of the recovering site while these warm up, and against detection that costs searches.
func TestFleetWithSiteLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("the simulation of a fleet takes seconds")
	}
	with, without := fleetsim.Run(fleetConfig(1, true)), fleetsim.Run(fleetConfig(1, false))
	for name, r := range map[string]*fleetsim.Result{"with detection": with, "without": without} {
		t.Logf("%s: %d searches, %d in time, %d late, %d shed, %d failed; %d attempts, %d of them to the lost site; "+
			"load of warming-up servers at most %.2f of capacity, %.2f before their start was announced",
			name, r.Offered, r.InTime, r.Late, r.Shed, r.Failed, r.SentAttempts, r.SentToLostSites, r.MaxWarmUpLoad, r.MaxUnannouncedLoad)
		for sec, s := range r.Seconds {
			t.Logf("  second %2d: %3d of %3d in time", sec, s.InTime, s.Offered)
		}
	}
	if with.MaxWarmUpLoad > 1 {
		t.Errorf("all aggregators together sent a warming-up server %.2f of its capacity, want 1 at most", with.MaxWarmUpLoad)
	}
	// Few aggregators use the lost site here, so this test does not show what detection gains; the tests of
	// internal/standin/fleetsim do. It checks that detection adds no sub-requests to that site, within 10 %.
	if with.SentToLostSites*10 > without.SentToLostSites*11 {
		t.Errorf("%d sub-requests to the lost site with detection, %d without", with.SentToLostSites, without.SentToLostSites)
	}
	slices.Sort(with.DetectionMs)
	// Aggregators prefer their own site. Few send enough sub-requests to another site to detect its loss, and none needs to.
	t.Logf("%d aggregators detected the loss, after %.0f ms; %d false alarms", len(with.DetectionMs), with.DetectionMs, with.FalseAlarms)
	if with.FalseAlarms > 3 {
		t.Errorf("%d false alarms, want 3 at most", with.FalseAlarms)
	}
	if a, b := float64(with.InTime)/float64(with.Offered), float64(without.InTime)/float64(without.Offered); a < 0.98*b {
		t.Errorf("%.3f of the searches in time with detection, %.3f without", a, b)
	}
}
