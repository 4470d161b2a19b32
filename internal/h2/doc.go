// Package h2 is one side of an HTTP/2 connection (RFC 9113) as a pure state machine: bytes in, events
// and bytes out. Frames are encoded and decoded by x/net/http2's Framer, header blocks (RFC 7541) by
// its hpack; this package holds what lies between: stream states, flow control, limits, and when a
// peer is no longer listened to.
//
// It has no socket, clock or goroutine: the caller feeds received bytes with their time, and writes
// what TakeOutput returns. It knows no requests or gRPC, doesn't push and ignores priorities.
//
// Invariants:
//   - Outgoing data isn't buffered twice: it is pulled from a stream's DataSource only when the flow
//     control windows and the caller's output limit allow.
//   - A peer can make this side hold no more than Limits.InitialWindowSize bytes a stream: a stream's
//     window is returned only for bytes that the caller has credited (Stream.Credit).
//   - One stalled stream delays no other: the connection's window is returned as soon as bytes come.
//   - What happens to several streams at once happens in the order of their identifiers.
package h2
