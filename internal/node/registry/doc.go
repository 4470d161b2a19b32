// Package registry is the service registry of a node: it knows the brokers (model servers) of all
// services. It is a state machine without I/O: inputs and the time go in, core.Output values come
// out. It isn't the registry's copy on disk (package saved), and it doesn't choose a broker for a
// request (package routing).
//
// Every node holds an entry for each broker. The brokers of one service in one zone form a topic.
// Each topic has a home node, chosen by rendezvous hashing, which receives the brokers' heartbeats
// and broadcasts changes only. Lost broadcasts are repaired by anti-entropy: once a second a node
// compares digests with a random other node (antientropy.go).
//
// Invariants:
//
//   - Entries merge without a common clock, and the result doesn't depend on the order of messages.
//     A broker's state only rises (ready, draining, gone); of what it reports itself the highest
//     sequence wins; of what nodes add to it the highest revision.
//   - A gone broker stays as a tombstone for tombstoneRetention, so that no late message revives it.
//   - A draining or gone broker is acknowledged only after another node holds that state, unless
//     this node is alone, and after a majority of the voters have it on their disks.
//   - Only the home node of a topic, or a node that received the broker's heartbeat, decides whether
//     the broker is unresponsive.
//   - A Table is immutable.
//
// Sources: PROTOCOL.md, "Service discovery"; RULES.md, "Draining and shutdown".
package registry
