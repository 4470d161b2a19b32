// Package fleetsim simulates a whole fleet in one process on a virtual clock: the policies of hundreds of brokers, servers of limited
// capacity, clients that retry, and the loss of sites. It shows what hundreds of independent policies do at the same time. It has
// neither sockets nor processes. A run follows from its configuration and seed: random draws are made in the order of events.
package fleetsim

import (
	"math"
	"math/rand/v2"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/eventqueue"
)

// simulation is one run.
type simulation struct {
	Config
	now             float64
	events          eventqueue.Queue[float64] // by time, ms
	random          *rand.Rand
	brokers         []*broker
	servers         []*server
	result          *Result
	siteLostAtMs    []float64 // by site; +Inf: it is not lost
	sitePartitioned []bool
}

// query is a query of a client, as one broker handles it.
type query struct {
	id, queryType        int
	sentAtMs, deadlineMs float64
	shardRequests        []*shardRequest
	finished             bool
	retries, firstShard  int
	startMs              float64
	isRetry              bool
}

// shardRequest is the part of a query for one shard.
type shardRequest struct {
	id       int
	shard    int
	query    *query
	attempts []*attempt
}

// attempt is one attempt of a shard request at a server.
type attempt struct {
	request     *shardRequest
	number      int
	server      *server
	finished    bool
	incarnation int
}

// Run runs a simulation to its end.
func Run(config Config) *Result {
	sim := &simulation{
		Config: config, random: rand.New(rand.NewPCG(config.Seed, simulationStream)), now: firstMs,
		result: &Result{Logs: map[string]int{}, RetryTimes: map[int]int{}},
	}
	if len(sim.QueryTypes) == 0 {
		sim.QueryTypes = []QueryType{{Share: 1, ShardsPerQuery: config.ShardsPerQuery, TargetMs: config.TargetMs, TimeoutMs: config.TimeoutMs}}
	}
	for range config.Sites {
		sim.siteLostAtMs = append(sim.siteLostAtMs, math.Inf(1))
		sim.sitePartitioned = append(sim.sitePartitioned, false)
	}
	sim.startFleet()
	sim.scheduleFaults()
	sim.scheduleArrival()
	end := firstMs + config.DurationMs
	for {
		if _, ok := sim.events.Next(); !ok {
			break
		}
		runAtMs, run := sim.events.Take()
		if sim.now = runAtMs; sim.now > end+config.TimeoutMs+100 {
			break
		}
		run()
	}
	return sim.result
}

// after schedules a function after a delay.
func (sim *simulation) after(delayMs float64, run func()) { sim.events.Add(sim.now+delayMs, run) }

const (
	simulationStream = 9    // tells the random source of a run from those of its brokers
	firstMs          = 1000 // time of the start
)

// startFleet starts the servers and the brokers.
func (sim *simulation) startFleet() {
	for i := range sim.Servers {
		sim.servers = append(sim.servers, &server{
			id: i, site: i % sim.Sites, cell: i % sim.ShardCount, startedAtMs: math.Inf(-1),
			unresponsive: sim.random.Float64() < sim.UnresponsiveShare, failing: sim.random.Float64() < sim.FailingShare,
			received: map[int]int{},
		})
	}
	for i := range sim.Brokers {
		b := &broker{sim: sim, id: i, site: i % sim.Sites, suspendedAtMs: math.Inf(1)}
		sim.brokers = append(sim.brokers, b)
		b.start()
	}
}

// scheduleFaults schedules the losses of sites and the suspensions of brokers.
func (sim *simulation) scheduleFaults() {
	for _, loss := range sim.SiteLosses {
		sim.after(loss.StartMs-sim.now+firstMs, func() { sim.loseSite(loss) })
	}
	for _, suspension := range sim.Suspensions {
		for _, b := range sim.brokers {
			if sim.random.Float64() >= suspension.Share {
				continue
			}
			sim.after(suspension.StartMs-sim.now+firstMs, func() { b.suspendedAtMs = sim.now })
			sim.after(suspension.EndMs-sim.now+firstMs, func() {
				b.suspendedAtMs = math.Inf(1)
				b.notify(func(policy.Decider) {})
			})
		}
	}
}

