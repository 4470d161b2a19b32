// Package chain replicates the control state along the chain of the agreed view, and changes that view.
//
// # Replication
//
// At most one entry is not committed. The head checks a command against the committed state, makes the entry durable and
// passes it on; every member makes it durable and passes it on; the tail commits it, answers the machine that brought
// the command, and tells the members. Reads, and commands that were turned down, pass the whole chain as a Barrier and are
// answered by the tail as well. An entry is named by its index and epoch together: an epoch has one head, and the head
// takes an index once.
//
// A view is whole if its chain has as many members as acknowledged_by demands, else short. A short view answers nothing:
// no entry, no read, no rejection.
//
// # Why nothing acknowledged is lost
//
// The proposers of a view (view.Proposers) are the members of its chain and, where it is short, its holders: the
// proposers of the view before that are still voters.
//
// Claim: a proposer of view e that has installed e or a later view holds every entry that was acknowledged in an epoch
// before e. By induction over e; let P be the node whose proposal became view e.
//
//   - P was a proposer of e-1, so it holds what was acknowledged before e-1. If e-1 was whole, P was in its chain and had
//     wedged itself, durably, before any acceptor heard of its proposal; what was acknowledged in e-1 had passed P before.
//     If e-1 was short, nothing was acknowledged in it.
//   - Another proposer M of e that was one of e-1 holds what was acknowledged before e-1 by the claim. What was acknowledged in
//     e-1 passed M, and it passed M before M installed e, as M ignores the messages of older epochs from then on.
//   - A joiner M was named only by the head P of e-1, after M had made durable the same last entry as P had at its
//     wedge. In one epoch only its head sends CatchUp, a joiner takes CatchUp only of the epoch it knows as newest, and within
//     an epoch its state never goes back; so it keeps that entry.
//
// So the order of the new chain is free among proposers of the old view. The node that proposes puts itself first, except
// where it hands over because it ends soon; then it names no joiners.
//
// An answer of the tail is as of a moment at which its epoch was in force: the barrier passed every member of a whole
// view, hence also the proposer of the next one, before that wedged itself.
//
// An entry that is inherited from an earlier epoch is committed before the new head starts a barrier or takes an entry,
// as it may have been acknowledged. A tail that restarts commits its last entry if it is of the epoch in force, for the
// same reason. What a member holds beyond that, and the head does not, was never acknowledged and is dropped.
//
// # Why it goes on
//
// An acknowledged entry is on one disk more than may be lost, and so are the proposers of every view; with a majority
// of the voters in reach one of them can propose. A voter that is lost gives its place to a successor, or is dropped
// while enough others stay.
//
// Source: docs/design/system.md, "Control state".
package chain
