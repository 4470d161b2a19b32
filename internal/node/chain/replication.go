package chain

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// lastPosition is the position of the newest entry that this node holds, committed or pending.
func (r *Replica) lastPosition() position {
	if r.pending != nil {
		return positionOf(r.pending)
	}
	return r.committed
}

// receiveAppend processes an entry of the predecessor, or a retransmission of it. Entries that
// leave a gap are ignored.
func (r *Replica) receiveAppend(from core.Peer, message *nodepb.Append) {
	if !r.isCurrentEpoch(from, message.GetEpoch()) || !r.isActiveMember() || r.isHead() || message.GetEntry() == nil {
		return
	}
	r.commitIfPending(position{index: message.GetCommitted(), epoch: message.GetCommittedEpoch()})
	entry := message.GetEntry()
	received := positionOf(entry)
	switch {
	case received == r.committed:
		r.forwardCommitted(entry)
	case received.index != r.committed.index+1:
		return
	case r.pending != nil && positionOf(r.pending) == received:
		r.pendingReceivedEpoch = message.GetEpoch()
		r.forwardPending()
	default:
		r.persistPending(entry)
		r.pendingReceivedEpoch = message.GetEpoch()
	}
}

// persistPending makes an entry durable and then forwards it. It replaces a pending one, which was
// never acknowledged.
func (r *Replica) persistPending(entry *nodepb.Entry) {
	r.pending = entry
	r.pendingDurable = false
	r.persist(kindEntry, entry, func() {
		if r.pending != entry {
			return
		}
		r.pendingDurable = true
		r.forwardPending()
	})
}

// forwardPending sends the pending entry to the successor if it is durable here and was received in
// the epoch in force; the tail commits it.
func (r *Replica) forwardPending() {
	if !r.isActiveMember() || !r.viewDurable || r.pending == nil || !r.pendingDurable {
		return
	}
	if !r.isHead() && r.pendingReceivedEpoch != r.view.GetEpoch() {
		return
	}
	if r.isTail() {
		r.commitAtTail()
		return
	}
	r.sendToSuccessor(r.pending)
}

// forwardCommitted forwards a retransmission of an entry that is committed here, for members that
// lack it.
func (r *Replica) forwardCommitted(entry *nodepb.Entry) {
	if !r.viewDurable {
		return
	}
	if r.isTail() {
		r.notifyCommitted(0)
		return
	}
	r.sendToSuccessor(entry)
}

func (r *Replica) sendToSuccessor(entry *nodepb.Entry) {
	successor := view.Successor(r.view, r.diskID())
	r.send(successor.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Append{Append: &nodepb.Append{
		Epoch:          r.view.GetEpoch(),
		Entry:          entry,
		Committed:      r.committed.index,
		CommittedEpoch: r.committed.epoch,
	}}})
}

// commitAtTail commits the pending entry at the tail and answers its origin, if the chain is long
// enough to acknowledge.
func (r *Replica) commitAtTail() {
	if !view.CanAcknowledge(r.view) {
		return
	}
	entry := r.pending
	result := r.commit()
	r.reply(entry.GetOrigin(), result, nil)
	r.notifyCommitted(0)
	r.resumeAfterCommit()
}

// resumeAfterCommit continues, at the head, with what waited for the commit.
func (r *Replica) resumeAfterCommit() {
	if !r.isHead() {
		return
	}
	r.startDeferredBarriers()
	r.processQueue()
}

// reply sends the result of a command, or the state of a read, to its origin.
func (r *Replica) reply(origin *nodepb.Origin, result *nodepb.CommandResult, state *nodepb.StateSnapshot) {
	if origin.GetAddress() == "" {
		return
	}
	r.send(origin.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_SubmitReply{SubmitReply: &nodepb.SubmitReply{
		Request: origin.GetRequest(),
		Result:  result,
		View:    r.view,
		State:   state,
	}}})
}

// notifyCommitted notifies the other members of the committed position; a completed barrier, not 0,
// concerns the head alone.
func (r *Replica) notifyCommitted(barrier uint64) {
	notice := &nodepb.CommitNotice{
		Epoch:      r.view.GetEpoch(),
		Index:      r.committed.index,
		EntryEpoch: r.committed.epoch,
		Barrier:    barrier,
	}
	for i, diskID := range r.view.GetChain() {
		if diskID == r.diskID() || barrier != 0 && i > 0 {
			continue
		}
		address := view.FindVoter(r.view, diskID).GetAddress()
		r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_CommitNotice{CommitNotice: notice}})
	}
}

// receiveCommitNotice commits what the tail has committed. A wedged member does so as well: it
// holds the entry.
func (r *Replica) receiveCommitNotice(from core.Peer, notice *nodepb.CommitNotice) {
	if !r.isCurrentEpoch(from, notice.GetEpoch()) || !r.inChain() {
		return
	}
	r.commitIfPending(position{index: notice.GetIndex(), epoch: notice.GetEntryEpoch()})
	if notice.GetBarrier() != 0 {
		r.recordBarrierCompletion(notice.GetBarrier())
	}
}

// commitIfPending commits the pending entry if it is the one at the committed position and durable
// here.
func (r *Replica) commitIfPending(committed position) {
	if r.pending == nil || positionOf(r.pending) != committed || !r.pendingDurable {
		return
	}
	r.commit()
	r.resumeAfterCommit()
}

// commit applies the pending entry to the state machine.
func (r *Replica) commit() *nodepb.CommandResult {
	entry := r.pending
	r.pending = nil
	r.pendingDurable = false
	r.head.pendingInherited = false
	r.committed = positionOf(entry)
	result := r.options.StateMachine.Apply(entry)
	if result.GetIndex() == 0 {
		result = proto.CloneOf(result)
		result.Index = entry.GetIndex()
	}
	r.recent.add(entry)
	r.emit(core.Committed{Entry: entry, Result: result})
	return result
}

// discardPending discards a pending entry that the head doesn't have; onDurable runs once that is
// durable.
func (r *Replica) discardPending(onDurable func()) {
	record := &nodepb.DiscardRecord{Index: r.pending.GetIndex(), Epoch: r.pending.GetEpoch()}
	r.pending = nil
	r.pendingDurable = false
	r.persist(kindDiscard, record, onDurable)
}
