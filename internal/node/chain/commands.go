package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// submission is a command that waits at the head.
type submission struct {
	command *nodepb.Command
	origin  *nodepb.Origin
	hops    uint32
	expires core.Time
}

// receiveSubmit takes a command or a read at the head; other nodes pass it on to the head they know.
func (s *Store) receiveSubmit(from core.Peer, message *nodepb.Submit) {
	origin := message.GetOrigin()
	if origin == nil {
		origin = &nodepb.Origin{Address: from.Address, Request: message.GetRequest()}
	}
	switch {
	case !s.isHead() && !s.passedByHead(from.Address, message):
		s.passToHead(message, origin)
	case message.GetRead():
		s.startBarrier(barrierStart{origin: origin, wantsState: true, knownIndex: message.GetKnownIndex()})
	case message.GetCommand() != nil && len(s.queue) < queueLimit:
		s.queue = append(s.queue, submission{
			command: message.GetCommand(),
			origin:  origin,
			hops:    message.GetHops(),
			expires: s.now + queueWait,
		})
		s.takeNext()
	}
}

// passedByHead reports whether the node that this one takes for the head passed the message on: it knows of a newer view,
// which is on its way here, and the message waits for that.
func (s *Store) passedByHead(from string, message *nodepb.Submit) bool {
	head := view.Head(s.view)
	return head != nil && message.GetHops() > 0 && head.GetAddress() == from
}

// passToHead passes a command or read on to the head that this node knows.
func (s *Store) passToHead(message *nodepb.Submit, origin *nodepb.Origin) {
	head := view.Head(s.view)
	if head == nil || message.GetHops() >= maxHops {
		return
	}
	s.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{
		Request: message.GetRequest(),
		Command: message.GetCommand(),
		Read:    message.GetRead(),
		Hops:    message.GetHops() + 1,
		Origin:  origin,

		KnownIndex: message.GetKnownIndex(),
	}}})
}

// passQueueOn sends the commands that wait here to the new head.
func (s *Store) passQueueOn() {
	for _, waiting := range s.queue {
		message := &nodepb.Submit{Request: waiting.origin.GetRequest(), Command: waiting.command, Hops: waiting.hops}
		s.passToHead(message, waiting.origin)
	}
	s.queue = nil
}

func (s *Store) expireQueue() {
	for len(s.queue) > 0 && s.queue[0].expires <= s.now {
		s.queue = s.queue[1:]
	}
}

// takesEntries reports whether the head may take a new entry or turn a command down just now.
func (s *Store) takesEntries() bool {
	return s.isHead() && s.answers() && s.pending == nil && s.round == nil && s.now >= s.holdUntil
}

// takeNext takes commands from the queue until one became an entry.
func (s *Store) takeNext() {
	for len(s.queue) > 0 && s.takesEntries() {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.take(next)
	}
}

func (s *Store) take(next submission) {
	result, take := s.options.Machine.Check(next.command)
	if !take {
		s.startBarrier(barrierStart{origin: next.origin, rejection: result, turnedDown: &next})
		return
	}
	s.taken = next
	s.retransmitAt = s.now + retransmitEvery
	s.replacePending(&nodepb.Entry{
		Index:   s.committed.index + 1,
		Epoch:   s.view.GetEpoch(),
		Command: next.command,
		Origin:  next.origin,
	})
}

// repeats reports whether the head has an entry to repeat.
func (s *Store) repeats() bool {
	return s.pending != nil && s.pendingDurable && s.isHead() && s.member() && !s.isTail()
}

// retransmit repeats what isn't committed, and the barriers that have not come through.
func (s *Store) retransmit() {
	if s.repeats() && s.now >= s.retransmitAt {
		s.retransmitAt = s.now + retransmitEvery
		s.passPending()
	}
	s.repeatBarriers()
}

// enterEpoch starts this node's part in the view that was installed; it is called again when the view is durable.
func (s *Store) enterEpoch() {
	if !s.member() || !s.viewDurable {
		return
	}
	if !s.isHead() {
		s.commitOwnAtTail()
		return
	}
	s.inherited = s.pending != nil
	s.retransmitAt = s.now + retransmitEvery
	s.passPending()
	s.startWaiting()
	s.takeNext()
}

// commitOwnAtTail commits, after a restart, the last entry at the tail if it is of the epoch in force: it had passed
// the whole chain and may have been acknowledged.
func (s *Store) commitOwnAtTail() {
	if s.isTail() && s.pending != nil && s.pending.GetEpoch() == s.view.GetEpoch() {
		s.appended = s.view.GetEpoch()
		s.passPending()
	}
}
