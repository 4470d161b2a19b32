package fleetsim

import (
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/fleet/capacity"
	"kestrelspread/internal/fleet/shedding"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/standin/servermodel"
)

// defaultConfig is 300 brokers in front of 200 servers at two sites, each of which has two replicas of every shard.
func defaultConfig() Config {
	p := Config{Seed: 1, Brokers: 300, Servers: 200, Sites: 2, ShardCount: 50, ReplicaCount: 4, RatePerS: 200, ShardsPerQuery: 35, TargetMs: 500, TimeoutMs: 1500,
		ServerModel: servermodel.Config{Slots: 2, WorkMs: 25, WorkCV: 0.4, QueueLength: 24, WarmUpShare: 0.4, WarmUpMs: 12000, OverloadFactor: 2.5, OverloadWindowMs: 2000},
		DelayMs:     0.5, ConnectTimeoutMs: 250, MaxAttempts: 4, ClientRetries: 1, NotificationMs: 1500, DurationMs: 16000}
	p.NewPolicy = func(out policy.Executor, seed uint64, own int) policy.Decider {
		port := zonefailure.Intercept(out, own, zonefailure.DefaultConfig, func(out policy.Executor) policy.Decider { return policy.New(out, seed, p.Brokers, own) })
		port.AddQueryType(p.TargetMs, 1, 0.3, policy.Idempotent, 0)
		port.SetAnswerShares(0, 1, 1, 0, 0)
		port.SetFleet(p.ShardCount, p.ReplicaCount, 4, 0, false)
		port.SetLimits(p.MaxAttempts, 216, true, true)
		port.SetMaxRetryAfter(500)
		port.SetWarmUp(p.ServerModel.WarmUpShare, p.ServerModel.WarmUpMs, p.ServerModel.OverloadFactor, p.ServerModel.OverloadWindowMs)
		port.AllowProbes()
		return port
	}
	return p
}

// inTimeShare is the share of queries of some seconds that were answered in time.
func inTimeShare(r *Result, from, to int) float64 {
	in, all := 0, 0
	for i := from; i < to; i++ {
		in, all = in+r.Seconds[i].InTime, all+r.Seconds[i].Offered
	}
	return float64(in) / float64(max(all, 1))
}

func TestFleetWithoutFaultsAnswersInTime(t *testing.T) {
	p := defaultConfig()
	p.DurationMs = 6000
	r := Run(p)
	if r.Offered < 1000 || inTimeShare(r, 1, 6) < 0.98 {
		t.Fatalf("%d offered, %.3f in time", r.Offered, inTimeShare(r, 1, 6))
	}
	if again := Run(p); again.InTime != r.InTime || again.SentAttempts != r.SentAttempts {
		t.Error("the same seed gives another run")
	}
}

// A site returns with slow start and is partitioned from the other one. Its brokers reach servers in slow start alone: when each shard
// request was admitted by a draw of its own, they shed every query until all were warm.
func TestBrokersServeWithWarmingUpServersAlone(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := defaultConfig()
	p.SiteLosses = []SiteLoss{{Site: 1, StartMs: 3000, EndMs: 6000, ReturnsWarmingUp: true}, {Site: 1, StartMs: 8500, EndMs: 15000, PartitionOnly: true}}
	r := Run(p)
	own := 0
	for i := 9; i < 14; i++ {
		if len(r.Seconds[i].AnsweredBySite) > 1 {
			own += r.Seconds[i].AnsweredBySite[1]
		}
	}
	t.Logf("%.3f in time of what came while the cold hall was cut off, %d searches by its own brokers; cold at most %.2f of what they bear (%.2f untold)",
		inTimeShare(r, 9, 14), own, r.MaxWarmUpLoad, r.MaxUnannouncedLoad)
	if own < 200 || inTimeShare(r, 9, 14) < 0.75 {
		t.Errorf("%d searches answered in five seconds by the brokers of the cold hall", own)
	}
	if r.MaxWarmUpLoad > 1 {
		t.Errorf("cold servers were sent %.2f of what they bear", r.MaxWarmUpLoad)
	}
}

