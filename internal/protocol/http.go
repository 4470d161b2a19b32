// Package protocol reads and writes what brokers speak: HTTP/1.1 with clients and discovery, frames with
// servers, and the JSON inside. It is pure: bytes in, fields and bytes out, and every length is bounded.
package protocol

import (
	"bytes"
	"math"
	"strconv"
	"unicode/utf8"
)

// Limits on what peers send, in bytes.
const (
	MaxHead  = 8 << 10
	MaxBody  = 64 << 10
	maxChunk = 256     // the line that states a chunk's size, and all trailers
	maxLine  = 4 << 20 // of a discovery stream: a list of thousands of servers is one line
)

// Bad is what is wrong with a message: the status to answer it with, and why.
type Bad struct {
	Status int
	Why    string
}

// Error gives what is wrong with the message.
func (e *Bad) Error() string { return e.Why }

func bad(status int, why string) error { return &Bad{status, why} }

// Step tells how far a message has come.
type Step uint8

// How far a message has come.
const (
	More   Step = iota // the bytes ended first
	Headed             // its head is whole, a body follows
	Done               // it is whole
)

type state uint8

const (
	inHead state = iota
	inBody
	inSize
	inExtension
	inData
	inDataEnd
	inTrailer
	whole
)

// HTTP reads one message after another from one connection. Its storage holds MaxHead and MaxBody bytes and is
// the caller's to give before the first byte and to take back once a message is done with.
type HTTP struct {
	Stream func([]byte) error // where set, a body's pieces go there, unbounded, and none is stored

	buf      []byte
	at       state
	head     int // bytes of the head
	left     int // of the body or the chunk
	line     int // bytes of the chunk's line or of the trailers so far
	digits   int
	cr       bool
	response bool
	chunked  bool
	final    bool // no further message follows
}

// Response makes it read responses in place of requests.
func (m *HTTP) Response() { m.response = true }

// Store gives the storage, or takes it back with nil.
func (m *HTTP) Store(buf []byte) (was []byte) {
	was, m.buf = m.buf, buf[:0]
	return was
}

// Move has it go on in other storage, as long as the one before.
func (m *HTTP) Move(buf []byte) { m.buf = append(buf[:0], m.buf...) }

// Begun tells whether bytes of an unfinished message are held.
func (m *HTTP) Begun() bool { return len(m.buf) > 0 && m.at != whole }

// Next makes it ready for another message.
func (m *HTTP) Next() { m.buf, m.at, m.head, m.final, m.chunked = m.buf[:0], inHead, 0, false, false }

// Body gives the message's body as far as it has come; valid until Next or Feed.
func (m *HTTP) Body() []byte { return m.buf[m.head:] }

// Last tells whether the sender wants the connection closed after this message.
func (m *HTTP) Last() bool { return m.final }

// Feed reads on. It stops behind the head and behind the message; what it has not used belongs to the next.
func (m *HTTP) Feed(b []byte) (used int, step Step, err error) {
	for used < len(b) && m.at != whole {
		switch m.at {
		case inHead:
			from := len(m.buf)
			take := min(len(b)-used, MaxHead-from)
			m.buf = append(m.buf, b[used:used+take]...)
			for from == 0 && len(m.buf) > 0 && (m.buf[0] == '\r' || m.buf[0] == '\n') {
				m.buf = append(m.buf[:0], m.buf[1:]...) // empty lines between messages are allowed
				used, take = used+1, take-1
			}
			end := bytes.Index(m.buf[max(from-3, 0):], []byte("\r\n\r\n"))
			if end < 0 {
				if used += take; len(m.buf) >= MaxHead {
					return used, More, bad(431, "the head is too long")
				}
				continue
			}
			m.head = max(from-3, 0) + end + 4
			used += m.head - from
			m.buf = m.buf[:m.head]
			if err := m.readHead(); err != nil {
				return used, More, err
			}
			if m.at != whole {
				return used, Headed, nil
			}
		case inBody, inData:
			n := min(m.left, len(b)-used)
			if m.Stream != nil {
				if err := m.Stream(b[used : used+n]); err != nil {
					return used, More, err
				}
			} else {
				m.buf = append(m.buf, b[used:used+n]...)
			}
			used += n
			if m.left -= n; m.left == 0 {
				if m.at++; m.at == inSize {
					m.at = whole
				}
			}
		default:
			c := b[used]
			used++
			if err := m.frame(c); err != nil {
				return used, More, err
			}
		}
	}
	if m.at == whole {
		return used, Done, nil
	}
	return used, More, nil
}

