// Package scale measures how what a node of the router fleet sends, holds and computes grows with the fleet.
//
// Hollow nodes run the cores of the product (membership, view and chain, submit, distribution, registry, rollout, kvindex,
// routing) many to one process: no sockets, no disks, no HTTP. They send one another encoded frames over a network in memory, under
// a virtual clock that jumps from event to event; stand-in brokers send heartbeats, answer the calls for events of kept parts and
// take orders. So the messages and bytes that are counted don't depend on the machine, and the processor time is that of the cores
// and the codec alone.
//
// Beside them a few real node processes on loopback tell what sockets, wake-ups and HTTP add (see RunReal), and Units tells the bytes
// that one more broker, member, tenant or kept part takes. Fit draws lines through the sizes; CheckSlopes fails where a node's share
// grows with the fleet though it must not.
//
// docs/CAPACITY.md holds the figures and what follows from them.
package scale
