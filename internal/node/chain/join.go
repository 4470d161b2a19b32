package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// joiner is what the head knows of a machine that wants into the chain.
type joiner struct {
	voter     *nodepb.Voter
	committed position // that it has, as it said
	sequence  uint64   // of the newest CatchUp
	sentAt    core.Time
	last      position // that it made durable
	doneAt    core.Time
	done      bool
}

// joins reports whether this node should ask to join the chain.
func (s *Store) joins() bool {
	return s.view != nil && !s.inChain() && s.diskID() != "" && s.now >= s.leaving && s.writer.healthy(s.now)
}

// reachesChain reports whether there is a way to every member of the chain and back.
func (s *Store) reachesChain() bool {
	for _, diskID := range s.view.GetChain() {
		if s.detector.Condition(diskID) != view.Reachable {
			return false
		}
	}
	return true
}

// joinDue asks the head to be taken into the chain.
func (s *Store) joinDue() {
	if !s.joins() || s.now < s.joinAt || !s.reachesChain() {
		return
	}
	s.joinAt = s.now + joinEvery
	request := &nodepb.JoinRequest{
		Self:           s.options.Self,
		Epoch:          s.view.GetEpoch(),
		Committed:      s.committed.index,
		CommittedEpoch: s.committed.epoch,
		Reachable:      s.detector.ReachableVoters(),
	}
	if s.wholeState {
		request.Committed = 0
		request.CommittedEpoch = 0
	}
	head := view.Head(s.view)
	s.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_JoinRequest{JoinRequest: request}})
}

func (s *Store) joinDeadline() core.Time {
	if !s.joins() || !s.reachesChain() {
		return core.Never
	}
	return max(s.joinAt, s.now)
}

// receiveJoinRequest sends the state to a machine that reaches the whole chain.
func (s *Store) receiveJoinRequest(from core.Peer, request *nodepb.JoinRequest) {
	if !s.inForce(from, request.GetEpoch()) || !s.isHead() || s.now < s.leaving {
		return
	}
	voter := request.GetSelf()
	if voter.GetDiskId() == "" || view.ChainIndex(s.view, voter.GetDiskId()) >= 0 || !s.connects(request.GetReachable()) {
		return
	}
	j := s.joiners[voter.GetDiskId()]
	if j == nil {
		j = &joiner{sentAt: s.now - catchUpEvery}
		s.joiners[voter.GetDiskId()] = j
	}
	j.voter = voter
	j.committed = position{index: request.GetCommitted(), epoch: request.GetCommittedEpoch()}
	if s.now-j.sentAt >= catchUpEvery {
		s.sendCatchUp(j)
	}
}

// connects reports whether the list names every member of the chain.
func (s *Store) connects(reachable []string) bool {
	for _, diskID := range s.view.GetChain() {
		if !slices.Contains(reachable, diskID) {
			return false
		}
	}
	return true
}

// sendCatchUp sends the committed state, as far as the joiner lacks it, and the pending entry. What is not durable here
// is not sent: it could be another entry after a restart.
func (s *Store) sendCatchUp(j *joiner) {
	if !s.viewDurable || s.pending != nil && !s.pendingDurable {
		return
	}
	j.sequence++
	j.sentAt = s.now
	message := &nodepb.CatchUp{
		Epoch:          s.view.GetEpoch(),
		Sequence:       j.sequence,
		Committed:      s.committed.index,
		CommittedEpoch: s.committed.epoch,
		Pending:        s.pending,
	}
	entries, enough := s.entriesAfter(j.committed)
	message.Entries = entries
	if !enough {
		message.HasSnapshot = true
		message.Snapshot = s.encodedState()
	}
	s.send(j.voter.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_CatchUp{CatchUp: message}})
}

// encodedState is the committed state, which is encoded once for all joiners that ask for it shortly after one another.
func (s *Store) encodedState() []byte {
	if s.encoded == nil || s.encodedAt != s.committed {
		s.encoded, s.encodedAt = s.options.Machine.Snapshot(), s.committed
	}
	s.encodedUntil = s.now + catchUpKept
	return s.encoded
}

// dropEncodedState forgets the encoded state that no joiner asked for lately.
func (s *Store) dropEncodedState() {
	if s.now >= s.encodedUntil {
		s.encoded = nil
	}
}

// entriesAfter lists the committed entries after the position, if all are still kept.
func (s *Store) entriesAfter(from position) (entries []*nodepb.Entry, enough bool) {
	if from == s.committed || from.index > s.committed.index {
		return nil, true
	}
	for i, entry := range s.recent {
		if positionOf(entry) == from {
			return slices.Clone(s.recent[i+1:]), true
		}
	}
	return nil, false
}

