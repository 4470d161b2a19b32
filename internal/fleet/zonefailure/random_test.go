package zonefailure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"kestrelspread/internal/aggregator/policy"
)

// Random scripts against the truth: sites come and go, servers fail by themselves, answers take their times. What must hold:
// a site that has answered since the burst is not declared lost, a site of which five were asked and none answers is found
// while others answer, and a site that answers again is not declared lost.
func TestRandomScriptsMatchTruth(t *testing.T) {
	n := 3000
	if testing.Short() {
		n = 300
	}
	found, losses, wrong := 0, 0, 0
	for seed := range uint64(n) {
		f, l, w := runScript(t, seed)
		found, losses, wrong = found+f, losses+l, wrong+w
	}
	t.Logf("%d seeds: %d losses, %d found, %d false alarms", n, losses, found, wrong)
	if found*100 < losses*95 {
		t.Errorf("%d of %d losses found", found, losses)
	}
	if wrong*1000 > n*40 { // bursts in each script
		t.Errorf("%d false alarms in %d scripts", wrong, n)
	}
}

// randomScript is one fleet of which one site is lost for a while.
type randomScript struct {
	*scenario
	rng        *rand.Rand
	faulty     map[int]bool // servers that never answer
	lostSite   int
	from, to   int // bursts in which the site is lost
	losses     int
	found      int
	falseAlarm int
}

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

func runScript(t *testing.T, seed uint64) (found, losses, wrong int) {
	t.Helper()
	s := newRandomScript(seed)
	for burst := range 40 {
		before := s.State(s.lostSite)
		asked := s.playBurst(burst)
		lost := burst >= s.from && burst < s.to
		if !lost && before != Lost && s.State(s.lostSite) == Lost && burst > s.to+1 && asked >= 5 {
			t.Errorf("seed %d: lost though it answers", seed)
		}
	}
	for site := range s.sites {
		if s.State(site) == Lost {
			t.Errorf("seed %d: site %d is held to be lost at the end", seed, site)
		}
	}
	for id := range s.servers {
		if s.servers[id].inFlight < 0 {
			t.Errorf("seed %d: %d out at a server", seed, s.servers[id].inFlight)
		}
	}
	return s.found, s.losses, s.falseAlarm
}

// playBurst sends one burst and has servers answer it. It returns how many sound servers of the lost site were asked.
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

// chooseServers picks half of all, and counts the sound ones of the lost site among them.
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

// silentModule is a module that does nothing, so that what is measured is the detector.
type silentModule struct{ policy.Decider }

func (silentModule) BeginRound(float64)                                                {}
func (silentModule) EndRound()                                                         {}
func (silentModule) AddSearch(int, int, int, float64, int)                             {}
func (silentModule) AddShardRequest(int, int, int, float64, float64, uint64)           {}
func (silentModule) AttemptDone(int, int, policy.Outcome, []float64)                   {}
func (silentModule) UpdateServer(int, int, int, policy.ServerStatus, float64, float64) {}
func (silentModule) ZoneChanged(int, bool, float64)                                    {}

// BenchmarkSearch measures what detection costs in a search of ten parts, at so many sites of twenty servers.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{0, 3, 10, 50} {
		b.Run(fmt.Sprint(n, " sites"), func(b *testing.B) {
			var out policy.Executor
			var port policy.Decider = silentModule{}
			if n > 0 {
				port = Intercept(nil, 0, DefaultConfig, func(o policy.Executor) policy.Decider { out = o; return silentModule{} })
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
						(*moduleOutput)(port.(*Interceptor)).detector.RecordSent((i*10 + k) % (20 * n))
						q := port.(*Interceptor)
						q.attempts[k+1] = append(q.attempts[k+1], attempt{(i*10 + k) % (20 * n), now})
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
