package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// joiner is what the head knows of a machine that wants into the chain.
type joiner struct {
	voter           *nodepb.Voter
	committed       position // that it has, as it said
	catchUpSequence uint64   // of the newest CatchUp
	catchUpSentAt   core.Time
	durablePosition position // that it made durable
	caughtUpAt      core.Time
	caughtUp        bool
}

// wantsToJoin reports whether this node should ask to join the chain.
func (r *Replica) wantsToJoin() bool {
	return r.view != nil && !r.inChain() && r.diskID() != "" && r.now >= r.leavingUntil && r.writer.healthy(r.now)
}

// reachesChain reports whether there is a way to every member of the chain and back.
func (r *Replica) reachesChain() bool {
	for _, diskID := range r.view.GetChain() {
		if r.detector.Condition(diskID) != view.Reachable {
			return false
		}
	}
	return true
}

// sendJoinRequest asks the head to be taken into the chain.
func (r *Replica) sendJoinRequest() {
	if !r.wantsToJoin() || r.now < r.nextJoinRequestAt || !r.reachesChain() {
		return
	}
	r.nextJoinRequestAt = r.now + joinRequestInterval
	request := &nodepb.JoinRequest{
		Self:           r.options.Self,
		Epoch:          r.view.GetEpoch(),
		Committed:      r.committed.index,
		CommittedEpoch: r.committed.epoch,
		Reachable:      r.detector.ReachableVoters(),
	}
	if r.needsSnapshot {
		request.Committed = 0
		request.CommittedEpoch = 0
	}
	head := view.Head(r.view)
	r.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_JoinRequest{JoinRequest: request}})
}

func (r *Replica) joinDeadline() core.Time {
	if !r.wantsToJoin() || !r.reachesChain() {
		return core.Never
	}
	return max(r.nextJoinRequestAt, r.now)
}

// receiveJoinRequest sends the state to a machine that reaches the whole chain.
func (r *Replica) receiveJoinRequest(from core.Peer, request *nodepb.JoinRequest) {
	if !r.isCurrentEpoch(from, request.GetEpoch()) || !r.isHead() || r.now < r.leavingUntil {
		return
	}
	voter := request.GetSelf()
	if voter.GetDiskId() == "" || view.ChainIndex(r.view, voter.GetDiskId()) >= 0 || !r.coversChain(request.GetReachable()) {
		return
	}
	requester := r.joiners[voter.GetDiskId()]
	if requester == nil {
		requester = &joiner{catchUpSentAt: r.now - catchUpInterval}
		r.joiners[voter.GetDiskId()] = requester
	}
	requester.voter = voter
	requester.committed = position{index: request.GetCommitted(), epoch: request.GetCommittedEpoch()}
	if r.now-requester.catchUpSentAt >= catchUpInterval {
		r.sendCatchUp(requester)
	}
}

// coversChain reports whether the list names every member of the chain.
func (r *Replica) coversChain(reachable []string) bool {
	for _, diskID := range r.view.GetChain() {
		if !slices.Contains(reachable, diskID) {
			return false
		}
	}
	return true
}

// sendCatchUp sends the committed state, as far as the joiner lacks it, and the pending entry. What is not durable here
// is not sent: it could be another entry after a restart.
func (r *Replica) sendCatchUp(recipient *joiner) {
	if !r.viewDurable || r.pending != nil && !r.pendingDurable {
		return
	}
	recipient.catchUpSequence++
	recipient.catchUpSentAt = r.now
	message := &nodepb.CatchUp{
		Epoch:          r.view.GetEpoch(),
		Sequence:       recipient.catchUpSequence,
		Committed:      r.committed.index,
		CommittedEpoch: r.committed.epoch,
		Pending:        r.pending,
	}
	entries, complete := r.entriesAfter(recipient.committed)
	message.Entries = entries
	if !complete {
		message.HasSnapshot = true
		message.Snapshot = r.joinerSnapshot()
	}
	r.send(recipient.voter.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_CatchUp{CatchUp: message}})
}

// joinerSnapshot is the committed state, which is encoded once for all joiners that ask for it shortly after one another.
func (r *Replica) joinerSnapshot() []byte {
	if r.cachedSnapshot == nil || r.cachedSnapshotPosition != r.committed {
		r.cachedSnapshot, r.cachedSnapshotPosition = r.options.StateMachine.Snapshot(), r.committed
	}
	r.cachedSnapshotExpiry = r.now + snapshotCacheTTL
	return r.cachedSnapshot
}

