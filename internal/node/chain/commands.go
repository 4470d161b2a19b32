package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// queuedCommand is a command that waits at the head until expiresAt.
type queuedCommand struct {
	command   *nodepb.Command
	origin    *nodepb.Origin
	hops      uint32
	expiresAt core.Time
}

// receiveSubmit queues a command, or starts the barrier of a read, at the head; other nodes forward
// it to the head they know. A command that finds the queue full is not answered: its sender tries
// again.
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
	case message.GetCommand() != nil && len(r.head.commandQueue) < maxQueuedCommands:
		r.head.commandQueue = append(r.head.commandQueue, queuedCommand{
			command:   message.GetCommand(),
			origin:    origin,
			hops:      message.GetHops(),
			expiresAt: r.now + commandTimeout,
		})
		r.processQueue()
	}
}

// isForwardedByHead reports whether the node that this one knows as the head forwarded the message.
// It knows a newer view then, which is on its way here, and the message waits for that.
func (r *Replica) isForwardedByHead(from string, message *nodepb.Submit) bool {
	head := view.Head(r.view)
	return head != nil && message.GetHops() > 0 && head.GetAddress() == from
}

// forwardToHead forwards a command or read to the head that this node knows, unless it has come
// over maxCommandHops.
func (r *Replica) forwardToHead(message *nodepb.Submit, origin *nodepb.Origin) {
	head := view.Head(r.view)
	if head == nil || message.GetHops() >= maxCommandHops {
		return
	}
	r.send(head.GetAddress(), &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{
		Request:    message.GetRequest(),
		Command:    message.GetCommand(),
		Read:       message.GetRead(),
		Hops:       message.GetHops() + 1,
		Origin:     origin,
		KnownIndex: message.GetKnownIndex(),
	}}})
}

// forwardQueue forwards the queued commands to the new head.
func (r *Replica) forwardQueue() {
	for _, waiting := range r.head.commandQueue {
		message := &nodepb.Submit{Request: waiting.origin.GetRequest(), Command: waiting.command, Hops: waiting.hops}
		r.forwardToHead(message, waiting.origin)
	}
	r.head.commandQueue = nil
}

func (r *Replica) expireQueue() {
	for len(r.head.commandQueue) > 0 && r.head.commandQueue[0].expiresAt <= r.now {
		r.head.commandQueue = r.head.commandQueue[1:]
	}
}

// acceptsEntries reports whether the head may make a new entry, or reject a command, at present.
func (r *Replica) acceptsEntries() bool {
	return r.isHead() && r.canAnswer() && r.pending == nil && r.proposal == nil && r.now >= r.head.entriesPausedUntil
}

// processQueue processes the queued commands until one has become an entry, which must be committed
// first.
func (r *Replica) processQueue() {
	for len(r.head.commandQueue) > 0 && r.acceptsEntries() {
		next := r.head.commandQueue[0]
		r.head.commandQueue = r.head.commandQueue[1:]
		r.processCommand(next)
	}
}

// processCommand checks a command against the committed state. A rejection passes the chain as a
// barrier, so that this node is known to have been the head when it was made.
func (r *Replica) processCommand(next queuedCommand) {
	result, accept := r.options.StateMachine.Check(next.command)
	if !accept {
		r.startBarrier(headBarrier{origin: next.origin, rejection: result, rejectedCommand: &next})
		return
	}
	r.head.lastProposed = next
	r.head.retransmitAt = r.now + retransmitInterval
	r.persistPending(&nodepb.Entry{
		Index:   r.committed.index + 1,
		Epoch:   r.view.GetEpoch(),
		Command: next.command,
		Origin:  next.origin,
	})
}

// hasEntryToRetransmit reports whether the head has forwarded an entry that isn't committed.
func (r *Replica) hasEntryToRetransmit() bool {
	return r.pending != nil && r.pendingDurable && r.isHead() && r.isActiveMember() && !r.isTail()
}

// retransmit sends the pending entry and the outstanding barriers again, at their intervals.
func (r *Replica) retransmit() {
	if r.hasEntryToRetransmit() && r.now >= r.head.retransmitAt {
		r.head.retransmitAt = r.now + retransmitInterval
		r.forwardPending()
	}
	r.retransmitBarriers()
}

// enterEpoch starts this node's part in the view in force once that is durable. A head forwards
// what it has inherited first.
func (r *Replica) enterEpoch() {
	if !r.isActiveMember() || !r.viewDurable {
		return
	}
	if !r.isHead() {
		r.commitRecoveredAtTail()
		return
	}
	r.head.pendingInherited = r.pending != nil
	r.head.retransmitAt = r.now + retransmitInterval
	r.forwardPending()
	r.startDeferredBarriers()
	r.processQueue()
}

// commitRecoveredAtTail commits, after a restart, the last entry at the tail if it is of the epoch
// in force: it had passed every member and may have been acknowledged.
func (r *Replica) commitRecoveredAtTail() {
	if r.isTail() && r.pending != nil && r.pending.GetEpoch() == r.view.GetEpoch() {
		r.pendingReceivedEpoch = r.view.GetEpoch()
		r.forwardPending()
	}
}
