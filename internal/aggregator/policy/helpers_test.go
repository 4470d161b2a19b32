package policy

import (
	"testing"
)

// recorder records the decisions of the policy.
type recorder struct {
	sent, cancelled, answered, shed, failed, probed, forgotten, closed []int
	servers                                                            []int
	retryAfter                                                         float64
	complete                                                           bool
	begin                                                              float64
}

func (n *recorder) Send(request, server int, _, begin float64) {
	n.sent, n.servers, n.begin = append(n.sent, request), append(n.servers, server), begin
}
func (n *recorder) Cancel(request, _ int) { n.cancelled = append(n.cancelled, request) }
func (n *recorder) Answer(search int, complete bool) {
	n.answered, n.complete = append(n.answered, search), complete
}
func (n *recorder) Shed(search int, retryAfter float64) {
	n.shed, n.retryAfter = append(n.shed, search), retryAfter
}
func (n *recorder) Fail(search int)   { n.failed = append(n.failed, search) }
func (n *recorder) Probe(server int)  { n.probed = append(n.probed, server) }
func (n *recorder) Close(server int)  { n.closed = append(n.closed, server) }
func (n *recorder) Subscribe()        {}
func (n *recorder) Wake(_ float64)    {}
func (n *recorder) Log(_ string)      {}
func (n *recorder) Forget(search int) { n.forgotten = append(n.forgotten, search) }

// newTestPolicy returns a policy with one query type and ready servers, after set has changed its settings.
func newTestPolicy(servers int, set func(*Policy)) (*Policy, *recorder) {
	n := &recorder{}
	b := New(n, 1, 2, 0)
	b.QueryType(1000, 1, 0.3, Idempotent, 0)
	b.Fleet(1, 1, 4, 10, false)
	b.Limits(4, 0, true, true)
	if set != nil {
		set(b)
	}
	b.Begin(1000)
	for i := range servers {
		b.Server(i, 0, 0, Ready, 1, 0)
	}
	b.End()
	return b, n
}

// runSearch runs a round with one search; its shard requests have the ids after its own.
func runSearch(b *Policy, now float64, id, requests int) {
	b.Begin(now)
	b.Search(id, 0, 0, now+3000, requests)
	for i := range requests {
		b.ShardRequest(id, id+1+i, 0, 1/float64(requests), 100, 0)
	}
	b.End()
}

// endLastAttempts runs a round in which the latest attempts of shard requests end.
func endLastAttempts(b *Policy, now float64, outcome Outcome, requests ...int) {
	b.Begin(now)
	for _, id := range requests {
		if p := getAt(b.requests, id); p != nil {
			b.Done(id, len(p.attempts)-1, outcome, nil)
		}
	}
	b.End()
}

// runAnsweredSearches runs searches that are answered after 100 ms, and returns the time after them.
func runAnsweredSearches(b *Policy, now float64, searches int) float64 {
	for range searches {
		runSearch(b, now, 500, 1)
		endLastAttempts(b, now+100, Answered, 501)
		now += 110
	}
	return now
}

func wantInts(t *testing.T, what string, got []int, want ...int) {
	t.Helper()
	failIf(t, len(got) != len(want), "%s: %v, want %v", what, got, want)
	for i := range got {
		failIf(t, got[i] != want[i], "%s: %v, want %v", what, got, want)
	}
}

func failIf(t *testing.T, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
