// Package protocol parses and encodes the wire formats of an aggregator: HTTP/1.1 to clients and to
// the discovery service, length-prefixed frames to servers, and the JSON that both carry. It does no
// I/O: callers pass received bytes in and get fields or bytes to send back. Length and nesting depth
// of received messages are limited, and a message must not be acted on before it was validated to
// its end.
package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// RequestError reports why a received message is invalid.
type RequestError struct {
	Status int    // HTTP status to respond with
	Reason string // text for the response body and the log
}

// Error returns the reason.
func (e *RequestError) Error() string { return e.Reason }

// newRequestError returns a RequestError. The reasons of errors in requests of clients, in this file,
// chunks.go and search.go, are sent to clients as response bodies and therefore stay as they are.
func newRequestError(status int, reason string) error { return &RequestError{status, reason} }

// Progress is how much of a message has been received.
type Progress uint8

// state is the part of a message that the next byte belongs to.
type state uint8

// Message is an incremental parser of the HTTP/1.1 messages on one connection, one after another. It
// parses requests unless ExpectResponse was called. The caller lends it a buffer of MaxHead + MaxBody
// bytes before the first byte of a message, and takes the buffer back after the message was handled.
type Message struct {
	// BodySink receives the bytes of the body if it is set. The body is then not buffered and its
	// length is not limited.
	BodySink func([]byte) error

	buf              []byte
	state            state
	headLength       int  // bytes of the head, with the empty line that ends it
	remaining        int  // bytes of the body or of the current chunk that are still to come
	framingLength    int  // bytes of the current chunk-size line, or of all trailers, so far
	lineDigits       int  // hex digits of the current chunk size, or bytes of the current trailer line
	afterCR          bool // the previous byte of the chunk framing was a carriage return
	expectsResponse  bool // responses are parsed, not requests
	chunked          bool // the body has a chunked transfer coding
	closesConnection bool // the sender closes the connection after this message
	emptyLines       int  // bytes of empty lines before this message
}

// Limits on received data, in bytes.
const (
	MaxHead         = 8 << 10  // request or status line and headers
	MaxBody         = 64 << 10 // body that is buffered
	maxChunkFraming = 256      // chunk-size line with its extensions, or all trailers together
	maxEmptyLines   = 64       // bytes of empty lines before a message
	maxLine         = 4 << 20  // line of a discovery stream: a list of thousands of servers is one line
)

// Values of Progress.
const (
	Incomplete   Progress = iota // more bytes are needed
	HeadComplete                 // the head was received and a body follows
	Complete                     // the whole message was received
)

const (
	inHead           state = iota
	inBody                 // body with a Content-Length, or one that ends with the connection
	inChunkSize            // hex digits of a chunk size
	inChunkExtension       // rest of a chunk-size line
	inChunkData            // data of a chunk
	inChunkDataEnd         // CRLF after the data of a chunk
	inTrailers             // trailers after the last chunk
	messageComplete
)

// ExpectResponse makes the parser expect responses instead of requests.
func (m *Message) ExpectResponse() { m.expectsResponse = true }

// SetBuffer makes the parser use buf, or no buffer if buf is nil, and returns the previous buffer.
func (m *Message) SetBuffer(buf []byte) (previous []byte) {
	previous, m.buf = m.buf, buf[:0]
	return previous
}

// MoveToBuffer copies the buffered bytes to buf, which has the size of the previous buffer, and goes on
// there.
func (m *Message) MoveToBuffer(buf []byte) { m.buf = append(buf[:0], m.buf...) }

// HasPartial reports whether bytes of an incomplete message are buffered.
func (m *Message) HasPartial() bool { return len(m.buf) > 0 && m.state != messageComplete }

// Reset discards the current message and prepares the parser for the next one.
func (m *Message) Reset() {
	m.buf, m.state, m.headLength, m.closesConnection, m.chunked = m.buf[:0], inHead, 0, false, false
	m.emptyLines = 0
}

// Body returns the bytes of the body received so far. They are valid until the next call of Reset or
// Feed.
func (m *Message) Body() []byte { return m.buf[m.headLength:] }

// ClosesConnection reports whether the sender wants the connection closed after this message.
func (m *Message) ClosesConnection() bool { return m.closesConnection }

