package ledger

import "math"

// The fields of Counts, in their order everywhere: in memory, in the store and in exports.
const (
	Searches = iota
	ShardRequests
	FirstAttempts // sub-requests that were the first of their shard request
	Retries       // that followed one that had ended
	Hedges        // that were sent beside one in flight
	Cancelled     // of all, those that this broker cancelled
	WorkMicros    // hinted work, µs
	BytesIn       // from clients
	BytesOut      // to clients
	ServerMicros  // µs from sending a sub-request to its end, added up
	FieldCount
)

// FieldNames are the fields' names in exports and tables.
var FieldNames = [FieldCount]string{
	"searches", "parts", "first", "repeat", "copy", "called_off", "work_us", "bytes_in", "bytes_out", "server_us",
}

// Counts are what was used. Integers, so that sums are exact in any order.
type Counts [FieldCount]int64

// Add adds other, and tells whether all sums fit. A field whose sum does not fit keeps its value.
func (c *Counts) Add(other Counts) bool {
	fits := true
	for i, n := range other {
		sum := c[i] + n
		if (n > 0 && sum < c[i]) || (n < 0 && sum > c[i]) {
			fits = false
			continue
		}
		c[i] = sum
	}
	return fits
}

// Fits tells whether Add(other) would fit in all fields.
func (c Counts) Fits(other Counts) bool { return c.Add(other) }

// Negated returns the counts with opposite signs.
func (c Counts) Negated() Counts {
	for i := range c {
		c[i] = -c[i]
	}
	return c
}

// IsZero tells whether nothing was used.
func (c Counts) IsZero() bool { return c == Counts{} }

// HasNegative tells whether any count is below 0.
func (c Counts) HasNegative() bool {
	for _, n := range c {
		if n < 0 {
			return true
		}
	}
	return false
}

// maxMicrosMs is the longest time that Micros takes, ms.
const maxMicrosMs = 1e12

// Micros turns milliseconds into integer µs. What isn't above 0 is 0.
func Micros(ms float64) int64 {
	if !(ms > 0) {
		return 0
	}
	return int64(math.Round(min(ms, maxMicrosMs) * 1000))
}
