package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Names of headers that brokers set. Source: PROTOCOL.md, "Brokers".
const (
	HeaderRequestID   = "X-Kestrelspread-Request-Id"
	HeaderNotExecuted = "X-Kestrelspread-Not-Executed"
)

// maxSkippedAnswers bounds the answers that may stand before the one that is due: interim ones and surplus ones.
const maxSkippedAnswers = 8

// maxSkippedBytes bounds the body of a surplus answer that is read over.
const maxSkippedBytes = 256 << 10

// Answer is an answer whose head was read and found to belong to the request. Its body is read through Read.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes; -1 where it comes in chunks.
	Length int64
	// NotExecuted: the broker says that it did not run the request.
	NotExecuted bool

	conn       *Conn
	body       io.ReadCloser
	complete   bool
	closeAfter bool // the connection ends with this answer
}

// requests of which only the method matters: http.ReadResponse asks it whether a body may follow.
var (
	requestWithBody = &http.Request{Method: http.MethodGet}
	requestHead     = &http.Request{Method: http.MethodHead}
)

// ReadHead reads the head of the answer to the request with the id and method given. Answers to earlier requests, which a
// broker in trouble may send late, are read over. Errors are Garbled, Cut or TimedOut; the connection is then to be closed.
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
				return nil, InvalidAnswer.New("protocol switched")
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
	return nil, InvalidAnswer.New("too many answers before the one that is due")
}

// belongsTo reports whether the answer is to the request with the id. A broker that turns a request away may leave the id out;
// that is believed only where no earlier request of ours could be meant.
func (c *Conn) belongsTo(answer *Answer, id string) bool {
	ids := answer.Header[HeaderRequestID]
	if len(ids) == 1 {
		return ids[0] == id
	}
	return len(ids) == 0 && answer.NotExecuted && !c.reused && !c.desynchronized
}

// discardAnswer reads over an answer to an earlier request.
func (c *Conn) discardAnswer(answer *Answer) error {
	c.pool.Counters.Surplus.Add(1)
	c.desynchronized = true
	if len(answer.Header[HeaderRequestID]) != 1 {
		return InvalidAnswer.New("answer without the id of a request")
	}
	count, err := io.CopyN(io.Discard, answer, maxSkippedBytes)
	if err == nil || count == maxSkippedBytes {
		return InvalidAnswer.New("surplus answer is too large")
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if answer.closeAfter {
		return Broken.New("closed after a surplus answer")
	}
	return nil
}

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
		return nil, InvalidAnswer.New("answer without a length")
	}
	return answer, nil
}

// headError tells bytes that are no answer from a connection that ended or a time that ran out.
func headError(err error) error {
	var network interface{ Timeout() bool }
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut.Wrap(err, "head of an answer")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return Broken.Wrap(err, "head of an answer")
	default:
		return InvalidAnswer.Wrap(err, "head of an answer")
	}
}

// Read reads the body. io.EOF comes only after the whole of it; a body that was cut short gives Cut.
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

// EndsNow reports whether the rest of a body in chunks is only its end, and is here already: the next Read then gives io.EOF
// without waiting.
func (a *Answer) EndsNow() bool {
	buffered := a.conn.reader.Buffered()
	if a.Length >= 0 || buffered < len(lastChunk) || buffered > len(lastChunk)+len("\r\n") {
		return false
	}
	rest, err := a.conn.reader.Peek(buffered)
	return err == nil && bytes.HasSuffix(rest, lastChunk)
}

// lastChunk ends a body in chunks.
var lastChunk = []byte("0\r\n\r\n")

// Done gives the connection back: it is kept if the answer was whole and nothing speaks against it, else closed.
func (a *Answer) Done() {
	conn := a.conn
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

// keepAliveTime reads the timeout of Keep-Alive, in whole seconds; 0 where none is given.
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
