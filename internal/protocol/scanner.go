package protocol

import (
	"bytes"
	"math"
	"strconv"
)

const (
	maxDepth         = 16   // nesting depth of a JSON value that is skipped
	maxShardRequests = 4096 // shard requests of one search
	shareTolerance   = 1e-3 // greatest deviation of a sum of shares from 1 that counts as rounding
)

// scanner parses one JSON value. The first error moves it to the end of the text, where all further
// reads return zero values.
type scanner struct {
	text      []byte
	offset    int
	failed    bool
	truncated bool // the error is that the text ended: it is a valid prefix
}

// fail records an error.
func (s *scanner) fail() {
	if !s.failed {
		s.truncated = s.offset >= len(s.text)
	}
	s.failed, s.offset = true, len(s.text)
}

// peek skips white space and returns the next byte without consuming it, or 0 at the end.
func (s *scanner) peek() byte {
	for s.offset < len(s.text) {
		switch c := s.text[s.offset]; c {
		case ' ', '\t', '\r', '\n':
			s.offset++
		default:
			return c
		}
	}
	return 0
}

// expect consumes white space and c, and fails if another byte comes next.
func (s *scanner) expect(c byte) {
	if s.peek() != c {
		s.fail()
		return
	}
	s.offset++
}

// readElements parses an array or an object between the bytes open and end. It calls each, which parses one
// element or member, for every one of them.
func (s *scanner) readElements(open, end byte, each func()) {
	s.expect(open)
	if s.peek() == end {
		s.offset++
		return
	}
	for !s.failed {
		if each(); s.peek() != ',' {
			s.expect(end)
			return
		}
		s.offset++
	}
}

// readObject parses an object. It calls each, which parses the value, with the index in names of every member
// that names lists, and skips other members. It fails if a listed name occurs twice.
func (s *scanner) readObject(names []string, each func(index int)) {
	seen := 0
	s.readElements('{', '}', func() {
		key := s.readString()
		s.expect(':')
		for i, name := range names {
			if string(key) == name {
				if seen&(1<<i) != 0 {
					s.fail()
				}
				seen |= 1 << i
				each(i)
				return
			}
		}
		s.skipValue(0)
	})
}

// readString parses a string and returns its unescaped bytes.
func (s *scanner) readString() []byte {
	s.expect('"')
	from := s.offset
	for s.offset < len(s.text) {
		switch c := s.text[s.offset]; {
		case c == '"':
			text, ok := unescapeJSON(s.text[from:s.offset])
			if s.offset++; !ok {
				s.fail()
			}
			return text
		case c == '\\':
			s.offset += 2
		case c < ' ':
			s.fail()
		default:
			s.offset++
		}
	}
	s.fail()
	return nil
}

// readNumber parses a finite number.
func (s *scanner) readNumber() float64 {
	s.peek()
	from := s.offset
	for s.offset < len(s.text) && bytes.IndexByte([]byte("+-.0123456789eE"), s.text[s.offset]) >= 0 {
		s.offset++
	}
	raw := s.text[from:s.offset]
	digits := bytes.TrimPrefix(raw, []byte("-"))
	point := bytes.IndexByte(digits, '.')
	// ParseFloat accepts forms that JSON does not allow: leading zeros, a plus sign, and a decimal point
	// without digits on both sides.
	if len(digits) == 0 || !isDigit(digits, 0) || digits[0] == '0' && isDigit(digits, 1) || point >= 0 && !isDigit(digits, point+1) {
		s.fail()
		return 0
	}
	v, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || math.IsInf(v, 0) {
		s.fail()
		return 0
	}
	return v
}

// isDigit reports whether b has a decimal digit at index i.
func isDigit(b []byte, i int) bool { return i < len(b) && b[i] >= '0' && b[i] <= '9' }

// readInteger parses an integer from least to most.
func (s *scanner) readInteger(least, most float64) int64 {
	v := s.readNumber()
	if v != math.Trunc(v) || v < least || v > most {
		s.fail()
		return 0
	}
	return int64(v)
}

// readBool parses true or false.
func (s *scanner) readBool() bool {
	for _, word := range []string{"true", "false"} {
		if s.peek(); bytes.HasPrefix(s.text[s.offset:], []byte(word)) {
			s.offset += len(word)
			return word == "true"
		}
	}
	s.fail()
	return false
}

// skipValue parses a value of any type and discards it. depth is the nesting depth of the value.
func (s *scanner) skipValue(depth int) {
	switch c := s.peek(); {
	case depth > maxDepth:
		s.fail()
	case c == '{':
		s.readElements('{', '}', func() {
			s.readString()
			s.expect(':')
			s.skipValue(depth + 1)
		})
	case c == '[':
		s.readElements('[', ']', func() { s.skipValue(depth + 1) })
	case c == '"':
		s.readString()
	case c == 't' || c == 'f':
		s.readBool()
	case bytes.HasPrefix(s.text[s.offset:], []byte("null")):
		s.offset += 4
	default:
		s.readNumber()
	}
}

// complete reports whether the value was valid and nothing follows it.
func (s *scanner) complete() bool {
	return !s.failed && s.peek() == 0 && s.offset == len(s.text)
}

// parseHex64 parses 1 to 16 hexadecimal digits, and reports whether b consists of them.
func parseHex64(b []byte) (uint64, bool) {
	v, err := strconv.ParseUint(string(b), 16, 64)
	return v, err == nil && len(b) <= 16
}
