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
	case result.whole():
		c.deliverWhole(result)
	case result.events != nil:
		c.deliverEvents(result)
	default:
		c.deliverLarge(result)
	}
}

// deliverWhole passes on an answer that is here in full; its connection has been given back.
func (c *call) deliverWhole(result *attemptResult) {
	c.concludeAnswered(result)
	header := c.passOnHead(result.answer)
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

// copyBytes is the size of the pieces in which large answers are passed on.
const copyBytes = 16 << 10

// deliverLarge passes on an answer piece by piece. One that breaks off breaks the client's connection off.
func (c *call) deliverLarge(result *attemptResult) {
	header := c.passOnHead(result.answer)
	if result.answer.Length >= 0 {
		header["Content-Length"] = lengthHeader(result.answer.Length)
	}
	c.writer.WriteHeader(result.answer.Status)
	piece := result.prefix
	if piece == nil {
		piece = takeBuffer()
		result.prefix = piece
	}
	err := c.copyLarge(result.answer, piece)
	if err == nil {
		result.attempt.giveBack()
		c.concludeAnswered(result)
		return
	}
	result.attempt.drop()
	result.outcome.Canceled = errors.Is(err, errClient) || c.clientHasLeft()
	c.conclude(result, false)
	c.abort()
}

// copyLarge passes on what the piece holds, and then the rest of the body through it.
func (c *call) copyLarge(answer *upstream.Answer, piece *buffer) error {
	for {
		if _, err := c.writer.Write(piece.bytes); err != nil {
			return errClient
		}
		piece.bytes = piece.bytes[:0]
		piece.grow(copyBytes)
		count, err := answer.Read(piece.bytes[:copyBytes])
		piece.bytes = piece.bytes[:count]
		if errors.Is(err, io.EOF) {
			if _, err := c.writer.Write(piece.bytes); err != nil {
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
	// last is the last event that the client has; it is known only where the stream may be taken up again.
	last      eventID
	resumable bool
	// pauses are those of the broker that the stream comes from now.
	pauses pauseMeter
}

// errClient says that the client's connection failed.
var errClient = errors.New("client's connection failed")

// deliverEvents passes a stream on, event by event, and takes it up at another broker where it is cut and may be resumed.
// The client's answer keeps the head and seal of the first broker (PROTOCOL.md, "Requests").
func (c *call) deliverEvents(result *attemptResult) {
	c.passOnHead(result.answer)
	c.writer.WriteHeader(result.answer.Status)
	s := &stream{call: c, flush: flusher(c.writer), resumable: c.intake.route.Idempotent()}
	for result != nil {
		err := s.passOn(result)
		result.outcome.Pauses = s.pauses.summary()
		if err == nil {
			result.attempt.giveBack()
			c.concludeAnswered(result)
			result.release()
			return
		}
		result = s.takeUp(result, err)
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

// passOn passes events on until the stream ends. nil: its broker ended it in the proper way.
func (s *stream) passOn(result *attemptResult) error {
	events := result.events
	s.pauses = pauseMeter{}
	for {
		s.pauses.note(s.call.now())
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
		found := events.takeNumbered(s.last)
		if found.unnumbered && events.after.set {
			return errUnnumbered
		}
		s.resumable = !found.unnumbered
		s.last, fresh = found.last, found.events
	} else {
		fresh = events.take()
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

// takeUp goes on with a stream that was cut at another broker, behind the last whole event that the client has. nil: it
// can't go on.
func (s *stream) takeUp(cut *attemptResult, err error) *attemptResult {
	c := s.call
	cut.attempt.drop()
	cut.release()
	clientGone := errors.Is(err, errClient) || c.clientHasLeft()
	pauses := cut.outcome.Pauses
	cut.outcome = cut.attempt.cutOutcome(err, clientGone)
	cut.outcome.Pauses = pauses
	mayGoOn := s.resumable && s.last.set && !clientGone && !errors.Is(err, errUnnumbered)
	decision := c.conclude(cut, mayGoOn)
	if !mayGoOn || !c.mayTryAgain() || decision.Attempt == nil {
		return nil
	}
	c.proxy.counters.resumed.Add(1)
	result, _ := c.obtain(routing.Decision{Attempt: decision.Attempt}, s.last)
	return result
}
