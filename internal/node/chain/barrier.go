package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// headBarrier is a barrier at the head: what for, and when.
type headBarrier struct {
	origin          *nodepb.Origin
	rejection       *nodepb.CommandResult
	rejectedCommand *queuedCommand // what the rejection is for
	wantsState      bool
	knownIndex      uint64 // of the state that the reader holds
	nonce           uint64
	expiresAt       core.Time       // nobody waits for it any more
	message         *nodepb.Barrier // once it has started
	startedAt       core.Time
	retransmitAt    core.Time
}

// tailConfirmation is what the tail knows of the age of the committed state.
type tailConfirmation struct {
	nonce         uint64
	requestedAt   core.Time
	outstanding   bool
	confirmedAt   core.Time // as of when the committed state was the newest
	everConfirmed bool
}

// canAnswer reports whether the view in force here acknowledges and answers.
func (r *Replica) canAnswer() bool {
	return r.isActiveMember() && r.viewDurable && view.CanAcknowledge(r.view)
}

// startBarrier sends a barrier through the chain. It waits while an inherited entry is not committed, which may have been
// acknowledged, in a view that answers nothing, and while the view changes.
func (r *Replica) startBarrier(barrier headBarrier) {
	if barrier.expiresAt == 0 {
		barrier.expiresAt = r.now + commandTimeout
	}
	if r.pendingInherited || !r.isHead() || !r.canAnswer() {
		if len(r.deferredBarriers) < maxQueuedCommands {
			r.deferredBarriers = append(r.deferredBarriers, barrier)
		}
		return
	}
	r.lastBarrierNumber++
	barrier.message = &nodepb.Barrier{
		Epoch:          r.view.GetEpoch(),
		Origin:         barrier.origin,
		Rejection:      barrier.rejection,
		Committed:      r.committed.index,
		CommittedEpoch: r.committed.epoch,
		LastIndex:      r.lastPosition().index,
		Nonce:          barrier.nonce,
		WantsState:     barrier.wantsState,
		KnownIndex:     barrier.knownIndex,
		Number:         r.lastBarrierNumber,
	}
	barrier.startedAt = r.now
	barrier.retransmitAt = r.now + retransmitInterval
	if len(r.outstandingBarriers) >= maxOutstandingBarriers {
		r.outstandingBarriers = append(r.outstandingBarriers[:0], r.outstandingBarriers[1:]...)
	}
	r.outstandingBarriers = append(r.outstandingBarriers, barrier)
	r.forwardBarrier(barrier.message)
}

// retransmitBarriers forgets barriers that nobody waits for any more, and sends those again that have not come through.
func (r *Replica) retransmitBarriers() {
	expired := func(barrier headBarrier) bool { return r.now >= barrier.expiresAt }
	r.outstandingBarriers = slices.DeleteFunc(r.outstandingBarriers, expired)
	r.deferredBarriers = slices.DeleteFunc(r.deferredBarriers, expired)
	var due []*nodepb.Barrier
	for i := range r.outstandingBarriers {
		if barrier := &r.outstandingBarriers[i]; r.now >= barrier.retransmitAt {
			barrier.retransmitAt = r.now + retransmitInterval
			due = append(due, barrier.message)
		}
	}
	for _, message := range due {
		r.forwardBarrier(message)
	}
}

// barrierDeadline is when a barrier is to be repeated or forgotten.
func (r *Replica) barrierDeadline() core.Time {
	deadline := core.Never
	for i := range r.outstandingBarriers {
		deadline = min(deadline, r.outstandingBarriers[i].retransmitAt, r.outstandingBarriers[i].expiresAt)
	}
	return deadline
}

// unansweredRequests lists the reads that wait for a barrier, and the commands that were turned down by one.
func (r *Replica) unansweredRequests() (reads []headBarrier, commands []queuedCommand) {
	for _, barrier := range append(r.outstandingBarriers, r.deferredBarriers...) {
		switch {
		case r.now >= barrier.expiresAt:
		case barrier.rejectedCommand != nil:
			commands = append(commands, *barrier.rejectedCommand)
		case barrier.wantsState && barrier.origin != nil:
			reads = append(reads, barrier)
		}
	}
	return reads, commands
}

// startDeferredBarriers starts the barriers that waited for an inherited entry.
func (r *Replica) startDeferredBarriers() {
	if r.pendingInherited || !r.canAnswer() {
		return
	}
	deferred := r.deferredBarriers
	r.deferredBarriers = nil
	for _, barrier := range deferred {
		r.startBarrier(barrier)
	}
}

