package forward

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// call is one client's request on its way through the proxy. The goroutine that serves the request owns it; attempts of a
// race share what is below the mutex.
type call struct {
	proxy         *Proxy
	writer        http.ResponseWriter
	request       *http.Request
	client        *clientConn // nil where another server brought the request
	intake        intake
	body          *buffer
	bufferedBytes int64 // bytes counted in proxy.buffered

	// startedAt is the moment intake.received by the clock of the system, which sockets' deadlines refer to.
	startedAt time.Time

	routed    bool
	routingID routing.RequestID
	connLimit int
	// mayHaveRun: some attempt may have run, so nothing may be promised.
	mayHaveRun bool
	// fallback is a failure that a broker answered, kept while another attempt is made.
	fallback           *attemptResult
	inRace             int
	results            chan *attemptResult
	stopWatchingClient func() bool

	mutex              sync.Mutex
	attempts           []*attempt
	clientDisconnected bool // the client has left
}

// accept checks the request and reads its body. It answers those that it does not take. The body comes first: what is decided
// is then decided by the configuration in force when the whole request was here.
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
	return c.readBody(compiled.Limits.MaxBodyBytes) && c.admit()
}

// framing gives what is known of how the request was framed.
func (c *call) framing() framing {
	if c.client == nil {
		return framing{}
	}
	return c.client.requestFraming
}

// admit checks the request under the configuration in force.
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

// resolve finds the request's route and tenant, or why there is none.
func (c *call) resolve() *denial {
	return c.intake.resolve(c.request, c.proxy.configuration(), c.proxy.match, c.proxy.options.Seed)
}

// mayServe asks whether a request with such a finding may be taken.
func (c *call) mayServe(why *denial) bool {
	needsKey := why == deniedKey || why == nil && !c.intake.route.Public
	return c.proxy.mayServe(c.now(), !needsKey)
}

// readBody reads the whole body: nothing is sent on before it is here.
func (c *call) readBody(maxBytes int64) bool {
	if c.request.ContentLength == 0 {
		return true
	}
	if maxBytes <= 0 {
		maxBytes = c.proxy.bounds.MaxBufferedBytes
	}
	if !c.reserveBuffer(max(c.request.ContentLength, 0)) {
		return c.reject(c.proxy.bounds.UnreadyRetryAfter)
	}
	c.setBodyDeadline()
	c.body = takeBuffer()
	err := c.body.readAll(c.request.Body, c.request.ContentLength, maxBytes)
	c.clearBodyDeadline()
	switch {
	case err == nil:
		return c.reserveChunkedBody()
	case errors.Is(err, errTooLarge):
		return c.deny(deniedBodySize)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.deny(deniedSlowBody)
	default:
		return c.deny(deniedBody)
	}
}

// reserveBuffer counts bytes of a body, unless too many are held already.
func (c *call) reserveBuffer(count int64) bool {
	if c.proxy.buffered.Add(count) > c.proxy.bounds.MaxBufferedBytes {
		c.proxy.buffered.Add(-count)
		return false
	}
	c.bufferedBytes += count
	return true
}

func (c *call) reserveChunkedBody() bool {
	if c.request.ContentLength >= 0 || c.reserveBuffer(int64(len(c.body.bytes))) {
		return true
	}
	return c.reject(c.proxy.bounds.UnreadyRetryAfter)
}

// setBodyDeadline bounds the time that a body may take by what its client will wait. A body that came with its head needs no limit.
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

func (c *call) clearBodyDeadline() {
	if c.client != nil && !c.client.requestComplete {
		c.client.SetReadDeadline(time.Time{})
	}
}

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

// setAnswerDeadline bounds the time that the client may take to read the answer: one that neither reads nor leaves must not hold
// what its request holds. net/http lifts the limit after the answer.
func (c *call) setAnswerDeadline() { c.setWriteDeadline(c.answerDeadline()) }

func (c *call) setWriteDeadline(until time.Time) {
	if c.client != nil {
		c.client.SetWriteDeadline(until)
	}
}

// answerWithoutResult answers a request for which no attempt brought an answer.
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

// finish ends what is left of the request, in the usual case as well as where the answer was broken off.
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

// handleDisconnect is called when the client's connection has closed while its request was under way.
func (c *call) handleDisconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clientDisconnected = true
	for _, a := range c.attempts {
		a.handleDisconnect()
	}
}

func (c *call) clientGone() bool { return c.request.Context().Err() != nil }

func (c *call) now() core.Time { return c.proxy.options.Clock() }

// wallTime turns a moment of the steady clock into one that sockets' deadlines understand.
func (c *call) wallTime(at core.Time) time.Time { return c.startedAt.Add(at - c.intake.received) }

// answerDeadline is when the request ends whatever happens.
func (c *call) answerDeadline() time.Time {
	return c.wallTime(c.intake.deadline + c.proxy.bounds.AnswerGrace)
}

// recordVerdict remembers whether the request may have run.
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
