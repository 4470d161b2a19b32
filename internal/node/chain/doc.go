// Package chain replicates the control state along the chain of the agreed view, and changes that
// view. It joins chain replication (van Renesse and Schneider 2004) with the reconfiguration of
// Vertical Paxos (Lamport, Malkhi and Zhou 2009). It is neither the journal, which makes its
// records durable, nor the distribution of the committed state to proxies.
//
// # Replication
//
// At most one entry is not committed. The head checks a command against the committed state, makes
// the entry durable and forwards it; every member makes it durable and forwards it; the tail
// commits it, answers the machine that submitted the command, and notifies the members. Reads, and
// commands that were rejected, pass the whole chain as a Barrier and are answered by the tail as
// well. An entry is named by its index and epoch together: an epoch has one head, and the head uses
// an index once.
//
// A view is complete if its chain has at least min_chain_length members, else short. A short view
// answers nothing: no entry, no read, no rejection.
//
// # Why nothing acknowledged is lost
//
// The eligible proposers of a view (view.EligibleProposers) are the members of its chain and, where
// it is short, its off-chain replicas: the eligible proposers of the previous view that are still
// voters.
//
// Claim: an eligible proposer of view e that has installed e or a later view holds every entry that
// was acknowledged in an epoch before e. By induction over e; let P be the node whose proposal
// became view e.
//
//   - P was an eligible proposer of e-1, so it holds what was acknowledged before e-1. If e-1 was
//     complete, P was in its chain and had wedged itself, durably, before any acceptor received its
//     Accept; what was acknowledged in e-1 had passed P before. If e-1 was short, nothing was
//     acknowledged in it.
//   - Another eligible proposer M of e that was one of e-1 holds what was acknowledged before e-1
//     by the claim. What was acknowledged in e-1 passed M, and it passed M before M installed e, as
//     M ignores the messages of older epochs from then on.
//   - A joiner M was added only by the head P of e-1, after M had made durable the same last
//     entry as P had at its wedge. In one epoch only its head sends CatchUp, a joiner accepts
//     CatchUp only of the newest epoch it knows, and within an epoch its state never goes back; so
//     it keeps that entry.
//
// So the order of the new chain is free among the eligible proposers of the old view. The node that
// proposes makes itself the head, except where it hands over because its process is about to stop;
// then it adds no joiners.
//
// An answer of the tail is as of a moment at which its epoch was in force: the barrier passed every
// member of a complete view, hence also the proposer of the next one, before that wedged itself.
//
// An entry that is inherited from an earlier epoch is committed before the new head starts a
// barrier or makes an entry, as it may have been acknowledged. A tail that restarts commits its
// last entry if it is of the epoch in force, for the same reason. What a member holds beyond that,
// and the head does not, was never acknowledged and is discarded.
//
// # Why it makes progress
//
// An acknowledged entry is on one disk more than may be lost, and so are the eligible proposers of
// every view; with a majority of the voters reachable one of them can propose. A voter that is lost
// is replaced by a joiner, or is removed while enough others remain.
//
// Source: docs/design/system.md, "Control state".
package chain
