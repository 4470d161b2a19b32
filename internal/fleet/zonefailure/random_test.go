package zonefailure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"kestrelspread/internal/aggregator/policy"
)

// TestRandomScriptsMatchTruth compares the detector's decisions with the actual state of simulated sites. In each random script one
// site is lost for a while, one of ten servers never answers, and latencies are random. A site that answers again must not be
// declared lost, no site may remain lost at the end, at least 95 % of the losses in which five or more sound servers were asked must
// be detected, and false alarms must be rare.
func TestRandomScriptsMatchTruth(t *testing.T) {
	n := 3000
	if testing.Short() {
		n = 300
	}
	found, losses, falseAlarms := 0, 0, 0
	for seed := range uint64(n) {
		scriptFound, scriptLosses, scriptFalseAlarms := runScript(t, seed)
		found, losses, falseAlarms = found+scriptFound, losses+scriptLosses, falseAlarms+scriptFalseAlarms
	}
	t.Logf("%d seeds: %d losses, %d detected, %d false alarms", n, losses, found, falseAlarms)
	if found*100 < losses*95 {
		t.Errorf("%d of %d losses detected, want 95 %% or more", found, losses)
	}
	if falseAlarms*1000 > n*40 { // each script has 40 bursts
		t.Errorf("%d false alarms in %d scripts, want one in 1000 bursts at most", falseAlarms, n)
	}
}

// randomScript simulates sites of which one is lost for a while, and counts what the detector decides.
type randomScript struct {
	*scenario
	rng        *rand.Rand
	faulty     map[int]bool // servers that never answer
	lostSite   int
	from, to   int // the site is lost from burst from until before burst to
	losses     int // losses that the detector should detect at once
	found      int // losses that it did detect at once
	falseAlarm int // losses that it declared of sites that were not lost
}

// newRandomScript returns the script for a seed, after some bursts that all servers answer.
func newRandomScript(seed uint64) *randomScript {
	rng := rand.New(rand.NewPCG(seed, 4))
	sizes := make([]int, 2+rng.IntN(4))
	for i := range sizes {
		sizes[i] = 5 + rng.IntN(30)
	}
	s := &randomScript{scenario: newScenario(DefaultConfig, rng.IntN(len(sizes)), sizes...), rng: rng, faulty: map[int]bool{}}
	s.runHealthy(6)
	s.changes = nil
	for _, servers := range s.sites {
		for _, id := range servers {
			s.faulty[id] = rng.IntN(10) == 0
		}
	}
	s.lostSite = rng.IntN(len(sizes))
	s.from, s.to = 8+rng.IntN(6), 20+rng.IntN(10)
	return s
}

// runScript runs the script of a seed, and returns how many losses there were and were detected, and the number of false alarms.
func runScript(t *testing.T, seed uint64) (found, losses, falseAlarms int) {
	t.Helper()
	s := newRandomScript(seed)
	for burst := range 40 {
		before := s.State(s.lostSite)
		asked := s.playBurst(burst)
		lost := burst >= s.from && burst < s.to
		if !lost && before != Lost && s.State(s.lostSite) == Lost && burst > s.to+1 && asked >= 5 {
			t.Errorf("seed %d: burst %d: site %d was declared lost though it answers", seed, burst, s.lostSite)
		}
	}
	for site := range s.sites {
		if s.State(site) == Lost {
			t.Errorf("seed %d: site %d is still lost at the end of the script", seed, site)
		}
	}
	for id := range s.servers {
		if s.servers[id].inFlight < 0 {
			t.Errorf("seed %d: server %d has %d sub-requests in flight", seed, id, s.servers[id].inFlight)
		}
	}
	return s.found, s.losses, s.falseAlarm
}

