package forward

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"kestrelspread/internal/node/connlimit"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// call is one client's request in the proxy. The goroutine that serves the request owns it;
// parallel attempts share the fields below the mutex.
type call struct {
	proxy         *Proxy
	writer        http.ResponseWriter
	request       *http.Request
	client        *clientConn // nil where the request came through another server than Serve's
	intake        intake
	body          *buffer
	bufferedBytes int64 // counted in proxy.buffered

	// startedAt is the time intake.received by the system's clock, to which deadlines of sockets
	// refer.
	startedAt time.Time

	// routed: the router knows the request, as routingID, until finish.
	routed    bool
	routingID routing.RequestID
	// connLimit bounds the connections to one broker of the service; 0: no bound.
	connLimit int
	// mayHaveRun: some attempt may have run, so that the client can't be told to retry.
	mayHaveRun bool
	// fallback is a broker's own failure (5xx), kept for the client while another attempt is made.
	fallback *attemptResult
	// inRace counts the attempts whose results will arrive on results.
	inRace             int
	results            chan *attemptResult
	stopWatchingClient func() bool

	// mutex guards the fields below, and those of the attempts that say so.
	mutex              sync.Mutex
	attempts           []*attempt
	clientDisconnected bool
}

// accept checks the request and reads its body. It reports false where it has answered the request
// itself. The body is read before the request is resolved, so that the configuration in force when
// the complete request was here decides.
func (c *call) accept() bool {
	if why := c.intake.checkRequest(c.request, c.framing()); why != nil {
		return c.deny(why)
	}
	if c.proxy.rejectingNew.Load() {
		return c.reject(c.proxy.bounds.UnreadyRetryAfter)
	}
	c.awaitStartup(knowsConfiguration)
	compiled := c.proxy.configuration()
	if compiled == nil {
		return c.reject(c.proxy.unreadyRetryAfter())
	}
	if why := checkLimits(c.request, c.framing(), &compiled.Limits); why != nil {
		return c.deny(why)
	}
	if !c.readBody(compiled.Limits.MaxBodyBytes) {
		return false
	}
	c.setClientState(connlimit.Serving)
	return c.admit()
}

// setClientState records what the client's connection does.
func (c *call) setClientState(state connlimit.State) {
	if c.client != nil {
		c.client.place.SetState(state)
	}
}

// framing returns the framing of the request, as far as it is known.
func (c *call) framing() framing {
	if c.client == nil {
		return framing{}
	}
	return c.client.requestFraming
}

// admit checks the request under the configuration in force. It reports false where it has answered
// the request itself.
func (c *call) admit() bool {
	c.awaitStartup(knowsBrokers)
	why := c.resolve()
	if (why != nil || !c.mayServe(why)) && c.awaitStartup(knowsConfirmed) {
		why = c.resolve()
	}
	// While this proxy can't tell whether its configuration is the one in force, it denies nothing.
	unconfirmed, _ := c.proxy.options.Startup.lacks(knowsConfirmed)
	if !c.mayServe(why) || why != nil && unconfirmed {
		return c.reject(c.proxy.unreadyRetryAfter())
	}
	if why != nil {
		return c.deny(why)
	}
	c.intake.setDeadline(c.request.Header)
	return true
}

// resolve finds the request's route and tenant, or why it is denied. Whether the configuration is
// confirmed is asked before it is loaded: a newer one may take its place in between, and the
// confirmation is then that of the newer one.
func (c *call) resolve() *denial {
	c.intake.unconfirmed = !c.proxy.confirmed(c.now())
	return c.intake.resolve(c.request, c.proxy.configuration(), c.proxy.match, c.proxy.options.Seed)
}

// mayServe reports whether a request with such a result of resolve may be served, or denied.
func (c *call) mayServe(why *denial) bool {
	needsKey := why == deniedKey || why == nil && !c.intake.route.Public
	return c.proxy.mayServe(c.now(), !needsKey)
}

// readBody reads the complete body: nothing is forwarded before it is here. It reports false where
// it has answered the request itself.
func (c *call) readBody(maxBytes int64) bool {
	if c.request.ContentLength == 0 {
		return true
	}
	if maxBytes <= 0 {
		maxBytes = c.proxy.bounds.MaxBufferedBytes
	}
	if c.hasSmallBody() && !c.reserveBuffer(c.request.ContentLength) {
		return c.reject(c.proxy.bounds.UnreadyRetryAfter)
	}
	c.setBodyDeadline()
	err := c.readBodyBytes(maxBytes)
	c.clearBodyDeadline()
	switch {
	case err == nil:
		return true
	case errors.Is(err, errNoBuffer):
		return c.reject(c.proxy.bounds.UnreadyRetryAfter)
	case errors.Is(err, errTooLarge):
		return c.deny(deniedBodySize)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.deny(deniedSlowBody)
	default:
		return c.deny(deniedBody)
	}
}

// maxSmallBodyBytes is the length up to which a body is counted when it is announced. Clients that announce more and don't send it
// must not keep others out.
const maxSmallBodyBytes = 16 << 10

// hasSmallBody reports whether the body has a small length that is known.
func (c *call) hasSmallBody() bool {
	return c.request.ContentLength >= 0 && c.request.ContentLength <= maxSmallBodyBytes
}

// readBodyBytes reads the body into a buffer that is counted in proxy.buffered: at once where the body
// is small, else as the buffer grows.
func (c *call) readBodyBytes(maxBytes int64) error {
	if c.hasSmallBody() {
		c.body = takeBuffer()
		return c.body.readAll(c.request.Body, c.request.ContentLength, maxBytes)
	}
	c.body = new(buffer) // its size is counted from the first byte on, unlike that of a pooled one
	return c.body.readCounted(c.request.Body, c.request.ContentLength, maxBytes, c)
}