// frame reads what stands between the pieces of a chunked body.
func (m *HTTP) frame(c byte) error {
	if m.line++; m.line > maxChunk {
		return bad(400, "a chunk's line is too long")
	}
	if m.cr && c != '\n' || !m.cr && c == '\n' || m.at == inDataEnd && !m.cr && c != '\r' {
		return bad(400, "a broken chunk")
	}
	if c == '\r' {
		m.cr = true
		return nil
	}
	ended := m.cr
	m.cr = false
	switch m.at {
	case inSize, inExtension:
		if ended {
			if m.digits == 0 {
				return bad(400, "a chunk without a size")
			}
			if m.Stream == nil && len(m.buf)-m.head+m.left > MaxBody {
				return bad(413, "the body is too long")
			}
			m.at, m.line = inData, 0
			if m.left == 0 {
				m.at, m.digits = inTrailer, 0
			}
			return nil
		}
		if d := hex(c); m.at == inSize && d >= 0 {
			if m.digits++; m.digits > 7 {
				return bad(413, "a chunk is too long")
			}
			m.left = m.left<<4 | d
		} else if c == ';' || c == ' ' || c == '\t' {
			m.at = inExtension
		} else if m.at == inSize {
			return bad(400, "a chunk's size is no number")
		}
	case inDataEnd:
		m.at, m.left, m.digits, m.line = inSize, 0, 0, 0
	case inTrailer:
		if !ended {
			m.digits++ // of this line
		} else if m.digits == 0 {
			m.at = whole
		} else {
			m.digits = 0
		}
	}
	return nil
}

func hex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func (m *HTTP) readHead() error {
	first, _, _ := bytes.Cut(m.buf[:m.head], []byte("\r\n"))
	version := first
	if m.response {
		if len(first) < 12 || first[8] != ' ' || m.Status() == 0 {
			return bad(400, "no status line")
		}
		version = first[:8]
	} else {
		parts := bytes.Split(first, []byte(" "))
		if len(parts) != 3 || !token(parts[0]) || len(parts[1]) == 0 {
			return bad(400, "no request line")
		}
		version = parts[2]
	}
	old := string(version) == "HTTP/1.0"
	if !old && string(version) != "HTTP/1.1" {
		return bad(505, "not HTTP/1.1")
	}
	lengths, length, codings := 0, 0, 0
	var why error
	keep := false
	m.fields(func(name, value []byte) {
		switch {
		case why != nil:
		case !token(name) || bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 127 }):
			why = bad(400, "a broken header line")
		case same(name, "content-length"):
			lengths++
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || value[0] == '+' {
				why = bad(400, "a length that is no number")
			} else if n > MaxBody && m.Stream == nil {
				why = bad(413, "the body is too long")
			}
			length = int(n)
		case same(name, "transfer-encoding"):
			if codings++; !same(value, "chunked") {
				why = bad(501, "a coding other than chunked")
			}
		case same(name, "connection"):
			for option := range bytes.SplitSeq(value, []byte(",")) {
				option = bytes.TrimSpace(option)
				m.final = m.final || same(option, "close")
				keep = keep || same(option, "keep-alive")
			}
		}
	})
	m.final = m.final || old && !keep
	switch {
	case why != nil:
		return why
	case lengths > 1 || codings > 1 || lengths+codings > 1:
		return bad(400, "more than one length")
	case codings > 0 && old:
		return bad(400, "chunks in HTTP/1.0")
	case lengths+codings == 0 && m.response && m.Stream != nil:
		length = math.MaxInt // it ends with its connection, whether that is closed or breaks: no end of it is ever told
	case lengths+codings == 0 && (m.response || m.Is("POST") || m.Is("PUT")):
		return bad(411, "no length")
	}
	m.line, m.digits, m.cr = 0, 0, false
	switch m.left = length; {
	case codings > 0:
		m.at, m.left, m.chunked = inSize, 0, true
	case length > 0:
		m.at = inBody
	default:
		m.at = whole
	}
	return nil
}