// One server of eight answers with errors at once, and half of the fleet is lost: shard requests once spent their four attempts there
// within 10 ms, and failed their queries.
func TestFailingServersDoNotFailQueries(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := defaultConfig()
	p.FailingShare = 1. / 8
	p.SiteLosses = []SiteLoss{{Site: 1, StartMs: 4000, EndMs: 9000, ReturnsWarmingUp: false}}
	r := Run(p)
	t.Logf("%.3f in time before, %.3f while a hall is gone; %d of %d sub-requests failed", inTimeShare(r, 1, 4), inTimeShare(r, 5, 9), r.FailedAttempts, r.SentAttempts)
	if inTimeShare(r, 5, 9) < 0.45 { // 0.11 where tries were spent at once
		t.Errorf("%.3f in time while a hall is gone", inTimeShare(r, 5, 9))
	}
	if r.FailedAttempts*10 > r.SentAttempts { // by chance alone it would be an eighth
		t.Errorf("%d of %d sub-requests went to servers that fail", r.FailedAttempts, r.SentAttempts)
	}
}

// halfLostConfig is a fleet that loses half of its servers for good, at a rate of queries to ten shards.
func halfLostConfig(rate float64) Config {
	p := defaultConfig()
	p.RatePerS, p.DurationMs, p.ShardsPerQuery = rate, 11000, 10
	p.SiteLosses = []SiteLoss{{Site: 1, StartMs: 3000, EndMs: 60000}}
	return p
}

// servableShare is the share of the queries that the survivors have capacity for.
func (p Config) servableShare() float64 {
	return min(1, p.ServerModel.CapacityPerS()*float64(p.Servers)/float64(p.Sites)/(p.RatePerS*float64(p.ShardsPerQuery)))
}

// Overloaded survivors serve nearly their capacity. When all are slow, the server predicted to be fast is one that had no load for a
// second, and all brokers once turned to it together: 0.69 and 0.49 in time, a tenth of the answers late.
func TestOverloadedSurvivorsServeNearlyTheirCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	for _, rate := range []float64{1000, 1300} {
		p := halfLostConfig(rate)
		r := Run(p)
		in, bound := inTimeShare(r, 6, 11), p.servableShare()
		t.Logf("%.0f a second: %.3f in time, %.3f is what the survivors bear; %d late, %d shed", rate, in, bound, r.Late, r.Shed)
		if in < 0.9*bound {
			t.Errorf("%.3f in time of the %.3f that the survivors bear", in, bound)
		}
	}
}

// withShedding is a configuration with an order of shedding and, if planned, with learnt capacity.
func (p Config) withShedding(planned bool, order shedding.Config) Config {
	p.NewPolicy = func(out policy.Executor, seed uint64, own int) policy.Decider {
		module := func(out policy.Executor) policy.Decider { return policy.New(out, seed, p.Brokers, own) }
		port := zonefailure.Intercept(out, own, zonefailure.DefaultConfig, func(out policy.Executor) policy.Decider {
			if planned {
				return capacity.Wrap(out, capacity.DefaultConfig, module)
			}
			return module(out)
		})
		for i := range p.QueryTypes {
			port.AddQueryType(p.TargetMs, 1, 0.3, policy.Idempotent, 0)
			port.SetAnswerShares(i, 1, 1, 0, 0)
		}
		port.AddCustomer(0, 1)
		port.AddCustomer(0, 1)
		port.SetFleet(p.ShardCount, p.ReplicaCount, 4, 0, false)
		port.SetLimits(p.MaxAttempts, 216, true, true)
		port.SetMaxRetryAfter(500)
		port.SetWarmUp(p.ServerModel.WarmUpShare, p.ServerModel.WarmUpMs, p.ServerModel.OverloadFactor, p.ServerModel.OverloadWindowMs)
		port.AllowProbes()
		shedding.NewWeights([]float64{1, 1, 1}, 2, order).Apply(port)
		return port
	}
	return p
}

// sharesByType runs a configuration with an order of shedding. It returns the shares answered in time while the site is lost, by type
// and of all.
func sharesByType(p Config, planned bool, order shedding.Config) (byType []float64, all float64) {
	result := Run(p.withShedding(planned, order))
	offered := make([]float64, len(p.QueryTypes))
	byType = make([]float64, len(p.QueryTypes))
	for _, second := range result.Seconds[5:11] {
		for i, counts := range second.Types {
			byType[i] += float64(counts.InTime)
			offered[i] += float64(counts.Offered)
		}
	}
	for i := range byType {
		byType[i] /= offered[i]
	}
	return byType, inTimeShare(result, 5, 11)
}

