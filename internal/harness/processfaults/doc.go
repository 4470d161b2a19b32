// Package processfaults runs small fleets of real kestrelnode processes on loopback, with load and configuration changes, and
// injects faults into the processes, their disks and the links between them. A run follows a plan, and a plan follows from its seed;
// unlike in package faultrun the processes keep their own time, so that a plan which fails once may pass when it is replayed.
//
// Each plan also ends all processes just after a broker's draining or deregistration was acknowledged, and has signals in series, which
// overlap with one another, with changes and with the other faults; some clients leave before their answers, and all use their open
// connections until the process is gone. A broker leaves at a node that has just been started while its seeds are down, and a tenant
// becomes isolated while a node is frozen or cut off. A series takes keys away: a tenant's last key, the last tenant, the list of tenants.
// One seed in largeEvery plays as many processes as the machine bears, without relays.
//
// Runs are judged from outside, by what clients, brokers and operators observed: by the checks of package fleet, by the
// linearizability of the configuration's history (confighistory), by the API keys of what brokers ran (keyhistory), and by the time
// until the fleet serves and agrees again.
//
// Links model what TCP shows of a faulty network (package links). A full disk is modelled as a data directory in which nothing
// can be created: the error is another than ENOSPC.
package processfaults
