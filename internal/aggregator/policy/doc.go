// Package policy makes all decisions of an aggregator, the program that sends a search to the servers
// of its shards and merges their answers. It decides which searches are admitted, which server gets
// each shard request, when a shard request is hedged or retried, and when a search is answered, shed or
// failed.
//
// Terms:
//   - search: a client's query; it consists of shard requests, one for each shard that it asks
//   - attempt: one sending of a shard request to one server; a retry or a hedge is a further attempt
//   - replica: a server that holds a shard
//   - ejected server: one that gets no attempts but occasional trials, each of which is one attempt
//   - probe: a health check, which is no attempt
//   - query type: a kind of search, with its latency target and its value
//
// The caller uses policy.Decider: after New it passes the settings; then, in rounds, it reports events and
// ends the round, at which point the policy decides. Decisions are passed to policy.Executor. The package
// does no I/O, reads no clock (times are milliseconds passed by the caller) and starts no goroutine. The
// same seed and the same events produce the same decisions.
//
// Normal operation follows LinnOS (see docs/design.md): the policy predicts which replicas are slow and
// skips them, sends to the replica with the fewest batches of this aggregator in flight, and hedges a
// shard request that takes longer than a latency percentile, called pX. At most six mechanisms are added
// to it:
//  1. outlier ejection (outliers.go, probing.go, zones.go): a server that is unresponsive, unreachable or
//     fails quickly gets nothing but rate-limited trials, preceded by a health check where these are
//     allowed
//  2. retries (retry.go, candidates.go): further attempts after failures, and in place of attempts at
//     unresponsive servers, within all limits of the settings
//  3. slow start (warmup.go): limits this aggregator's share of the load on a server that has come back
//  4. admission (admission.go): sheds searches that cannot be answered within their latency target, the
//     least valuable first
//  5. partial answers (answer.go) at the latency target, where the query type allows them; a search that
//     cannot succeed is given up before its client's deadline
//  6. fresh connections (connections.go): where attempts over idle connections get lost, these are closed
//     before the next send
//
// Invariants:
//   - A search gets exactly one final answer, before its client's deadline.
//   - A shard request whose effect must not happen twice is sent again only if no earlier attempt can
//     have run.
//   - Nothing new is sent to a server that is draining or gone.
//   - Attempts stay within the limits and the retry budget of the settings.
package policy
