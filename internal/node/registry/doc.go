// Package registry knows the brokers of all services. Every node holds an entry for each broker. For every service and
// zone of brokers one node is the home: it takes the heartbeats, and tells the other nodes of changes only. What gets
// lost is repaired by comparing digests with a random node each second.
//
// Entries merge without a common clock: the state of a broker only rises (ready, draining, gone), of what it says of itself the highest
// sequence counts, and of what nodes add to it the highest revision. Sources: PROTOCOL.md, "Service discovery"; RULES.md, "Draining and
// shutdown".
package registry
