// Package window keeps sums and quantiles over the recent past in rings of fixed buckets that are
// used again: memory is bounded and nothing is allocated after the start.
//
// It reads no clock: callers give the time, in a unit of their own, and it isn't safe for concurrent
// use. Old values leave a bucket at a time, so a result is exact but for one bucket's width.
package window

import "math"

// noTick marks a bucket that holds nothing.
const noPeriod = math.MinInt64

// periodAt is the number of the width-long period that contains a time.
func periodAt(now, width float64) int64 { return int64(math.Floor(now / width)) }

// bucketIndex is the index of a tick's bucket; times before 0 have one as well.
func bucketIndex(tick int64, buckets int) int { return int(uint64(tick) % uint64(buckets)) }

func emptyPeriods(buckets int) []int64 {
	ticks := make([]int64, buckets)
	for i := range ticks {
		ticks[i] = noPeriod
	}
	return ticks
}
