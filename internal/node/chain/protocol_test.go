package chain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/nodepb"
)

func TestPromiseIsDurableBeforeItIsGiven(t *testing.T) {
	base := testView(1, "abc", "abc")
	m := newTestReplicaInView(t, "a", base)
	m.receive("b", prepareOf(2, 5, base))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Promise>addr-b"})

	m.start()
	m.receive("b", prepareOf(2, 4, base))
	refusal := find(m, (*nodepb.Envelope).GetPromise)
	assert.Assert(t, refusal.GetRejected())
	assert.Equal(t, refusal.GetNumber().GetCounter(), uint64(5))
}

func TestAcceptanceIsDurableBeforeItIsSent(t *testing.T) {
	base := testView(1, "abc", "abc")
	value := testView(2, "abc", "ba")
	m := newTestReplicaInView(t, "a", base)
	m.receive("b", acceptOf(2, 3, value))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Accepted>addr-b"})

	m.start()
	m.receive("c", prepareOf(2, 9, base))
	m.completeWrites()
	promise := find(m, (*nodepb.Envelope).GetPromise)
	assert.Equal(t, promise.GetAcceptedNumber().GetCounter(), uint64(3))
	assert.DeepEqual(t, promise.GetAcceptedView().GetChain(), []string{"b", "a"})
}

func TestEmptyDiskDoesNotVoteForItsPredecessor(t *testing.T) {
	base := testView(1, "abc", "abc")
	m := newTestReplica(t, &nodepb.Voter{DiskId: "new", Address: "addr-a", NodeId: "node-a"})
	m.receive("b", prepareOf(2, 5, base))
	m.receive("b", acceptOf(2, 5, testView(2, "abc", "bc")))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0)
}

func TestVotesForDecidedEpochsReturnTheView(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(4, "abc", "abc"))
	m.receive("b", prepareOf(3, 5, nil))
	assert.Equal(t, find(m, (*nodepb.Envelope).GetPromise).GetDecided().GetEpoch(), uint64(4))
	m.receive("b", acceptOf(4, 5, testView(4, "abc", "c")))
	accepted := find(m, (*nodepb.Envelope).GetAccepted)
	assert.Assert(t, accepted.GetRejected())
	assert.Equal(t, accepted.GetDecided().GetEpoch(), uint64(4))
}

func TestMiddleForwardsOnlyDurableEntries(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-c"})
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-c"}) // a retransmission is forwarded at once
	m.receive("c", noticeOf(1, 1, 1))
	assert.Equal(t, m.replica.Status().Committed, uint64(1))
}

func TestHeadForwardsOnlyDurableEntries(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.receive("api", submitOf(command("x", 0, 1)))
	m.receive("api", submitOf(command("y", 0, 2)))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-b"})
	m.receive("c", noticeOf(1, 1, 1))
	m.completeWrites()
	assert.Equal(t, m.replica.Status().Committed, uint64(1))
	rejection := find(m, (*nodepb.Envelope).GetBarrier)
	assert.Equal(t, rejection.GetRejection().GetCode(), nodepb.ResultCode_CONFLICT, "the second passes the chain as a rejection")
}

func TestTailAnswersOnlyDurableEntries(t *testing.T) {
	m := newTestReplicaInView(t, "c", testView(1, "abc", "abc"))
	m.receive("b", appendOf(1, entry(1, 1, "x"), 0, 0))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"SubmitReply>addr-api", "CommitNotice>addr-a", "CommitNotice>addr-b"})
	m.receive("b", appendOf(1, entry(1, 1, "x"), 0, 0))
	// A retransmission is not answered again.
	assert.DeepEqual(t, m.takeSent(), []string{"CommitNotice>addr-a", "CommitNotice>addr-b"})
}

// TestShortChainAnswersNothing: neither is a new command accepted, nor an inherited one
// acknowledged, nor a read answered.
func TestShortChainAnswersNothing(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.receive("api", submitOf(command("x", 0, 1)))
	m.completeWrites()
	m.takeSent()
	m.receive("x", &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: testView(2, "abc", "a")}}})
	m.receive("api", submitOf(command("y", 0, 1)))
	m.receive("api", &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{Request: 8, Read: true}}})
	m.completeWrites()
	m.collect(m.replica.RequestConfirmation(m.now))
	assert.Equal(t, len(m.takeSent()), 0)
	assert.Equal(t, m.replica.Status().Committed, uint64(0))
	assert.Assert(t, m.replica.Status().HasPending && !m.replica.Status().EverConfirmed)
}

