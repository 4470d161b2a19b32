// Package distribution replicates the committed control state to every node, and tells each node how
// old its state is. It is a state machine without I/O. It isn't the agreement on the state: entries
// are committed by the chain (package chain) and handed in by Committed and Installed.
//
// Every node polls an upstream and names the index that it holds. The upstream answers with what is
// missing, and pushes later changes to its subscribers, the nodes that polled it lately. The tail of
// the chain is the upstream of the other machines of the core and of each zone's home node. Within
// a zone the nodes form a tree with the home at its root. An upstream that does not answer, or has
// lost contact with the core itself, is demoted: the others are polled first.
//
// Invariants:
//
//   - A node's state never goes back, and entries are applied without a gap.
//   - ConfirmedAt is never too late: everything committed before that moment is in this node's state.
//     The age of a confirmation adds up along the hops, and each hop counts from the moment at which
//     it sent its poll, so that time in transit makes a state older, never fresher.
//   - A confirmation counts only for a state that this node holds.
//   - A node's upstreams in its zone all rank before it, so that no two nodes wait for each other.
//
// Sources: docs/design/system.md, "Distribution"; RULES.md, "API keys" and "Configuration". Reads at
// the tail follow chain replication (van Renesse and Schneider 2004).
package distribution
