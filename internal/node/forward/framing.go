package forward

import (
	"bytes"
	"errors"
)

// framing describes how one request of a client was framed.
type framing struct {
	// malformed: it is ambiguous where the request ends, so that another request could be smuggled
	// inside it.
	malformed bool
	headBytes int
	headLines int
	// headComplete: the end of the head has arrived.
	headComplete bool
}

// errChunks says that a chunked body violates the grammar of chunks.
var errChunks = errors.New("malformed chunk")

// scanState is what a requestScanner expects next.
type scanState uint8

const (
	scanHead scanState = iota
	scanLengthBody
	scanChunkSize
	scanChunkData
	scanChunkEnd
	scanTrailer
	// scanRejected: what follows a malformed head is not parsed.
	scanRejected
)

// requestScanner follows the requests on a client's connection byte by byte. net/http parses them;
// the scanner detects what net/http tolerates and an intermediary must not (RFC 9112, sections 5.2,
// 6.1, 6.3 and 7.1): folded lines, lines that end in a bare LF, a length beside chunks, a length
// given twice.
type requestScanner struct {
	state   scanState
	current framing
	started bool // a byte of the request has arrived

	line      []byte // the start of a line whose end hasn't arrived
	hasLength bool
	length    int64
	hasChunks bool
	bodyLeft  int64
}

// maxTrailerLineBytes bounds a line after the last chunk; clientConn bounds heads.
const maxTrailerLineBytes = 4 << 10

// maxKeptLineBytes is the size up to which the space for a line is kept for later lines.
const maxKeptLineBytes = 512

// maxChunkLineBytes bounds the line with the size of a chunk.
const maxChunkLineBytes = 256

// scan parses the next bytes. It stops at the end of a request: taken is how many of the bytes
// belong to it.
func (s *requestScanner) scan(data []byte) (taken int, err error) {
	for taken < len(data) {
		rest := data[taken:]
		switch s.state {
		case scanLengthBody, scanChunkData:
			step := int(min(int64(len(rest)), s.bodyLeft))
			s.bodyLeft -= int64(step)
			taken += step
			if s.bodyLeft == 0 && s.endData() {
				return taken, nil
			}
		case scanRejected:
			return len(data), nil
		default:
			line, step, complete := s.nextLine(rest)
			taken += step
			if !complete {
				return taken, s.checkPartialLine()
			}
			ended, err := s.parseLine(line)
			if ended || err != nil {
				return taken, err
			}
		}
	}
	return taken, nil
}

// betweenRequests reports whether no byte of the next request has arrived.
func (s *requestScanner) betweenRequests() bool { return s.state == scanHead && !s.started }

// endData ends the data of a chunk, or a body with a length, which ends the request.
func (s *requestScanner) endData() (requestEnds bool) {
	if s.state == scanChunkData {
		s.state = scanChunkEnd
		return false
	}
	s.startNext()
	return true
}

// startNext starts the next request.
func (s *requestScanner) startNext() {
	line := s.line[:0]
	if cap(line) > maxKeptLineBytes {
		line = nil
	}
	*s = requestScanner{current: s.current, line: line}
}

// headBytesSoFar is how much of the current head has arrived, the start of a line included.
func (s *requestScanner) headBytesSoFar() int { return s.current.headBytes + len(s.line) }

// inHead reports whether a head is expected or has arrived in part.
func (s *requestScanner) inHead() bool { return s.state == scanHead }

// nextLine returns the next line with its end, and how many bytes of data it took. complete is
// false where the end has not arrived.
func (s *requestScanner) nextLine(data []byte) (line []byte, taken int, complete bool) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		s.line = append(s.line, data...)
		if s.state == scanHead {
			s.markStarted()
		}
		return nil, len(data), false
	}
	taken = end + 1
	if len(s.line) == 0 {
		return data[:taken], taken, true
	}
	s.line = append(s.line, data[:taken]...)
	line, s.line = s.line, s.line[:0]
	return line, taken, true
}

// checkPartialLine bounds a line whose end has not arrived.
func (s *requestScanner) checkPartialLine() error {
	tooLong := s.state == scanChunkSize && len(s.line) > maxChunkLineBytes || s.state == scanTrailer && len(s.line) > maxTrailerLineBytes
	if tooLong {
		return errChunks
	}
	return nil
}

