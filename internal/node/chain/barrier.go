package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// barrierStart is a barrier at the head: what for, and when.
type barrierStart struct {
	origin     *nodepb.Origin
	rejection  *nodepb.CommandResult
	turnedDown *submission // what the rejection is for
	wantsState bool
	knownIndex uint64 // of the state that the reader holds
	nonce      uint64
	expires    core.Time       // nobody waits for it any more
	message    *nodepb.Barrier // once it has started
	started    core.Time
	repeatAt   core.Time
}

// confirmation is what the tail knows of the age of the committed state.
type confirmation struct {
	nonce   uint64
	asked   core.Time
	running bool
	at      core.Time // as of when the committed state was the newest
	once    bool
}

// answers reports whether the view in force here acknowledges and answers.
func (s *Store) answers() bool {
	return s.member() && s.viewDurable && view.CanAcknowledge(s.view)
}

// startBarrier sends a barrier through the chain. It waits while an inherited entry is not committed, which may have been
// acknowledged, in a view that answers nothing, and while the view changes.
func (s *Store) startBarrier(start barrierStart) {
	if start.expires == 0 {
		start.expires = s.now + queueWait
	}
	if s.inherited || !s.isHead() || !s.answers() {
		if len(s.waiting) < queueLimit {
			s.waiting = append(s.waiting, start)
		}
		return
	}
	s.barrierCount++
	start.message = &nodepb.Barrier{
		Epoch:          s.view.GetEpoch(),
		Origin:         start.origin,
		Rejection:      start.rejection,
		Committed:      s.committed.index,
		CommittedEpoch: s.committed.epoch,
		LastIndex:      s.last().index,
		Nonce:          start.nonce,
		WantsState:     start.wantsState,
		KnownIndex:     start.knownIndex,
		Number:         s.barrierCount,
	}
	start.started = s.now
	start.repeatAt = s.now + retransmitEvery
	if len(s.barriers) >= barriersKept {
		s.barriers = append(s.barriers[:0], s.barriers[1:]...)
	}
	s.barriers = append(s.barriers, start)
	s.passBarrier(start.message)
}

// repeatBarriers forgets barriers that nobody waits for any more, and sends those again that have not come through.
func (s *Store) repeatBarriers() {
	expired := func(start barrierStart) bool { return s.now >= start.expires }
	s.barriers = slices.DeleteFunc(s.barriers, expired)
	s.waiting = slices.DeleteFunc(s.waiting, expired)
	var due []*nodepb.Barrier
	for i := range s.barriers {
		if start := &s.barriers[i]; s.now >= start.repeatAt {
			start.repeatAt = s.now + retransmitEvery
			due = append(due, start.message)
		}
	}
	for _, message := range due {
		s.passBarrier(message)
	}
}

// barrierDeadline is when a barrier is to be repeated or forgotten.
func (s *Store) barrierDeadline() core.Time {
	deadline := core.Never
	for i := range s.barriers {
		deadline = min(deadline, s.barriers[i].repeatAt, s.barriers[i].expires)
	}
	return deadline
}

// unanswered lists the reads that wait for a barrier, and the commands that were turned down by one.
func (s *Store) unanswered() (reads []barrierStart, commands []submission) {
	for _, start := range append(s.barriers, s.waiting...) {
		switch {
		case s.now >= start.expires:
		case start.turnedDown != nil:
			commands = append(commands, *start.turnedDown)
		case start.wantsState && start.origin != nil:
			reads = append(reads, start)
		}
	}
	return reads, commands
}

