package chain

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// last is the newest entry this node holds.
func (s *Store) last() position {
	if s.pending != nil {
		return positionOf(s.pending)
	}
	return s.committed
}

// receiveAppend takes an entry from the member before, or the head's repeat of it.
func (s *Store) receiveAppend(from core.Peer, message *nodepb.Append) {
	if !s.inForce(from, message.GetEpoch()) || !s.member() || s.isHead() || message.GetEntry() == nil {
		return
	}
	s.commitUpTo(position{index: message.GetCommitted(), epoch: message.GetCommittedEpoch()})
	entry := message.GetEntry()
	at := positionOf(entry)
	switch {
	case at == s.committed:
		s.passCommitted(entry)
	case at.index != s.committed.index+1:
		return
	case s.pending != nil && positionOf(s.pending) == at:
		s.appended = message.GetEpoch()
		s.passPending()
	default:
		s.replacePending(entry)
		s.appended = message.GetEpoch()
	}
}

// replacePending makes an entry durable in the place of the one that is held, which was never acknowledged.
func (s *Store) replacePending(entry *nodepb.Entry) {
	s.pending = entry
	s.pendingDurable = false
	s.persist(kindEntry, entry, func() {
		if s.pending != entry {
			return
		}
		s.pendingDurable = true
		s.passPending()
	})
}

// passPending passes the pending entry on if it may: it is durable here and was sent in the epoch in force. The tail
// commits it.
func (s *Store) passPending() {
	if !s.member() || !s.viewDurable || s.pending == nil || !s.pendingDurable {
		return
	}
	if !s.isHead() && s.appended != s.view.GetEpoch() {
		return
	}
	if s.isTail() {
		s.acknowledge()
		return
	}
	s.forward(s.pending)
}

// passCommitted passes on a repeat of an entry that is committed here, for members that don't have it.
func (s *Store) passCommitted(entry *nodepb.Entry) {
	if !s.viewDurable {
		return
	}
	if s.isTail() {
		s.notifyCommitted(0)
		return
	}
	s.forward(entry)
}

func (s *Store) forward(entry *nodepb.Entry) {
	successor := view.Successor(s.view, s.diskID())
	s.send(successor.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Append{Append: &nodepb.Append{
		Epoch:          s.view.GetEpoch(),
		Entry:          entry,
		Committed:      s.committed.index,
		CommittedEpoch: s.committed.epoch,
	}}})
}

// acknowledge commits the pending entry at the tail and answers it, if the chain is long enough.
func (s *Store) acknowledge() {
	if !view.CanAcknowledge(s.view) {
		return
	}
	entry := s.pending
	result := s.commit()
	s.answer(entry.GetOrigin(), result, nil)
	s.notifyCommitted(0)
	s.afterCommit()
}

// afterCommit goes on at the head with what waited for the commit.
func (s *Store) afterCommit() {
	if !s.isHead() {
		return
	}
	s.startWaiting()
	s.takeNext()
}

// answer sends the result of a command, or the state of a read, to who asked.
func (s *Store) answer(origin *nodepb.Origin, result *nodepb.CommandResult, state *nodepb.StateSnapshot) {
	if origin.GetAddress() == "" {
		return
	}
	s.send(origin.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_SubmitReply{SubmitReply: &nodepb.SubmitReply{
		Request: origin.GetRequest(),
		Result:  result,
		View:    s.view,
		State:   state,
	}}})
}

// notifyCommitted tells the other members what is committed, and the head alone where a barrier came through.
func (s *Store) notifyCommitted(barrier uint64) {
	notice := &nodepb.CommitNotice{
		Epoch:      s.view.GetEpoch(),
		Index:      s.committed.index,
		EntryEpoch: s.committed.epoch,
		Barrier:    barrier,
	}
	for i, diskID := range s.view.GetChain() {
		if diskID == s.diskID() || barrier != 0 && i > 0 {
			continue
		}
		address := view.FindVoter(s.view, diskID).GetAddress()
		s.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_CommitNotice{CommitNotice: notice}})
	}
}

func (s *Store) receiveCommitNotice(from core.Peer, notice *nodepb.CommitNotice) {
	if !s.inForce(from, notice.GetEpoch()) || !s.inChain() {
		return
	}
	s.commitUpTo(position{index: notice.GetIndex(), epoch: notice.GetEntryEpoch()})
	if notice.GetBarrier() != 0 {
		s.barrierDone(notice.GetBarrier())
	}
}

// commitUpTo commits the pending entry if it is the one that was told to be committed.
func (s *Store) commitUpTo(told position) {
	if s.pending == nil || positionOf(s.pending) != told || !s.pendingDurable {
		return
	}
	s.commit()
	s.afterCommit()
}

// commit applies the pending entry.
func (s *Store) commit() *nodepb.CommandResult {
	entry := s.pending
	s.pending = nil
	s.pendingDurable = false
	s.inherited = false
	s.committed = positionOf(entry)
	result := s.options.Machine.Apply(entry)
	if result.GetIndex() == 0 {
		result = proto.CloneOf(result)
		result.Index = entry.GetIndex()
	}
	s.remember(entry)
	s.emit(core.Committed{Entry: entry, Result: result})
	return result
}

// remember keeps the newest entries for joiners that lack only these.
func (s *Store) remember(entry *nodepb.Entry) {
	s.recent = append(s.recent, entry)
	s.recentBytes += proto.Size(entry)
	for len(s.recent) > recentEntries || s.recentBytes > recentEntryBytes && len(s.recent) > 0 {
		s.recentBytes -= proto.Size(s.recent[0])
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
}

// dropPending forgets an entry that the head doesn't have; done follows once that is durable.
func (s *Store) dropPending(done func()) {
	record := &nodepb.DropRecord{Index: s.pending.GetIndex(), Epoch: s.pending.GetEpoch()}
	s.pending = nil
	s.pendingDurable = false
	s.persist(kindDrop, record, done)
}
