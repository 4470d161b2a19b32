package policy

import (
	"testing"

	"kestrelspread/internal/predict"
)

func TestSlowReplicaIsSkippedUntilItsHistoryExpires(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 30)
	s := b.servers[0]
	for i := range s.history {
		s.history[i] = latencySample{900, now, 0}
	}
	b.servers[1].batches, b.batches = 5, 5
	n.servers = nil
	runSearch(b, now+1, 0, 1)
	wantInts(t, "sent past the slow replica to", n.servers, 1)
	endLastAttempts(b, now+2, Answered, 1)
	runSearch(b, now+historyExpiry+50, 10, 1)
	wantInts(t, "sent after the expiry to", n.servers, 1, 0)
	for _, o := range b.servers {
		for i := range o.history {
			o.history[i] = latencySample{900, now + historyExpiry + 100, 0}
		}
	}
	runSearch(b, now+historyExpiry+101, 20, 1)
	wantInts(t, "sent when all look slow to", n.servers, 1, 0, 0)
}

// A hang must not read as fast: nothing comes back from it, and nothing outstanding is the fewest.
func TestUnansweredAttemptReadsAsSlow(t *testing.T) {
	b, _ := newTestPolicy(1, nil)
	now := runAnsweredSearches(b, 1000, 30)
	runSearch(b, now, 0, 1)
	s, g := b.servers[0], &b.predictor
	if x := g.features(now+50, s, 0); g.score(x) > 0.5 {
		t.Fatal("an attempt just sent is predicted slow")
	}
	if x := g.features(now+900, s, 0); x[2] != predict.MaxFeature || g.score(x) <= 0.5 {
		t.Fatalf("an attempt in flight for nine lines is predicted fast: %v", x)
	}
}

func TestLineIsTheServersOwnUnderTheFleets(t *testing.T) {
	b, _ := newTestPolicy(2, nil)
	for i := 1; i <= 100; i++ {
		b.predictor.latencies.Add(1000, float64(i))
		b.servers[0].latencies.Add(1000, 1000)
		b.servers[1].latencies.Add(1000, 50)
	}
	b.End()
	if got := b.predictor.slowThreshold(1000, b.servers[0]); got < 130 || got > 140 {
		t.Fatalf("line of a server that is always slow: %.0f, want one and a half times the fleet's 90", got)
	}
	if got := b.predictor.slowThreshold(1000, b.servers[1]); got > 55 {
		t.Fatalf("line of a fast server: %.0f, want its own", got)
	}
}

// A large request takes long without its server being slow, and must not make the server look slow.
func TestHintedWorkIsTakenOffLatencies(t *testing.T) {
	b, _ := newTestPolicy(1, nil)
	now := runAnsweredSearches(b, 1000, 30)
	b.Begin(now)
	b.Search(0, 0, 0, now+3000, 1)
	b.ShardRequest(0, 1, 0, 1, 180, 0)
	b.End()
	endLastAttempts(b, now+180, Answered, 1)
	if got := b.servers[0].history[0].latency; got > 110 {
		t.Fatalf("a request of 180 ms work, answered in 180, counts as %.0f against the usual 100", got)
	}
}

// Clients that left early took all long ages with them: only quick parts were heard of, and a jam
// read as calm.
func TestCancelledAttemptsTeachTheirMinimumLatency(t *testing.T) {
	b, _ := newTestPolicy(1, nil)
	now := runAnsweredSearches(b, 1000, 30)
	for i := range 8 {
		runSearch(b, now, 20*i, 1)
		b.Woken()
		b.Begin(now + 450)
		b.ClientGone(20 * i)
		b.Done(20*i+1, 0, Cancelled, nil)
		b.End()
		now += 460
	}
	failIf(t, b.expectedLatency(b.servers[0]) < 350, "expected %.0f ms where nothing came in 450", b.expectedLatency(b.servers[0]))
}

// In bad times the bias alone made every server that nothing was heard of read as slow, and no part
// was sent again.
func TestEmptyHistoryIsPredictedFast(t *testing.T) {
	b, n := newTestPolicy(20, nil) // the broker comes to a server once in two seconds
	now := runAnsweredSearches(b, 1000, 90)
	b.predictor.weights[0] = 5
	n.servers = nil
	runSearch(b, now+1500, 0, 1)
	for at := now + 1510; at <= now+3400; at += 10 {
		b.Begin(at)
		b.Woken()
		b.End()
	}
	failIf(t, len(n.servers) != 2 || n.servers[0] == n.servers[1], "sent to %v: want the part taken off the silent server", n.servers)
}
