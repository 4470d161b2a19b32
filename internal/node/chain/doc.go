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
// # Why nothing acknowledged is lost
//
// Claim: a member of the chain of epoch e that has installed e or a later view holds every entry that was acknowledged in
// an epoch before e. By induction over e; let P be the node whose proposal became view e.
//
//   - P was in the chain of e-1 and had wedged itself, durably, before any acceptor heard of its proposal. What was
//     acknowledged in e-1 had passed P before, so P holds it; what was acknowledged earlier it holds by the claim.
//   - Another member M that was in the chain of e-1 holds what was acknowledged in e-1 because it passed M, and it
//     passed M before M installed e, as M ignores the messages of older epochs from then on.
//   - A joiner M was named only by the head P of e-1, after M had made durable the same last entry as P had at its
//     wedge. In one epoch only its head sends CatchUp, a joiner takes CatchUp only of the epoch it knows as newest, and within
//     an epoch its state never goes back; so it keeps that entry.
//
// So the order of the new chain is free among members of the old one. The proposer puts itself first, except where it
// hands over because it ends soon; then it names no joiners.
//
// An entry that is inherited from an earlier epoch is committed before the new head starts a barrier or takes an entry,
// as it may have been acknowledged. A tail that restarts commits its last entry if it is of the epoch in force, for the
// same reason. What a member holds beyond that, and the head does not, was never acknowledged and is dropped.
//
// Source: docs/design/system.md, "Control state".
package chain