// playBurst sends one burst of sub-requests and has the servers answer it. It returns how many sub-requests went to servers of
// lostSite that are not faulty.
func (s *randomScript) playBurst(burst int) (asked int) {
	lost := burst >= s.from && burst < s.to
	ids, asked := s.chooseServers()
	sent := s.sendBurst(ids...)
	latencies := map[int]float64{}
	for _, id := range ids {
		latencies[id] = 10 + 15*s.rng.ExpFloat64()
	}
	for step := 10.0; step <= 300; step += 10 {
		s.advanceTo(sent + step)
		for _, id := range ids {
			silent := s.faulty[id] || lost && s.servers[id].site == s.lostSite
			if ms, pending := latencies[id]; pending && ms <= step && !silent {
				delete(latencies, id)
				s.answer(sent, id)
			}
		}
	}
	if lost && burst == s.from && asked >= 5 {
		s.losses++
		if s.State(s.lostSite) == Lost {
			s.found++
		}
	}
	for _, c := range s.changes {
		if c.To == Lost && !c.ProbeHint && !(lost && c.Site == s.lostSite) {
			s.falseAlarm++
		}
	}
	s.changes = nil
	s.BeginTurn(s.now)
	for _, id := range ids {
		if _, pending := latencies[id]; pending {
			s.RecordDone(id, sent, false, false)
		}
	}
	s.EndTurn()
	s.advanceTo(s.now + 200*s.rng.Float64())
	return asked
}

// chooseServers chooses each server with a probability of one half, and counts those of lostSite that are not faulty.
func (s *randomScript) chooseServers() (ids []int, asked int) {
	for site, servers := range s.sites {
		for _, id := range servers {
			if s.rng.IntN(2) != 0 {
				continue
			}
			ids = append(ids, id)
			if site == s.lostSite && !s.faulty[id] {
				asked++
			}
		}
	}
	return ids, asked
}

// noopPolicy is a policy that does nothing, so that benchmarks measure the detector alone.
type noopPolicy struct{ policy.Decider }

func (noopPolicy) BeginRound(float64)                                                {}
func (noopPolicy) EndRound()                                                         {}
func (noopPolicy) AddSearch(int, int, int, float64, int)                             {}
func (noopPolicy) AddShardRequest(int, int, int, float64, float64, uint64)           {}
func (noopPolicy) AttemptDone(int, int, policy.Outcome, []float64)                   {}
func (noopPolicy) UpdateServer(int, int, int, policy.ServerStatus, float64, float64) {}
func (noopPolicy) ZoneChanged(int, bool, float64)                                    {}

// BenchmarkSearch measures the cost of detection in a search with ten shard requests, by the number of sites with twenty servers each.
// With 0 sites it measures the calls without an Interceptor.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{0, 3, 10, 50} {
		b.Run(fmt.Sprint(n, " sites"), func(b *testing.B) {
			var out policy.Executor
			var port policy.Decider = noopPolicy{}
			if n > 0 {
				port = Intercept(nil, 0, DefaultConfig, func(o policy.Executor) policy.Decider { out = o; return noopPolicy{} })
			}
			for id := range 20 * n {
				port.UpdateServer(id, id%max(n, 1), 0, policy.Ready, 1, 0)
			}
			b.ReportAllocs()
			now := 1000.0
			for i := 0; b.Loop(); i++ {
				now += 1
				port.BeginRound(now)
				port.AddSearch(0, 0, 0, math.Inf(1), 10)
				for k := range 10 {
					port.AddShardRequest(0, k+1, k, 0.1, 0, 0)
					if n > 0 {
						(*policyOutput)(port.(*Interceptor)).detector.RecordSent((i*10 + k) % (20 * n))
						interceptor := port.(*Interceptor)
						interceptor.attempts[k+1] = append(interceptor.attempts[k+1], attempt{(i*10 + k) % (20 * n), now})
					}
				}
				port.EndRound()
				now += 1
				port.BeginRound(now)
				for k := range 10 {
					port.AttemptDone(k+1, 0, policy.Answered, nil)
				}
				port.EndRound()
			}
			_ = out
		})
	}
}
