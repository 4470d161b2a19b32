package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// installView installs a decided view if it is newer than the one known.
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
	r.needsSnapshot = false
	r.updateTargets()
	r.persist(kindView, decided, func() {
		if r.view != decided {
			return
		}
		r.viewDurable = true
		r.enterEpoch()
	})
	r.emit(core.Log{Message: "control state: view installed", Fields: []any{
		"epoch", decided.GetEpoch(), "chain", decided.GetChain(), "voters", len(decided.GetVoters()),
	}})
}

// stepDown ends what this node did as the head of the epoch before. What was not answered begins anew, here or at the new
// head: a command that was turned down is checked again, as this node may have been superseded when it checked it.
func (r *Replica) stepDown() {
	r.pendingInherited = false
	reads, commands := r.unansweredRequests()
	r.deferredBarriers = nil
	r.outstandingBarriers = nil
	r.hasLease = false
	r.leaseStart = 0
	r.entriesPausedUntil = 0
	clear(r.joiners)
	r.commandQueue = append(r.withUncommitted(commands), r.commandQueue...)
	if r.isHead() {
		r.deferredBarriers = reads
		return
	}
	for _, read := range reads {
		message := &nodepb.Submit{Request: read.origin.GetRequest(), Read: true, KnownIndex: read.knownIndex}
		r.forwardToHead(message, read.origin)
	}
	r.forwardQueue()
}

// withUncommitted adds the command of the entry that this node took and that is not committed, if another is the head now: the entry
// may not have come through. Where it has, the new head knows the command by its id.
func (r *Replica) withUncommitted(commands []queuedCommand) []queuedCommand {
	if r.isHead() || r.pending == nil || r.pending.GetCommand() != r.lastProposed.command || r.now >= r.lastProposed.expiresAt {
		return commands
	}
	return append([]queuedCommand{r.lastProposed}, commands...)
}
