// Package forward is the proxy of the data plane: it accepts clients' requests from an HTTP server,
// asks routing.RequestRouter for a decision on each, and executes the decisions over package upstream.
//
// It chooses no broker and keeps no state of brokers: that is package routing. It also holds no
// configuration: it reads the one in force for each request.
//
// One goroutine serves a request from start to end: the server's own. Only a hedge of a late
// request adds goroutines. The steps are: check the framing (clientConn); find route, tenant and
// deadline (intake); read the complete body; make the attempts that the router asks for (call,
// retries, hedge, attempt) until one has an answer for the client (delivery), or none will.
//
// Invariants, with their source in RULES.md:
//
//   - An answer goes to the client only after its id was found to be that of the request; a success
//     only with the broker's seal; and a truncated one never looks complete (MIXED).
//   - Only a complete, well framed request is forwarded, with method, path, query and body unchanged
//     (UNASKED).
//   - A request that is not idempotent goes to another broker only if no broker can have run it
//     (TWICE).
//   - 503 is answered only if no attempt can have run (REFUSED); else 502, or 504 at the deadline.
//   - Only complete events of a stream are forwarded, none twice and in rising order (ORDER).
//
// During the start of the process, requests wait a little for what it still lacks (Startup); none
// is denied before the configuration is known to be the one in force.
//
// When a client disconnects, nothing more is sent for it, and no attempt outlives a bound:
//
//   - A stream in progress is closed at once, since its broker would generate for nobody.
//   - The answer to an idempotent request is awaited for Bounds.IdempotentDisconnectGrace, and then its
//     connection is closed, so that the broker stops within the half second of GONE.
//   - Any other answer is awaited for Bounds.DisconnectGrace: aborting work that can't be repeated
//     is priced.
//
// Two other ways were weighed for idempotent requests. Closing at once frees the broker's slot a
// little sooner, but costs a new connection, and the price of broken off work, also where the answer
// was about to come. Awaiting the answer, as for other requests, saves the connection but lets brokers
// work for nobody, who hold slots that other clients wait for. None of them writes or sends anything
// more than a closed connection, and nodes of older versions are not concerned: each node handles its
// own clients.
package forward
