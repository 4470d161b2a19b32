package policy

import (
	"testing"
)

// recorder records the decisions of the policy, by the indices that they are about.
type recorder struct {
	sent, cancelled, answered, shed, failed, probed, forgotten, closed []int
	servers                                                            []int
	retryAfter                                                         float64
	complete                                                           bool
	beginWithin                                                        float64
}

func (out *recorder) Send(request, server int, _, beginWithin float64) {
	out.sent, out.servers, out.beginWithin = append(out.sent, request), append(out.servers, server), beginWithin
}
func (out *recorder) Cancel(request, _ int) { out.cancelled = append(out.cancelled, request) }
func (out *recorder) Answer(search int, complete bool) {
	out.answered, out.complete = append(out.answered, search), complete
}
func (out *recorder) Shed(search int, retryAfter float64) {
	out.shed, out.retryAfter = append(out.shed, search), retryAfter
}
func (out *recorder) Fail(search int)                 { out.failed = append(out.failed, search) }
func (out *recorder) Probe(server int)                { out.probed = append(out.probed, server) }
func (out *recorder) CloseIdleConnections(server int) { out.closed = append(out.closed, server) }
func (out *recorder) SubscribeToServers()             {}
func (out *recorder) ScheduleWakeUp(_ float64)        {}
func (out *recorder) Log(_ string)                    {}
func (out *recorder) ReleaseSearch(search int)        { out.forgotten = append(out.forgotten, search) }

// newTestPolicy returns a policy with one query type, all servers ready at one position, after
// configure has changed its settings, and the recorder of its decisions.
func newTestPolicy(servers int, configure func(*Policy)) (*Policy, *recorder) {
	out := &recorder{}
	p := New(out, 1, 2, 0)
	p.AddQueryType(1000, 1, 0.3, Idempotent, 0)
	p.SetFleet(1, 1, 4, 10, false)
	p.SetLimits(4, 0, true, true)
	if configure != nil {
		configure(p)
	}
	p.BeginRound(1000)
	for i := range servers {
		p.UpdateServer(i, 0, 0, Ready, 1, 0)
	}
	p.EndRound()
	return p, out
}

// runSearch runs a round with one new search; the ids of its shard requests follow its own.
func runSearch(p *Policy, now float64, id, requests int) {
	p.BeginRound(now)
	p.AddSearch(id, 0, 0, now+3000, requests)
	for i := range requests {
		p.AddShardRequest(id, id+1+i, 0, 1/float64(requests), 100, 0)
	}
	p.EndRound()
}

// endLastAttempts runs a round in which the latest attempt of each shard request ends.
func endLastAttempts(p *Policy, now float64, outcome Outcome, requests ...int) {
	p.BeginRound(now)
	for _, id := range requests {
		if request := getAt(p.requests, id); request != nil {
			p.AttemptDone(id, len(request.attempts)-1, outcome, nil)
		}
	}
	p.EndRound()
}

// runAnsweredSearches runs searches one after another, each answered after 100 ms, and returns the
// time after them.
func runAnsweredSearches(p *Policy, now float64, searches int) float64 {
	for range searches {
		runSearch(p, now, 500, 1)
		endLastAttempts(p, now+100, Answered, 501)
		now += 110
	}
	return now
}

// wantInts fails the test if got differs from want.
func wantInts(t *testing.T, what string, got []int, want ...int) {
	t.Helper()
	failIf(t, len(got) != len(want), "%s: %v, want %v", what, got, want)
	for i := range got {
		failIf(t, got[i] != want[i], "%s: %v, want %v", what, got, want)
	}
}

// failIf fails the test if the condition holds.
func failIf(t *testing.T, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
