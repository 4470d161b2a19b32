package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// queuedCommand is a command that waits at the head.
type queuedCommand struct {
	command   *nodepb.Command
	origin    *nodepb.Origin
	hops      uint32
	expiresAt core.Time
}

// receiveSubmit takes a command or a read at the head; other nodes pass it on to the head they know.
func (r *Replica) receiveSubmit(from core.Peer, message *nodepb.Submit) {
	origin := message.GetOrigin()
	if origin == nil {
		origin = &nodepb.Origin{Address: from.Address, Request: message.GetRequest()}
	}
	switch {
	case !r.isHead() && !r.isForwardedByHead(from.Address, message):
		r.forwardToHead(message, origin)
	case message.GetRead():
		r.startBarrier(headBarrier{origin: origin, wantsState: true, knownIndex: message.GetKnownIndex()})
	case message.GetCommand() != nil && len(r.commandQueue) < maxQueuedCommands:
		r.commandQueue = append(r.commandQueue, queuedCommand{
			command:   message.GetCommand(),
			origin:    origin,
			hops:      message.GetHops(),
			expiresAt: r.now + commandTimeout,
		})
		r.processQueue()
	}
}

// isForwardedByHead reports whether the node that this one takes for the head passed the message on: it knows of a newer view,
// which is on its way here, and the message waits for that.
func (r *Replica) isForwardedByHead(from string, message *nodepb.Submit) bool {
	head := view.Head(r.view)
	return head != nil && message.GetHops() > 0 && head.GetAddress() == from
}

// forwardToHead passes a command or read on to the head that this node knows.
func (r *Replica) forwardToHead(message *nodepb.Submit, origin *nodepb.Origin) {
	head := view.Head(r.view)
	if head == nil || message.GetHops() >= maxCommandHops {
		return
	}
	r.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{
		Request: message.GetRequest(),
		Command: message.GetCommand(),
		Read:    message.GetRead(),
		Hops:    message.GetHops() + 1,
		Origin:  origin,

		KnownIndex: message.GetKnownIndex(),
	}}})
}

// forwardQueue sends the commands that wait here to the new head.
func (r *Replica) forwardQueue() {
	for _, waiting := range r.commandQueue {
		message := &nodepb.Submit{Request: waiting.origin.GetRequest(), Command: waiting.command, Hops: waiting.hops}
		r.forwardToHead(message, waiting.origin)
	}
	r.commandQueue = nil
}

func (r *Replica) expireQueue() {
	for len(r.commandQueue) > 0 && r.commandQueue[0].expiresAt <= r.now {
		r.commandQueue = r.commandQueue[1:]
	}
}

// acceptsEntries reports whether the head may take a new entry or turn a command down just now.
func (r *Replica) acceptsEntries() bool {
	return r.isHead() && r.canAnswer() && r.pending == nil && r.proposal == nil && r.now >= r.entriesPausedUntil
}

// processQueue takes commands from the queue until one became an entry.
func (r *Replica) processQueue() {
	for len(r.commandQueue) > 0 && r.acceptsEntries() {
		next := r.commandQueue[0]
		r.commandQueue = r.commandQueue[1:]
		r.processCommand(next)
	}
}

func (r *Replica) processCommand(next queuedCommand) {
	result, accept := r.options.StateMachine.Check(next.command)
	if !accept {
		r.startBarrier(headBarrier{origin: next.origin, rejection: result, rejectedCommand: &next})
		return
	}
	r.lastProposed = next
	r.retransmitAt = r.now + retransmitInterval
	r.persistPending(&nodepb.Entry{
		Index:   r.committed.index + 1,
		Epoch:   r.view.GetEpoch(),
		Command: next.command,
		Origin:  next.origin,
	})
}

// hasEntryToRetransmit reports whether the head has an entry to repeat.
func (r *Replica) hasEntryToRetransmit() bool {
	return r.pending != nil && r.pendingDurable && r.isHead() && r.isActiveMember() && !r.isTail()
}

// retransmit repeats what isn't committed, and the barriers that have not come through.
func (r *Replica) retransmit() {
	if r.hasEntryToRetransmit() && r.now >= r.retransmitAt {
		r.retransmitAt = r.now + retransmitInterval
		r.forwardPending()
	}
	r.retransmitBarriers()
}

// enterEpoch starts this node's part in the view that was installed; it is called again when the view is durable.
func (r *Replica) enterEpoch() {
	if !r.isActiveMember() || !r.viewDurable {
		return
	}
	if !r.isHead() {
		r.commitRecoveredAtTail()
		return
	}
	r.pendingInherited = r.pending != nil
	r.retransmitAt = r.now + retransmitInterval
	r.forwardPending()
	r.startDeferredBarriers()
	r.processQueue()
}

// commitRecoveredAtTail commits, after a restart, the last entry at the tail if it is of the epoch in force: it had passed
// the whole chain and may have been acknowledged.
func (r *Replica) commitRecoveredAtTail() {
	if r.isTail() && r.pending != nil && r.pending.GetEpoch() == r.view.GetEpoch() {
		r.pendingReceivedEpoch = r.view.GetEpoch()
		r.forwardPending()
	}
}
