package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// headBarrier is a barrier at the head, started or deferred. It answers a read or a rejected
// command, or serves a confirmation of the tail, or the lease of the head alone.
type headBarrier struct {
	origin          *nodepb.Origin        // of the read or command
	rejection       *nodepb.CommandResult // of a command
	rejectedCommand *queuedCommand        // the command of the rejection
	wantsState      bool                  // a read
	knownIndex      uint64                // of the state that the reader holds
	nonce           uint64                // of the tail's confirmation
	expiresAt       core.Time             // nobody waits for it any more

	message      *nodepb.Barrier // nil: not started
	startedAt    core.Time
	retransmitAt core.Time
}

// canAnswer reports whether this node may take part in acknowledging and answering: it is an active
// member of a durable view with a chain that is long enough.
func (r *Replica) canAnswer() bool {
	return r.isActiveMember() && r.viewDurable && view.CanAcknowledge(r.view)
}

// startBarrier sends a barrier through the chain, or defers it: while an inherited entry is not
// committed, as that may have been acknowledged and the answer must include it; while the chain is
// too short to answer; and while the view changes.
func (r *Replica) startBarrier(barrier headBarrier) {
	if barrier.expiresAt == 0 {
		barrier.expiresAt = r.now + commandTimeout
	}
	if r.head.pendingInherited || !r.isHead() || !r.canAnswer() {
		if len(r.head.deferredBarriers) < maxQueuedCommands {
			r.head.deferredBarriers = append(r.head.deferredBarriers, barrier)
		}
		return
	}
	barrier.message = r.newBarrierMessage(&barrier)
	barrier.startedAt = r.now
	barrier.retransmitAt = r.now + retransmitInterval
	if len(r.head.outstandingBarriers) >= maxOutstandingBarriers {
		r.head.outstandingBarriers = append(r.head.outstandingBarriers[:0], r.head.outstandingBarriers[1:]...)
	}
	r.head.outstandingBarriers = append(r.head.outstandingBarriers, barrier)
	r.forwardBarrier(barrier.message)
}

// newBarrierMessage numbers a barrier and makes its message.
func (r *Replica) newBarrierMessage(barrier *headBarrier) *nodepb.Barrier {
	r.head.lastBarrierNumber++
	return &nodepb.Barrier{
		Epoch:          r.view.GetEpoch(),
		Origin:         barrier.origin,
		Rejection:      barrier.rejection,
		Committed:      r.committed.index,
		CommittedEpoch: r.committed.epoch,
		LastIndex:      r.lastPosition().index,
		Nonce:          barrier.nonce,
		WantsState:     barrier.wantsState,
		KnownIndex:     barrier.knownIndex,
		Number:         r.head.lastBarrierNumber,
	}
}

// retransmitBarriers drops the barriers that have expired, and sends the outstanding ones again.
func (r *Replica) retransmitBarriers() {
	expired := func(barrier headBarrier) bool { return r.now >= barrier.expiresAt }
	r.head.outstandingBarriers = slices.DeleteFunc(r.head.outstandingBarriers, expired)
	r.head.deferredBarriers = slices.DeleteFunc(r.head.deferredBarriers, expired)
	var due []*nodepb.Barrier
	for i := range r.head.outstandingBarriers {
		if barrier := &r.head.outstandingBarriers[i]; r.now >= barrier.retransmitAt {
			barrier.retransmitAt = r.now + retransmitInterval
			due = append(due, barrier.message)
		}
	}
	for _, message := range due {
		r.forwardBarrier(message)
	}
}

// barrierDeadline is when an outstanding barrier is to be sent again or dropped.
func (r *Replica) barrierDeadline() core.Time {
	deadline := core.Never
	for i := range r.head.outstandingBarriers {
		deadline = min(deadline, r.head.outstandingBarriers[i].retransmitAt, r.head.outstandingBarriers[i].expiresAt)
	}
	return deadline
}

// unansweredRequests lists the reads and the rejected commands whose barriers have not been
// completed.
func (r *Replica) unansweredRequests() (reads []headBarrier, commands []queuedCommand) {
	for _, barrier := range append(r.head.outstandingBarriers, r.head.deferredBarriers...) {
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

// startDeferredBarriers starts the deferred barriers, if none has to wait any longer.
func (r *Replica) startDeferredBarriers() {
	if r.head.pendingInherited || !r.canAnswer() {
		return
	}
	deferred := r.head.deferredBarriers
	r.head.deferredBarriers = nil
	for _, barrier := range deferred {
		r.startBarrier(barrier)
	}
}

// receiveBarrier forwards a barrier at a member behind the head. A member that lacks a committed
// entry waits for it and ignores the barrier, which the head sends again. A pending entry of an
// earlier epoch that the head does not have was never acknowledged: it is discarded, durably,
// before the barrier goes on.
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

// forwardBarrier sends a barrier of the epoch in force to the successor; the tail completes it.
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

// completeBarrier answers, at the tail, a barrier that has passed every member.
func (r *Replica) completeBarrier(barrier *nodepb.Barrier) {
	switch {
	case barrier.GetWantsState():
		r.reply(barrier.GetOrigin(), nil, r.readResult(barrier.GetKnownIndex()))
	case barrier.GetRejection() != nil:
		r.reply(barrier.GetOrigin(), barrier.GetRejection(), nil)
	}
	if r.tail.outstanding && barrier.GetNonce() == r.tail.nonce {
		r.tail.outstanding = false
		r.recordConfirmation(r.tail.requestedAt)
	}
	if r.isHead() {
		r.recordBarrierCompletion(barrier.GetNumber())
		return
	}
	r.notifyCommitted(barrier.GetNumber())
}

// readResult is the answer to a reader that holds the state of knownIndex: the index alone where
// that is the newest, else the complete state.
func (r *Replica) readResult(knownIndex uint64) *nodepb.StateSnapshot {
	if knownIndex > 0 && knownIndex >= r.committed.index {
		return &nodepb.StateSnapshot{Index: r.committed.index}
	}
	return r.snapshot()
}

// recordBarrierCompletion records, at the head, that one of its barriers has passed every member.
// That extends the lease, which counts from the start of the barrier: until then no other head was
// in force.
func (r *Replica) recordBarrierCompletion(number uint64) {
	for i, barrier := range r.head.outstandingBarriers {
		if barrier.message.GetNumber() != number {
			continue
		}
		r.head.leaseStart = max(r.head.leaseStart, barrier.startedAt)
		r.head.hasLease = true
		r.head.outstandingBarriers = append(r.head.outstandingBarriers[:i], r.head.outstandingBarriers[i+1:]...)
		return
	}
}
