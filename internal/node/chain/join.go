package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// joiner is what the head knows of a machine that has asked to join the chain.
type joiner struct {
	voter           *nodepb.Voter
	committed       position // that it reported; zero: it needs a snapshot
	catchUpSequence uint64   // of the newest CatchUp sent to it
	catchUpSentAt   core.Time
	caughtUp        bool      // it has answered a CatchUp of this epoch, last at caughtUpAt
	caughtUpAt      core.Time // when it reported durablePosition
	durablePosition position  // of the newest entry that it has made durable
}

// wantsToJoin reports whether this node is outside the chain and able to join it.
func (r *Replica) wantsToJoin() bool {
	return r.view != nil && !r.inChain() && r.diskID() != "" && r.now >= r.leavingUntil && r.records.healthy(r.now)
}

// reachesChain reports whether every member of the chain is reachable from here.
func (r *Replica) reachesChain() bool {
	for _, diskID := range r.view.GetChain() {
		if r.detector.Condition(diskID) != view.Reachable {
			return false
		}
	}
	return true
}

// requestJoinIfDue asks the head to add this node to the chain.
func (r *Replica) requestJoinIfDue() {
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
	r.sendToHead(&nodepb.Envelope{Body: &nodepb.Envelope_JoinRequest{JoinRequest: request}})
}

// joinDeadline is when the next join request is due.
func (r *Replica) joinDeadline() core.Time {
	if !r.wantsToJoin() || !r.reachesChain() {
		return core.Never
	}
	return max(r.nextJoinRequestAt, r.now)
}

// receiveJoinRequest sends, at the head, the state to a machine that reaches every member of the
// chain.
func (r *Replica) receiveJoinRequest(from core.Peer, request *nodepb.JoinRequest) {
	if !r.isCurrentEpoch(from, request.GetEpoch()) || !r.isHead() || r.now < r.leavingUntil {
		return
	}
	voter := request.GetSelf()
	diskID := voter.GetDiskId()
	if diskID == "" || view.ChainIndex(r.view, diskID) >= 0 || !r.coversChain(request.GetReachable()) {
		return
	}
	requester := r.head.joiners[diskID]
	if requester == nil {
		requester = &joiner{catchUpSentAt: r.now - catchUpInterval}
		r.head.joiners[diskID] = requester
	}
	requester.voter = voter
	requester.committed = position{index: request.GetCommitted(), epoch: request.GetCommittedEpoch()}
	if r.now-requester.catchUpSentAt >= catchUpInterval {
		r.sendCatchUp(requester)
	}
}

// coversChain reports whether the disk ids include every member of the chain.
func (r *Replica) coversChain(reachable []string) bool {
	for _, diskID := range r.view.GetChain() {
		if !slices.Contains(reachable, diskID) {
			return false
		}
	}
	return true
}

// sendCatchUp sends the committed state, as far as the joiner lacks it, and the pending entry.
// Nothing is sent while that is not durable here: after a restart it could be another entry.
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
		message.Snapshot = r.head.snapshot.get(r.now, r.committed, r.options.StateMachine.Snapshot)
	}
	r.send(recipient.voter.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_CatchUp{CatchUp: message}})
}

// entriesAfter lists the committed entries after the position; complete is false where the joiner
// needs a snapshot.
func (r *Replica) entriesAfter(from position) (entries []*nodepb.Entry, complete bool) {
	if from == r.committed || from.index > r.committed.index {
		return nil, true
	}
	return r.recent.after(from)
}

// receiveCatchUpDone records what a joiner has made durable. If it lacks an entry that was made
// meanwhile, the head makes no further ones for joinerGracePeriod and sends that one too; else the
// joiner is added by the next view.
func (r *Replica) receiveCatchUpDone(from core.Peer, message *nodepb.CatchUpDone) {
	if !r.isCurrentEpoch(from, message.GetEpoch()) || !r.isHead() {
		return
	}
	sender := r.head.joiners[message.GetDiskId()]
	if sender == nil || sender.catchUpSequence != message.GetSequence() {
		return
	}
	sender.durablePosition = position{index: message.GetLastIndex(), epoch: message.GetLastEpoch()}
	sender.caughtUp = true
	sender.caughtUpAt = r.now
	r.detector.RecordRoundTrip(from.Address, sender.voter, sender.catchUpSentAt)
	if sender.durablePosition != r.lastPosition() {
		r.head.entriesPausedUntil = max(r.head.entriesPausedUntil, r.now+joinerGracePeriod)
		sender.committed = position{}
		r.sendCatchUp(sender)
		return
	}
	r.nextEvaluationAt = r.now
	r.evaluateView()
}

// readyJoiners lists, at the head, the joiners that have the complete state durable, by disk id.
func (r *Replica) readyJoiners() []*nodepb.Voter {
	if !r.isHead() {
		return nil
	}
	var ready []*nodepb.Voter
	for _, candidate := range r.head.joiners {
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