// receiveCatchUp takes the head's state. It must be the epoch that this node knows as the newest, and within an epoch
// the state doesn't go back.
func (s *Store) receiveCatchUp(from core.Peer, message *nodepb.CatchUp) {
	if !s.inForce(from, message.GetEpoch()) || s.inChain() || from.Address != view.Head(s.view).GetAddress() {
		return
	}
	last := position{index: message.GetCommitted(), epoch: message.GetCommittedEpoch()}
	if message.GetPending() != nil {
		last = positionOf(message.GetPending())
	}
	if s.caughtUp == message.GetEpoch() && last.index < s.last().index {
		return
	}
	if !s.takeCommitted(message) {
		s.wholeState = true
		s.joinAt = s.now
		return
	}
	s.wholeState = false
	s.takeOverPending(message.GetPending())
	s.caughtUp = message.GetEpoch()
	held := s.pending
	s.persist(kindCaughtUp, &nodepb.CaughtUpRecord{Epoch: s.caughtUp}, func() { s.caughtUpDurable(message, held) })
}

// takeCommitted brings the committed state up to the head's; false: this node needs a snapshot for it.
func (s *Store) takeCommitted(message *nodepb.CatchUp) bool {
	told := position{index: message.GetCommitted(), epoch: message.GetCommittedEpoch()}
	if message.GetHasSnapshot() && told.index > s.committed.index {
		return s.install(told, message.GetSnapshot())
	}
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() == s.committed.index+1 {
			s.takeCommittedEntry(entry)
		}
	}
	if s.pending != nil && positionOf(s.pending) == told {
		s.commit()
	}
	return s.committed.index >= told.index
}

func (s *Store) takeCommittedEntry(entry *nodepb.Entry) {
	if s.pending == nil || positionOf(s.pending) != positionOf(entry) {
		s.pending = entry
		s.persist(kindEntry, entry, nil)
	}
	s.commit()
}

// install replaces the state by a newer committed one.
func (s *Store) install(at position, snapshot []byte) bool {
	if err := s.options.Machine.Restore(snapshot); err != nil {
		s.emit(core.Log{Message: "control state: snapshot refused", Fields: []any{"index", at.index, "error", err}})
		return false
	}
	s.committed = at
	s.pending = nil
	s.pendingDurable = false
	s.recent = nil
	s.recentBytes = 0
	s.persist(kindState, s.stateRecord(), nil)
	s.emit(core.Installed{Snapshot: s.snapshot()})
	return true
}

// takeOverPending makes the head's pending entry, or that there is none, this node's own.
func (s *Store) takeOverPending(entry *nodepb.Entry) {
	if entry.GetIndex() != s.committed.index+1 {
		if s.pending != nil {
			s.dropPending(nil)
		}
		return
	}
	if s.pending != nil && positionOf(s.pending) == positionOf(entry) {
		return
	}
	s.pending = entry
	s.pendingDurable = false
	s.persist(kindEntry, entry, nil)
}

// caughtUpDurable answers the head once its whole state is durable here.
func (s *Store) caughtUpDurable(message *nodepb.CatchUp, held *nodepb.Entry) {
	if s.pending != held {
		return
	}
	s.pendingDurable = held != nil
	if s.view.GetEpoch() != message.GetEpoch() {
		return
	}
	last := s.last()
	done := &nodepb.CatchUpDone{
		Epoch:        message.GetEpoch(),
		Sequence:     message.GetSequence(),
		Committed:    s.committed.index,
		PendingIndex: s.pending.GetIndex(),
		DiskId:       s.diskID(),
		LastIndex:    last.index,
		LastEpoch:    last.epoch,
	}
	head := view.Head(s.view)
	s.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_CatchUpDone{CatchUpDone: done}})
}

// receiveCatchUpDone notes what a joiner has durable. If an entry was taken meanwhile, the head holds back further ones for a
// moment and sends that one too.
func (s *Store) receiveCatchUpDone(from core.Peer, message *nodepb.CatchUpDone) {
	if !s.inForce(from, message.GetEpoch()) || !s.isHead() {
		return
	}
	j := s.joiners[message.GetDiskId()]
	if j == nil || j.sequence != message.GetSequence() {
		return
	}
	j.last = position{index: message.GetLastIndex(), epoch: message.GetLastEpoch()}
	j.done = true
	j.doneAt = s.now
	s.detector.RecordRoundTrip(from.Address, j.voter, j.sentAt)
	if j.last != s.last() {
		s.holdUntil = max(s.holdUntil, s.now+holdForJoiner)
		j.committed = position{}
		s.sendCatchUp(j)
		return
	}
	s.evaluateAt = s.now
	s.evaluate()
}

// readyJoiners lists, at the head, the machines that have the whole state durable just now, in the order of their disk ids.
func (s *Store) readyJoiners() []*nodepb.Voter {
	if !s.isHead() {
		return nil
	}
	var ready []*nodepb.Voter
	for _, j := range s.joiners {
		if j.done && s.now-j.doneAt <= view.FailureTimeout && j.last == s.last() {
			ready = append(ready, j.voter)
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