func TestOnlyVoterAcknowledges(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "a", "a"))
	m.receive("api", submitOf(command("x", 0, 1)))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"SubmitReply>addr-api"})
}

func TestReplicaRejectsOtherEpochs(t *testing.T) {
	messages := map[string]func(epoch uint64) *nodepb.Envelope{
		"append":  func(epoch uint64) *nodepb.Envelope { return appendOf(epoch, entry(1, epoch, "x"), 0, 0) },
		"barrier": func(epoch uint64) *nodepb.Envelope { return readBarrier(epoch, 0, 0, 0) },
		"notice":  func(epoch uint64) *nodepb.Envelope { return noticeOf(epoch, 1, epoch) },
		"join":    func(epoch uint64) *nodepb.Envelope { return joinOf("d", epoch, 0, 0, "a", "b", "c") },
	}
	for name, message := range messages {
		for _, self := range []string{"a", "b", "c"} {
			m := newTestReplicaInView(t, self, testView(3, "abc", "abc"))
			m.receive("d", message(2))
			m.completeWrites()
			assert.DeepEqual(t, m.takeSent(), []string{"ViewDecided>addr-d"})
			m.receive("d", message(4))
			m.completeWrites()
			assert.Equal(t, len(m.takeSent()), 0, name)
			assert.Assert(t, !m.replica.Status().HasPending, name)
		}
	}
}

// TestRestartedTailCommitsItsLastEntry: it may have answered the entry, and the notices to the
// others may be lost.
func TestRestartedTailCommitsItsLastEntry(t *testing.T) {
	m := newTestReplicaInView(t, "c", testView(1, "abc", "abc"))
	m.receive("b", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.completeWrites()
	m.takeSent()
	m.start()
	m.receive("b", readBarrier(1, 0, 0, 1))
	reply := find(m, (*nodepb.Envelope).GetSubmitReply)
	assert.Equal(t, reply.GetState().GetIndex(), uint64(1))
}

// TestRestartedHeadDefersBarriersUntilItsLastEntryCommits: its last entry may have been
// acknowledged.
func TestRestartedHeadDefersBarriersUntilItsLastEntryCommits(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.receive("api", submitOf(command("x", 0, 1)))
	m.completeWrites()
	m.start()
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-b"}) // it retransmits the entry
	m.receive("api", &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{Request: 8, Read: true}}})
	assert.Equal(t, len(m.takeSent()), 0)
	m.receive("c", noticeOf(1, 1, 1))
	assert.DeepEqual(t, m.takeSent(), []string{"Barrier>addr-b"})
}

func TestNewHeadCommitsItsInheritedEntryFirst(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.completeWrites()
	m.takeSent()
	m.receive("x", &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: testView(2, "abc", "bc")}}})
	assert.Equal(t, len(m.takeSent()), 0, "not before the view is durable")
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-c"})
	m.receive("api", submitOf(command("y", 0, 1)))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0)
	m.receive("c", noticeOf(2, 1, 1))
	barrier := find(m, (*nodepb.Envelope).GetBarrier)
	assert.Equal(t, barrier.GetRejection().GetCode(), nodepb.ResultCode_CONFLICT)
}

func TestCommitNoticeOfAnotherEntryIsIgnored(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(3, "abc", "abc"))
	m.receive("a", appendOf(3, entry(1, 2, "x"), 0, 0))
	m.completeWrites()
	m.receive("c", noticeOf(3, 1, 3))
	assert.Equal(t, m.replica.Status().Committed, uint64(0))
	m.receive("c", noticeOf(3, 1, 2))
	assert.Equal(t, m.replica.Status().Committed, uint64(1))
}

func TestBarrierDiscardsAnEntryTheHeadLacks(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.completeWrites()
	m.receive("x", &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: testView(2, "abc", "cba")}}})
	m.completeWrites()
	m.takeSent()
	m.receive("c", readBarrier(2, 0, 0, 0))
	assert.Equal(t, len(m.takeSent()), 0, "not before it is durable that the entry is dropped")
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Barrier>addr-a"})
	m.start()
	assert.Assert(t, !m.replica.Status().HasPending)
}

