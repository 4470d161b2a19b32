package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// receiveCatchUp takes over the head's state at a node outside the chain. It must come from the
// head of the newest view that this node knows, and within an epoch the state never goes back. The
// head is answered once all of it is durable.
func (r *Replica) receiveCatchUp(from core.Peer, message *nodepb.CatchUp) {
	if !r.isCurrentEpoch(from, message.GetEpoch()) || r.inChain() || from.Address != view.Head(r.view).GetAddress() {
		return
	}
	last := position{index: message.GetCommitted(), epoch: message.GetCommittedEpoch()}
	if message.GetPending() != nil {
		last = positionOf(message.GetPending())
	}
	if r.caughtUpEpoch == message.GetEpoch() && last.index < r.lastPosition().index {
		return
	}
	if !r.applyCatchUp(message) {
		r.nextJoinRequestAt = r.now
		return
	}
	r.adoptPending(message.GetPending())
	r.caughtUpEpoch = message.GetEpoch()
	pending := r.pending
	r.persist(kindCaughtUp, &nodepb.CaughtUpRecord{Epoch: r.caughtUpEpoch}, func() { r.acknowledgeCatchUp(message, pending) })
}

// applyCatchUp brings the committed state up to the head's; false: the message does not suffice for
// that, as it was made for a position that this node has lost by a restart, or its snapshot can't be
// read. The next join request states the position held now, and by that the head decides between
// entries and a snapshot.
func (r *Replica) applyCatchUp(message *nodepb.CatchUp) bool {
	committed := position{index: message.GetCommitted(), epoch: message.GetCommittedEpoch()}
	if message.GetHasSnapshot() && committed.index > r.committed.index {
		return r.installSnapshot(committed, message.GetSnapshot())
	}
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() == r.committed.index+1 {
			r.commitCatchUpEntry(entry)
		}
	}
	if r.pending != nil && positionOf(r.pending) == committed {
		r.commit()
	}
	return r.committed.index >= committed.index
}

// commitCatchUpEntry commits an entry that the head has committed, in place of the pending one if
// that is another.
func (r *Replica) commitCatchUpEntry(entry *nodepb.Entry) {
	if r.pending == nil || positionOf(r.pending) != positionOf(entry) {
		r.pending = entry
		r.persist(kindEntry, entry, nil)
	}
	r.commit()
}

// installSnapshot replaces the state by a newer committed one; false: the snapshot can't be read.
func (r *Replica) installSnapshot(committed position, snapshot []byte) bool {
	if err := r.options.StateMachine.Restore(snapshot); err != nil {
		r.emit(core.Log{Message: "chain: snapshot rejected", Fields: []any{"index", committed.index, "error", err}})
		return false
	}
	r.committed = committed
	r.pending = nil
	r.pendingDurable = false
	r.recent = recentEntries{}
	r.persist(kindState, r.stateRecord(), nil)
	r.emit(core.Installed{Snapshot: r.snapshot()})
	return true
}

// adoptPending makes the head's pending entry this node's own; where the head has none, this node's
// is discarded.
func (r *Replica) adoptPending(entry *nodepb.Entry) {
	if entry.GetIndex() != r.committed.index+1 {
		if r.pending != nil {
			r.discardPending(nil)
		}
		return
	}
	if r.pending != nil && positionOf(r.pending) == positionOf(entry) {
		return
	}
	r.pending = entry
	r.pendingDurable = false
	r.persist(kindEntry, entry, nil)
}

// acknowledgeCatchUp reports to the head that its state is durable here, unless the pending entry
// has changed meanwhile.
func (r *Replica) acknowledgeCatchUp(message *nodepb.CatchUp, pending *nodepb.Entry) {
	if r.pending != pending {
		return
	}
	r.pendingDurable = pending != nil
	if r.view.GetEpoch() != message.GetEpoch() {
		return
	}
	last := r.lastPosition()
	done := &nodepb.CatchUpDone{
		Epoch:        message.GetEpoch(),
		Sequence:     message.GetSequence(),
		Committed:    r.committed.index,
		PendingIndex: r.pending.GetIndex(),
		DiskId:       r.diskID(),
		LastIndex:    last.index,
		LastEpoch:    last.epoch,
	}
	r.sendToHead(&nodepb.Envelope{Body: &nodepb.Envelope_CatchUpDone{CatchUpDone: done}})
}
