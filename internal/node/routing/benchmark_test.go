package routing

import (
	"fmt"
	"testing"

	"kestrelspread/internal/node/verdict"
)

// The cost of one request from Begin to End.
func BenchmarkRequest(b *testing.B) {
	for _, brokers := range []int{18, 600} {
		for _, sticky := range []bool{false, true} {
			b.Run(fmt.Sprintf("brokers %d sticky %v", brokers, sticky), func(b *testing.B) {
				benchmarkRequest(b, brokers, sticky)
			})
		}
	}
}

func benchmarkRequest(b *testing.B, brokers int, sticky bool) {
	w := newWorld(&testing.T{}, instances(brokers))
	route := safeRoute
	if sticky {
		route = againRoute
	}
	b.ReportAllocs()
	for i := range b.N {
		w.now += 20 * ms
		id, d := w.Begin(w.now, w.prompt(route, uint64(i%300)))
		if d.Attempt == nil {
			b.Fatal("no attempt")
		}
		load := Load{Running: i % 20, Slots: 64}
		w.Started(w.now+15*ms, id, 0, &load)
		w.Finished(w.now+18*ms, id, 0, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
		w.End(w.now+18*ms, id)
	}
}
