// Package routes finds the route of a gRPC call: what an operator has configured for its path and
// metadata, such as timeouts, limits, shard and when an attempt is committed.
//
// It is pure, and knows neither servers nor connections. A path is matched exactly before by prefix, by
// a longer prefix before a shorter one, and among routes of one path by the most conditions on
// metadata that all hold.
//
// Invariants:
//   - A table doesn't change once it is built. A new one replaces it, and calls keep the route that
//     they began with.
//   - No two routes of a table match the same call equally well: New rejects such a list.
package routes
