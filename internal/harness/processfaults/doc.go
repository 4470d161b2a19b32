// Package processfaults runs small fleets of real kestrelnode processes on loopback, with load and configuration changes, and
// injects faults into the processes, their disks and the links between them. A run follows a plan, and a plan follows from its seed;
// unlike in package faultrun the processes keep their own time, so that a plan which fails once may pass when it is replayed.
//
// Runs are judged from outside, by what clients, brokers and operators observed: by the checks of package fleet, by the
// linearizability of the configuration's history (confighistory), by requests with revoked keys, and by the time until the fleet
// serves and agrees again.
//
// Links model what TCP shows of a faulty network (package links). A full disk is modelled as a data directory in which nothing
// can be created: the error is another than ENOSPC.
package processfaults
