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

// started tells the router that there is an answer for the client. Of an answer that is read whole it is told only then: until
// its end has come, another attempt can take its place.
func (f *flight) started() {
	c := f.call
	c.proxy.options.Port.Started(c.now(), c.id, f.attempt.Number, serverLoad(f.answer.Header))
}

// receiveBody reads a small body whole; of a large one it leaves all but the head to the delivery.
func (f *flight) receiveBody() *arrival {
	result := &arrival{flight: f, answer: f.answer, outcome: f.outcome(verdict.Ran)}
	most := int64(f.call.proxy.bounds.MaxWholeAnswerBytes)
	if f.answer.Length > most {
		f.started()
		return result
	}
	body := takeBuffer()
	err := body.readAll(f.answer, f.answer.Length, most)
	switch {
	case err == nil:
		f.started()
		result.body = body
		f.giveBack()
		return result
	case err == errTooLarge:
		f.started()
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
