package forward

import (
	"errors"
	"io"
	"net/http"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// deliver passes an answer on to the client.
func (c *call) deliver(result *attemptResult) {
	defer result.release()
	switch {
	case result.isComplete():
		c.deliverComplete(result)
	case result.events != nil:
		c.deliverEvents(result)
	default:
		c.deliverInChunks(result)
	}
}

// deliverComplete passes on an answer that is here in full; its connection has been given back.
func (c *call) deliverComplete(result *attemptResult) {
	c.reportAnswered(result)
	header := c.forwardHead(result.answer)
	if mayHaveBody(c.request.Method, result.answer.Status) {
		header["Content-Length"] = lengthHeader(int64(len(result.body.bytes)))
	}
	c.writer.WriteHeader(result.answer.Status)
	if len(result.body.bytes) > 0 {
		c.writer.Write(result.body.bytes) // fails only where the client has left
	}
}

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// chunkBytes is the size of the pieces in which large answers are passed on.
const chunkBytes = 16 << 10

// deliverInChunks passes on an answer piece by piece. One that breaks off breaks the client's connection off.
func (c *call) deliverInChunks(result *attemptResult) {
	header := c.forwardHead(result.answer)
	if result.answer.Length >= 0 {
		header["Content-Length"] = lengthHeader(result.answer.Length)
	}
	c.writer.WriteHeader(result.answer.Status)
	chunk := result.prefix
	if chunk == nil {
		chunk = takeBuffer()
		result.prefix = chunk
	}
	err := c.copyChunks(result.answer, chunk)
	if err == nil {
		result.attempt.releaseConn()
		c.reportAnswered(result)
		return
	}
	result.attempt.closeConn()
	result.outcome.Canceled = errors.Is(err, errClient) || c.clientGone()
	c.reportResult(result, false)
	c.abort()
}

// copyChunks passes on what the piece holds, and then the rest of the body through it.
func (c *call) copyChunks(answer *upstream.Answer, chunk *buffer) error {
	for {
		if _, err := c.writer.Write(chunk.bytes); err != nil {
			return errClient
		}
		chunk.bytes = chunk.bytes[:0]
		chunk.grow(chunkBytes)
		count, err := answer.Read(chunk.bytes[:chunkBytes])
		chunk.bytes = chunk.bytes[:count]
		if errors.Is(err, io.EOF) {
			if _, err := c.writer.Write(chunk.bytes); err != nil {
				return errClient
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// stream is the state of an event stream on its way to the client.
type stream struct {
	call  *call
	flush func() error
	// lastSent is the last event that the client has; it is known only where the stream may be taken up again.
	lastSent  eventID
	resumable bool
	// gaps are those of the broker that the stream comes from now.
	gaps gapMeter
}

// errClient says that the client's connection failed.
var errClient = errors.New("client's connection failed")

// deliverEvents passes a stream on, event by event, and takes it up at another broker where it is cut and may be resumed.
// The client's answer keeps the head and seal of the first broker (PROTOCOL.md, "Requests").
func (c *call) deliverEvents(result *attemptResult) {
	c.forwardHead(result.answer)
	c.writer.WriteHeader(result.answer.Status)
	s := &stream{call: c, flush: flusher(c.writer), resumable: c.intake.route.Idempotent()}
	for result != nil {
		err := s.forwardEvents(result)
		result.outcome.Pauses = s.gaps.summary()
		if err == nil {
			result.attempt.releaseConn()
			c.reportAnswered(result)
			result.release()
			return
		}
		result = s.resume(result, err)
	}
	c.abort()
}

// flusher gives what sends written bytes to the client at once.
func flusher(writer http.ResponseWriter) func() error {
	if f, ok := writer.(interface{ FlushError() error }); ok {
		return f.FlushError
	}
	return http.NewResponseController(writer).Flush
}

// forwardEvents passes events on until the stream ends. nil: its broker ended it in the proper way.
func (s *stream) forwardEvents(result *attemptResult) error {
	events := result.events
	s.gaps = gapMeter{}
	for {
		s.gaps.observe(s.call.now())
		if err := s.write(events); err != nil {
			return err
		}
		if events.ended {
			return nil
		}
		if err := s.flush(); err != nil {
			return errClient
		}
		for !events.ready() {
			if err := events.fill(); err != nil {
				return err
			}
		}
	}
}

// write hands the whole events that are here to the server.
func (s *stream) write(events *eventReader) error {
	var fresh []byte
	if s.resumable {
		found := events.takeEventsAfter(s.lastSent)
		if found.hasUnnumbered && events.skipThrough.set {
			return errUnnumbered
		}
		s.resumable = !found.hasUnnumbered
		s.lastSent, fresh = found.lastID, found.events
	} else {
		fresh = events.takeEvents()
	}
	if len(fresh) == 0 {
		return nil
	}
	if _, err := s.call.writer.Write(fresh); err != nil {
		return errClient
	}
	return nil
}

// errUnnumbered says that a run that should go on behind an event has events of which nobody can tell where they belong.
var errUnnumbered = errors.New("event without an id in a resumed stream")

// resume goes on with a stream that was cut at another broker, behind the last whole event that the client has. nil: it
// can't go on.
func (s *stream) resume(broken *attemptResult, err error) *attemptResult {
	c := s.call
	broken.attempt.closeConn()
	broken.release()
	clientGone := errors.Is(err, errClient) || c.clientGone()
	pauses := broken.outcome.Pauses
	broken.outcome = broken.attempt.brokenStreamOutcome(err, clientGone)
	broken.outcome.Pauses = pauses
	mayGoOn := s.resumable && s.lastSent.set && !clientGone && !errors.Is(err, errUnnumbered)
	decision := c.reportResult(broken, mayGoOn)
	if !mayGoOn || !c.mayRetry() || decision.Attempt == nil {
		return nil
	}
	c.proxy.counters.resumed.Add(1)
	result, _ := c.obtainAnswer(routing.Decision{Attempt: decision.Attempt}, s.lastSent)
	return result
}