// The shedding order across the fleet: while a site is lost for good and the survivors are overloaded, the least valued queries are shed
// first and the most valued last, whatever value the settings give them. Learnt capacity keeps the others from harming these by
// filling the servers.
func TestSheddingOrderHoldsAcrossTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := halfLostConfig(1000)
	p.QueryTypes = []QueryType{{Share: 0.4, ShardsPerQuery: 10, TargetMs: 500, TimeoutMs: 1500}, {Share: 0.4, ShardsPerQuery: 10, TargetMs: 500, TimeoutMs: 1500},
		{Share: 0.2, ShardsPerQuery: 10, TargetMs: 500, TimeoutMs: 1500, Customer: 1}}
	first := shedding.Config{ShedFirst: [][]int{{0}}, BulkCustomers: []int{1}}
	plain, _ := sharesByType(p, false, shedding.Config{})
	ordered, _ := sharesByType(p, false, first)
	t.Logf("in time by type: %.2f without an order, %.2f with the first type refused first and all of one customer before it", plain, ordered)
	if plain[1] > 0.95 {
		t.Fatal("nothing is refused: nothing is tested")
	}
	if ordered[1] < plain[1]+0.1 || ordered[1] < ordered[0]+0.1 || ordered[0] < ordered[2] {
		t.Error("who counts most is not better off")
	}
	// Far over the capacity: only the most valued would fit.
	p.RatePerS = 1300
	without, allWithout := sharesByType(p, false, first)
	with, all := sharesByType(p, true, first)
	t.Logf("at 1300 a second, of which %.2f are borne: %.2f by the order alone, %.3f in all; %.2f with a plan of what is borne, %.3f in all", p.servableShare(), without, allWithout, with, all)
	if with[1] < without[1]+0.08 || with[2] > with[0] {
		t.Error("the most valued are not better off with a plan")
	}
	if all < allWithout-0.08 { // what protects them costs the others a little
		t.Error("the plan refuses what could be served")
	}
	p.RatePerS = 650
	if with, all := sharesByType(p, true, first); all < 0.98 {
		t.Errorf("all that is asked for is borne, and %.3f is served: %.2f", all, with)
	}
}

// Brokers that were suspended while a site was lost and returned know of neither: they did not see the time-outs that indicate a
// restart, nor does the list have it yet.
func TestResumedBrokersDoNotOverloadWarmingUpServers(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := defaultConfig()
	p.DurationMs, p.NotificationMs = 14000, 4000
	p.SiteLosses = []SiteLoss{{Site: 1, StartMs: 3000, EndMs: 9500, ReturnsWarmingUp: true}}
	awake := Run(p)
	p.Suspensions = []Suspension{{Share: 0.5, StartMs: 2900, EndMs: 9550}}
	r := Run(p)
	t.Logf("cold servers before their restart is told: %.2f of what they bear with half of the brokers asleep, %.2f with all awake; in time after it %.3f and %.3f",
		r.MaxUnannouncedLoad, awake.MaxUnannouncedLoad, inTimeShare(r, 10, 14), inTimeShare(awake, 10, 14))
	if r.MaxUnannouncedLoad > 1.3*max(awake.MaxUnannouncedLoad, 0.7) {
		t.Errorf("cold servers got %.2f of what they bear, %.2f where nobody slept", r.MaxUnannouncedLoad, awake.MaxUnannouncedLoad)
	}
	if inTimeShare(r, 10, 14) < inTimeShare(awake, 10, 14)-0.15 {
		t.Errorf("%.3f in time after the outage, %.3f where nobody slept", inTimeShare(r, 10, 14), inTimeShare(awake, 10, 14))
	}
}

// While a site is lost, the clients that are shed are not asked to retry at the same time.
func TestRetriesAreSpreadOverTheOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := defaultConfig()
	p.RatePerS, p.DurationMs, p.ClientRetries = 320, 12000, 3
	p.SiteLosses = []SiteLoss{{Site: 1, StartMs: 3000, EndMs: 11000, ReturnsWarmingUp: true}}
	r := Run(p)
	maxInTenth, all := 0, 0
	for bin, n := range r.RetryTimes {
		if bin >= 60 && bin < 110 {
			maxInTenth, all = max(maxInTenth, n), all+n
		}
	}
	t.Logf("%d told to come again within five seconds, %d of them within one tenth of a second; %.3f in time", all, maxInTenth, inTimeShare(r, 5, 11))
	if all < 200 {
		t.Fatal("hardly anybody is refused: nothing is tested")
	}
	if maxInTenth > all/10 {
		t.Errorf("%d of %d in one tenth of a second", maxInTenth, all)
	}
}
