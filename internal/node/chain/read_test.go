package chain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// TestReadOfTheNewestStateReturnsItsIndexAlone: the answer names the index alone; a reader that
// lacks something gets all.
func TestReadOfTheNewestStateReturnsItsIndexAlone(t *testing.T) {
	w, o := newRunningWorld(t, fourCoreMachines)
	o.stopped = true
	w.runFor(time.Second)
	newest := w.checks.newest
	for _, known := range []uint64{0, 1, newest - 1, newest, newest + 5} {
		var answer *nodepb.StateSnapshot
		n := w.nodes["proxy-1"]
		n.requests++
		n.replies[n.requests] = func(reply core.Reply) { answer = reply.State }
		n.input(func() { n.carryOut(n.client.Read(w.now, n.requests, known)) })
		w.runUntil("the answer", time.Second, func() bool { return answer != nil })
		assert.Equal(t, answer.GetIndex(), newest)
		assert.Equal(t, len(answer.GetState()) == 0, known >= newest, "known: %d of %d", known, newest)
	}
}

// TestMemberCatchesUpAfterHundredsOfChanges restarts a member while changes continue: with its
// disk, and with an empty one.
func TestMemberCatchesUpAfterHundredsOfChanges(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		w, o := newRunningWorld(t, fourCoreMachines)
		n := w.nodes["core-2"]
		n.kill()
		if wiped {
			n.wipe()
		}
		w.runUntil("four hundred changes", time.Minute, o.acknowledgesMore(400))
		n.start()
		took := w.runUntil("in the chain again", 2*time.Second, w.allInChain)
		t.Logf("wiped: %v, in the chain after %v", wiped, took)
		w.runUntil("goes on", time.Second, o.acknowledgesMore(5))
	}
}

// TestEntriesWithAGapAreRejected: neither one that skips an index, nor another one for an index
// that is committed.
func TestEntriesWithAGapAreRejected(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(3, "abc", "abc"))
	m.receive("a", appendOf(3, entry(1, 3, "one"), 0, 0))
	m.completeWrites()
	m.receive("c", noticeOf(3, 1, 3))
	m.takeSent()
	for _, wrong := range []*nodepb.Entry{entry(3, 3, "three"), entry(1, 2, "another")} {
		m.receive("a", appendOf(3, wrong, 1, 3))
		m.completeWrites()
		assert.Equal(t, len(m.takeSent()), 0)
		assert.Assert(t, !m.replica.Status().HasPending)
	}
	assert.Equal(t, m.replica.Status().Committed, uint64(1))
}
