// Package links injects network faults between processes: a link is a relay in user space from one endpoint to another, and a
// network gives each direction of each link the conditions that hold at present between the endpoints' sites. Bytes can be delayed,
// limited in rate, stalled as by packet loss, blocked by a partition, or have their connections reset; new connections can be
// refused or left unanswered.
//
// It needs no privileges; all addresses are in 127.0.0.0/8. The relays preserve what TCP does under a real fault: a partition
// leaves open connections open and silent, and bytes written meanwhile arrive after it has ended, unless the other end has
// restarted. The package does not model congestion, reordering of packets, or the loss of a machine.
package links
