// Package grpcwire reads and writes what gRPC puts on HTTP/2: metadata, timeouts, statuses, retry
// pushback and the prefixes of messages. It also says what each way in which a stream to a server can
// end means for the client and for the policy that chooses servers.
//
// It is pure: fields and bytes in, values out. It neither decodes nor decompresses messages and holds
// no streams; package h2 does.
//
// Sources: gRPC's PROTOCOL-HTTP2, statuscodes, http-grpc-status-mapping, and proposal A6 (client
// retries and hedging).
package grpcwire
