// Package membership keeps the list of the running nodes by SWIM: in each period every node probes
// one other, asks further ones to probe it where it doesn't answer, and piggybacks updates on the
// probes and their acks. The traffic of a node doesn't depend on the number of nodes.
//
// A node that doesn't answer is suspected first. It stays a member, and can refute the suspicion by
// raising its incarnation; where it doesn't do so in time, it is declared dead. A node that was
// declared dead by mistake, as during a partition, rejoins in the same way.
//
// Beyond SWIM, the package follows Lifeguard (a node whose own probes fail in a row, or that was
// stopped, raises its awareness before it suspects others), pushes changes without waiting for the
// next probe, and exchanges complete lists now and then, which repairs what gossip has lost
// (anti-entropy).
//
// The list is eventually consistent: it isn't agreed on, and decides nothing that must be unique.
// The agreement is that of packages view and chain. The package is a state machine without I/O: see
// package core.
//
// Invariants:
//   - This node is always a member of its own list.
//   - A live member is declared dead only by this node's own timer, or because a process of a
//     higher incarnation has taken its address; never because another node claims it.
//   - Of two claims the higher incarnation wins; a node that has left stays so.
//   - At most one live member has an address.
//   - Members that were sent or returned are never modified; a change makes a new one.
//
// Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018);
// docs/design/control.md.
package membership
