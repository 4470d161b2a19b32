package policy

import (
	"testing"
)

// A search that can no longer reach its minimum share must not wait for its other requests.
func TestSearchThatCannotReachItsFloorIsGivenUpAtOnce(t *testing.T) {
	p, out := newTestPolicy(4, func(p *Policy) { p.SetLimits(1, 100, true, false) })
	runSearch(p, 1000, 0, 4)
	endLastAttempts(p, 1010, Errored, 2)
	failIf(t, len(out.shed)+len(out.failed) != 1, "shed %v, failed %v, want the search in one of them", out.shed, out.failed)
	// A search that can still reach its minimum share goes on.
	p, out = newTestPolicy(4, func(p *Policy) { p.SetLimits(1, 100, true, false); p.SetAnswerShares(0, 1, 0.5, 0.8, 0) })
	runSearch(p, 1000, 0, 4)
	endLastAttempts(p, 1010, Errored, 2)
	failIf(t, len(out.shed)+len(out.failed) != 0, "shed %v, failed %v, want none", out.shed, out.failed)
}

// A search that may be answered partially gets its partial answer at the latency target, not before.
func TestPartialAnswerAtTheLatencyTarget(t *testing.T) {
	p, out := newTestPolicy(2, func(p *Policy) { p.SetAnswerShares(0, 1, 0.5, 0.8, 0) })
	runSearch(p, 1000, 0, 4)
	endLastAttempts(p, 1100, Answered, 1, 2, 3)
	wantInts(t, "answered before the latency target", out.answered)
	endLastAttempts(p, 1000+1000-answerMargin, Answered)
	wantInts(t, "answered at the latency target", out.answered, 0)
	failIf(t, out.complete, "three of four requests marked complete")
}

// Guards against shard requests that try all replicas of a set that is full, which kept all of its
// queues full.
func TestRequestRejectedTwiceIsGivenUp(t *testing.T) {
	p, out := newTestPolicy(4, nil)
	runSearch(p, 1000, 0, 1)
	endLastAttempts(p, 1002, Rejected, 1)
	endLastAttempts(p, 1004, Rejected, 1)
	failIf(t, len(out.sent) != 2 || len(out.shed) != 1, "sent %v, shed %v: want two attempts and a prompt final answer", out.sent, out.shed)
}
