package policy

import (
	"testing"

	"kestrelspread/internal/predict"
)

func TestSlowReplicaIsSkippedUntilItsHistoryExpires(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 30)
	s := p.servers[0]
	for i := range s.history {
		s.history[i] = latencySample{900, now, 0}
	}
	p.servers[1].batches, p.batches = 5, 5
	out.servers = nil
	runSearch(p, now+1, 0, 1)
	wantInts(t, "sent while one replica looks slow to", out.servers, 1)
	endLastAttempts(p, now+2, Answered, 1)
	runSearch(p, now+historyExpiry+50, 10, 1)
	wantInts(t, "sent after the history expired to", out.servers, 1, 0)
	for _, o := range p.servers {
		for i := range o.history {
			o.history[i] = latencySample{900, now + historyExpiry + 100, 0}
		}
	}
	runSearch(p, now+historyExpiry+101, 20, 1)
	wantInts(t, "sent when all look slow to", out.servers, 1, 0, 0)
}

// A server that hangs sends no answers and soon has the fewest batches in flight; it must not be
// predicted fast.
func TestUnansweredAttemptCountsAsSlow(t *testing.T) {
	p, _ := newTestPolicy(1, nil)
	now := runAnsweredSearches(p, 1000, 30)
	runSearch(p, now, 0, 1)
	server, predictor := p.servers[0], &p.predictor
	if vector := predictor.features(now+50, server, 0); predictor.score(vector) > 0.5 {
		t.Fatal("an attempt just sent is predicted slow")
	}
	if vector := predictor.features(now+900, server, 0); vector[2] != predict.MaxFeature || predictor.score(vector) <= 0.5 {
		t.Fatalf("an attempt in flight for nine slow thresholds is predicted fast: %v", vector)
	}
}

// A server's slow threshold is its own, bounded by 1.5 times the fleet's.
func TestSlowThresholdIsTheServersOwnBoundedByTheFleets(t *testing.T) {
	p, _ := newTestPolicy(2, nil)
	for i := 1; i <= 100; i++ {
		p.predictor.latencies.Add(1000, float64(i))
		p.servers[0].latencies.Add(1000, 1000)
		p.servers[1].latencies.Add(1000, 50)
	}
	p.EndRound()
	if got := p.predictor.slowThreshold(1000, p.servers[0]); got < 130 || got > 140 {
		t.Fatalf("slow threshold of a server that is always slow: %.0f, want 1.5 times the fleet's 90", got)
	}
	if got := p.predictor.slowThreshold(1000, p.servers[1]); got > 55 {
		t.Fatalf("slow threshold of a fast server: %.0f, want its own 50", got)
	}
}

// A large shard request takes long without its server being slow, and must not make the server look
// slow.
func TestHintedExtraWorkIsSubtractedFromLatency(t *testing.T) {
	p, _ := newTestPolicy(1, nil)
	now := runAnsweredSearches(p, 1000, 30)
	p.BeginRound(now)
	p.AddSearch(0, 0, 0, now+3000, 1)
	p.AddShardRequest(0, 1, 0, 1, 180, 0)
	p.EndRound()
	endLastAttempts(p, now+180, Answered, 1)
	if got := p.servers[0].history[0].latency; got > 110 {
		t.Fatalf("a request with 180 ms of work, answered in 180 ms, counts as %.0f ms, want about 100", got)
	}
}

// Guards against congestion going unnoticed where clients leave before they are answered: only
// quick answers were recorded, as the long attempts were cancelled.
func TestCancelledAttemptsTeachTheirMinimumLatency(t *testing.T) {
	p, _ := newTestPolicy(1, nil)
	now := runAnsweredSearches(p, 1000, 30)
	for i := range 8 {
		runSearch(p, now, 20*i, 1)
		p.WakeUpDue()
		p.BeginRound(now + 450)
		p.ClientGone(20 * i)
		p.AttemptDone(20*i+1, 0, Cancelled, nil)
		p.EndRound()
		now += 460
	}
	failIf(t, p.expectedLatency(p.servers[0]) < 350,
		"expected latency %.0f ms though nothing was answered within 450 ms", p.expectedLatency(p.servers[0]))
}

// Guards against the bias alone predicting every server without recent answers as slow: under
// overload nothing was retried then.
func TestEmptyHistoryIsPredictedFast(t *testing.T) {
	p, out := newTestPolicy(20, nil) // the aggregator sends to each server once in two seconds
	now := runAnsweredSearches(p, 1000, 90)
	p.predictor.weights[0] = 5
	out.servers = nil
	runSearch(p, now+1500, 0, 1)
	for at := now + 1510; at <= now+3400; at += 10 {
		p.BeginRound(at)
		p.WakeUpDue()
		p.EndRound()
	}
	failIf(t, len(out.servers) != 2 || out.servers[0] == out.servers[1],
		"sent to %v: want the request retried at another server than the unresponsive one", out.servers)
}
