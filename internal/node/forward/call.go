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
	proxy   *Proxy
	writer  http.ResponseWriter
	request *http.Request
	client  *clientConn // nil where another server brought the request
	intake  intake
	body    *buffer
	held    int64 // bytes counted in proxy.buffered

	// startedAt is the moment intake.received by the clock of the system, which sockets' deadlines refer to.
	startedAt time.Time

	begun     bool
	id        routing.RequestID
	connLimit int
	// sent: some attempt may have run, so nothing may be promised.
	sent bool
	// fallback is a failure that a broker answered, kept while another attempt is made.
	fallback *attemptResult
	racing   int
	results  chan *attemptResult
	stopLeft func() bool

	mu       sync.Mutex
	attempts []*attempt
	left     bool // the client has left
}

// take checks the request and reads its body. It answers those that it does not take. The body comes first: what is decided
// is then decided by the configuration in force when the whole request was here.
func (c *call) take() bool {
	if why := c.intake.checkRequest(c.request, c.framing()); why != nil {
		return c.deny(why)
	}
	if c.proxy.refusing.Load() {
		return c.refuse(c.proxy.bounds.UnreadyRetryAfter)
	}
	c.awaitStartup(knowsConfiguration)
	compiled := c.proxy.configuration()
	if compiled == nil {
		return c.refuse(c.proxy.comeAgain())
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
	return c.client.request
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
		return c.refuse(c.proxy.comeAgain())
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
func (c *call) readBody(most int64) bool {
	if c.request.ContentLength == 0 {
		return true
	}
	if most <= 0 {
		most = c.proxy.bounds.MaxBufferedBytes
	}
	if !c.holdBytes(max(c.request.ContentLength, 0)) {
		return c.refuse(c.proxy.bounds.UnreadyRetryAfter)
	}
	c.limitBody()
	c.body = takeBuffer()
	err := c.body.readAll(c.request.Body, c.request.ContentLength, most)
	c.unlimitBody()
	switch {
	case err == nil:
		return c.holdChunkedBody()
	case errors.Is(err, errTooLarge):
		return c.deny(deniedBodySize)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.deny(deniedSlowBody)
	default:
		return c.deny(deniedBody)
	}
}

// holdBytes counts bytes of a body, unless too many are held already.
func (c *call) holdBytes(count int64) bool {
	if c.proxy.buffered.Add(count) > c.proxy.bounds.MaxBufferedBytes {
		c.proxy.buffered.Add(-count)
		return false
	}
	c.held += count
	return true
}

func (c *call) holdChunkedBody() bool {
	if c.request.ContentLength >= 0 || c.holdBytes(int64(len(c.body.bytes))) {
		return true
	}
	return c.refuse(c.proxy.bounds.UnreadyRetryAfter)
}

// limitBody bounds the time that a body may take by what its client will wait. A body that came with its head needs no limit.
func (c *call) limitBody() {
	if c.client == nil || c.client.received {
		return
	}
	allowed := c.proxy.bounds.BodyTimeout
	if wait, ok := clientWait(c.request.Header); ok {
		allowed = min(allowed, wait)
	}
	c.client.SetReadDeadline(c.wall(c.intake.received + allowed))
}

func (c *call) unlimitBody() {
	if c.client != nil && !c.client.received {
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
		c.refuse(c.proxy.bounds.UnreadyRetryAfter)
		return
	}
	c.connLimit = c.proxy.connectionShare(c.intake.compiled.Services[c.intake.service])
	c.limitAnswer()
	c.stopLeft = context.AfterFunc(c.request.Context(), c.clientLeft)
	id, decision := c.proxy.options.Port.Begin(now, c.intake.routingRequest(c.request.Header, len(c.bodyBytes())))
	c.begun, c.id = true, id
	result, decision := c.obtain(decision, noEvent)
	if result != nil {
		c.deliver(result)
		return
	}
	c.giveUp(decision.Refusal)
}

// limitAnswer bounds the time that the client may take to read the answer: one that neither reads nor leaves must not hold
// what its request holds. net/http lifts the limit after the answer.
func (c *call) limitAnswer() { c.limitWrites(c.holdUntil()) }

func (c *call) limitWrites(until time.Time) {
	if c.client != nil {
		c.client.SetWriteDeadline(until)
	}
}

// giveUp answers a request for which no attempt brought an answer.
func (c *call) giveUp(refusal *routing.Refusal) {
	if c.clientHasLeft() {
		c.proxy.counters.clientLeft.Add(1)
	}
	switch {
	case c.fallback != nil:
		c.deliver(c.fallback)
	case !c.sent && refusal != nil:
		c.refuse(refusal.RetryAfter)
	case !c.sent:
		c.refuse(c.proxy.bounds.UnreadyRetryAfter)
	case c.now() >= c.intake.deadline:
		c.fail(http.StatusGatewayTimeout)
	default:
		c.fail(http.StatusBadGateway)
	}
}

// finish ends what is left of the request, in the usual case as well as where the answer was broken off.
func (c *call) finish() {
	if c.stopLeft != nil {
		c.stopLeft()
	}
	for c.racing > 0 {
		c.concludeLoser(c.nextResult())
	}
	if c.fallback != nil {
		c.fallback.release()
	}
	if c.begun {
		c.proxy.options.Port.End(c.now(), c.id)
	}
	c.body.release()
	c.proxy.buffered.Add(-c.held)
}

// clientLeft is called when the client's connection has closed while its request was under way.
func (c *call) clientLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	for _, a := range c.attempts {
		a.clientLeft()
	}
}

func (c *call) clientHasLeft() bool { return c.request.Context().Err() != nil }

func (c *call) now() core.Time { return c.proxy.options.Clock() }

// wall turns a moment of the steady clock into one that sockets' deadlines understand.
func (c *call) wall(at core.Time) time.Time { return c.startedAt.Add(at - c.intake.received) }

// holdUntil is when the request ends whatever happens.
func (c *call) holdUntil() time.Time { return c.wall(c.intake.deadline + c.proxy.bounds.AnswerGrace) }

// noteVerdict remembers whether the request may have run.
func (c *call) noteVerdict(v verdict.Verdict) {
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
	c.sent = true
}
