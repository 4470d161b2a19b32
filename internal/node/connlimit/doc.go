// Package connlimit bounds the connections that a server holds for clients which nobody controls.
//
// A Limiter admits connections up to a maximum. At the maximum it closes the one that has wasted its place for longest, and admits the
// next in its stead; where none has, the next waits in the system's queue. In this order: connections that have said nothing, heads that
// don't end, connections that are idle and were never served, bodies that don't end, and last those that were idle for longer than clients
// reuse them.
//
// Invariants: no more connections than the maximum are open; one whose complete request is being served is never closed, nor one that may
// still be reused by a client that was served.
package connlimit
