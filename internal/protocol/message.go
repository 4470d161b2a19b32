// Package protocol reads and writes what aggregators speak: HTTP/1.1 with clients and discovery,
// frames with servers, and the JSON inside. It is pure: bytes in, fields and bytes out. What a peer
// sends is bounded in length and depth, and nothing of a message counts before all that precedes
// its end has proved sound.
package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// RequestError is what is wrong with a message: the status to answer it with, and why.
type RequestError struct {
	Status int
	Reason string
}

// Error gives what is wrong with the message.
func (e *RequestError) Error() string { return e.Reason }

func newError(status int, why string) error { return &RequestError{status, why} }

// Progress tells how far a message has come.
type Progress uint8

// state is where in a message the next byte stands.
type state uint8

// Message reads one message after another from one connection. Its storage holds MaxHead and
// MaxBody bytes and is the caller's to give before the first byte and to take back once a message
// is done with.
type Message struct {
	Stream func([]byte) error // where set, a body's bytes go there, unbounded, and none is stored

	buf         []byte
	state       state
	headLength  int // bytes of the head
	remaining   int // of the body or the chunk
	lineLength  int // bytes of the chunk's line or of the trailers so far
	digits      int
	afterCR     bool
	response    bool
	chunked     bool
	lastMessage bool // no further message follows
}

// Limits on what peers send, in bytes.
const (
	MaxHead  = 8 << 10
	MaxBody  = 64 << 10
	maxChunk = 256     // the line that states a chunk's size, and all trailers
	maxLine  = 4 << 20 // of a discovery stream: a list of thousands of servers is one line
)

// How far a message has come.
const (
	Incomplete   Progress = iota // the bytes ended first
	HeadComplete                 // its head is complete, a body follows
	Complete                     // all of it is there
)

const (
	inHead state = iota
	inBody
	inSize
	inExtension
	inData
	inDataEnd
	inTrailer
	complete
)

// ExpectResponse makes it read responses in place of requests.
func (m *Message) ExpectResponse() { m.response = true }

// SetStorage gives the storage, or takes it back with nil.
func (m *Message) SetStorage(buf []byte) (was []byte) {
	was, m.buf = m.buf, buf[:0]
	return was
}

// MoveStorage has it go on in other storage, as long as the one before.
func (m *Message) MoveStorage(buf []byte) { m.buf = append(buf[:0], m.buf...) }

// Begun tells whether bytes of an incomplete message are stored.
func (m *Message) Begun() bool { return len(m.buf) > 0 && m.state != complete }

// Next makes it ready for another message.
func (m *Message) Next() {
	m.buf, m.state, m.headLength, m.lastMessage, m.chunked = m.buf[:0], inHead, 0, false, false
}

// Body gives the message's body as far as it has come; valid until Next or Feed.
func (m *Message) Body() []byte { return m.buf[m.headLength:] }

// IsLast tells whether the sender wants the connection closed after this message.
func (m *Message) IsLast() bool { return m.lastMessage }

// Feed reads on. It stops behind the head and behind the message; what it has not used belongs to
// the next.
func (m *Message) Feed(b []byte) (used int, step Progress, err error) {
	for used < len(b) && m.state != complete {
		switch m.state {
		case inHead:
			n, step, err := m.feedHead(b[used:])
			used += n
			if err != nil || step == HeadComplete {
				return used, step, err
			}
		case inBody, inData:
			n := min(m.remaining, len(b)-used)
			if err := m.feedBody(b[used : used+n]); err != nil {
				return used, Incomplete, err
			}
			used += n
		default:
			c := b[used]
			used++
			if err := m.readChunkFraming(c); err != nil {
				return used, Incomplete, err
			}
		}
	}
	if m.state == complete {
		return used, Complete, nil
	}
	return used, Incomplete, nil
}

// feedHead stores bytes of the head and reads it once it is complete. Empty lines between messages
// are allowed.
func (m *Message) feedHead(b []byte) (used int, step Progress, err error) {
	from := len(m.buf)
	take := min(len(b), MaxHead-from)
	m.buf = append(m.buf, b[:take]...)
	for from == 0 && len(m.buf) > 0 && (m.buf[0] == '\r' || m.buf[0] == '\n') {
		m.buf = append(m.buf[:0], m.buf[1:]...)
		used, take = used+1, take-1
	}
	searchFrom := max(from-len(headEnd)+1, 0)
	end := bytes.Index(m.buf[searchFrom:], []byte(headEnd))
	if end < 0 {
		used += take
		if len(m.buf) >= MaxHead {
			return used, Incomplete, newError(431, "the head is too long")
		}
		return used, Incomplete, nil
	}
	m.headLength = searchFrom + end + len(headEnd)
	used += m.headLength - from
	m.buf = m.buf[:m.headLength]
	if err := m.readHead(); err != nil {
		return used, Incomplete, err
	}
	if m.state != complete {
		return used, HeadComplete, nil
	}
	return used, Incomplete, nil
}

const headEnd = "\r\n\r\n"

