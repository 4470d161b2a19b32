package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// flight is one attempt: a request that is sent to one broker.
type flight struct {
	call    *call
	attempt *routing.Attempt
	context context.Context
	cancel  context.CancelFunc // set for copies only
	// after is the id of the last event that the client has; the broker is asked to go on behind it.
	after eventID
	// copy: this flight is the copy of another.
	copy bool

	answer *upstream.Answer
	events *eventReader

	// Below: guarded by call.mu.
	conn     *upstream.Conn
	canceled bool
}

// arrival is what came of a flight: an answer for the client, or a failure that outcome describes.
type arrival struct {
	flight  *flight
	outcome routing.Outcome
	err     error
	// answer is set where there is one for the client. Its body is whole in body, or comes from events, or, where neither
	// is set, from the answer itself.
	answer *upstream.Answer
	body   *buffer
	events *eventReader
	// prefix is what was read of an answer that turned out to be large.
	prefix *buffer
	// concluded: the router has been told of the end of the attempt.
	concluded bool
	// noted: its verdict has been taken into account.
	noted bool
}

// whole reports whether the answer is here in full.
func (a *arrival) whole() bool { return a.body != nil }

// brokerFailed reports whether the broker answered that it failed.
func (a *arrival) brokerFailed() bool {
	return a.answer != nil && a.answer.Status >= http.StatusInternalServerError
}

func (a *arrival) release() {
	a.body.release()
	a.prefix.release()
	a.body, a.prefix = nil, nil
	if a.events != nil {
		a.events.release()
		a.events = nil
	}
}

// launch prepares an attempt.
func (c *call) launch(attempt *routing.Attempt, after eventID) *flight {
	c.proxy.counters.attempts.Add(1)
	if attempt.ByPrediction {
		c.proxy.counters.byPrediction.Add(1)
	}
	f := &flight{call: c, attempt: attempt, context: c.request.Context(), after: after}
	c.mu.Lock()
	c.flights = append(c.flights, f)
	c.mu.Unlock()
	return f
}

// send puts the request on a connection to the broker. nil: it is on its way.
func (f *flight) send() *arrival {
	c := f.call
	target := upstream.Target{
		InstanceID:     f.attempt.Instance.ID,
		Address:        f.attempt.Instance.Address,
		MaxConnections: c.connLimit,
	}
	for {
		conn, err := c.proxy.pool.Get(f.context, target, c.wall(c.intake.deadline))
		if err != nil {
			return f.failed(err)
		}
		if !f.hold(conn) {
			conn.Close()
			return f.withheld()
		}
		err = f.write(conn)
		if err == nil {
			return nil
		}
		f.drop()
		// A kept connection that took nothing has ended; another can be tried, for nothing was sent.
		if errorx.IsOfType(err, upstream.Unsent) && conn.Reused() {
			continue
		}
		if errorx.IsOfType(err, errWithheld) {
			return f.withheld()
		}
		return f.failed(err)
	}
}

// errWithheld says that the request must not be sent any more.
var errWithheld = errorx.NewNamespace("forward").NewType("withheld")

func (f *flight) write(conn *upstream.Conn) error {
	c := f.call
	head := takeBuffer()
	defer head.release()
	now := c.now()
	head.bytes = f.appendHead(head.bytes, now)
	head.grow(min(len(c.bodyBytes()), upstream.JoinedBytes))
	if c.clientHasLeft() || now >= c.intake.deadline || !c.proxy.mayServe(now, c.intake.route.Public) {
		return errWithheld.New("client left, deadline passed or configuration too old")
	}
	return conn.Send(head.bytes, c.bodyBytes(), c.holdUntil())
}

// hold makes the connection known to those who may interrupt the flight. false: it was interrupted before.
func (f *flight) hold(conn *upstream.Conn) bool {
	f.call.mu.Lock()
	defer f.call.mu.Unlock()
	if f.canceled || f.call.left {
		return false
	}
	f.conn = conn
	return true
}

// letGo takes the connection out of the reach of those who may interrupt the flight.
func (f *flight) letGo() *upstream.Conn {
	f.call.mu.Lock()
	defer f.call.mu.Unlock()
	conn := f.conn
	f.conn = nil
	return conn
}

// drop closes the connection.
func (f *flight) drop() {
	if conn := f.letGo(); conn != nil {
		conn.Close()
	}
}

// giveBack ends the flight's use of its connection, which is kept where the answer was whole.
func (f *flight) giveBack() {
	if f.letGo() != nil {
		f.answer.Done()
	}
}

// clientLeft decides what becomes of the flight of a client that has left. The mutex of the call is held.
func (f *flight) clientLeft() {
	if f.conn == nil {
		return
	}
	if f.call.intake.route.Kind == config.KindStreaming {
		f.conn.Interrupt()
		return
	}
	f.conn.LimitWait(time.Now().Add(f.call.proxy.bounds.FinishAfterLeave))
}

