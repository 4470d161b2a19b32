package forward

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/verdict"
)

// receive reads the answer until it can be delivered: completely if it is small, to its first event
// if it is a stream, else its head. If that has not arrived at the time given, pending is true and
// receive may be called again.
func (a *attempt) receive(until time.Time) (result *attemptResult, pending bool) {
	limit := a.call.answerDeadline()
	if until.IsZero() || until.After(limit) {
		until = limit
	}
	if a.answer == nil {
		if err := a.conn.Await(until); err != nil {
			return a.failedOrPending(err, until, limit)
		}
		a.conn.SetDeadline(limit)
		answer, err := a.conn.ReadHead(a.call.request.Method, a.call.intake.id)
		if err != nil {
			return a.failed(err), false
		}
		a.answer = answer
		if result := a.checkHead(); result != nil {
			return result, false
		}
	}
	if a.events != nil {
		return a.receiveFirstEvent(until, limit)
	}
	return a.receiveBody(), false
}

// failedOrPending tells the time until which receive was to wait from a failure.
func (a *attempt) failedOrPending(err error, until, limit time.Time) (*attemptResult, bool) {
	if errors.Is(err, upstream.ErrTimedOut) && until.Before(limit) && !a.wasCanceled() {
		return nil, true
	}
	return a.failed(err), false
}

// checkHead decides by its head whether the answer is one for the client. nil: it is.
func (a *attempt) checkHead() *attemptResult {
	answer := a.answer
	switch {
	case answer.NotExecuted:
		return a.rejected()
	case answer.Header["Content-Encoding"] != nil:
		return a.invalidAnswer("encoded body")
	case answer.Status < http.StatusMultipleChoices && len(answer.Header[headerSeal]) != 1:
		return a.invalidAnswer("success without a seal")
	case a.resumeAfter.set && (answer.Status != http.StatusOK || !isEventStream(answer)):
		return a.notResumed()
	}
	if promisesNotRun(answer.Status) {
		return a.invalidAnswer("a promise that nothing vouches for")
	}
	if answer.Status == http.StatusOK && isEventStream(answer) {
		a.events = newEventReader(answer, a.resumeAfter)
	}
	return nil
}

// promisesNotRun reports whether a status promises that the request never ran (PROTOCOL.md,
// "Answers"). Only an answer with X-Kestrelspread-Not-Executed says so reliably; without it, a
// broker's answer with such a status is not forwarded.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isEventStream reports whether the answer is a stream of events.
func isEventStream(answer *upstream.Answer) bool {
	mediaType, _, _ := strings.Cut(firstValue(answer.Header, "Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// reportStarted tells the router that there is an answer for the client. An answer that is read
// completely is reported only at its end: until then, another attempt can replace it.
func (a *attempt) reportStarted() {
	c := a.call
	c.proxy.options.Router.AnswerStarted(c.now(), c.routingID, a.planned.Number, serverLoad(a.answer.Header))
}

// receiveBody reads a small body completely; the body of a large answer is left to the delivery.
func (a *attempt) receiveBody() *attemptResult {
	result := &attemptResult{attempt: a, answer: a.answer, outcome: a.outcome(verdict.Ran)}
	maxBytes := int64(a.call.proxy.bounds.MaxBufferedAnswerBytes)
	if a.answer.Length > maxBytes {
		a.reportStarted()
		return result
	}
	body := takeBuffer()
	err := body.readAll(a.answer, a.answer.Length, maxBytes)
	switch {
	case err == nil:
		a.reportStarted()
		result.body = body
		a.releaseConn()
		return result
	case errors.Is(err, errTooLarge):
		a.reportStarted()
		result.prefix = body
		return result
	default:
		body.release()
		return a.failed(err)
	}
}

// receiveFirstEvent reads until the first event is complete.
func (a *attempt) receiveFirstEvent(until, limit time.Time) (*attemptResult, bool) {
	for !a.events.ready() {
		if err := a.conn.Await(until); err != nil {
			return a.failedOrPending(err, until, limit)
		}
		a.conn.SetDeadline(limit)
		if err := a.events.fill(); err != nil {
			return a.failed(err), false
		}
	}
	a.reportStarted()
	return &attemptResult{attempt: a, answer: a.answer, events: a.events, outcome: a.outcome(verdict.Ran)}, false
}
