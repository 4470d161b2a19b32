// Package grpcproxy is a gRPC reverse proxy: it accepts calls over HTTP/2, makes each a search of one
// shard, and forwards it to the server that the policy chooses. Messages pass as they came; only their
// prefixes are read.
//
// It decides nothing about servers: which one gets a call, and whether a call is retried, hedged or
// shed, is the policy's, asked through the engine. Package connpool decides which connection a stream
// takes, and package routes what applies to a call. Names follow gRPC's proposal A6 (client retries
// and hedging): a call has attempts, one of which is committed, and from then on no other follows.
//
// It is a reducer in the engine's loop: bytes of connections and timers in, effects out. It has no
// goroutine, clock or socket of its own, and draws from its seed alone, so that a run replays.
//
// Invariants:
//   - Each call ends in exactly one status for its client, before its deadline, or with its client.
//   - Only the committed attempt's bytes reach the client.
//   - The bytes that are buffered for calls are counted, for the proxy and for each client connection.
//     Either side of a call is credited only for bytes that were passed on or are within its buffer,
//     so that a peer that doesn't read stalls its own call and no other.
//   - An attempt of whose headers the network has taken nothing is withdrawn once its client has gone
//     or the engine no longer allows its start. Written headers can't be withdrawn alone: if they stay
//     stalled (stalledConnGrace, at most), their connection is closed.
package grpcproxy
