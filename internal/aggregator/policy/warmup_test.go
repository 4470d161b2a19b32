package policy

import (
	"testing"
)

// A crowd read as silence came back throttled as cold for long; a broken connection may mean a
// restart.
func TestReturnWarmsUpOnlyWhereRestartIsLikely(t *testing.T) {
	for _, broke := range []bool{false, true} {
		b, n := newTestPolicy(1, func(b *Policy) { b.WarmUp(0.2, 10000, 2, 2000) })
		b.eject(0, true, "test")
		b.servers[0].connectFailed, b.servers[0].trialAt = broke, 2500
		for i := 0; len(n.sent) == 0 && i < 100; i++ { // by chance, where a restart is likely
			runSearch(b, 2500, 10*i, 1)
		}
		endLastAttempts(b, 2600, Answered, n.sent[0])
		s := b.servers[0]
		failIf(t, s.ejected || (s.warmUpUntil > 2600) != broke || s.warmUpUntil > 2600+restartReportDelay, "broken connection %v: aside %v, cold until %.0f", broke, s.ejected, s.warmUpUntil)
	}
}

// A hundred brokers with "at least one each" pushed every server over that came back. Here the four
// holders would get 25 parts each, all they can do; the cold one bears 2 times a fifth of that.
func TestWarmingServerTakesTheSumOverAllAggregators(t *testing.T) {
	for _, silent := range []bool{false, true} {
		got, warm := 0, 0
		for seed := range uint64(100) {
			b, n := newTestPolicy(4, func(b *Policy) { b.random.seed = seed; b.aggregators = 100; b.WarmUp(0.2, 10000, 2, 2000) })
			b.Begin(9000)
			if silent { // nobody told of a restart
				b.servers[0].ejected, b.servers[0].unresponsive, b.servers[0].connectFailed = true, true, true
			} else {
				b.Server(0, 0, 0, Ready, 1, 8900)
			}
			b.End()
			runSearch(b, 9001, 0, 1)
			for _, to := range n.servers {
				if to == 0 {
					got++
				} else {
					warm++
				}
			}
		}
		failIf(t, got > 10 || got == 0 || warm < 80, "%d parts to the cold server, %d to the warm ones", got, warm)
	}
}

// Searches have many parts and need them all: where each part drew its own lot, a broker with
// nothing but cold holders in reach shed every search, and with three hundred brokers a hall that
// had returned cold served nothing for ten seconds.
func TestWarmUpDrawIsTheSearchsAmongReachableHolders(t *testing.T) {
	taken, sent := 0, make([]int, 4)
	for seed := range uint64(200) {
		b, n := newTestPolicy(4, func(b *Policy) {
			b.random.seed = seed
			b.aggregators = 100
			b.Fleet(8, 8, 4, 0, false)
			b.WarmUp(0.5, 10000, 2, 2000)
		})
		b.Begin(9000)
		for i := range 4 {
			if b.Server(i, 0, i, Ready, 1, 8900); i >= 2 {
				b.Server(i, 1, i, Ready, 1, 0)
				b.servers[i].ejected, b.servers[i].unresponsive, b.servers[i].connectFailed = true, true, true
				b.servers[i].trialAt = 20000
			}
		}
		b.End()
		runSearch(b, 9001, 0, 8)
		taken += 1 - len(n.shed)
		for _, to := range n.servers {
			sent[to]++
		}
	}
	// Three quarters of 2 times half: three searches in four, their parts on both cold servers alike.
	failIf(t, taken < 130 || taken > 170, "%d of 200 searches of eight parts taken", taken)
	failIf(t, sent[2]+sent[3] > 0 || sent[0] < sent[1]/2 || sent[1] < sent[0]/2, "sent %v", sent)
}

// The guard must not feed on its own effect: a fleet that is held back carries little.
func TestHighestRateIsRemembered(t *testing.T) {
	b, _ := newTestPolicy(1, func(b *Policy) { b.WarmUp(0.2, 10000, 2, 2000) })
	g := &b.warmUp
	g.warmWork.Add(1000, 1250)
	g.measure(3000, 4, 4)
	best := g.maxRate
	g.measure(15000, 4, 4)
	failIf(t, best <= 0 || g.maxRate < best/2, "carry %.3f after 13 s, %.3f before", g.maxRate, best)
}
