package protocol

import (
	"math"
)

// ParseKey reads a search's key as its cookie has it; none is 0.
func ParseKey(b []byte) uint64 {
	v, _ := parseHex64(b)
	return v
}

// ReadSearch reads a search's body: its shard requests, in order, and the text that each carries,
// and the sum of their shares, which is 1 but for rounding. Nothing may be done with them before it
// has returned without an error.
func ReadSearch(body []byte, shards int, part func(shard int, share, work float64, key uint64)) ([]byte, float64, error) {
	s := &scanner{text: body}
	var text []byte
	has, parts, sum := 0, 0, 0.0
	s.object([]string{"segments", "text"}, func(name int) {
		has |= 1 << name
		if name == 1 {
			text = s.readString()
			return
		}
		s.items('[', ']', func() {
			shard, share, work, key, got := int64(0), 0.0, 0.0, uint64(0), 0
			s.object([]string{"segment", "boost", "work", "affinity"}, func(name int) {
				got |= 1 << name
				switch name {
				case 0:
					shard = s.readInteger(0, float64(shards-1))
				case 1:
					share = s.readNumber()
				case 2:
					work = s.readNumber() / 1000
				case 3:
					var ok bool
					if key, ok = parseHex64(s.readString()); !ok {
						s.fail()
					}
				}
			})
			if parts++; got&3 != 3 || share <= 0 || share > 1+shareTolerance || work < 0 || parts > maxShardRequests {
				s.fail()
			}
			sum += share
			if !s.broken {
				part(int(shard), share, work, key)
			}
		})
	})
	switch {
	case !s.complete():
		return nil, 0, newError(400, "the body is not understood")
	case has != 3 || parts == 0:
		return nil, 0, newError(400, "no segments or no text")
	case math.Abs(sum-1) > shareTolerance:
		return nil, 0, newError(400, "the segments' shares do not add up to 1")
	}
	return text, sum, nil
}
