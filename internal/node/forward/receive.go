package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/verdict"
)

// receive reads the answer until it can be handed to the client: whole where it is small, to its first event where it is a
// stream, else its head. Where that has not come until the time given, pending is true and receive may be called again.
func (a *attempt) receive(until time.Time) (result *attemptResult, pending bool) {
	limit := a.call.holdUntil()
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
		if result := a.judge(); result != nil {
			return result, false
		}
	}
	if a.events != nil {
		return a.receiveFirstEvent(until, limit)
	}
	return a.receiveBody(), false
}

func (a *attempt) failedOrPending(err error, until, limit time.Time) (*attemptResult, bool) {
	if errorx.IsOfType(err, upstream.TimedOut) && until.Before(limit) && !a.wasCanceled() {
		return nil, true
	}
	return a.failed(err), false
}

// judge decides by the head whether the answer is one for the client. nil: it is.
func (a *attempt) judge() *attemptResult {
	answer := a.answer
	switch {
	case answer.NotExecuted:
		return a.turnedAway()
	case answer.Header["Content-Encoding"] != nil:
		return a.garbled("encoded body")
	case answer.Status < http.StatusMultipleChoices && len(answer.Header[headerSeal]) != 1:
		return a.garbled("success without a seal")
	case a.after.set && (answer.Status != http.StatusOK || !isEventStream(answer)):
		return a.notResumed()
	}
	if promises(answer.Status) {
		return a.garbled("a promise that nothing vouches for")
	}
	if answer.Status == http.StatusOK && isEventStream(answer) {
		a.events = newEventReader(answer, a.after)
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

// started tells the router that there is an answer for the client. Of an answer that is read whole it is told only then: until
// its end has come, another attempt can take its place.
func (a *attempt) started() {
	c := a.call
	c.proxy.options.Port.Started(c.now(), c.id, a.planned.Number, serverLoad(a.answer.Header))
}

// receiveBody reads a small body whole; of a large one it leaves all but the head to the delivery.
func (a *attempt) receiveBody() *attemptResult {
	result := &attemptResult{attempt: a, answer: a.answer, outcome: a.outcome(verdict.Ran)}
	most := int64(a.call.proxy.bounds.MaxWholeAnswerBytes)
	if a.answer.Length > most {
		a.started()
		return result
	}
	body := takeBuffer()
	err := body.readAll(a.answer, a.answer.Length, most)
	switch {
	case err == nil:
		a.started()
		result.body = body
		a.giveBack()
		return result
	case err == errTooLarge:
		a.started()
		result.prefix = body
		return result
	default:
		body.release()
		return a.failed(err)
	}
}

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
	a.started()
	return &attemptResult{attempt: a, answer: a.answer, events: a.events, outcome: a.outcome(verdict.Ran)}, false
}
