package routing

import (
	"fmt"
	"testing"

	"kestrelspread/internal/node/verdict"
)

// BenchmarkRequest measures one request from Begin to End.
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
	f := newFixture(&testing.T{}, instances(brokers))
	route := safeRoute
	if sticky {
		route = resumableRoute
	}
	b.ReportAllocs()
	for i := range b.N {
		f.now += 20 * ms
		id, d := f.Begin(f.now, f.prompt(route, uint64(i%300)))
		if d.Attempt == nil {
			b.Fatal("no attempt")
		}
		load := Load{Running: i % 20, Slots: 64}
		f.AnswerStarted(f.now+15*ms, id, 0, &load)
		f.AttemptEnded(f.now+18*ms, id, 0, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
		f.End(f.now+18*ms, id)
	}
}
