package engine

import (
	"testing"

	"kestrelspread/internal/transport"
)

// The length of a fuzzed run, in random steps: searches start in the first ones alone.
const (
	fuzzSteps       = 1500
	fuzzSearchSteps = 1200
)

// ownStallMs is how long the aggregator itself stands still when a fuzzed run stalls it.
const ownStallMs = 300

func FuzzEngine(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed, uint8(seed%4))
	}
	f.Fuzz(func(t *testing.T, seed uint64, faultSeed uint8) {
		w := newWorld(t, seed, 8)
		totals := &usageTotals{byResult: map[Result]int64{}}
		w.engine.SetMeter(totals)
		faultWeight := int(faultSeed % 8)
		w.turn()
		for step := range fuzzSteps {
			w.advanceRandomly(faultWeight)
			events := w.randomSearch(step)
			w.failRandomly(faultWeight)
			events = append(events, w.randomConnEvents(faultWeight)...)
			w.turn(events...)
		}
		w.shutDownAndCheck()
		totals.reconcile(t, &w.engine.Count)
	})
}

// advanceRandomly goes on to a random time, or to the timer if that is earlier; at times the aggregator stalls.
func (w *world) advanceRandomly(faultWeight int) {
	next := w.now + w.rng.ExpFloat64()*8
	if w.timerAt > w.now {
		next = min(next, w.timerAt)
	}
	w.now = next
	if w.rng.IntN(400) < faultWeight {
		w.now += ownStallMs
		for _, client := range w.clients {
			client.answerDeadline += ownStallMs
		}
	}
}

// randomSearch returns the start of a search as an event, or nothing.
func (w *world) randomSearch(step int) (events []func()) {
	if step < fuzzSearchSteps && w.rng.IntN(4) == 0 && !w.unlistened && !w.paused {
		shards := w.rng.Perm(8)[:1+w.rng.IntN(5)]
		kind := []string{"quick", "once", "part"}[w.rng.IntN(3)]
		events = append(events, func() { w.startSearch(kind, float64(50+w.rng.IntN(900)), shards...) })
	}
	return events
}

// failRandomly makes connecting fail at times, and changes the state of a server at times.
func (w *world) failRandomly(faultWeight int) {
	if w.rng.IntN(100) < faultWeight {
		w.connectsLeft = min(w.rng.IntN(8)-7, 0) // at times no connection can be opened
	}
	i := w.rng.IntN(len(w.servers))
	if w.rng.IntN(200) >= faultWeight {
		return
	}
	s := &w.servers[i]
	states := []string{"ready", "draining", "ready", "gone", "ready"}
	previous := s.state
	s.state = states[w.rng.IntN(5)]
	if previous == "ready" && s.state != previous {
		s.changedAt = w.now + 1e9 // until the aggregator is notified
	}
}

// randomConnEvents returns one event for each of some connections; a watch may get a list besides.
func (w *world) randomConnEvents(faultWeight int) (events []func()) {
	for c, e := range w.conns {
		if e == nil || w.rng.IntN(3) > 0 {
			continue
		}
		events = append(events, func() {
			if w.conns[c] == e {
				w.stepConn(transport.Conn(c), e, faultWeight)
			}
		})
		if e.destination.Port() == 9 && e.watched && w.rng.IntN(5) == 0 {
			events = append(events, func() {
				if w.conns[c] == e {
					w.sendChangedList(transport.Conn(c))
				}
			})
		}
	}
	return events
}

// sendChangedList sends a list, full at times: from now on the aggregator knows the state of each server.
func (w *world) sendChangedList(c transport.Conn) {
	w.sendList(c, w.rng.IntN(4) == 0)
	for i := range w.servers {
		if w.servers[i].changedAt > w.now {
			w.servers[i].changedAt = w.now
		}
	}
}

// shutDownAndCheck terminates the aggregator without further faults: afterwards it retains nothing.
func (w *world) shutDownAndCheck() {
	w.connectsLeft = -1
	w.turn(func() { w.engine.Notified(Terminate) })
	for range 4000 {
		if w.stopped {
			break
		}
		w.now += 5
		var events []func()
		for c, e := range w.conns {
			if e != nil {
				events = append(events, func() {
					if w.conns[c] == e {
						w.stepConn(transport.Conn(c), e, 0)
					}
				})
			}
		}
		w.turn(events...)
	}
	engine := w.engine
	if !w.stopped || engine.clientCount != 0 || engine.openSearches != 0 || engine.pendingCount != 0 {
		w.t.Fatalf("stopped %v, %d clients, %d searches, %d pending", w.stopped, engine.clientCount, engine.openSearches, engine.pendingCount)
	}
	if len(engine.freeEntries) != len(engine.entries) || w.pool.InUse() != 0 {
		w.t.Fatalf("%d of %d indices free, %d buffers in use", len(engine.freeEntries), len(engine.entries), w.pool.InUse())
	}
	open := 0
	for _, e := range w.conns {
		if e != nil {
			open++
		}
	}
	if open != engine.socketCount {
		w.t.Fatalf("%d sockets counted, %d open", engine.socketCount, open)
	}
}
