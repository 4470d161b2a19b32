package forward

import (
	"errors"
	"io"
	"net/http"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// deliver forwards an answer to the client.
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

// deliverComplete forwards an answer that has been read completely; its connection was released.
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

// mayHaveBody reports whether an answer with the status to the method may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// chunkBytes is the size of the chunks in which large answers are forwarded.
const chunkBytes = 16 << 10

// deliverInChunks forwards an answer while it arrives. One that breaks off aborts the client's
// connection, so that it doesn't look complete.
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
	c.abort(err)
}

// copyChunks forwards what the chunk holds, and then the rest of the body through it.
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

// stream is the state of an event stream that is being forwarded.
type stream struct {
	call  *call
	flush func() error
	// lastSent is the last event that the client has; it is known only while the stream is
	// resumable.
	lastSent  eventID
	resumable bool
	// gaps measures the gaps between events of the current broker.
	gaps gapMeter
}

// errClient says that the client's connection failed.
var errClient = errors.New("client's connection failed")

// deliverEvents forwards a stream, event by event. If it breaks off and is resumable, it is resumed
// at another broker. The client's answer keeps the head and seal of the first broker (PROTOCOL.md,
// "Requests").
func (c *call) deliverEvents(result *attemptResult) {
	c.forwardHead(result.answer)
	c.writer.WriteHeader(result.answer.Status)
	s := &stream{call: c, flush: flusher(c.writer), resumable: c.intake.route.Idempotent()}
	var err error
	for result != nil {
		err = s.forwardEvents(result)
		result.outcome.Gaps = s.gaps.summary()
		if err == nil {
			result.attempt.releaseConn()
			c.reportAnswered(result)
			result.release()
			return
		}
		result = s.resume(result, err)
	}
	c.abort(err)
}

// flusher returns the function that sends written bytes to the client at once.
func flusher(writer http.ResponseWriter) func() error {
	if f, ok := writer.(interface{ FlushError() error }); ok {
		return f.FlushError
	}
	return http.NewResponseController(writer).Flush
}

// forwardEvents forwards events until the stream ends. nil: its broker ended it properly.
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

// write forwards the complete events that have arrived, without those that the client has.
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

// errUnnumbered says that a resumed stream has events without ids, of which nobody can tell whether
// the client has them.
var errUnnumbered = errors.New("event without an id in a resumed stream")

// resume resumes a broken stream at another broker, after the last complete event that the client
// has. nil: it can't be resumed.
func (s *stream) resume(broken *attemptResult, err error) *attemptResult {
	c := s.call
	broken.attempt.closeConn()
	broken.release()
	clientGone := errors.Is(err, errClient) || c.clientGone()
	gaps := broken.outcome.Gaps
	broken.outcome = broken.attempt.brokenStreamOutcome(err, clientGone)
	broken.outcome.Gaps = gaps
	mayGoOn := s.resumable && s.lastSent.set && !clientGone && !errors.Is(err, errUnnumbered)
	decision := c.reportResult(broken, mayGoOn)
	if !mayGoOn || !c.mayRetry() || decision.Attempt == nil {
		return nil
	}
	c.proxy.counters.resumed.Add(1)
	result, _ := c.obtainAnswer(routing.Decision{Attempt: decision.Attempt}, s.lastSent)
	return result
}
