// Package llmbroker is a stand-in for the brokers of the router fleet: model brokers that answer with streams of events,
// plain brokers that run a request once, and stores of kept prompt parts. They speak what PROTOCOL.md says ("Brokers",
// "KV cache", "Service discovery") on real sockets, and note each arrival in a Ledger, from which the rules can be
// checked. What they cost and how fast they are is not that of real brokers.
//
// Not modelled: memory that runs out and preemption, moves of kept parts (a Kv-Fetch is noted, nothing is fetched),
// slow phases of brokers, surplus answers.
package llmbroker