func TestEntryOfTheNewHeadReplacesAStaleOne(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.completeWrites()
	m.receive("x", &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: testView(2, "abc", "cb")}}})
	m.receive("c", appendOf(2, entry(1, 2, "y"), 0, 0))
	m.completeWrites()
	assert.Assert(t, m.machine.state.Taken["y"] == 1 && m.machine.state.Taken["x"] == 0, "%v", m.machine.state)
}

func catchUpOf(sequence, committed, committedEpoch uint64, snapshot []byte, pending *nodepb.Entry) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_CatchUp{CatchUp: &nodepb.CatchUp{
		Epoch: 1, Sequence: sequence, Committed: committed, CommittedEpoch: committedEpoch,
		Snapshot: snapshot, HasSnapshot: snapshot != nil, Pending: pending,
	}}}
}

func TestJoinerAcknowledgesDurableCatchUpAndNeverGoesBack(t *testing.T) {
	m := newTestReplicaInView(t, "d", testView(1, "abc", "abc"))
	m.receive("a", catchUpOf(2, 0, 0, nil, entry(1, 1, "x")))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	done := find(m, (*nodepb.Envelope).GetCatchUpDone)
	assert.Equal(t, done.GetLastIndex(), uint64(1))
	assert.Equal(t, done.GetLastEpoch(), uint64(1))
	m.takeSent()
	m.start()
	m.receive("a", catchUpOf(1, 0, 0, nil, nil))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0, "an older state of the same epoch")
	assert.Assert(t, m.replica.Status().HasPending)
	m.receive("b", catchUpOf(3, 0, 0, nil, nil))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0, "not from the head")
}

// TestJoinerRequestsASnapshotWhereEntriesDoNotSuffice: it acknowledges nothing that it could not apply, and asks again at
// once from the position that it holds, by which the head sees that a snapshot is needed.
func TestJoinerRequestsASnapshotWhereEntriesDoNotSuffice(t *testing.T) {
	m := newTestReplicaInView(t, "d", testView(1, "abc", "abc"))
	m.now += time.Second
	for _, name := range []string{"a", "b", "c"} {
		m.receive(name, pingOf(name, 1, 0))
		m.receive(name, pingOf(name, 2, 1))
	}
	m.sent = nil
	m.receive("a", catchUpOf(1, 5, 1, nil, nil))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0, "nothing was applied")
	m.collect(m.replica.Tick(m.now))
	request := find(m, (*nodepb.Envelope).GetJoinRequest)
	assert.Equal(t, request.GetCommitted(), uint64(0))
	m.takeSent()
	full := newRegister()
	for index := uint64(1); index <= 5; index++ {
		full.Apply(entry(index, 1, string(rune('u'+index))))
	}
	m.receive("a", catchUpOf(2, 5, 1, full.Snapshot(), entry(6, 1, "x")))
	m.completeWrites()
	done := find(m, (*nodepb.Envelope).GetCatchUpDone)
	assert.Equal(t, done.GetCommitted(), uint64(5))
	assert.Equal(t, done.GetLastIndex(), uint64(6))
}

func TestHeadSendsJoinersOnlyDurableEntries(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.receive("api", submitOf(command("x", 0, 1)))
	m.receive("d", joinOf("d", 1, 0, 0, "a", "b", "c"))
	assert.Equal(t, len(m.takeSent()), 0)
	m.completeWrites()
	m.takeSent()
	m.receive("d", joinOf("d", 1, 0, 0, "a", "b", "c"))
	assert.DeepEqual(t, m.takeSent(), []string{"CatchUp>addr-d"})
}

func TestJoinerMustReachEveryChainMember(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.receive("d", joinOf("d", 1, 0, 0, "a", "b"))
	assert.Equal(t, len(m.takeSent()), 0)
}

// passQuarterSecond lets a quarter of a second pass, in which the replica has a round trip with the
// voters named.
func (m *testReplica) passQuarterSecond(names ...string) {
	m.now += 250 * time.Millisecond
	m.sent = nil
	m.collect(m.replica.Tick(m.now))
	for _, name := range names {
		m.pings++
		m.receive(name, pingOf(name, m.pings, m.pings-1))
		m.receive(name, pingOf(name, m.pings, m.pings))
	}
}

