package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// learn installs a decided view if it is newer than the one known.
func (s *Store) learn(decided *nodepb.View) {
	if decided == nil || decided.GetEpoch() <= view.Epoch(s.view) || !view.Valid(decided) {
		return
	}
	s.view = decided
	s.viewDurable = false
	s.acceptor = view.NewAcceptor(decided.GetEpoch() + 1)
	s.seenRound = 0
	s.wedged = false
	s.round = nil
	s.wantedSince = core.Never
	s.notBefore = 0
	s.founders = nil
	s.leaveHead()
	s.joinAt = s.now
	s.wholeState = false
	s.watch()
	s.persist(kindView, decided, func() {
		if s.view != decided {
			return
		}
		s.viewDurable = true
		s.enterEpoch()
	})
	s.emit(core.Log{Message: "control state: view installed", Fields: []any{
		"epoch", decided.GetEpoch(), "chain", decided.GetChain(), "voters", len(decided.GetVoters()),
	}})
}

// leaveHead ends what this node did as the head of the epoch before. What was not answered begins anew, here or at the new
// head: a command that was turned down is checked again, as this node may have been superseded when it checked it.
func (s *Store) leaveHead() {
	s.inherited = false
	reads, commands := s.unanswered()
	s.waiting = nil
	s.barriers = nil
	s.leased = false
	s.leaseFrom = 0
	s.holdUntil = 0
	clear(s.joiners)
	s.queue = append(s.unfinished(commands), s.queue...)
	if s.isHead() {
		s.waiting = reads
		return
	}
	for _, read := range reads {
		message := &nodepb.Submit{Request: read.origin.GetRequest(), Read: true, KnownIndex: read.knownIndex}
		s.passToHead(message, read.origin)
	}
	s.passQueueOn()
}

// unfinished adds the command of the entry that this node took and that is not committed, if another is the head now: the entry
// may not have come through. Where it has, the new head knows the command by its id.
func (s *Store) unfinished(commands []submission) []submission {
	if s.isHead() || s.pending == nil || s.pending.GetCommand() != s.taken.command || s.now >= s.taken.expires {
		return commands
	}
	return append([]submission{s.taken}, commands...)
}
