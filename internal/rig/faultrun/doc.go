// Package faultrun plays whole fleets under a virtual clock: the control side of each node as the program runs it (package control)
// with its journal on a disk that fails (package diskfault), operators, brokers, and a network that loses, doubles, delays and is
// cut in every shape that the operators' pages know. Everything follows from a seed.
//
// While a run goes on, what the pages promise is checked after each step or every 100 ms, from what operators, brokers and the
// data plane see: nothing acknowledged is lost, one winner for each version built on, no version back, no old read, no stale key, fences
// that rise, drains that are kept. At the end the history of changes and reads is checked for linearizability.
//
// A run that fails is cut down to the troubles that it needs (Shrink), and can be played again from its printed plan.
package faultrun
