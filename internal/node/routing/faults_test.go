package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// With all kinds of faults at once and more load than the brokers can serve, the checks of the simulation
// hold, and all proxies together stay within the retry budget in every window (RULES.md, BUDGET).
func TestBudgetHoldsAcrossProxies(t *testing.T) {
	for _, proxies := range []int{1, 10, 70} {
		t.Run(fmt.Sprint(proxies), func(t *testing.T) {
			s := newSimulation(t, proxies, 12)
			n := 0
			for _, id := range []string{"i01", "i03", "i05", "i07", "i09", "i11"} {
				s.brokers[id].condition = condition(n%6 + 1)
				n++
			}
			s.traffic(400, 40*time.Second, s.mixedRequest)
			s.run(15 * time.Second)
			for _, b := range s.brokers {
				b.condition = flaky
			}
			s.run(25 * time.Second)
			for _, b := range s.brokers {
				b.condition = alwaysFull
			}
			s.run(32 * time.Second)
			for _, b := range s.brokers {
				b.condition = healthy
			}
			s.run(50 * time.Second)
			s.checkBudget()
			assert.Assert(t, len(s.retryTimes) > 100, "only %d repeated arrivals: too few to test the budget", len(s.retryTimes))
			for _, r := range s.proxies {
				assert.Equal(t, r.PendingRequests(), 0)
			}
		})
	}
}

// Proxies that restart don't know what they spent of the retry budget before. All proxies together stay
// within it nevertheless, also while some know of only few other proxies.
func TestBudgetHoldsAcrossRestarts(t *testing.T) {
	const proxies = 20
	s := newSimulation(t, proxies, 8)
	for _, b := range s.brokers {
		b.condition = alwaysFull
	}
	s.traffic(300, 60*time.Second, s.mixedRequest)
	for at := 14 * time.Second; at < 60*time.Second; at += 9 * time.Second {
		s.run(at)
		for p := range s.proxies {
			if p%2 == 0 {
				s.restart(p, proxies)
			} else {
				s.proxies[p].SetProxyCount(s.now, 6)
			}
		}
	}
	s.run(70 * time.Second)
	s.checkBudget()
	assert.Assert(t, len(s.retryTimes) > 300, "only %d repeated arrivals", len(s.retryTimes))
}

// With one faulty broker of eight, nearly all requests are served, and few are sent to the faulty one.
func TestOneFaultyBroker(t *testing.T) {
	for _, c := range []struct {
		name      string
		condition condition
		maxShare  float64 // maximum share of the arrivals that the faulty broker gets
		served    float64 // minimum share of the requests that are served, less 0.002
	}{
		{"slow answers", slowAnswers, 0.06, 1},
		{"frozen", frozen, 0.03, 0.99},
		{"crashed", crashed, 0.02, 1},
		{"always full", alwaysFull, 0.08, 1},
		{"flaky", flaky, 0.06, 0.99},
		{"quick failures", failingFast, 0.04, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 4, 8)
			s.traffic(300, 40*time.Second, s.safeRequest)
			s.run(10 * time.Second)
			s.brokers["i02"].condition = c.condition
			s.run(13 * time.Second)
			s.takeArrivals()
			served, requests := s.served, s.requests
			s.run(39 * time.Second)
			counts, total := s.takeArrivals(), 0
			for _, n := range counts {
				total += n
			}
			share := float64(counts["i02"]) / float64(total)
			good := float64(s.served-served) / float64(s.requests-requests)
			t.Logf("share %.3f served %.4f counters %+v", share, good, s.proxies[0].Counters())
			assert.Assert(t, share <= c.maxShare, "%.3f of the arrivals went to the faulty broker", share)
			assert.Assert(t, good >= c.served-0.002, "%.4f served", good)
			s.checkBudget()
		})
	}
}

// An ejected broker gets requests again once it has recovered.
func TestRecoveredBrokerGetsRequests(t *testing.T) {
	for _, fault := range []condition{frozen, crashed, flaky, failingFast, alwaysFull, slowAnswers} {
		s := newSimulation(t, 4, 4)
		s.traffic(200, 60*time.Second, s.safeRequest)
		s.run(10 * time.Second)
		s.brokers["i02"].condition = fault
		s.run(20 * time.Second)
		s.brokers["i02"].condition = healthy
		s.run(30 * time.Second)
		s.takeArrivals()
		s.run(40 * time.Second)
		assert.Assert(t, s.takeArrivals()["i02"] > 200, "condition %d", fault)
	}
}