// markStarted records that the head of a request has started to arrive.
func (s *requestScanner) markStarted() {
	if !s.started {
		s.started = true
		s.current = framing{}
	}
}

// parseLine parses a complete line outside of bodies.
func (s *requestScanner) parseLine(line []byte) (requestEnds bool, err error) {
	content, crlf := bytes.CutSuffix(line, []byte("\r\n"))
	switch s.state {
	case scanHead:
		return s.parseHeadLine(content, crlf, len(line)), nil
	case scanChunkSize:
		return false, s.parseChunkSize(content, crlf)
	case scanChunkEnd:
		if len(content) > 0 || !crlf {
			return false, errChunks
		}
		s.state = scanChunkSize
		return false, nil
	default: // scanTrailer
		if !crlf {
			return false, errChunks
		}
		if len(content) > 0 {
			return false, nil
		}
		s.startNext()
		return true, nil
	}
}

// parseHeadLine parses a line of the head.
func (s *requestScanner) parseHeadLine(content []byte, crlf bool, size int) (requestEnds bool) {
	s.markStarted()
	s.current.headBytes += size
	if !crlf || bytes.IndexByte(content, '\r') >= 0 {
		s.current.malformed = true
	}
	if len(content) == 0 && s.current.headLines == 0 && crlf {
		return false // an empty line before the request line
	}
	if len(bytes.TrimRight(content, "\r\n")) == 0 {
		return s.endHead()
	}
	s.current.headLines++
	if s.current.headLines == 1 {
		return false
	}
	if content[0] == ' ' || content[0] == '\t' {
		s.current.malformed = true
		return false
	}
	s.parseField(content)
	return false
}

// parseField parses a header line, of which only those that frame the body matter.
func (s *requestScanner) parseField(line []byte) {
	const (
		lengthName = "Content-Length"
		codingName = "Transfer-Encoding"
	)
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch len(name) {
	case len(lengthName):
		if bytes.EqualFold(name, []byte(lengthName)) {
			s.parseLength(bytes.Trim(value, " \t"))
		}
	case len(codingName):
		if bytes.EqualFold(name, []byte(codingName)) {
			s.current.malformed = s.current.malformed || s.hasChunks
			s.hasChunks = true
		}
	}
}

// parseLength parses the value of Content-Length.
func (s *requestScanner) parseLength(text []byte) {
	const maxDigits = 18
	if s.hasLength || len(text) == 0 || len(text) > maxDigits {
		s.current.malformed = true
		return
	}
	s.hasLength = true
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			s.current.malformed = true
			return
		}
		s.length = s.length*10 + int64(digit-'0')
	}
}

// endHead decides at the end of the head what follows.
func (s *requestScanner) endHead() (requestEnds bool) {
	if s.hasLength && s.hasChunks {
		s.current.malformed = true
	}
	s.current.headComplete = true
	switch {
	case s.current.malformed:
		s.state = scanRejected
		return true
	case s.hasChunks:
		s.state = scanChunkSize
		return false
	case s.length > 0:
		s.state = scanLengthBody
		s.bodyLeft = s.length
		return false
	default:
		s.startNext()
		return true
	}
}

// parseChunkSize parses the line before a chunk's data: the size in hex, and extensions after a
// semicolon.
func (s *requestScanner) parseChunkSize(content []byte, crlf bool) error {
	const maxDigits = 15
	if !crlf || len(content) > maxChunkLineBytes {
		return errChunks
	}
	digits, _, _ := bytes.Cut(content, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxDigits {
		return errChunks
	}
	var size int64
	for _, digit := range digits {
		value, ok := hexValue(digit)
		if !ok {
			return errChunks
		}
		size = size<<4 | value
	}
	if size == 0 {
		s.state = scanTrailer
		return nil
	}
	s.state, s.bodyLeft = scanChunkData, size
	return nil
}

// hexValue returns the value of a hex digit.
func hexValue(digit byte) (int64, bool) {
	switch {
	case '0' <= digit && digit <= '9':
		return int64(digit - '0'), true
	case 'a' <= digit && digit <= 'f':
		return int64(digit-'a') + 10, true
	case 'A' <= digit && digit <= 'F':
		return int64(digit-'A') + 10, true
	default:
		return 0, false
	}
}
