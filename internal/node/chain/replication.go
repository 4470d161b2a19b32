package chain

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// lastPosition is the newest entry this node holds.
func (r *Replica) lastPosition() position {
	if r.pending != nil {
		return positionOf(r.pending)
	}
	return r.committed
}

// receiveAppend takes an entry from the member before, or the head's repeat of it.
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

// persistPending makes an entry durable in the place of the one that is held, which was never acknowledged.
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

// forwardPending passes the pending entry on if it may: it is durable here and was sent in the epoch in force. The tail
// commits it.
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

// forwardCommitted passes on a repeat of an entry that is committed here, for members that don't have it.
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

// commitAtTail commits the pending entry at the tail and answers it, if the chain is long enough.
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

// resumeAfterCommit goes on at the head with what waited for the commit.
func (r *Replica) resumeAfterCommit() {
	if !r.isHead() {
		return
	}
	r.startDeferredBarriers()
	r.processQueue()
}

// reply sends the result of a command, or the state of a read, to who asked.
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

// notifyCommitted tells the other members what is committed, and the head alone where a barrier came through.
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

func (r *Replica) receiveCommitNotice(from core.Peer, notice *nodepb.CommitNotice) {
	if !r.isCurrentEpoch(from, notice.GetEpoch()) || !r.inChain() {
		return
	}
	r.commitIfPending(position{index: notice.GetIndex(), epoch: notice.GetEntryEpoch()})
	if notice.GetBarrier() != 0 {
		r.recordBarrierCompletion(notice.GetBarrier())
	}
}

// commitIfPending commits the pending entry if it is the one that was told to be committed.
func (r *Replica) commitIfPending(committed position) {
	if r.pending == nil || positionOf(r.pending) != committed || !r.pendingDurable {
		return
	}
	r.commit()
	r.resumeAfterCommit()
}

// commit applies the pending entry.
func (r *Replica) commit() *nodepb.CommandResult {
	entry := r.pending
	r.pending = nil
	r.pendingDurable = false
	r.pendingInherited = false
	r.committed = positionOf(entry)
	result := r.options.StateMachine.Apply(entry)
	if result.GetIndex() == 0 {
		result = proto.CloneOf(result)
		result.Index = entry.GetIndex()
	}
	r.retainRecent(entry)
	r.emit(core.Committed{Entry: entry, Result: result})
	return result
}

// retainRecent keeps the newest entries for joiners that lack only these.
func (r *Replica) retainRecent(entry *nodepb.Entry) {
	r.recentEntries = append(r.recentEntries, entry)
	r.recentBytes += proto.Size(entry)
	for len(r.recentEntries) > maxRecentEntries || r.recentBytes > maxRecentEntryBytes && len(r.recentEntries) > 0 {
		r.recentBytes -= proto.Size(r.recentEntries[0])
		r.recentEntries = append(r.recentEntries[:0], r.recentEntries[1:]...)
	}
}

// discardPending forgets an entry that the head doesn't have; done follows once that is durable.
func (r *Replica) discardPending(onDurable func()) {
	record := &nodepb.DropRecord{Index: r.pending.GetIndex(), Epoch: r.pending.GetEpoch()}
	r.pending = nil
	r.pendingDurable = false
	r.persist(kindDiscard, record, onDurable)
}