// Feed parses b and returns the number of bytes that it consumed. It returns early after the head of a
// message with a body and after a complete message: the caller passes the remaining bytes of b to the
// next call.
func (m *Message) Feed(b []byte) (used int, step Progress, err error) {
	for used < len(b) && m.state != messageComplete {
		switch m.state {
		case inHead:
			n, step, err := m.feedHead(b[used:])
			used += n
			if err != nil || step == HeadComplete {
				return used, step, err
			}
		case inBody, inChunkData:
			n := min(m.remaining, len(b)-used)
			if err := m.feedBody(b[used : used+n]); err != nil {
				return used, Incomplete, err
			}
			used += n
		default:
			c := b[used]
			used++
			if err := m.parseChunkFraming(c); err != nil {
				return used, Incomplete, err
			}
		}
	}
	if m.state == messageComplete {
		return used, Complete, nil
	}
	return used, Incomplete, nil
}

// skipEmptyLines returns how many bytes of empty lines b begins with, before a message. RFC 9112, section 2.2,
// asks for one such line; more than maxEmptyLines bytes are an error, as they cost their sender nothing.
func (m *Message) skipEmptyLines(b []byte) (skipped int, err error) {
	for skipped < len(b) && (b[skipped] == '\r' || b[skipped] == '\n') {
		skipped++
	}
	if m.emptyLines += skipped; m.emptyLines > maxEmptyLines {
		return skipped, newRequestError(400, "no request line")
	}
	return skipped, nil
}

// feedHead buffers bytes of the head and parses it once it is complete. It skips a few empty lines before a
// message.
func (m *Message) feedHead(b []byte) (used int, step Progress, err error) {
	from := len(m.buf)
	if from == 0 {
		used, err = m.skipEmptyLines(b)
		if err != nil {
			return used, Incomplete, err
		}
		b = b[used:]
	}
	take := min(len(b), MaxHead-from)
	m.buf = append(m.buf, b[:take]...)
	searchFrom := max(from-len(headEnd)+1, 0)
	end := bytes.Index(m.buf[searchFrom:], []byte(headEnd))
	if end < 0 {
		used += take
		if len(m.buf) >= MaxHead {
			return used, Incomplete, newRequestError(431, "the head is too long")
		}
		return used, Incomplete, nil
	}
	m.headLength = searchFrom + end + len(headEnd)
	used += m.headLength - from
	m.buf = m.buf[:m.headLength]
	if err := m.parseHead(); err != nil {
		return used, Incomplete, err
	}
	if m.state != messageComplete {
		return used, HeadComplete, nil
	}
	return used, Incomplete, nil
}

// headEnd terminates the head of a message.
const headEnd = "\r\n\r\n"

// feedBody buffers bytes of the body or of the current chunk, or passes them to BodySink.
func (m *Message) feedBody(b []byte) error {
	if m.BodySink != nil {
		if err := m.BodySink(b); err != nil {
			return err
		}
	} else {
		m.buf = append(m.buf, b...)
	}
	m.remaining -= len(b)
	switch {
	case m.remaining > 0:
	case m.state == inBody:
		m.state = messageComplete
	default:
		m.state = inChunkDataEnd
	}
	return nil
}

// framing is what the headers state about the length of the body and about the connection.
type framing struct {
	contentLengths, transferEncodings int   // number of Content-Length and Transfer-Encoding headers
	contentLength                     int   // bytes of the body by Content-Length
	keepAlive                         bool  // Connection: keep-alive is present
	err                               error // error of the first invalid header line
}

// parseHead parses the head and determines how the end of the message is found.
func (m *Message) parseHead() error {
	version, err := m.parseFirstLine()
	if err != nil {
		return err
	}
	oldVersion := string(version) == "HTTP/1.0"
	if !oldVersion && string(version) != "HTTP/1.1" {
		return newRequestError(505, "not HTTP/1.1")
	}
	var f framing
	m.eachHeader(func(name, value []byte) { m.parseFraming(&f, name, value) })
	m.closesConnection = m.closesConnection || oldVersion && !f.keepAlive
	switch {
	case f.err != nil:
		return f.err
	case f.contentLengths > 1 || f.transferEncodings > 1 || f.contentLengths+f.transferEncodings > 1:
		return newRequestError(400, "more than one length")
	case f.transferEncodings > 0 && oldVersion:
		return newRequestError(400, "chunks in HTTP/1.0")
	case f.contentLengths+f.transferEncodings == 0 && m.expectsResponse && m.BodySink != nil:
		f.contentLength = math.MaxInt // the body ends when the connection is closed or breaks
	case f.contentLengths+f.transferEncodings == 0 && (m.expectsResponse || m.HasMethod("POST") || m.HasMethod("PUT")):
		return newRequestError(411, "no length")
	}
	m.beginBody(f)
	return nil
}