// feedBody stores bytes of the body or the chunk at hand, or gives them to the stream.
func (m *Message) feedBody(b []byte) error {
	if m.Stream != nil {
		if err := m.Stream(b); err != nil {
			return err
		}
	} else {
		m.buf = append(m.buf, b...)
	}
	m.remaining -= len(b)
	switch {
	case m.remaining > 0:
	case m.state == inBody:
		m.state = complete
	default:
		m.state = inDataEnd
	}
	return nil
}

// framing is what a head says of its body's length, and of the connection.
type framing struct {
	lengths, codings int // headers that state a length, or a coding
	length           int
	keepAlive        bool
	err              error // the first fault of a header line
}

// readHead reads what a head says of its message's end.
func (m *Message) readHead() error {
	version, err := m.readFirstLine()
	if err != nil {
		return err
	}
	oldVersion := string(version) == "HTTP/1.0"
	if !oldVersion && string(version) != "HTTP/1.1" {
		return newError(505, "not HTTP/1.1")
	}
	var f framing
	m.eachField(func(name, value []byte) { m.readFraming(&f, name, value) })
	m.lastMessage = m.lastMessage || oldVersion && !f.keepAlive
	switch {
	case f.err != nil:
		return f.err
	case f.lengths > 1 || f.codings > 1 || f.lengths+f.codings > 1:
		return newError(400, "more than one length")
	case f.codings > 0 && oldVersion:
		return newError(400, "chunks in HTTP/1.0")
	case f.lengths+f.codings == 0 && m.response && m.Stream != nil:
		f.length = math.MaxInt // it ends with its connection, whether that is closed or breaks
	case f.lengths+f.codings == 0 && (m.response || m.HasMethod("POST") || m.HasMethod("PUT")):
		return newError(411, "no length")
	}
	m.beginBody(f)
	return nil
}

// readFirstLine gives the version of HTTP that a request line or status line states.
func (m *Message) readFirstLine() (version []byte, err error) {
	first, _, _ := bytes.Cut(m.buf[:m.headLength], []byte("\r\n"))
	if m.response {
		if len(first) < statusLineLength || first[8] != ' ' || m.Status() == 0 {
			return nil, newError(400, "no status line")
		}
		return first[:8], nil
	}
	words := bytes.Split(first, []byte(" "))
	if len(words) != 3 || !isToken(words[0]) || len(words[1]) == 0 {
		return nil, newError(400, "no request line")
	}
	return words[2], nil
}

const statusLineLength = 12 // of the version, a space and the status, at least

// readFraming reads one header line; behind the first fault nothing counts.
func (m *Message) readFraming(f *framing, name, value []byte) {
	switch {
	case f.err != nil:
	case !isToken(name) || bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 127 }):
		f.err = newError(400, "a broken header line")
	case equalFold(name, "content-length"):
		f.lengths++
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || value[0] == '+' {
			f.err = newError(400, "a length that is no number")
		} else if n > MaxBody && m.Stream == nil {
			f.err = newError(413, "the body is too long")
		}
		f.length = int(n)
	case equalFold(name, "transfer-encoding"):
		f.codings++
		if !equalFold(value, "chunked") {
			f.err = newError(501, "a coding other than chunked")
		}
	case equalFold(name, "connection"):
		for option := range bytes.SplitSeq(value, []byte(",")) {
			option = bytes.TrimSpace(option)
			m.lastMessage = m.lastMessage || equalFold(option, "close")
			f.keepAlive = f.keepAlive || equalFold(option, "keep-alive")
		}
	}
}

// beginBody makes ready for the body that a head announced.
func (m *Message) beginBody(f framing) {
	m.lineLength, m.digits, m.afterCR = 0, 0, false
	m.remaining = f.length
	switch {
	case f.codings > 0:
		m.state, m.remaining, m.chunked = inSize, 0, true
	case f.length > 0:
		m.state = inBody
	default:
		m.state = complete
	}
}

// eachField gives each header line; a line without a colon has no name.
func (m *Message) eachField(each func(name, value []byte)) {
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

// Header gives the value of a header by its name in small letters, and how often it stands there.
func (m *Message) Header(name string) (value []byte, times int) {
	m.eachField(func(n, v []byte) {
		if equalFold(n, name) {
			value, times = v, times+1
		}
	})
	return value, times
}

// Cookie gives the value of a cookie.
func (m *Message) Cookie(name string) (value []byte) {
	m.eachField(func(n, v []byte) {
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

// HasMethod compares the method.
func (m *Message) HasMethod(method string) bool {
	return len(m.buf) > len(method) && string(m.buf[:len(method)]) == method && m.buf[len(method)] == ' '
}

// Path gives the request's target without what follows a question mark.
func (m *Message) Path() []byte {
	first, _, _ := bytes.Cut(m.buf[:m.headLength], []byte("\r\n"))
	_, target, _ := bytes.Cut(first, []byte(" "))
	target, _, _ = bytes.Cut(target, []byte(" "))
	target, _, _ = bytes.Cut(target, []byte("?"))
	return target
}

// Status gives a response's.
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

// equalFold compares without regard to case; b is in small letters.
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

// isToken: a word of HTTP's grammar.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}
