// Package rollout brings new weights to model brokers: the singleton duty "weights", which the head of the chain holds.
//
// It is a state machine without I/O. For each broker that has an older version of a model than the newest named one it
//
//  1. marks the broker at all nodes, so that no further request is sent to it,
//  2. orders the version in mode "wait" (runs end first) under the fence of its grant,
//  3. asks the broker's report until the version is there, and
//  4. tells the registry of the loaded version and takes the mark away.
//
// An order leaves only while a barrier of the head's own is younger than LeaseLength, and only under a grant that stands in the
// control state in this node's name. Whoever becomes head while the grant of another stands open waits until that
// holder's last order is certainly older than the platform's lease.
//
// How many brokers of a service are out of service at once follows from the time that is left: see pace.go.
//
// Sources: PROTOCOL.md, "Requests" (reports, orders, op = version); RULES.md, "Model brokers" (ONE, STALE, VERSION).
package rollout
