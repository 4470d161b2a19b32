package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Headers that brokers set. Source: PROTOCOL.md, "Brokers".
const (
	HeaderRequestID   = "X-Kestrelspread-Request-Id"
	HeaderNotExecuted = "X-Kestrelspread-Not-Executed"
)

// maxSkippedAnswers bounds the answers read before the one that is due: interim ones (1xx) and
// surplus ones.
const maxSkippedAnswers = 8

// maxSkippedBytes bounds the body of a surplus answer that is read and discarded.
const maxSkippedBytes = 256 << 10

// Answer is an answer whose head was read and found to belong to the request. Read reads its body;
// Done must be called at the end.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes; -1 where it is chunked.
	Length int64
	// NotExecuted: the broker says that it did not execute the request.
	NotExecuted bool

	conn       *Conn
	body       io.ReadCloser
	complete   bool // io.EOF was read, or there is no body
	closeAfter bool // the broker closes the connection after this answer
}

// Requests of which http.ReadResponse needs only the method, to know whether a body may follow.
var (
	requestWithBody = &http.Request{Method: http.MethodGet}
	requestHead     = &http.Request{Method: http.MethodHead}
)

// ReadHead reads the head of the answer to the request with the id and method given. Answers to
// earlier requests, which a faulty broker may send late, are discarded. Errors are of type
// ErrInvalidAnswer, ErrBroken or ErrTimedOut; the connection must then be closed.
func (c *Conn) ReadHead(method, id string) (*Answer, error) {
	request := requestWithBody
	if method == http.MethodHead {
		request = requestHead
	}
	for range maxSkippedAnswers {
		answer, err := c.readAnswer(request)
		if err != nil {
			return nil, err
		}
		if answer.Status < http.StatusOK {
			if answer.Status == http.StatusSwitchingProtocols {
				return nil, fmt.Errorf("%w: protocol switched", ErrInvalidAnswer)
			}
			continue
		}
		if c.belongsTo(answer, id) {
			c.answersRead++
			return answer, nil
		}
		if err := c.discardAnswer(answer); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: too many answers before the one that is due", ErrInvalidAnswer)
}

// belongsTo reports whether the answer is to the request with the id. A broker that rejects a
// request may omit the id; that is accepted only where no earlier request of ours could be meant.
func (c *Conn) belongsTo(answer *Answer, id string) bool {
	ids := answer.Header[HeaderRequestID]
	if len(ids) == 1 {
		return ids[0] == id
	}
	return len(ids) == 0 && answer.NotExecuted && !c.reused && !c.desynchronized
}

// discardAnswer reads and discards an answer to an earlier request. The connection is not kept
// after that.
func (c *Conn) discardAnswer(answer *Answer) error {
	c.pool.Counters.Surplus.Add(1)
	c.desynchronized = true
	if len(answer.Header[HeaderRequestID]) != 1 {
		return fmt.Errorf("%w: answer without the id of a request", ErrInvalidAnswer)
	}
	count, err := io.CopyN(io.Discard, answer, maxSkippedBytes)
	if err == nil || count == maxSkippedBytes {
		return fmt.Errorf("%w: surplus answer is too large", ErrInvalidAnswer)
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if answer.closeAfter {
		return fmt.Errorf("%w: closed after a surplus answer", ErrBroken)
	}
	return nil
}

// readAnswer reads the head of the next answer, whatever request it belongs to.
func (c *Conn) readAnswer(request *http.Request) (*Answer, error) {
	c.source.limited, c.source.remaining = true, c.pool.options.MaxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.source.limited = false
	if err != nil {
		return nil, headError(err)
	}
	answer := &Answer{
		Status:     response.StatusCode,
		Header:     response.Header,
		Length:     response.ContentLength,
		conn:       c,
		body:       response.Body,
		closeAfter: response.Close || response.ProtoMajor != 1 || response.ProtoMinor != 1,
	}
	answer.NotExecuted = answer.Status == http.StatusMisdirectedRequest || len(answer.Header[HeaderNotExecuted]) > 0
	if response.Body == http.NoBody {
		answer.complete, answer.Length = true, 0
	}
	if answer.Length < 0 && len(response.TransferEncoding) == 0 {
		c.pool.Counters.Unframed.Add(1)
		return nil, fmt.Errorf("%w: answer without a length", ErrInvalidAnswer)
	}
	return answer, nil
}

// headError tells an invalid answer from a connection that broke or a deadline that passed.
func headError(err error) error {
	var network interface{ Timeout() bool }
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure(ErrTimedOut, "head of an answer", err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return failure(ErrBroken, "head of an answer", err)
	default:
		return failure(ErrInvalidAnswer, "head of an answer", err)
	}
}

// Read implements io.Reader. io.EOF comes only after the complete body; a truncated one gives
// ErrBroken.
func (a *Answer) Read(buffer []byte) (int, error) {
	if a.complete {
		return 0, io.EOF
	}
	count, err := a.body.Read(buffer)
	if err == nil {
		return count, nil
	}
	if errors.Is(err, io.EOF) {
		a.complete = true
		return count, io.EOF
	}
	return count, readError(err)
}

// EndsNow reports whether nothing but the end of a chunked body is left, and has already arrived:
// the next Read then returns io.EOF without waiting.
func (a *Answer) EndsNow() bool {
	buffered := a.conn.reader.Buffered()
	if a.Length >= 0 || buffered < len(lastChunk) || buffered > len(lastChunk)+len("\r\n") {
		return false
	}
	rest, err := a.conn.reader.Peek(buffered)
	return err == nil && bytes.HasSuffix(rest, lastChunk)
}

// lastChunk ends a chunked body without trailers.
var lastChunk = []byte("0\r\n\r\n")

// Done returns the connection to the pool if the answer was complete and the connection can be used
// again; else it closes it.
func (a *Answer) Done() {
	conn := a.conn
	if a.complete {
		conn.awaiting.Store(false)
	}
	if conn.reader.Buffered() > 0 && a.complete {
		conn.pool.Counters.Surplus.Add(1)
		conn.desynchronized = true
	}
	if !a.complete || a.closeAfter || conn.desynchronized {
		conn.Close()
		return
	}
	conn.keepAlive = keepAliveTime(a.Header)
	conn.pool.put(conn)
}

// keepAliveTime returns the timeout of Keep-Alive, which is in whole seconds; 0 where none is
// given.
func keepAliveTime(header http.Header) time.Duration {
	for _, value := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(text), `"`), 10, 31)
			if err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