func (r *Replica) receiveBarrier(from core.Peer, barrier *nodepb.Barrier) {
	if !r.isCurrentEpoch(from, barrier.GetEpoch()) || !r.isActiveMember() || r.isHead() {
		return
	}
	r.commitIfPending(position{index: barrier.GetCommitted(), epoch: barrier.GetCommittedEpoch()})
	if r.committed.index < barrier.GetCommitted() {
		return
	}
	if r.pending != nil && r.pending.GetIndex() > barrier.GetLastIndex() && r.pending.GetEpoch() < barrier.GetEpoch() {
		r.discardPending(func() { r.forwardBarrier(barrier) })
		return
	}
	r.forwardBarrier(barrier)
}

// forwardBarrier passes a barrier on if its epoch is in force here; the tail answers it.
func (r *Replica) forwardBarrier(barrier *nodepb.Barrier) {
	if !r.canAnswer() || barrier.GetEpoch() != r.view.GetEpoch() {
		return
	}
	if r.isTail() {
		r.completeBarrier(barrier)
		return
	}
	successor := view.Successor(r.view, r.diskID())
	r.send(successor.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Barrier{Barrier: barrier}})
}

func (r *Replica) completeBarrier(barrier *nodepb.Barrier) {
	switch {
	case barrier.GetWantsState():
		r.reply(barrier.GetOrigin(), nil, r.readResult(barrier.GetKnownIndex()))
	case barrier.GetRejection() != nil:
		r.reply(barrier.GetOrigin(), barrier.GetRejection(), nil)
	}
	if r.confirmation.outstanding && barrier.GetNonce() == r.confirmation.nonce {
		r.confirmation.outstanding = false
		r.recordConfirmation(r.confirmation.requestedAt)
	}
	if r.isHead() {
		r.recordBarrierCompletion(barrier.GetNumber())
		return
	}
	r.notifyCommitted(barrier.GetNumber())
}

// readResult is the answer to a reader that holds the state of an index; where that is the newest, it needs no more than that word.
func (r *Replica) readResult(knownIndex uint64) *nodepb.StateSnapshot {
	if knownIndex > 0 && knownIndex >= r.committed.index {
		return &nodepb.StateSnapshot{Index: r.committed.index}
	}
	return r.snapshot()
}

func (r *Replica) recordConfirmation(asOf core.Time) {
	r.confirmation.confirmedAt = max(r.confirmation.confirmedAt, asOf)
	r.confirmation.everConfirmed = true
}

// recordBarrierCompletion notes at the head that one of its barriers has passed every member.
func (r *Replica) recordBarrierCompletion(number uint64) {
	for i, barrier := range r.outstandingBarriers {
		if barrier.message.GetNumber() != number {
			continue
		}
		r.leaseStart = max(r.leaseStart, barrier.startedAt)
		r.hasLease = true
		r.outstandingBarriers = append(r.outstandingBarriers[:i], r.outstandingBarriers[i+1:]...)
		return
	}
}

// RequestConfirmation starts a barrier at the tail, for the age of its state, or at the head, for its lease, unless the last is
// young enough or one is running.
func (r *Replica) RequestConfirmation(now core.Time) []core.Output {
	r.advance(now)
	switch {
	case !r.canAnswer():
	case r.isTail():
		r.requestConfirmationAtTail()
	case r.isHead():
		r.requestLease()
	}
	return r.finish()
}

func (r *Replica) requestConfirmationAtTail() {
	if r.confirmation.everConfirmed && r.now-r.confirmation.confirmedAt < ConfirmInterval {
		return
	}
	if r.confirmation.outstanding && r.now-r.confirmation.requestedAt < confirmationTimeout {
		return
	}
	r.confirmation.nonce = r.random.Uint64() | 1
	r.confirmation.requestedAt = r.now
	r.confirmation.outstanding = true
	if r.isHead() {
		r.startBarrier(headBarrier{nonce: r.confirmation.nonce})
		return
	}
	head := view.Head(r.view)
	r.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_BarrierRequest{BarrierRequest: &nodepb.BarrierRequest{
		Epoch: r.view.GetEpoch(),
		Nonce: r.confirmation.nonce,
	}}})
}

func (r *Replica) requestLease() {
	if r.hasLease && r.now-r.leaseStart < ConfirmInterval || len(r.deferredBarriers) > 0 {
		return
	}
	if outstanding := len(r.outstandingBarriers); outstanding > 0 && r.now-r.outstandingBarriers[outstanding-1].startedAt < confirmationTimeout {
		return
	}
	r.startBarrier(headBarrier{})
}

func (r *Replica) receiveBarrierRequest(from core.Peer, request *nodepb.BarrierRequest) {
	if !r.isCurrentEpoch(from, request.GetEpoch()) || !r.isHead() {
		return
	}
	r.startBarrier(headBarrier{origin: request.GetOrigin(), nonce: request.GetNonce(), wantsState: request.GetWantsState()})
}