// pingOf is a ping of another voter, which acknowledges a pong.
func pingOf(name string, sequence, acknowledged uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_VoterPing{VoterPing: &nodepb.VoterPing{
		Sequence: sequence, Self: voter(name), Epoch: 1, DiskHealthy: true, CountsForQuorum: true, AcknowledgedPong: acknowledged,
	}}}
}

func doneOf(name string, sequence, lastIndex, lastEpoch uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_CatchUpDone{CatchUpDone: &nodepb.CatchUpDone{
		Epoch: 1, Sequence: sequence, DiskId: name, LastIndex: lastIndex, LastEpoch: lastEpoch,
	}}}
}

// TestJoinerIsAddedOnlyWithTheLastEntry: what a joiner lacks is sent again, and no entry is made
// meanwhile.
func TestJoinerIsAddedOnlyWithTheLastEntry(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.passQuarterSecond("b", "c")
	m.takeSent()
	m.receive("d", joinOf("d", 1, 0, 0, "a", "b", "c"))
	sequence := find(m, (*nodepb.Envelope).GetCatchUp).GetSequence()
	m.receive("api", submitOf(command("x", 0, 1)))
	m.completeWrites()
	m.takeSent()
	m.receive("d", doneOf("d", sequence, 0, 0))
	assert.DeepEqual(t, m.takeSent(), []string{"CatchUp>addr-d"})
	m.receive("c", noticeOf(1, 1, 1))
	m.receive("api", submitOf(command("y", 1, 2)))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0, "paused for the joiner")
	m.receive("d", doneOf("d", sequence+1, 1, 1))
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Prepare>addr-b", "Prepare>addr-c"})
}

// TestWedgedMemberForwardsNothing: from its own wedge on, also after a restart.
func TestWedgedMemberForwardsNothing(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.passQuarterSecond("a", "c")
	for m.write == nil {
		m.passQuarterSecond("a") // c is unresponsive
	}
	assert.Assert(t, m.now <= 2*time.Second)
	m.completeWrites()
	number := find(m, (*nodepb.Envelope).GetPrepare).GetNumber()
	assert.Assert(t, !m.replica.Status().Wedged)
	promise := &nodepb.Promise{Epoch: 2, Number: number, Acceptor: "a"}
	m.receive("a", &nodepb.Envelope{Body: &nodepb.Envelope_Promise{Promise: promise}})
	assert.Assert(t, m.replica.Status().Wedged)
	m.sent = nil
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.receive("a", readBarrier(1, 0, 0, 0))
	assert.Equal(t, len(m.takeSent()), 0, "nothing of the epoch, and no Accept before the wedge is durable")
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Accept>addr-a", "Accept>addr-c"})
	m.start()
	assert.Assert(t, m.replica.Status().Wedged, "also after a restart")
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.completeWrites()
	assert.Equal(t, len(m.takeSent()), 0)
}

func TestFailedWriteIsRetried(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	failed := m.write
	m.write = nil
	m.collect(m.replica.Written(m.now, failed.Token, errDisk))
	assert.Assert(t, m.write == nil)
	assert.Assert(t, !m.replica.Status().DiskHealthy)
	assert.Equal(t, len(m.takeSent()), 0)
	m.now += 500 * time.Millisecond
	m.collect(m.replica.Tick(m.now))
	assert.DeepEqual(t, m.write.Records, failed.Records)
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-c"})
	assert.Assert(t, !m.replica.Status().DiskHealthy, "not at once")
	m.now += time.Second
	m.collect(m.replica.Tick(m.now))
	assert.Assert(t, m.replica.Status().DiskHealthy)
}

func TestSlowWriteIsADiskFault(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.now += time.Second + time.Millisecond
	m.collect(m.replica.Tick(m.now))
	assert.Assert(t, !m.replica.Status().DiskHealthy)
}