// startWaiting starts the barriers that waited for an inherited entry.
func (s *Store) startWaiting() {
	if s.inherited || !s.answers() {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	for _, start := range waiting {
		s.startBarrier(start)
	}
}

func (s *Store) receiveBarrier(from core.Peer, barrier *nodepb.Barrier) {
	if !s.inForce(from, barrier.GetEpoch()) || !s.member() || s.isHead() {
		return
	}
	s.commitUpTo(position{index: barrier.GetCommitted(), epoch: barrier.GetCommittedEpoch()})
	if s.committed.index < barrier.GetCommitted() {
		return
	}
	if s.pending != nil && s.pending.GetIndex() > barrier.GetLastIndex() && s.pending.GetEpoch() < barrier.GetEpoch() {
		s.dropPending(func() { s.passBarrier(barrier) })
		return
	}
	s.passBarrier(barrier)
}

// passBarrier passes a barrier on if its epoch is in force here; the tail answers it.
func (s *Store) passBarrier(barrier *nodepb.Barrier) {
	if !s.answers() || barrier.GetEpoch() != s.view.GetEpoch() {
		return
	}
	if s.isTail() {
		s.answerBarrier(barrier)
		return
	}
	successor := view.Successor(s.view, s.diskID())
	s.send(successor.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Barrier{Barrier: barrier}})
}

func (s *Store) answerBarrier(barrier *nodepb.Barrier) {
	switch {
	case barrier.GetWantsState():
		s.answer(barrier.GetOrigin(), nil, s.stateFor(barrier.GetKnownIndex()))
	case barrier.GetRejection() != nil:
		s.answer(barrier.GetOrigin(), barrier.GetRejection(), nil)
	}
	if s.confirm.running && barrier.GetNonce() == s.confirm.nonce {
		s.confirm.running = false
		s.confirmed(s.confirm.asked)
	}
	if s.isHead() {
		s.barrierDone(barrier.GetNumber())
		return
	}
	s.notifyCommitted(barrier.GetNumber())
}

// stateFor is the answer to a reader that holds the state of an index; where that is the newest, it needs no more than that word.
func (s *Store) stateFor(knownIndex uint64) *nodepb.StateSnapshot {
	if knownIndex > 0 && knownIndex >= s.committed.index {
		return &nodepb.StateSnapshot{Index: s.committed.index}
	}
	return s.snapshot()
}

func (s *Store) confirmed(at core.Time) {
	s.confirm.at = max(s.confirm.at, at)
	s.confirm.once = true
}

// barrierDone notes at the head that one of its barriers has passed every member.
func (s *Store) barrierDone(number uint64) {
	for i, start := range s.barriers {
		if start.message.GetNumber() != number {
			continue
		}
		s.leaseFrom = max(s.leaseFrom, start.started)
		s.leased = true
		s.barriers = append(s.barriers[:i], s.barriers[i+1:]...)
		return
	}
}

// WantConfirmation starts a barrier at the tail, for the age of its state, or at the head, for its lease, unless the last is
// young enough or one is running.
func (s *Store) WantConfirmation(now core.Time) []core.Output {
	s.advance(now)
	switch {
	case !s.answers():
	case s.isTail():
		s.wantConfirmationAtTail()
	case s.isHead():
		s.wantLease()
	}
	return s.finish()
}

func (s *Store) wantConfirmationAtTail() {
	if s.confirm.once && s.now-s.confirm.at < ConfirmEvery {
		return
	}
	if s.confirm.running && s.now-s.confirm.asked < confirmTimeout {
		return
	}
	s.confirm.nonce = s.random.Uint64() | 1
	s.confirm.asked = s.now
	s.confirm.running = true
	if s.isHead() {
		s.startBarrier(barrierStart{nonce: s.confirm.nonce})
		return
	}
	head := view.Head(s.view)
	s.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_BarrierRequest{BarrierRequest: &nodepb.BarrierRequest{
		Epoch: s.view.GetEpoch(),
		Nonce: s.confirm.nonce,
	}}})
}

func (s *Store) wantLease() {
	if s.leased && s.now-s.leaseFrom < ConfirmEvery || len(s.waiting) > 0 {
		return
	}
	if running := len(s.barriers); running > 0 && s.now-s.barriers[running-1].started < confirmTimeout {
		return
	}
	s.startBarrier(barrierStart{})
}

func (s *Store) receiveBarrierRequest(from core.Peer, request *nodepb.BarrierRequest) {
	if !s.inForce(from, request.GetEpoch()) || !s.isHead() {
		return
	}
	s.startBarrier(barrierStart{origin: request.GetOrigin(), nonce: request.GetNonce(), wantsState: request.GetWantsState()})
}
