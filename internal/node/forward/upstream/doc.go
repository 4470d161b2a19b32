// Package upstream sends requests to brokers over pooled connections.
//
// It is built on net.Conn and http.ReadResponse. http.Transport is not used because it retries by
// itself: a GET that a server read and did not answer was sent a second time (see
// TestTransportRepeats). Here each call of Conn.Send writes a request at most once, and each
// failure says whether the request may have run (VerdictOf).
//
// It neither chooses brokers nor retries: package forward does, as package routing decides.
// Invariants: a connection carries one request at a time; an answer is returned only if its id is
// that of the request; a connection on which bytes arrived that belong to no request is never used
// again; a connection belongs to one instance, not to its address.
//
// What brokers do is specified in PROTOCOL.md, "Brokers": connections are few and new ones
// expensive, idle ones are closed after the time that Keep-Alive gives, and late or surplus answers
// may precede the one that is due.
package upstream