// evictCachedSnapshot forgets the encoded state that no joiner asked for lately.
func (r *Replica) evictCachedSnapshot() {
	if r.now >= r.cachedSnapshotExpiry {
		r.cachedSnapshot = nil
	}
}

// entriesAfter lists the committed entries after the position, if all are still kept.
func (r *Replica) entriesAfter(from position) (entries []*nodepb.Entry, complete bool) {
	if from == r.committed || from.index > r.committed.index {
		return nil, true
	}
	for i, entry := range r.recentEntries {
		if positionOf(entry) == from {
			return slices.Clone(r.recentEntries[i+1:]), true
		}
	}
	return nil, false
}

// receiveCatchUp takes the head's state. It must be the epoch that this node knows as the newest, and within an epoch
// the state doesn't go back.
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
		r.needsSnapshot = true
		r.nextJoinRequestAt = r.now
		return
	}
	r.needsSnapshot = false
	r.adoptPending(message.GetPending())
	r.caughtUpEpoch = message.GetEpoch()
	pending := r.pending
	r.persist(kindCaughtUp, &nodepb.CaughtUpRecord{Epoch: r.caughtUpEpoch}, func() { r.acknowledgeCatchUp(message, pending) })
}

// applyCatchUp brings the committed state up to the head's; false: this node needs a snapshot for it.
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

func (r *Replica) commitCatchUpEntry(entry *nodepb.Entry) {
	if r.pending == nil || positionOf(r.pending) != positionOf(entry) {
		r.pending = entry
		r.persist(kindEntry, entry, nil)
	}
	r.commit()
}

// installSnapshot replaces the state by a newer committed one.
func (r *Replica) installSnapshot(committed position, snapshot []byte) bool {
	if err := r.options.StateMachine.Restore(snapshot); err != nil {
		r.emit(core.Log{Message: "control state: snapshot refused", Fields: []any{"index", committed.index, "error", err}})
		return false
	}
	r.committed = committed
	r.pending = nil
	r.pendingDurable = false
	r.recentEntries = nil
	r.recentBytes = 0
	r.persist(kindState, r.stateRecord(), nil)
	r.emit(core.Installed{Snapshot: r.snapshot()})
	return true
}

// adoptPending makes the head's pending entry, or that there is none, this node's own.
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

// acknowledgeCatchUp answers the head once its whole state is durable here.
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
	head := view.Head(r.view)
	r.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_CatchUpDone{CatchUpDone: done}})
}

// receiveCatchUpDone notes what a joiner has durable. If an entry was taken meanwhile, the head holds back further ones for a
// moment and sends that one too.
func (r *Replica) receiveCatchUpDone(from core.Peer, message *nodepb.CatchUpDone) {
	if !r.isCurrentEpoch(from, message.GetEpoch()) || !r.isHead() {
		return
	}
	sender := r.joiners[message.GetDiskId()]
	if sender == nil || sender.catchUpSequence != message.GetSequence() {
		return
	}
	sender.durablePosition = position{index: message.GetLastIndex(), epoch: message.GetLastEpoch()}
	sender.caughtUp = true
	sender.caughtUpAt = r.now
	r.detector.RecordRoundTrip(from.Address, sender.voter, sender.catchUpSentAt)
	if sender.durablePosition != r.lastPosition() {
		r.entriesPausedUntil = max(r.entriesPausedUntil, r.now+joinerGracePeriod)
		sender.committed = position{}
		r.sendCatchUp(sender)
		return
	}
	r.nextEvaluationAt = r.now
	r.evaluateView()
}

// readyJoiners lists, at the head, the machines that have the whole state durable just now, in the order of their disk ids.
func (r *Replica) readyJoiners() []*nodepb.Voter {
	if !r.isHead() {
		return nil
	}
	var ready []*nodepb.Voter
	for _, candidate := range r.joiners {
		if candidate.caughtUp && r.now-candidate.caughtUpAt <= view.FailureTimeout && candidate.durablePosition == r.lastPosition() {
			ready = append(ready, candidate.voter)
		}
	}
	slices.SortFunc(ready, func(a, b *nodepb.Voter) int {
		if a.GetDiskId() < b.GetDiskId() {
			return -1
		}
		return 1
	})
	return ready
}