// interrupt calls the flight off. What was sent of it may have run.
func (f *flight) interrupt() {
	f.call.mu.Lock()
	f.canceled = true
	if f.conn != nil {
		f.conn.Interrupt()
	}
	f.call.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *flight) wasCanceled() bool {
	f.call.mu.Lock()
	defer f.call.mu.Unlock()
	return f.canceled || f.call.left
}

// receive reads the answer until it can be handed to the client: whole where it is small, to its first event where it is a
// stream, else its head. Where that has not come until the time given, pending is true and receive may be called again.
func (f *flight) receive(until time.Time) (result *arrival, pending bool) {
	limit := f.call.holdUntil()
	if until.IsZero() || until.After(limit) {
		until = limit
	}
	if f.answer == nil {
		if err := f.conn.Await(until); err != nil {
			return f.failedOrPending(err, until, limit)
		}
		f.conn.SetDeadline(limit)
		answer, err := f.conn.ReadHead(f.call.request.Method, f.call.intake.id)
		if err != nil {
			return f.failed(err), false
		}
		f.answer = answer
		if result := f.judge(); result != nil {
			return result, false
		}
	}
	if f.events != nil {
		return f.receiveFirstEvent(until, limit)
	}
	f.started()
	return f.receiveBody(), false
}

func (f *flight) failedOrPending(err error, until, limit time.Time) (*arrival, bool) {
	if errorx.IsOfType(err, upstream.TimedOut) && until.Before(limit) && !f.wasCanceled() {
		return nil, true
	}
	return f.failed(err), false
}

// judge decides by the head whether the answer is one for the client. nil: it is.
func (f *flight) judge() *arrival {
	answer := f.answer
	switch {
	case answer.NotExecuted:
		return f.turnedAway()
	case answer.Header["Content-Encoding"] != nil:
		return f.garbled("encoded body")
	case answer.Status < http.StatusMultipleChoices && len(answer.Header[headerSeal]) != 1:
		return f.garbled("success without a seal")
	case f.after.set && (answer.Status != http.StatusOK || !isEventStream(answer)):
		return f.notResumed()
	}
	if promises(answer.Status) {
		return f.garbled("a promise that nothing vouches for")
	}
	if answer.Status == http.StatusOK && isEventStream(answer) {
		f.events = newEventReader(answer, f.after)
	}
	return nil
}

