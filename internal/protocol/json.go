package protocol

import (
	"bytes"
	"math"
	"strconv"
)

const (
	maxDepth = 16
	maxParts = 4096
	rounding = 1e-3 // shares that miss their sum by less were rounded
)

// scan walks over JSON. The first thing that is wrong marks it broken; from then on it finds only ends.
type scan struct {
	b      []byte
	at     int
	broken bool
	short  bool // it broke at its end: what came before is sound
}

func (s *scan) fail() {
	if !s.broken {
		s.short = s.at >= len(s.b)
	}
	s.broken, s.at = true, len(s.b)
}

func (s *scan) peek() byte {
	for s.at < len(s.b) {
		switch c := s.b[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

func (s *scan) eat(c byte) {
	if s.peek() != c {
		s.fail()
		return
	}
	s.at++
}

// items walks over a list or an object: each item is read by the caller.
func (s *scan) items(open, shut byte, each func()) {
	s.eat(open)
	if s.peek() == shut {
		s.at++
		return
	}
	for !s.broken {
		if each(); s.peek() != ',' {
			s.eat(shut)
			return
		}
		s.at++
	}
}

// object walks over an object; a known name that stands there twice breaks it.
func (s *scan) object(names []string, each func(name int)) {
	seen := 0
	s.items('{', '}', func() {
		key := s.text()
		s.eat(':')
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
		s.skip(0)
	})
}

func (s *scan) text() []byte {
	s.eat('"')
	from := s.at
	for s.at < len(s.b) {
		switch c := s.b[s.at]; {
		case c == '"':
			text, ok := unescape(s.b[from:s.at])
			if s.at++; !ok {
				s.fail()
			}
			return text
		case c == '\\':
			s.at += 2
		case c < ' ':
			s.fail()
		default:
			s.at++
		}
	}
	s.fail()
	return nil
}

func (s *scan) number() float64 {
	s.peek()
	from := s.at
	for s.at < len(s.b) && bytes.IndexByte([]byte("+-.0123456789eE"), s.b[s.at]) >= 0 {
		s.at++
	}
	raw := s.b[from:s.at]
	digits := bytes.TrimPrefix(raw, []byte("-"))
	point := bytes.IndexByte(digits, '.')
	// ParseFloat takes more than JSON has: leading zeros and signs, and points without digits on both sides.
	if len(digits) == 0 || !digit(digits, 0) || digits[0] == '0' && digit(digits, 1) || point >= 0 && !digit(digits, point+1) {
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

func digit(b []byte, i int) bool { return i < len(b) && b[i] >= '0' && b[i] <= '9' }

func (s *scan) whole(least, most float64) int64 {
	v := s.number()
	if v != math.Trunc(v) || v < least || v > most {
		s.fail()
		return 0
	}
	return int64(v)
}

func (s *scan) truth() bool {
	for _, word := range []string{"true", "false"} {
		if s.peek(); bytes.HasPrefix(s.b[s.at:], []byte(word)) {
			s.at += len(word)
			return word == "true"
		}
	}
	s.fail()
	return false
}

func (s *scan) skip(depth int) {
	switch c := s.peek(); {
	case depth > maxDepth:
		s.fail()
	case c == '{':
		s.items('{', '}', func() {
			s.text()
			s.eat(':')
			s.skip(depth + 1)
		})
	case c == '[':
		s.items('[', ']', func() { s.skip(depth + 1) })
	case c == '"':
		s.text()
	case c == 't' || c == 'f':
		s.truth()
	case bytes.HasPrefix(s.b[s.at:], []byte("null")):
		s.at += 4
	default:
		s.number()
	}
}

// ended tells whether the one value was sound and nothing follows it.
func (s *scan) ended() bool {
	return !s.broken && s.peek() == 0 && s.at == len(s.b)
}

// hex64 reads up to 16 hexadecimal digits.
func hex64(b []byte) (uint64, bool) {
	v, err := strconv.ParseUint(string(b), 16, 64)
	return v, err == nil && len(b) <= 16
}

// Key reads a search's key as its cookie has it; none is 0.
func Key(b []byte) uint64 {
	v, _ := hex64(b)
	return v
}

// Search reads a search's body: its parts, in order, and the text that each carries, and the sum of their shares,
// which is 1 but for rounding. Nothing may be done with the parts before it has returned without an error.
func Search(body []byte, shards int, part func(shard int, share, work float64, key uint64)) ([]byte, float64, error) {
	s := &scan{b: body}
	var text []byte
	has, parts, sum := 0, 0, 0.0
	s.object([]string{"segments", "text"}, func(name int) {
		has |= 1 << name
		if name == 1 {
			text = s.text()
			return
		}
		s.items('[', ']', func() {
			shard, share, work, key, got := int64(0), 0.0, 0.0, uint64(0), 0
			s.object([]string{"segment", "boost", "work", "affinity"}, func(name int) {
				got |= 1 << name
				switch name {
				case 0:
					shard = s.whole(0, float64(shards-1))
				case 1:
					share = s.number()
				case 2:
					work = s.number() / 1000
				case 3:
					var ok bool
					if key, ok = hex64(s.text()); !ok {
						s.fail()
					}
				}
			})
			if parts++; got&3 != 3 || share <= 0 || share > 1+rounding || work < 0 || parts > maxParts {
				s.fail()
			}
			sum += share
			if !s.broken {
				part(int(shard), share, work, key)
			}
		})
	})
	switch {
	case !s.ended():
		return nil, 0, bad(400, "the body is not understood")
	case has != 3 || parts == 0:
		return nil, 0, bad(400, "no segments or no text")
	case math.Abs(sum-1) > rounding:
		return nil, 0, bad(400, "the segments' shares do not add up to 1")
	}
	return text, sum, nil
}

var states = map[string]uint8{"ready": 0, "draining": 1, "gone": 2}

// List reads a list of servers. With each nil it only looks whether the line is sound. The states are 0 ready,
// 1 draining, 2 gone; started is Unix time in milliseconds.
func List(line []byte, each func(id, addr, zone []byte, cell int, state uint8, weight, started float64)) (
	version int64, full bool, err error) {
	s := &scan{b: line}
	version, full, has := s.list(each)
	if !s.ended() || has&5 != 5 {
		return 0, false, bad(400, "the list is not understood")
	}
	return version, full, nil
}

// begins tells whether a line is the sound beginning of a list that goes on in the next line.
func begins(line []byte) bool {
	s := &scan{b: line}
	s.list(nil)
	return s.short && s.b[0] == '{'
}

func (s *scan) list(each func(id, addr, zone []byte, cell int, state uint8, weight, started float64)) (
	version int64, full bool, has int) {
	s.object([]string{"generation", "reset", "instances"}, func(name int) {
		has |= 1 << name
		switch name {
		case 0:
			version = s.whole(0, 1<<53)
		case 1:
			full = s.truth()
		case 2:
			s.items('[', ']', func() {
				var id, addr, zone, state []byte
				cell, weight, started, got := int64(0), 0.0, 0.0, 0
				names := []string{"instanceId", "hostPort", "lifecycle", "zone", "cell", "weight", "startedAtMs"}
				s.object(names, func(name int) {
					got |= 1 << name
					switch name {
					case 0:
						id = s.text()
					case 1:
						addr = s.text()
					case 2:
						state = s.text()
					case 3:
						zone = s.text()
					case 4:
						cell = s.whole(0, 1<<30)
					case 5:
						weight = s.number()
					case 6:
						started = s.number()
					}
				})
				as, known := states[string(state)]
				if got&7 != 7 && !(got&5 == 5 && as == 2) || !known || len(id) == 0 {
					s.fail()
				}
				if each != nil && !s.broken {
					each(id, addr, zone, int(cell), as, weight, started)
				}
			})
		}
	})
	return version, full, has
}
