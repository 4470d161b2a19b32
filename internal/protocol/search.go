package protocol

import (
	"math"
)

// ParseAffinityKey parses the affinity key of a search from the value of its cookie. It returns 0 if the value is
// empty or invalid.
func ParseAffinityKey(b []byte) uint64 {
	v, _ := parseHex64(b)
	return v
}

// ParseSearch parses the body of a search in a fleet with this many shards. It calls each for every shard
// request, in order, and returns the text that all of them carry and the sum of their shares, which is 1
// except for rounding. work is a hint of the duration in milliseconds (microseconds in the body), or 0. The
// caller must not act on the shard requests before ParseSearch has returned without an error.
// The texts of its errors are sent to clients as response bodies and therefore stay as they are.
func ParseSearch(body []byte, shards int, each func(shard int, share, work float64, key uint64)) ([]byte, float64, error) {
	s := &scanner{text: body}
	var text []byte
	presentFields, requests, sum := 0, 0, 0.0 // bit i of presentFields is set if field i is present
	s.readObject([]string{"segments", "text"}, func(field int) {
		presentFields |= 1 << field
		if field == 1 {
			text = s.readString()
			return
		}
		s.readElements('[', ']', func() {
			shard, share, work, key, entryFields := int64(0), 0.0, 0.0, uint64(0), 0
			s.readObject([]string{"segment", "boost", "work", "affinity"}, func(field int) {
				entryFields |= 1 << field
				switch field {
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
			// The shard and its share are required.
			if requests++; entryFields&3 != 3 || share <= 0 || share > 1+shareTolerance || work < 0 || requests > maxShardRequests {
				s.fail()
			}
			sum += share
			if !s.failed {
				each(int(shard), share, work, key)
			}
		})
	})
	switch {
	case !s.complete():
		return nil, 0, newRequestError(400, "the body is not understood")
	case presentFields != 3 || requests == 0:
		return nil, 0, newRequestError(400, "no segments or no text")
	case math.Abs(sum-1) > shareTolerance:
		return nil, 0, newRequestError(400, "the segments' shares do not add up to 1")
	}
	return text, sum, nil
}
