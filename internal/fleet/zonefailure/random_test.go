package zonefailure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"kestrelspread/internal/aggregator/policy"
)

// Random scripts against the truth: sites come and go, servers fail by themselves, answers take their times. What must hold:
// nobody who answered since the burst is held to be lost, a site of which five were asked and none answers is found while
// others answer, and what answers again is not held to be lost.
func TestRandomScripts(t *testing.T) {
	n := 3000
	if testing.Short() {
		n = 300
	}
	found, losses, wrong := 0, 0, 0
	for seed := range uint64(n) {
		f, l, w := script(t, seed)
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

func script(t *testing.T, seed uint64) (found, losses, wrong int) {
	rng := rand.New(rand.NewPCG(seed, 4))
	sizes := make([]int, 2+rng.IntN(4))
	for i := range sizes {
		sizes[i] = 5 + rng.IntN(30)
	}
	p := sites(Usual, rng.IntN(len(sizes)), sizes...)
	p.usual(6)
	p.changes = nil
	bad := map[int]bool{}
	for _, s := range p.sites {
		for _, id := range s {
			bad[id] = rng.IntN(10) == 0
		}
	}
	gone := rng.IntN(len(sizes))
	from, to := 8+rng.IntN(6), 20+rng.IntN(10)
	for burst := range 40 {
		lost := burst >= from && burst < to
		var ids []int
		asked := 0 // sound servers of the site that goes
		for at, s := range p.sites {
			for _, id := range s {
				if rng.IntN(2) == 0 {
					ids = append(ids, id)
					if at == gone && !bad[id] {
						asked++
					}
				}
			}
		}
		was := p.State(gone)
		sent := p.burst(ids...)
		took := map[int]float64{}
		for _, id := range ids {
			took[id] = 10 + 15*rng.ExpFloat64()
		}
		for step := 10.0; step <= 300; step += 10 {
			p.to(sent + step)
			for _, id := range ids {
				if ms, out := took[id]; out && ms <= step && !bad[id] && !(lost && p.servers[id].site == gone) {
					delete(took, id)
					p.answer(sent, id)
				}
			}
		}
		if lost && burst == from {
			losses++
			if asked >= 5 && p.State(gone) == Lost {
				found++
			} else if asked < 5 {
				losses--
			}
		}
		for _, c := range p.changes {
			if c.To == Lost && !c.Hint && !(lost && c.Site == gone) {
				wrong++
			}
		}
		p.changes = nil
		p.Begin(p.at)
		for _, id := range ids {
			if _, out := took[id]; out {
				p.Done(id, sent, false, false)
			}
		}
		p.End()
		p.to(p.at + 200*rng.Float64())
		if !lost && was != Lost && p.State(gone) == Lost && burst > to+1 && asked >= 5 {
			t.Errorf("seed %d: lost though it answers", seed)
		}
	}
	for at := range p.sites {
		if p.State(at) == Lost {
			t.Errorf("seed %d: site %d is held to be lost at the end", seed, at)
		}
	}
	for id := range p.servers {
		if p.servers[id].out < 0 {
			t.Errorf("seed %d: %d out at a server", seed, p.servers[id].out)
		}
	}
	return found, losses, wrong
}

// mute is a module that does nothing, so that what is measured is the sight.
type mute struct{ policy.Port }

func (mute) Begin(float64)                                        {}
func (mute) End()                                                 {}
func (mute) Search(int, int, int, float64, int)                   {}
func (mute) ShardRequest(int, int, int, float64, float64, uint64) {}
func (mute) Done(int, int, policy.Outcome, []float64)             {}
func (mute) Server(int, int, int, policy.State, float64, float64) {}
func (mute) ZoneChanged(int, bool, float64)                       {}

// BenchmarkSearch is what sight costs for a search of ten parts, at so many sites of twenty servers.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{0, 3, 10, 50} {
		b.Run(fmt.Sprint(n, " sites"), func(b *testing.B) {
			var out policy.Out
			var port policy.Port = mute{}
			if n > 0 {
				port = Watch(nil, 0, Usual, func(o policy.Out) policy.Port { out = o; return mute{} })
			}
			for id := range 20 * n {
				port.Server(id, id%max(n, 1), 0, policy.Ready, 1, 0)
			}
			b.ReportAllocs()
			now := 1000.0
			for i := 0; b.Loop(); i++ {
				now += 1
				port.Begin(now)
				port.Search(0, 0, 0, math.Inf(1), 10)
				for k := range 10 {
					port.ShardRequest(0, k+1, k, 0.1, 0, 0)
					if n > 0 {
						(*outward)(port.(*Port)).sight.Sent((i*10 + k) % (20 * n))
						q := port.(*Port)
						q.parts[k+1] = append(q.parts[k+1], sent{(i*10 + k) % (20 * n), now})
					}
				}
				port.End()
				now += 1
				port.Begin(now)
				for k := range 10 {
					port.Done(k+1, 0, policy.Answered, nil)
				}
				port.End()
			}
			_ = out
		})
	}
}