func TestConfirmationCountsFromTheRequestOfTheTail(t *testing.T) {
	m := newTestReplicaInView(t, "c", testView(1, "abc", "abc"))
	m.now = 5 * time.Second
	m.collect(m.replica.Tick(m.now))
	m.takeSent()
	m.collect(m.replica.RequestConfirmation(m.now))
	request := find(m, (*nodepb.Envelope).GetBarrierRequest)
	m.takeSent()
	m.now += 20 * time.Millisecond
	m.collect(m.replica.RequestConfirmation(m.now))
	assert.Equal(t, len(m.takeSent()), 0, "one is running")
	m.receive("b", &nodepb.Envelope{Body: &nodepb.Envelope_Barrier{Barrier: &nodepb.Barrier{
		Epoch: 1, Nonce: request.GetNonce(), Number: 3,
	}}})
	assert.DeepEqual(t, m.takeSent(), []string{"CommitNotice>addr-a"})
	status := m.replica.Status()
	assert.Assert(t, status.EverConfirmed)
	assert.Equal(t, status.ConfirmedAt, 5*time.Second, "as of when it was asked for")
	m.now += 100 * time.Millisecond
	m.collect(m.replica.RequestConfirmation(m.now))
	assert.Equal(t, len(m.takeSent()), 0, "young enough")
}

func TestLeaseCountsFromTheStartOfTheBarrier(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.now = 3 * time.Second
	m.receive("c", &nodepb.Envelope{Body: &nodepb.Envelope_BarrierRequest{BarrierRequest: &nodepb.BarrierRequest{Epoch: 1, Nonce: 77}}})
	barrier := find(m, (*nodepb.Envelope).GetBarrier)
	assert.Equal(t, barrier.GetNonce(), uint64(77))
	m.now += 15 * time.Millisecond
	notice := &nodepb.CommitNotice{Epoch: 1, Barrier: barrier.GetNumber()}
	m.receive("c", &nodepb.Envelope{Body: &nodepb.Envelope_CommitNotice{CommitNotice: notice}})
	status := m.replica.Status()
	assert.Assert(t, status.HasLease)
	assert.Equal(t, status.LeaseStart, 3*time.Second)
}

func TestSubmitsAreForwardedToTheHead(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("api", submitOf(command("x", 0, 1)))
	passed := find(m, (*nodepb.Envelope).GetSubmit)
	assert.Equal(t, passed.GetOrigin().GetAddress(), "addr-api")
	assert.Equal(t, passed.GetOrigin().GetRequest(), uint64(7))
	assert.Equal(t, passed.GetHops(), uint32(1))
	m.takeSent()
	passed.Hops = 3
	m.receive("c", &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: passed}})
	assert.Equal(t, len(m.takeSent()), 0)
}

func TestQueuedCommandExpires(t *testing.T) {
	m := newTestReplicaInView(t, "a", testView(1, "abc", "abc"))
	m.receive("api", submitOf(command("x", 0, 1)))
	m.receive("api", submitOf(command("y", 0, 2)))
	m.completeWrites()
	m.takeSent()
	m.now += 701 * time.Millisecond
	m.receive("c", noticeOf(1, 1, 1))
	m.completeWrites()
	assert.DeepEqual(t, m.takeSent(), []string{"Append>addr-b"}) // an expired command is not answered
}

func TestCheckpointKeepsEverything(t *testing.T) {
	m := newTestReplicaInView(t, "b", testView(1, "abc", "abc"))
	m.receive("a", appendOf(1, entry(1, 1, "x"), 0, 0))
	m.completeWrites()
	m.receive("a", appendOf(1, entry(2, 1, "y"), 1, 1))
	m.completeWrites()
	m.receive("c", prepareOf(2, 6, testView(1, "abc", "abc")))
	m.completeWrites()
	m.collect(m.replica.RequestCheckpoint(m.now))
	assert.Assert(t, m.write.Checkpoint)
	m.completeWrites()
	before := m.replica.Status()
	m.start()
	after := m.replica.Status()
	assert.Equal(t, after.Epoch, before.Epoch)
	assert.Equal(t, after.Committed, uint64(1))
	assert.Assert(t, after.HasPending)
	m.receive("c", prepareOf(2, 5, testView(1, "abc", "abc")))
	assert.Assert(t, find(m, (*nodepb.Envelope).GetPromise).GetRejected())
}

func TestRoleFollowsThePositionInTheChain(t *testing.T) {
	for name, role := range map[string]chain.MemberRole{"a": chain.Head, "b": chain.Middle, "c": chain.Tail, "d": chain.OutsideChain} {
		assert.Equal(t, newTestReplicaInView(t, name, testView(1, "abcd", "abc")).replica.Status().Role, role)
	}
	assert.Equal(t, newTestReplicaInView(t, "a", testView(1, "a", "a")).replica.Status().Role, chain.SoleMember)
}