// promises reports whether a status says that the request never ran (PROTOCOL.md, "Answers"). Only an answer with
// X-Kestrelspread-Not-Executed tells so in truth; what a broker answers without it is not passed on under such a status.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isEventStream(answer *upstream.Answer) bool {
	mediaType, _, _ := strings.Cut(first(answer.Header, "Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// started tells the router that an answer has begun.
func (f *flight) started() {
	c := f.call
	c.proxy.options.Port.Started(c.now(), c.id, f.attempt.Number, serverLoad(f.answer.Header))
}

// receiveBody reads a small body whole; of a large one it leaves all but the head to the delivery.
func (f *flight) receiveBody() *arrival {
	result := &arrival{flight: f, answer: f.answer, outcome: f.outcome(verdict.Ran)}
	most := int64(f.call.proxy.bounds.MaxWholeAnswerBytes)
	if f.answer.Length > most {
		return result
	}
	body := takeBuffer()
	err := body.readAll(f.answer, f.answer.Length, most)
	switch {
	case err == nil:
		result.body = body
		f.giveBack()
		return result
	case err == errTooLarge:
		result.prefix = body
		return result
	default:
		body.release()
		return f.failed(err)
	}
}

func (f *flight) receiveFirstEvent(until, limit time.Time) (*arrival, bool) {
	for !f.events.ready() {
		if err := f.conn.Await(until); err != nil {
			return f.failedOrPending(err, until, limit)
		}
		f.conn.SetDeadline(limit)
		if err := f.events.fill(); err != nil {
			return f.failed(err), false
		}
	}
	f.started()
	return &arrival{flight: f, answer: f.answer, events: f.events, outcome: f.outcome(verdict.Ran)}, false
}

// turnedAway ends an attempt that the broker did not run.
func (f *flight) turnedAway() *arrival {
	outcome := f.outcome(verdict.NotRun)
	outcome.Misdirected = f.answer.Status == http.StatusMisdirectedRequest
	outcome.NotExecuted = len(f.answer.Header[headerNotExecuted]) > 0
	outcome.RetryAfter = parseSeconds(first(f.answer.Header, headerRetryAfter))
	f.skipBody()
	return &arrival{flight: f, outcome: outcome}
}

// maxIgnoredBytes bounds the body of an answer that is read only to keep its connection.
const maxIgnoredBytes = 4 << 10

// skipBody reads over a body that nobody wants.
func (f *flight) skipBody() {
	body := takeBuffer()
	defer body.release()
	if f.answer.Length > maxIgnoredBytes || body.readAll(f.answer, f.answer.Length, maxIgnoredBytes) != nil {
		f.drop()
		return
	}
	f.giveBack()
}

// garbled ends an attempt whose answer is none of the broker's.
func (f *flight) garbled(why string) *arrival { return f.failed(upstream.Garbled.New("%s", why)) }

// notResumed ends an attempt to go on with a stream that the broker did not go on with.
func (f *flight) notResumed() *arrival {
	outcome := f.outcome(verdict.Ran)
	f.skipBody()
	return &arrival{flight: f, outcome: outcome}
}

// withheld ends an attempt that was not sent.
func (f *flight) withheld() *arrival {
	return &arrival{flight: f, outcome: routing.Outcome{Verdict: verdict.NotRun, Canceled: true}}
}

// failed ends an attempt by an error of the exchange.
func (f *flight) failed(err error) *arrival {
	f.drop()
	if f.events != nil {
		f.events.release()
	}
	if errorx.IsOfType(err, upstream.Garbled) {
		f.call.proxy.counters.garbled.Add(1)
	}
	outcome := f.outcome(upstream.VerdictOf(err))
	outcome.ConnectFailed = errorx.IsOfType(err, upstream.ConnectFailed) || errorx.IsOfType(err, upstream.Unsent)
	outcome.NotExecuted = errorx.IsOfType(err, upstream.Exhausted)
	outcome.TimedOut = errorx.IsOfType(err, upstream.TimedOut)
	outcome.Canceled = f.wasCanceled()
	return &arrival{flight: f, outcome: outcome, err: err}
}

// cutOutcome describes an attempt whose stream ended midway.
func (f *flight) cutOutcome(err error, clientGone bool) routing.Outcome {
	outcome := f.outcome(verdict.Ran)
	outcome.TimedOut = errorx.IsOfType(err, upstream.TimedOut)
	outcome.Canceled = clientGone
	return outcome
}

func (f *flight) outcome(v verdict.Verdict) routing.Outcome {
	outcome := routing.Outcome{Verdict: v}
	if f.answer != nil {
		outcome.Status = f.answer.Status
		outcome.Load = serverLoad(f.answer.Header)
	}
	return outcome
}

// appendHead writes the head of the request as the broker gets it.
func (f *flight) appendHead(head []byte, now core.Time) []byte {
	c := f.call
	r := c.request
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.RequestURI...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = appendHeader(head, "Host", r.Host)
	head = c.appendClientHeaders(head, f.after.set)
	head = appendHeader(head, headerRequestID, c.intake.id)
	head = appendNumberHeader(head, headerDeadline, max(int64((c.intake.deadline-now)/time.Millisecond), 1))
	head = f.appendOwnHeaders(head)
	if length := len(c.bodyBytes()); length > 0 || r.ContentLength != 0 || r.Header["Content-Length"] != nil {
		head = appendNumberHeader(head, "Content-Length", int64(length))
	}
	return append(head, "\r\n"...)
}

// appendClientHeaders passes the client's headers on, except for those of one connection and those that are ours to set.
func (c *call) appendClientHeaders(head []byte, resumes bool) []byte {
	named := namedByConnection(c.request.Header)
	for name, values := range c.request.Header {
		if perConnection(name) || setByUs(name) || contains(named, name) || resumes && name == headerLastEventID {
			continue
		}
		for _, value := range values {
			head = appendHeader(head, name, value)
		}
	}
	return head
}

// appendOwnHeaders adds what this proxy says to the broker.
func (f *flight) appendOwnHeaders(head []byte) []byte {
	attempt, in := f.attempt, &f.call.intake
	head = appendHeader(head, headerExpectInstance, attempt.Instance.ID)
	if in.tenant != nil {
		head = appendHeader(head, headerTenant, in.tenant.Name)
	}
	if attempt.ExpectVersion != 0 {
		head = appendNumberHeader(head, headerExpectVersion, int64(attempt.ExpectVersion))
	}
	if attempt.Salt != "" {
		head = appendHeader(head, headerSalt, attempt.Salt)
	}
	if attempt.FetchFrom != "" {
		head = appendHeader(head, headerFetch, attempt.FetchFrom)
	}
	if attempt.SaveTo != "" {
		head = appendHeader(head, headerSave, attempt.SaveTo)
	}
	if service := in.compiled.Services[in.service]; service != nil && service.Engine != nil {
		head = appendNumberHeader(head, headerPriority, int64(attempt.Priority))
	}
	if f.after.set {
		head = appendNumberHeader(head, headerLastEventID, f.after.number)
	}
	return head
}
