// Package window keeps sums and quantiles over the recent past in rings of fixed-width time
// buckets. The buckets are reused, so memory is bounded and nothing is allocated after
// construction.
//
// The package reads no clock: callers pass the time, in a unit of their choice. It is not safe for
// concurrent use. Old values expire a bucket at a time, so results are exact to within the width of
// one bucket.
//
// Time is divided into periods of one bucket's width, numbered from the time 0; a bucket holds the
// values of one period.
package window

import "math"

// noPeriod marks a bucket that holds nothing.
const noPeriod = math.MinInt64

// periodAt returns the number of the period that contains a time.
func periodAt(now, width float64) int64 { return int64(math.Floor(now / width)) }

// bucketIndex returns the index of the bucket for a period; negative periods have one as well.
func bucketIndex(period int64, buckets int) int { return int(uint64(period) % uint64(buckets)) }

// emptyPeriods returns the periods of buckets that hold nothing.
func emptyPeriods(buckets int) []int64 {
	periods := make([]int64, buckets)
	for i := range periods {
		periods[i] = noPeriod
	}
	return periods
}
