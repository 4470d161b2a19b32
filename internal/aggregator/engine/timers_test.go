package engine

import (
	"math/rand/v2"
	"slices"
	"testing"

	"kestrelspread/internal/transport"
)

func TestTimersAreCancelledWithTheirSearches(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	for range 200 {
		w.turn(func() { w.startSearch("quick", 900, 0, 1, 2) })
		w.openConns()
		for _, c := range w.serverConns() {
			w.answerAttempts(c)
		}
		for c, conn := range w.conns {
			if conn != nil && conn.client != nil {
				w.turn(func() { w.closeByPeer(transport.Conn(c)) })
			}
		}
		w.now++
	}
	if n := len(w.engine.timers); n > 30 || len(w.engine.searchByID) != 0 {
		t.Errorf("%d timers and %d open ids are left after 200 searches have ended", n, len(w.engine.searchByID))
	}
}

// FuzzTimers compares the heap, after random additions and cancellations, with a sorted list.
func FuzzTimers(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng, heap := rand.New(rand.NewPCG(seed, 1)), timers{}
		var all []*timer
		for range 300 {
			switch rng.IntN(3) {
			case 0:
				if len(all) > 0 {
					i := rng.IntN(len(all))
					heap.cancel(all[i])
					heap.cancel(all[i])
					all = slices.Delete(all, i, i+1)
				}
			default:
				all = append(all, heap.add(float64(rng.IntN(50)), nil))
			}
		}
		slices.SortFunc(all, func(a, b *timer) int { return int(a.dueAt - b.dueAt) })
		for i, want := range all {
			if got := heap.popEarliest(); got.dueAt != want.dueAt || got.heapIndex >= 0 {
				t.Fatalf("timer %d at %v, want %v", i, got.dueAt, want.dueAt)
			}
		}
		if len(heap) != 0 {
			t.Errorf("%d timers are left in the heap, want none", len(heap))
		}
	})
}
