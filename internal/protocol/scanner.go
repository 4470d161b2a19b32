package protocol

import (
	"bytes"
	"math"
	"strconv"
)

const (
	maxDepth         = 16
	maxShardRequests = 4096
	shareTolerance   = 1e-3 // shares that miss their sum by less were rounded
)

// scanner walks over JSON. The first thing that is wrong marks it broken; from then on it finds
// only ends.
type scanner struct {
	text      []byte
	offset    int
	broken    bool
	truncated bool // it broke at its end: what came before is sound
}

func (s *scanner) fail() {
	if !s.broken {
		s.truncated = s.offset >= len(s.text)
	}
	s.broken, s.offset = true, len(s.text)
}

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

func (s *scanner) expect(c byte) {
	if s.peek() != c {
		s.fail()
		return
	}
	s.offset++
}

// items walks over a list or an object: each item is read by the caller.
func (s *scanner) items(open, shut byte, each func()) {
	s.expect(open)
	if s.peek() == shut {
		s.offset++
		return
	}
	for !s.broken {
		if each(); s.peek() != ',' {
			s.expect(shut)
			return
		}
		s.offset++
	}
}

// object walks over an object; a known name that stands there twice breaks it.
func (s *scanner) object(names []string, each func(name int)) {
	seen := 0
	s.items('{', '}', func() {
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

func (s *scanner) readNumber() float64 {
	s.peek()
	from := s.offset
	for s.offset < len(s.text) && bytes.IndexByte([]byte("+-.0123456789eE"), s.text[s.offset]) >= 0 {
		s.offset++
	}
	raw := s.text[from:s.offset]
	digits := bytes.TrimPrefix(raw, []byte("-"))
	point := bytes.IndexByte(digits, '.')
	// ParseFloat takes more than JSON has: leading zeros and signs, and points without digits on
	// both sides.
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

func isDigit(b []byte, i int) bool { return i < len(b) && b[i] >= '0' && b[i] <= '9' }

func (s *scanner) readInteger(least, most float64) int64 {
	v := s.readNumber()
	if v != math.Trunc(v) || v < least || v > most {
		s.fail()
		return 0
	}
	return int64(v)
}

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

func (s *scanner) skipValue(depth int) {
	switch c := s.peek(); {
	case depth > maxDepth:
		s.fail()
	case c == '{':
		s.items('{', '}', func() {
			s.readString()
			s.expect(':')
			s.skipValue(depth + 1)
		})
	case c == '[':
		s.items('[', ']', func() { s.skipValue(depth + 1) })
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

// complete tells whether the one value was sound and nothing follows it.
func (s *scanner) complete() bool {
	return !s.broken && s.peek() == 0 && s.offset == len(s.text)
}

// parseHex64 reads up to 16 hexadecimal digits.
func parseHex64(b []byte) (uint64, bool) {
	v, err := strconv.ParseUint(string(b), 16, 64)
	return v, err == nil && len(b) <= 16
}
