package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// installView installs a decided view if it is newer than the one known. From here on messages of
// older epochs are ignored; this node takes part in the new epoch once the view is durable.
func (r *Replica) installView(decided *nodepb.View) {
	if decided == nil || decided.GetEpoch() <= view.Epoch(r.view) || !view.Valid(decided) {
		return
	}
	r.view = decided
	r.viewDurable = false
	r.acceptor = view.NewAcceptor(decided.GetEpoch() + 1)
	r.highestSeenCounter = 0
	r.wedged = false
	r.proposal = nil
	r.changeNeededSince = core.Never
	r.proposalBackoffUntil = 0
	r.founders = nil
	r.stepDown()
	r.nextJoinRequestAt = r.now
	r.updateTargets()
	r.persist(kindView, decided, func() {
		if r.view != decided {
			return
		}
		r.viewDurable = true
		r.enterEpoch()
	})
	r.emit(core.Log{Message: "chain: view installed", Fields: []any{
		"epoch", decided.GetEpoch(), "chain", decided.GetChain(), "voters", len(decided.GetVoters()),
	}})
}

// stepDown ends what this node did as the head of the previous epoch. What was not answered starts
// again, here or at the new head: a rejected command is checked again, as this node may have been
// superseded when it checked it.
func (r *Replica) stepDown() {
	r.head.pendingInherited = false
	reads, commands := r.unansweredRequests()
	r.head.deferredBarriers = nil
	r.head.outstandingBarriers = nil
	r.head.hasLease = false
	r.head.leaseStart = 0
	r.head.entriesPausedUntil = 0
	clear(r.head.joiners)
	r.head.commandQueue = append(r.withUncommitted(commands), r.head.commandQueue...)
	if r.isHead() {
		r.head.deferredBarriers = reads
		return
	}
	for _, read := range reads {
		message := &nodepb.Submit{Request: read.origin.GetRequest(), Read: true, KnownIndex: read.knownIndex}
		r.forwardToHead(message, read.origin)
	}
	r.forwardQueue()
}

// withUncommitted adds, in front, the command of this node's own uncommitted entry, if another node
// is the head now: the entry may be lost. Where it is not, the new head knows the command by its
// id.
func (r *Replica) withUncommitted(commands []queuedCommand) []queuedCommand {
	if r.isHead() || r.pending == nil || r.pending.GetCommand() != r.head.lastProposed.command || r.now >= r.head.lastProposed.expiresAt {
		return commands
	}
	return append([]queuedCommand{r.head.lastProposed}, commands...)
}
