// Package faultrun is a deterministic simulation of whole fleets under a virtual clock: the control plane of each node as the program
// runs it (package control), with its journal on a faulty disk (package diskfault), operators, brokers, and a network that loses,
// duplicates, delays and partitions. A run follows from its plan, and a plan from its seed: all random draws are made in the order
// of the events, so that a run can be repeated event by event.
//
// While a run goes on, the promises of the pages are checked after each step or every 100 ms, from what operators, brokers and the
// data plane see: acknowledged changes are never lost, of the changes on one version one is acknowledged, versions never go
// back, reads are never stale, revoked keys are not served, fencing tokens rise, and drains are kept. At the end the history of changes
// and reads is checked for linearizability.
//
// A plan that violates something is reduced to the faults that it needs (Shrink), and can be replayed as it was printed (Replay).
//
// The package checks the control plane alone: forwarding of requests, real sockets, disks and clocks are not part of it.
package faultrun
