package forward

import "sync/atomic"

// budget bounds the memory that many requests take up together, in bytes. It is safe for concurrent use.
type budget struct {
	max  int64
	used atomic.Int64
}

// take counts bytes. It reports false, and counts none, where they exceed the bound.
func (b *budget) take(count int64) bool {
	if b.used.Add(count) > b.max {
		b.used.Add(-count)
		return false
	}
	return true
}

// give ends the counting of bytes that take has counted.
func (b *budget) give(count int64) { b.used.Add(-count) }

// Memory that a head takes up once it is parsed: its bytes twice, as net/http copies lines and values, and for each field an entry of
// the map, a slice and two strings.
const (
	parsedBytesPerByte  = 2
	parsedBytesPerField = 192
)

// parsedHeadBytes is the memory of a parsed head.
func parsedHeadBytes(head framing) int64 {
	return parsedBytesPerByte*int64(head.headBytes) + parsedBytesPerField*int64(head.headLines)
}
