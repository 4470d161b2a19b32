// Package connpool decides over which connection to a server a stream goes, and when a connection is
// opened, drained or closed. Which server gets a stream, and whether a request is tried again, is
// decided by the policy.
//
// It is pure: events and their times in, effects out. It holds no sockets and no HTTP/2; a connection
// is an identifier to it, which is used again after the connection has closed.
//
// Invariants:
//   - A server has at most one connection that is being established, and a server that is down costs
//     one connect a backoff, not one a request.
//   - A server that has sent GOAWAY, drains or has moved gets no new stream on the connection
//     concerned; streams that run go on.
//   - Stream requests beyond what the peer accepts wait, at most Settings.MaxWaiting of them at a
//     server; each ends in exactly one of StartStream, Reject and CancelRequest.
//   - A peer that no longer responds is found by a keepalive ping, while streams are open on it.
//
// Sources: gRPC's connection backoff protocol and keepalive.
package connpool
