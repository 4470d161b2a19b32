package policy

import (
	"testing"
)

// A search that can no longer reach its minimum share must not wait for its other requests.
func TestSearchThatCannotReachItsFloorIsGivenUpAtOnce(t *testing.T) {
	b, n := newTestPolicy(4, func(b *Policy) { b.Limits(1, 100, true, false) })
	runSearch(b, 1000, 0, 4)
	endLastAttempts(b, 1010, Errored, 2)
	failIf(t, len(n.shed)+len(n.failed) != 1, "shed %v, failed %v", n.shed, n.failed)
	// One whose floor can still be met goes on.
	b, n = newTestPolicy(4, func(b *Policy) { b.Limits(1, 100, true, false); b.Shares(0, 1, 0.5, 0.8, 0) })
	runSearch(b, 1000, 0, 4)
	endLastAttempts(b, 1010, Errored, 2)
	failIf(t, len(n.shed)+len(n.failed) != 0, "shed %v, failed %v", n.shed, n.failed)
}

func TestPartialAnswerAtTheLatencyTarget(t *testing.T) {
	b, n := newTestPolicy(2, func(b *Policy) { b.Shares(0, 1, 0.5, 0.8, 0) })
	runSearch(b, 1000, 0, 4)
	endLastAttempts(b, 1100, Answered, 1, 2, 3)
	wantInts(t, "before the target", n.answered)
	endLastAttempts(b, 1000+1000-answerMargin, Answered)
	wantInts(t, "at the target", n.answered, 0)
	failIf(t, n.complete, "three of four requests marked complete")
}

// Parts that went round a full set kept all of its queues full.
func TestRequestRejectedTwiceIsGivenUp(t *testing.T) {
	b, n := newTestPolicy(4, nil)
	runSearch(b, 1000, 0, 1)
	endLastAttempts(b, 1002, Rejected, 1)
	endLastAttempts(b, 1004, Rejected, 1)
	failIf(t, len(n.sent) != 2 || len(n.shed) != 1, "sent %v, shed %v: want two tries and a prompt final answer", n.sent, n.shed)
}
