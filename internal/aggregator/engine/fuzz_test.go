package engine

import (
	"testing"

	"kestrelspread/internal/transport"
)

func FuzzEngine(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed, uint8(seed%4))
	}
	f.Fuzz(func(t *testing.T, seed uint64, ill uint8) {
		w := newWorld(t, seed, 8)
		b := &book{by: map[Result]int64{}}
		w.r.SetMeter(b)
		bad := int(ill % 8)
		w.turn()
		for step := range 1500 {
			if next := w.now + w.rng.ExpFloat64()*8; w.armed > w.now {
				w.now = min(next, w.armed)
			} else {
				w.now = next
			}
			if w.rng.IntN(400) < bad {
				w.now += 300 // it stood still
				for _, k := range w.callers {
					k.late += 300
				}
			}
			var events []func()
			if step < 1200 && w.rng.IntN(4) == 0 && !w.deaf && !w.paused {
				shards := w.rng.Perm(8)[:1+w.rng.IntN(5)]
				kind := []string{"quick", "once", "part"}[w.rng.IntN(3)]
				events = append(events, func() { w.ask(kind, float64(50+w.rng.IntN(900)), shards...) })
			}
			if w.rng.IntN(100) < bad {
				w.least = min(w.rng.IntN(8)-7, 0) // at times no connection can be had
			}
			if i := w.rng.IntN(len(w.list)); w.rng.IntN(200) < bad {
				s := &w.list[i]
				states := []string{"ready", "draining", "ready", "gone", "ready"}
				was := s.state
				if s.state = states[w.rng.IntN(5)]; was == "ready" && s.state != was {
					s.since = w.now + 1e9 // until it is told
				}
			}
			for c, e := range w.ends {
				if e == nil || w.rng.IntN(3) > 0 {
					continue
				}
				events = append(events, func() {
					if w.ends[c] == e {
						w.serve(transport.Conn(c), e, bad)
					}
				})
				if e.to.Port() == 9 && e.watched && w.rng.IntN(5) == 0 {
					events = append(events, func() {
						if w.ends[c] != e {
							return
						}
						w.news(transport.Conn(c), w.rng.IntN(4) == 0)
						for i := range w.list {
							if w.list[i].since > w.now {
								w.list[i].since = w.now
							}
						}
					})
				}
			}
			w.turn(events...)
		}
		w.settle()
		b.reconcile(t, &w.r.Count)
	})
}

// settle lets all come to its end, after which nothing may be left.
func (w *world) settle() {
	w.least = -1
	w.turn(func() { w.r.Notified(Terminate) })
	for range 4000 {
		if w.stopped {
			break
		}
		w.now += 5
		var events []func()
		for c, e := range w.ends {
			if e != nil {
				events = append(events, func() {
					if w.ends[c] == e {
						w.serve(transport.Conn(c), e, 0)
					}
				})
			}
		}
		w.turn(events...)
	}
	r := w.r
	if !w.stopped || r.clients != 0 || r.openSearches != 0 || r.pending != 0 {
		w.t.Fatalf("stopped %v, %d clients, %d searches, %d held", w.stopped, r.clients, r.openSearches, r.pending)
	}
	if len(r.freeEntries) != len(r.entries) || w.pool.InUse() != 0 {
		w.t.Fatalf("%d of %d indices free, %d buffers out", len(r.freeEntries), len(r.entries), w.pool.InUse())
	}
	open := 0
	for _, e := range w.ends {
		if e != nil {
			open++
		}
	}
	if open != r.sockets {
		w.t.Fatalf("%d sockets counted, %d open", r.sockets, open)
	}
}