// parseFirstLine validates the request line or status line and returns its HTTP version.
func (m *Message) parseFirstLine() (version []byte, err error) {
	first, _, _ := bytes.Cut(m.buf[:m.headLength], []byte("\r\n"))
	if m.expectsResponse {
		if len(first) < statusLineLength || first[8] != ' ' || m.Status() == 0 {
			return nil, newRequestError(400, "invalid status line")
		}
		return first[:8], nil
	}
	words := bytes.Split(first, []byte(" "))
	if len(words) != 3 || !isToken(words[0]) || len(words[1]) == 0 {
		return nil, newRequestError(400, "no request line")
	}
	return words[2], nil
}

const statusLineLength = 12 // least bytes of a status line: version, space and status code

// parseFraming evaluates one header line. After an invalid line the following ones are ignored.
func (m *Message) parseFraming(f *framing, name, value []byte) {
	switch {
	case f.err != nil:
	case !isToken(name) || bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 127 }):
		f.err = newRequestError(400, "a broken header line")
	case equalFold(name, "content-length"):
		f.contentLengths++
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || value[0] == '+' {
			f.err = newRequestError(400, "a length that is no number")
		} else if n > MaxBody && m.BodySink == nil {
			f.err = newRequestError(413, "the body is too long")
		}
		f.contentLength = int(n)
	case equalFold(name, "transfer-encoding"):
		f.transferEncodings++
		if !equalFold(value, "chunked") {
			f.err = newRequestError(501, "a coding other than chunked")
		}
	case equalFold(name, "connection"):
		for option := range bytes.SplitSeq(value, []byte(",")) {
			option = bytes.TrimSpace(option)
			m.closesConnection = m.closesConnection || equalFold(option, "close")
			f.keepAlive = f.keepAlive || equalFold(option, "keep-alive")
		}
	}
}

// beginBody prepares the parser for the body that the head announced.
func (m *Message) beginBody(f framing) {
	m.framingLength, m.lineDigits, m.afterCR = 0, 0, false
	m.remaining = f.contentLength
	switch {
	case f.transferEncodings > 0:
		m.state, m.remaining, m.chunked = inChunkSize, 0, true
	case f.contentLength > 0:
		m.state = inBody
	default:
		m.state = messageComplete
	}
}

// eachHeader calls each for every header line. A line without a colon has an empty name.
func (m *Message) eachHeader(each func(name, value []byte)) {
	_, rest, _ := bytes.Cut(m.buf[:m.headLength], []byte("\r\n"))
	for {
		var line []byte
		if line, rest, _ = bytes.Cut(rest, []byte("\r\n")); len(line) == 0 {
			return
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			name = nil
		}
		each(name, bytes.Trim(value, " \t"))
	}
}

// Header returns the value of the last header with this name, which is given in lower case, and the
// number of headers that have it.
func (m *Message) Header(name string) (value []byte, times int) {
	m.eachHeader(func(n, v []byte) {
		if equalFold(n, name) {
			value, times = v, times+1
		}
	})
	return value, times
}

// Cookie returns the value of the last cookie with this name, or nil.
func (m *Message) Cookie(name string) (value []byte) {
	m.eachHeader(func(n, v []byte) {
		if !equalFold(n, "cookie") {
			return
		}
		for pair := range bytes.SplitSeq(v, []byte(";")) {
			if key, val, ok := bytes.Cut(bytes.TrimSpace(pair), []byte("=")); ok && string(key) == name {
				value = val
			}
		}
	})
	return value
}

// HasMethod reports whether the request has this method.
func (m *Message) HasMethod(method string) bool {
	return len(m.buf) > len(method) && string(m.buf[:len(method)]) == method && m.buf[len(method)] == ' '
}

// Path returns the request target without its query.
func (m *Message) Path() []byte {
	first, _, _ := bytes.Cut(m.buf[:m.headLength], []byte("\r\n"))
	_, target, _ := bytes.Cut(first, []byte(" "))
	target, _, _ = bytes.Cut(target, []byte(" "))
	target, _, _ = bytes.Cut(target, []byte("?"))
	return target
}

// Status returns the status code of a response, or 0 if it is invalid.
func (m *Message) Status() int {
	if len(m.buf) < 12 {
		return 0
	}
	n, err := strconv.Atoi(string(m.buf[9:12]))
	if err != nil || n < 100 {
		return 0
	}
	return n
}

// equalFold reports whether a equals b without regard to case. b is in lower case.
func equalFold(a []byte, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i, c := range a {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != b[i] {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token of the HTTP grammar.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}
