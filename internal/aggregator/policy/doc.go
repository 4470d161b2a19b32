// Package policy takes all decisions of the aggregator, the program that scatters a search over shard
// servers and gathers their answers: which search is admitted, which server gets each shard request,
// when one is hedged or retried, when the search is answered, shed or failed.
//
// A caller drives it through Port: New, the settings, then in each round Begin, the events, End. What is
// decided goes to Out. The package does no I/O, knows no clock (times are milliseconds that the caller
// gives) and starts no goroutine; the same seed and the same events give the same decisions.
//
// The ordinary path is LinnOS's, as docs/design.md tells: predict slow replicas, skip them, send to the one
// with the fewest own batches in flight, hedge a shard request past the pX latency. Beside it stand at most
// six mechanisms:
//  1. outlier ejection (outliers.go, probing.go, zones.go): a server that is unresponsive, unreachable or
//     quick to fail gets no shard requests but a metered trial, and a health check before it where allowed
//  2. retries (retry.go, candidates.go): further attempts after failures and off unresponsive servers,
//     within every stated limit
//  3. slow start (warmup.go): this aggregator's share of what a server that came back can take
//  4. admission (admission.go): a search that cannot be answered by its latency target is shed, the least
//     valued first
//  5. partial answers (answer.go) at the latency target where a query type allows them, and giving up in time
//  6. fresh connections (connections.go): where what goes over idle ones is lost, they are closed before
//     the next send
//
// Invariants: a search gets one final answer, before its client's deadline; a shard request whose effect
// may not happen twice is sent again only when no attempt can have run; nothing new goes to a server that
// is draining or gone; attempts stay within the stated limits and budget.
package policy
