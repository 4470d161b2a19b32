// Package rollout brings new weights to model brokers. It is the state machine of the singleton
// role "weights", whose lease holder is the head of the chain.
//
// It does no I/O: inputs are a Situation and the ends of calls, outputs are values of package core.
// It neither elects the head nor stores the grant; packages view and chain do that. For each broker
// that has an older version of a model than the newest named one it
//
//  1. marks the broker at all nodes, so that no further request is sent to it,
//  2. orders the version in mode "wait" (running requests end first) under the fence of its grant,
//  3. polls the broker's report until the version is loaded, and
//  4. reports the loaded version to the registry and clears the mark.
//
// Words: the grant is the record in the control state that names a holder, its fence (the fencing
// token of its orders) and the claimed instances, which are those that it may order. The head lease
// is the span after a barrier of the head within which no other node can have become head.
//
// Invariants:
//
//   - An order leaves only while the head lease is valid, and only to an instance that the committed
//     grant of this node claims. So the next head finds in the grant every instance that its
//     predecessor may have ordered.
//   - A new head leaves the instances that its predecessor claimed alone until the predecessor's last
//     possible order is older than the platform's lease. While it doesn't know the claims, that is
//     every instance.
//   - Fences only rise, and those of two epochs never meet.
//   - At most one call is in flight for each broker.
//
// How many brokers of a service are out of service at once follows from the time that is left: see
// concurrency.go.
//
// Sources: PROTOCOL.md, "Requests" (reports, orders, op = version); RULES.md, "Model brokers" (ONE,
// STALE, VERSION).
package rollout