// secondAt is the counts of the second of a moment.
func (sim *simulation) secondAt(momentMs float64) *Second {
	i := max(int((momentMs-firstMs)/1000), 0)
	for len(sim.result.Seconds) <= i {
		sim.result.Seconds = append(sim.result.Seconds, Second{})
	}
	return &sim.result.Seconds[i]
}

// scheduleArrival schedules the next query of a Poisson process, at a random broker.
func (sim *simulation) scheduleArrival() {
	sim.after(sim.random.ExpFloat64()/sim.RatePerS*1000, func() {
		if sim.now > firstMs+sim.DurationMs {
			return
		}
		sim.result.Offered++
		sim.secondAt(sim.now).Offered++
		queryType := sim.drawType()
		sim.secondAt(sim.now).ofType(queryType).Offered++
		sim.sendQuery(&query{
			queryType: queryType, startMs: sim.now, deadlineMs: sim.now + sim.QueryTypes[queryType].TimeoutMs,
			firstShard: sim.random.IntN(sim.ShardCount), retries: sim.ClientRetries,
		})
		sim.scheduleArrival()
	})
}

// drawType draws a query type by the shares.
func (sim *simulation) drawType() int {
	if len(sim.QueryTypes) < 2 {
		return 0
	}
	queryType := 0
	draw := sim.random.Float64()
	for draw -= sim.QueryTypes[0].Share; draw > 0 && queryType+1 < len(sim.QueryTypes); draw -= sim.QueryTypes[queryType].Share {
		queryType++
	}
	return queryType
}

// sendQuery sends a query to a random available broker.
func (sim *simulation) sendQuery(q *query) {
	b := sim.brokers[sim.random.IntN(len(sim.brokers))]
	for n := 0; n < 1000 && sim.isUnavailable(b); n++ {
		b = sim.brokers[sim.random.IntN(len(sim.brokers))]
	}
	q.sentAtMs = sim.now
	k := sim.QueryTypes[q.queryType]
	b.notify(func(p policy.Decider) {
		q.id = b.newHandle(q)
		p.AddSearch(q.id, q.queryType, k.Customer, q.deadlineMs, k.ShardsPerQuery)
		for n := range k.ShardsPerQuery {
			y := &shardRequest{query: q, shard: (q.firstShard + n) % sim.ShardCount}
			y.id = b.newHandle(y)
			q.shardRequests = append(q.shardRequests, y)
			p.AddShardRequest(q.id, y.id, y.shard, 1/float64(k.ShardsPerQuery), 0, 0)
		}
		if q.isRetry {
			p.MarkRetry(q.id)
		}
	})
}

// isUnavailable reports whether a broker is lost with its site, or suspended for so long that front ends avoid it.
func (sim *simulation) isUnavailable(b *broker) bool {
	return sim.now >= sim.siteLostAtMs[b.site] && !sim.sitePartitioned[b.site] || sim.now > b.suspendedAtMs+unavailableAfterMs
}

// unavailableAfterMs is how long a broker must be suspended until front ends avoid it.
const unavailableAfterMs = 200

// isReachable reports whether bytes pass between a broker and a server.
func (sim *simulation) isReachable(b *broker, s *server) bool {
	if b.site == s.site && sim.sitePartitioned[s.site] {
		return true
	}
	return sim.now < sim.siteLostAtMs[s.site] && (sim.now < sim.siteLostAtMs[b.site] || b.site == s.site)
}

// loseSite loses a site until the end of the loss. Brokers then restart, and servers too if they return cold.
func (sim *simulation) loseSite(loss SiteLoss) {
	sim.siteLostAtMs[loss.Site], sim.sitePartitioned[loss.Site] = sim.now, loss.PartitionOnly
	sim.after(loss.EndMs-loss.StartMs, func() {
		sim.siteLostAtMs[loss.Site], sim.sitePartitioned[loss.Site] = math.Inf(1), false
		for _, b := range sim.brokers {
			if b.site == loss.Site && !loss.PartitionOnly {
				b.start()
			}
		}
		for _, s := range sim.servers {
			if s.site == loss.Site && loss.ReturnsWarmingUp {
				sim.restartServer(s)
			}
		}
	})
}
