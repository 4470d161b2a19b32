package engine

import (
	"testing"

	"kestrelspread/internal/transport"
)

// The length of a fuzzed run in random steps. Searches start only in the first fuzzSearchSteps.
const (
	fuzzSteps       = 1500
	fuzzSearchSteps = 1200
)

// ownStallMs is for how many milliseconds the aggregator itself is stalled when a fuzzed run stalls
// it.
const ownStallMs = 300

// FuzzEngine runs an engine through random events and faults. The world checks after every turn
// that each search gets one answer in time; at the end nothing may be left behind, and the metered
// usage must equal the counters.
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
		totals.reconcile(t, &w.engine.Counters)
	})
}

// advanceRandomly advances the time by a random step, or to the next timer if that is earlier.
// Sometimes the aggregator is stalled.
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

// randomSearch returns an event that starts a search, or none.
func (w *world) randomSearch(step int) (events []func()) {
	if step < fuzzSearchSteps && w.rng.IntN(4) == 0 && !w.listenersClosed && !w.paused {
		shards := w.rng.Perm(8)[:1+w.rng.IntN(5)]
		kind := []string{"quick", "once", "part"}[w.rng.IntN(3)]
		events = append(events, func() { w.startSearch(kind, float64(50+w.rng.IntN(900)), shards...) })
	}
	return events
}

// failRandomly sometimes makes connecting fail, and sometimes changes the state of a server.
func (w *world) failRandomly(faultWeight int) {
	if w.rng.IntN(100) < faultWeight {
		w.connectsLeft = min(w.rng.IntN(8)-7, 0) // 0, no connection can be opened, in one of eight cases
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
		s.changedAt = w.now + 1e9 // until the aggregator is notified of the change
	}
}

// randomConnEvents returns one event for each of some randomly chosen connections. A watch may also
// get a list.
func (w *world) randomConnEvents(faultWeight int) (events []func()) {
	for c, conn := range w.conns {
		if conn == nil || w.rng.IntN(3) > 0 {
			continue
		}
		events = append(events, func() {
			if w.conns[c] == conn {
				w.stepConn(transport.Conn(c), conn, faultWeight)
			}
		})
		if conn.destination.Port() == 9 && conn.watched && w.rng.IntN(5) == 0 {
			events = append(events, func() {
				if w.conns[c] == conn {
					w.sendChangedList(transport.Conn(c))
				}
			})
		}
	}
	return events
}

// sendChangedList sends a list, sometimes a full one. From now on the aggregator knows the state of
// each server.
func (w *world) sendChangedList(c transport.Conn) {
	w.sendList(c, w.rng.IntN(4) == 0)
	for i := range w.servers {
		if w.servers[i].changedAt > w.now {
			w.servers[i].changedAt = w.now
		}
	}
}

// shutDownAndCheck shuts the aggregator down without further faults and checks that it retains
// nothing.
func (w *world) shutDownAndCheck() {
	w.connectsLeft = -1
	w.turn(func() { w.engine.Notified(Terminate) })
	for range 4000 {
		if w.stopped {
			break
		}
		w.now += 5
		var events []func()
		for c, conn := range w.conns {
			if conn != nil {
				events = append(events, func() {
					if w.conns[c] == conn {
						w.stepConn(transport.Conn(c), conn, 0)
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
	for _, conn := range w.conns {
		if conn != nil {
			open++
		}
	}
	if open != engine.socketCount {
		w.t.Fatalf("%d sockets counted, %d open", engine.socketCount, open)
	}
}
