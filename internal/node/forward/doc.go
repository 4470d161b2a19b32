// Package forward is the data plane's shell: it takes clients' requests from an HTTP server, asks routing.Port what
// becomes of each, and carries the decisions out over package upstream.
//
// One goroutine serves a request from end to end: the server's own. Only a copy of a late request adds goroutines.
// The steps are: check the framing (clientConn), find route, tenant and deadline (intake), read the whole body, then make
// the attempts that the router asks for (call, retries, race, attempt) until one has an answer for the client (delivery), or none will.
//
// What holds, with its source in RULES.md:
//
//   - An answer goes to the client only after its id was found to be that of the request; a success only with the
//     broker's seal; and one that was cut short never looks complete (MIXED).
//   - Only a whole, well framed request is sent on, with method, path, query and body unchanged (UNASKED).
//   - A request that is not idempotent goes to another broker only if none can have run it (TWICE).
//   - 503 is answered only if no attempt can have run (REFUSED); else 502, or 504 at the deadline.
//   - Only whole events of a stream are passed on, none twice and in rising order (ORDER).
//
// While the process has just begun, requests wait a little for what it still lacks (startup); nothing is denied before the
// configuration held is known to be the one in force.
//
// When a client leaves: nothing more is sent for it. A stream that is under way is closed, since its broker would generate
// for nobody. Any other answer that is awaited is let come for a short time (Bounds.FinishAfterLeave) and thrown away: breaking
// off work that can't be repeated is priced, and so is the new connection that would take the place of the closed one.
package forward