func (m *HTTP) fields(each func(name, value []byte)) {
	_, rest, _ := bytes.Cut(m.buf[:m.head], []byte("\r\n"))
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
func (m *HTTP) Header(name string) (value []byte, times int) {
	m.fields(func(n, v []byte) {
		if same(n, name) {
			value, times = v, times+1
		}
	})
	return value, times
}

// Cookie gives the value of a cookie.
func (m *HTTP) Cookie(name string) (value []byte) {
	m.fields(func(n, v []byte) {
		if !same(n, "cookie") {
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

// Is compares the method.
func (m *HTTP) Is(method string) bool {
	return len(m.buf) > len(method) && string(m.buf[:len(method)]) == method && m.buf[len(method)] == ' '
}

// Path gives the request's target without what follows a question mark.
func (m *HTTP) Path() []byte {
	first, _, _ := bytes.Cut(m.buf[:m.head], []byte("\r\n"))
	_, target, _ := bytes.Cut(first, []byte(" "))
	target, _, _ = bytes.Cut(target, []byte(" "))
	target, _, _ = bytes.Cut(target, []byte("?"))
	return target
}

// Status gives a response's.
func (m *HTTP) Status() int {
	if len(m.buf) < 12 {
		return 0
	}
	n, err := strconv.Atoi(string(m.buf[9:12]))
	if err != nil || n < 100 {
		return 0
	}
	return n
}

// same compares without regard to case; b is in small letters.
func same(a []byte, b string) bool {
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

func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

var phrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// Continue tells a client that its body is wanted.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendResponse writes a whole response; back, in milliseconds, is the time to come back, 0 for none.
func AppendResponse(dst []byte, status int, kind string, last bool, back float64, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(append(dst, ' '), phrases[status]...)
	dst = append(append(dst, "\r\nContent-Type: "...), kind...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if back > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendFloat(dst, back/1000, 'f', 3, 64)
	}
	if last {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return append(append(dst, "\r\n\r\n"...), body...)
}

// AppendWatch asks discovery for all changes after a version, and for those to come.
func AppendWatch(dst []byte, host string, after int64) []byte {
	dst = append(dst, "GET /v1/endpoints?watch=1&after="...)
	dst = strconv.AppendInt(dst, after, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// Lines cuts a stream into lines, of which each may be long. A list that comes indented, over many lines, is one: a line
// that is the sound beginning of a list is held until its last brace is shut.
type Lines struct {
	held            []byte
	depth, seen     int
	quoted, escaped bool
}

// shut follows braces through a line, and tells whether all are shut at its end.
func (l *Lines) shut(line []byte) bool {
	for _, c := range line {
		switch {
		case l.escaped:
			l.escaped = false
		case l.quoted:
			l.escaped, l.quoted = c == '\\', c != '"'
		case c == '"':
			l.quoted = true
		case c == '{' || c == '[':
			l.depth++
		case c == '}' || c == ']':
			l.depth--
		}
	}
	return l.depth <= 0 || l.quoted // no line ends within a string
}

// Feed takes the next bytes and calls each with every line that they complete; it ends at the first error.
func (l *Lines) Feed(b []byte, each func(line []byte) error) error {
	for {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		if !ended {
			if len(l.held)+len(line) > maxLine {
				return bad(400, "a line is too long")
			}
			l.held = append(l.held, line...)
			return nil
		}
		goes := len(l.held) > 0 && l.depth > 0 // on from the line before
		if len(l.held) > 0 {
			l.held = append(l.held, line...)
			line = l.held
		}
		piece := line[l.seen:]
		if goes {
			// A blank line is a beat and a sound list is one of its own: what is held was cut off, and goes on nowhere.
			if _, _, err := List(piece, nil); err == nil || len(bytes.TrimSpace(piece)) == 0 {
				return bad(400, "half a list")
			}
		}
		if !l.shut(piece) && (goes || begins(line)) && len(line) < maxLine {
			if len(l.held) == 0 {
				l.held = append(l.held, line...)
			}
			l.held = append(l.held, '\n') // what is held stays where it is: moved for each line, a long list would take minutes
			l.seen = len(l.held)
			b = rest
			continue
		}
		l.depth, l.quoted, l.escaped, l.seen = 0, false, false, 0
		err := each(bytes.TrimRight(line, "\r"))
		if l.held = l.held[:0]; err != nil {
			return err
		}
		b = rest
	}
}

// appendString writes bytes as a JSON string; what is no text stays as it is.
func appendString(dst, s []byte) []byte {
	dst = append(dst, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			dst = append(dst, '\\', c)
		case c < ' ':
			dst = append(dst, '\\', 'u', '0', '0', "0123456789abcdef"[c>>4], "0123456789abcdef"[c&15])
		default:
			dst = append(dst, c)
		}
	}
	return append(dst, '"')
}

// AppendAnswer begins an answer's body, AppendMatch adds a part's value, EndAnswer ends it.
func AppendAnswer(dst []byte, allIn bool) []byte {
	dst = append(dst, `{"all_in":`...)
	dst = strconv.AppendBool(dst, allIn)
	return append(dst, `,"matches":[`...)
}

// AppendMatch appends the value of one shard to an answer that is being written.
func AppendMatch(dst []byte, shard int, value []byte) []byte {
	if dst[len(dst)-1] != '[' {
		dst = append(dst, ',')
	}
	dst = append(dst, `{"segment":`...)
	dst = strconv.AppendInt(dst, int64(shard), 10)
	dst = append(dst, `,"payload":`...)
	return append(appendString(dst, value), '}')
}

// EndAnswer appends the end of an answer.
func EndAnswer(dst []byte) []byte { return append(dst, "]}"...) }

// unescape gives a JSON string's bytes.
func unescape(s []byte) ([]byte, bool) {
	if bytes.IndexByte(s, '\\') < 0 {
		return s, true
	}
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out = append(out, s[i])
			continue
		}
		if i++; i >= len(s) {
			return nil, false
		}
		switch c := s[i]; c {
		case '"', '\\', '/':
			out = append(out, c)
		case 'b':
			out = append(out, '\b')
		case 'f':
			out = append(out, '\f')
		case 'n':
			out = append(out, '\n')
		case 'r':
			out = append(out, '\r')
		case 't':
			out = append(out, '\t')
		case 'u':
			r, ok := unit(s[i+1:])
			if !ok {
				return nil, false
			}
			i += 4
			if r >= 0xd800 && r < 0xdc00 && len(s) > i+2 && s[i+1] == '\\' && s[i+2] == 'u' {
				if low, ok := unit(s[i+3:]); ok && low >= 0xdc00 && low < 0xe000 {
					r = 0x10000 + (r-0xd800)<<10 + (low - 0xdc00)
					i += 6
				}
			}
			out = utf8.AppendRune(out, r)
		default:
			return nil, false
		}
	}
	return out, true
}

func unit(s []byte) (r rune, ok bool) {
	if len(s) < 4 {
		return 0, false
	}
	for _, c := range s[:4] {
		d := hex(c)
		if d < 0 {
			return 0, false
		}
		r = r<<4 | rune(d)
	}
	return r, true
}
