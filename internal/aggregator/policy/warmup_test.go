package policy

import (
	"testing"
)

// Guards against limiting a server for long as freshly started after an overload that was taken for
// unresponsiveness. A connect that failed may mean a restart.
func TestReadmittedServerWarmsUpOnlyIfRestartIsLikely(t *testing.T) {
	for _, connectFailed := range []bool{false, true} {
		p, out := newTestPolicy(1, func(p *Policy) { p.SetWarmUp(0.2, 10000, 2, 2000) })
		p.eject(0, true, "test")
		p.servers[0].connectFailed, p.servers[0].trialAt = connectFailed, 2500
		for i := 0; len(out.sent) == 0 && i < 100; i++ { // admission is random if a restart is likely
			runSearch(p, 2500, 10*i, 1)
		}
		endLastAttempts(p, 2600, Answered, out.sent[0])
		s := p.servers[0]
		failIf(t, s.ejected || (s.warmUpUntil > 2600) != connectFailed || s.warmUpUntil > 2600+restartReportDelay,
			"connect failed %v: ejected %v, warming up until %.0f", connectFailed, s.ejected, s.warmUpUntil)
	}
}

// Guards against a hundred aggregators that each send "at least one" shard request, which
// overloaded every server that came back. Here each of the four replicas would get 25 shard
// requests, all that it can do; the one that warms up may get 2 times a fifth of that.
func TestWarmUpLimitHoldsForAllAggregatorsTogether(t *testing.T) {
	for _, unreported := range []bool{false, true} {
		toWarming, toWarm := 0, 0
		for seed := range uint64(100) {
			p, out := newTestPolicy(4, func(p *Policy) {
				p.random.seed = seed
				p.aggregators = 100
				p.SetWarmUp(0.2, 10000, 2, 2000)
			})
			p.BeginRound(9000)
			if unreported { // the server list does not report the restart
				p.servers[0].ejected, p.servers[0].unresponsive, p.servers[0].connectFailed = true, true, true
			} else {
				p.UpdateServer(0, 0, 0, Ready, 1, 8900)
			}
			p.EndRound()
			runSearch(p, 9001, 0, 1)
			for _, server := range out.servers {
				if server == 0 {
					toWarming++
				} else {
					toWarm++
				}
			}
		}
		failIf(t, toWarming > 10 || toWarming == 0 || toWarm < 80,
			"%d shard requests to the server that warms up, %d to the warm ones", toWarming, toWarm)
	}
}

// Guards against a draw for each shard request, as searches need all of theirs: an aggregator that
// reached only servers that warm up shed every search, and with three hundred aggregators a zone
// that came back after a restart served nothing for ten seconds.
func TestWarmUpDrawIsOnePerSearchAmongReachableReplicas(t *testing.T) {
	admitted, sent := 0, make([]int, 4)
	for seed := range uint64(200) {
		p, out := newTestPolicy(4, func(p *Policy) {
			p.random.seed = seed
			p.aggregators = 100
			p.SetFleet(8, 8, 4, 0, false)
			p.SetWarmUp(0.5, 10000, 2, 2000)
		})
		p.BeginRound(9000)
		for i := range 4 {
			if p.UpdateServer(i, 0, i, Ready, 1, 8900); i >= 2 {
				p.UpdateServer(i, 1, i, Ready, 1, 0)
				p.servers[i].ejected, p.servers[i].unresponsive, p.servers[i].connectFailed = true, true, true
				p.servers[i].trialAt = 20000
			}
		}
		p.EndRound()
		runSearch(p, 9001, 0, 8)
		admitted += 1 - len(out.shed)
		for _, server := range out.servers {
			sent[server]++
		}
	}
	// The limit is 0.75 (the safety share) times the multiple 2 times the initial share 0.5: three searches in
	// four are admitted, with their shard requests spread evenly over the two reachable servers.
	failIf(t, admitted < 130 || admitted > 170, "%d of 200 searches of eight shard requests admitted", admitted)
	failIf(t, sent[2]+sent[3] > 0 || sent[0] < sent[1]/2 || sent[1] < sent[0]/2,
		"sent %v by server, want none to the unreachable 2 and 3, about as many to 0 as to 1", sent)
}

// The warm-up limit must not depend on its own effect: a fleet that is limited does little work, so
// the highest rate is remembered.
func TestHighestRateIsRemembered(t *testing.T) {
	p, _ := newTestPolicy(1, func(p *Policy) { p.SetWarmUp(0.2, 10000, 2, 2000) })
	limit := &p.warmUp
	limit.warmWork.Add(1000, 1250)
	limit.measure(3000, 4, 4)
	best := limit.maxRate
	limit.measure(15000, 4, 4)
	failIf(t, best <= 0 || limit.maxRate < best/2, "highest rate %.3f after 12 s, %.3f before", limit.maxRate, best)
}
