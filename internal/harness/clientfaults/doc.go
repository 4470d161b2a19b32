// Package clientfaults plays clients that don't stay inside the limits of a service: heads over the limit or without end, connections
// that say nothing, bodies that never end, answers that nobody reads, frames that cost their sender nothing.
//
// A Behaviour is what such a client does with one connection, a Group many clients of one behaviour, which connect again whenever they
// are refused. A Process measures what a group may not drive up: the memory, the descriptors and the log of a process. The package
// starts no process and judges nothing; its tests do, and so does package processfaults. All connections go to addresses on this machine.
package clientfaults