// reserveBuffer counts bytes of a body against MaxBufferedBytes. It reports false where they exceed
// it.
func (c *call) reserveBuffer(count int64) bool {
	if c.proxy.buffered.Add(count) > c.proxy.bounds.MaxBufferedBytes {
		c.proxy.buffered.Add(-count)
		return false
	}
	c.bufferedBytes += count
	return true
}

// releaseBuffer ends the counting of bytes that reserveBuffer has counted.
func (c *call) releaseBuffer(count int64) {
	c.proxy.buffered.Add(-count)
	c.bufferedBytes -= count
}

// setBodyDeadline bounds the time that the body may take to arrive, also by how long its client
// waits. A body that arrived with its head needs no bound.
func (c *call) setBodyDeadline() {
	if c.client == nil || c.client.requestComplete {
		return
	}
	allowed := c.proxy.bounds.BodyTimeout
	if wait, ok := clientTimeout(c.request.Header); ok {
		allowed = min(allowed, wait)
	}
	c.client.SetReadDeadline(c.wallTime(c.intake.received + allowed))
}

// clearBodyDeadline removes the bound of setBodyDeadline.
func (c *call) clearBodyDeadline() {
	if c.client != nil && !c.client.requestComplete {
		c.client.SetReadDeadline(time.Time{})
	}
}

// bodyBytes returns the body; nil where there is none.
func (c *call) bodyBytes() []byte {
	if c.body == nil {
		return nil
	}
	return c.body.bytes
}

// run makes the attempts that the router asks for, until the client has an answer.
func (c *call) run() {
	now := c.now()
	if now >= c.intake.deadline {
		c.reject(c.proxy.bounds.UnreadyRetryAfter)
		return
	}
	if c.client != nil {
		c.client.place.MarkServed()
		c.client.denials = 0
	}
	c.connLimit = c.proxy.connectionShare(c.intake.compiled.Services[c.intake.service])
	c.setAnswerDeadline()
	c.stopWatchingClient = context.AfterFunc(c.request.Context(), c.handleDisconnect)
	id, decision := c.proxy.options.Router.Begin(now, c.intake.routingRequest(c.request.Header, len(c.bodyBytes())))
	c.routed, c.routingID = true, id
	result, decision := c.obtainAnswer(decision, noEvent)
	if result != nil {
		c.deliver(result)
		return
	}
	c.answerWithoutResult(decision.Refusal)
}

// setAnswerDeadline bounds the time in which the client must read the answer: one that neither
// reads nor disconnects must not hold what its request uses. net/http removes the bound after the
// answer.
func (c *call) setAnswerDeadline() { c.setWriteDeadline(c.answerDeadline()) }

// setWriteDeadline bounds writes to the client's connection.
func (c *call) setWriteDeadline(until time.Time) {
	if c.client != nil {
		c.client.SetWriteDeadline(until)
	}
}

// answerWithoutResult answers a request for which no attempt brought an answer: with a broker's own
// failure, or with 503 if nothing can have run, else with 502, or 504 after the deadline.
func (c *call) answerWithoutResult(refusal *routing.Refusal) {
	if c.clientGone() {
		c.proxy.counters.clientDisconnected.Add(1)
	}
	switch {
	case c.fallback != nil:
		c.deliver(c.fallback)
	case !c.mayHaveRun && refusal != nil:
		c.reject(refusal.RetryAfter)
	case !c.mayHaveRun:
		c.reject(c.proxy.bounds.UnreadyRetryAfter)
	case c.now() >= c.intake.deadline:
		c.fail(http.StatusGatewayTimeout)
	default:
		c.fail(http.StatusBadGateway)
	}
}

// finish releases what the request holds, also where its answer was aborted.
func (c *call) finish() {
	if c.stopWatchingClient != nil {
		c.stopWatchingClient()
	}
	for c.inRace > 0 {
		c.reportLoser(c.nextResult())
	}
	if c.fallback != nil {
		c.fallback.release()
	}
	if c.routed {
		c.proxy.options.Router.End(c.now(), c.routingID)
	}
	c.body.release()
	c.proxy.buffered.Add(-c.bufferedBytes)
}

// handleDisconnect is called when the client's connection has closed while its request was in
// progress.
func (c *call) handleDisconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clientDisconnected = true
	for _, a := range c.attempts {
		a.handleDisconnect()
	}
}

// disconnectGrace is how long an answer is awaited that no client waits for.
func (c *call) disconnectGrace() time.Duration {
	if c.intake.route.Idempotent() {
		return c.proxy.bounds.IdempotentDisconnectGrace
	}
	return c.proxy.bounds.DisconnectGrace
}

// clientGone reports whether the client has disconnected.
func (c *call) clientGone() bool { return c.request.Context().Err() != nil }

// now returns the steady time that decisions refer to.
func (c *call) now() core.Time { return c.proxy.options.Clock() }

// wallTime converts a steady time to one for deadlines of sockets.
func (c *call) wallTime(at core.Time) time.Time { return c.startedAt.Add(at - c.intake.received) }

// answerDeadline is when the request ends in any case.
func (c *call) answerDeadline() time.Time {
	return c.wallTime(c.intake.deadline + c.proxy.bounds.AnswerGrace)
}

// recordVerdict counts a verdict, and records whether the request may have run.
func (c *call) recordVerdict(v verdict.Verdict) {
	counters := &c.proxy.counters
	switch v {
	case verdict.NotRun:
		counters.notRun.Add(1)
		return
	case verdict.MayHaveRun:
		counters.mayHaveRun.Add(1)
	default:
		counters.ran.Add(1)
	}
	c.mayHaveRun = true
}
