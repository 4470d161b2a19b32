// Package llmbroker simulates the brokers of the router fleet: model brokers that answer with streams of events, plain brokers that
// run a request once, and stores of cached prompt blocks. They implement PROTOCOL.md ("Brokers", "KV cache", "Service discovery") on
// real sockets, and record each arrival in an ArrivalLog, which the rules are checked with. Their cost and speed are not those of
// real brokers.
//
// Not modelled: memory that runs out and preemption, transfers of cached blocks (a Kv-Fetch is recorded, nothing is fetched), slow
// phases of brokers, surplus answers.
package llmbroker
