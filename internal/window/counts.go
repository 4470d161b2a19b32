package window

// Counts sums values over the recent past.
type Counts struct {
	bucketWidth   float64   // of a bucket, in the caller's unit of time
	bucketPeriods []int64   // the number of the width-long period that a bucket holds
	bucketSums    []float64 // by bucket
}

// NewCounts makes a ring of buckets that are width long each, in the caller's unit of time. A span
// that is to be summed must touch no more buckets than there are.
func NewCounts(buckets int, width float64) *Counts {
	return &Counts{bucketWidth: width, bucketPeriods: emptyPeriods(buckets), bucketSums: make([]float64, buckets)}
}

// Add counts value at the time now. Times must not run backwards by more than the ring is long.
func (c *Counts) Add(now, value float64) {
	tick := periodAt(now, c.bucketWidth)
	bucket := bucketIndex(tick, len(c.bucketPeriods))
	if c.bucketPeriods[bucket] != tick {
		c.bucketPeriods[bucket] = tick
		c.bucketSums[bucket] = 0
	}
	c.bucketSums[bucket] += value
}

// Sum covers every bucket that the span up to now touches: at least what was added within it.
func (c *Counts) Sum(now, span float64) float64 {
	return c.sumPeriods(periodAt(now-span, c.bucketWidth), now)
}

// SumWithin covers only buckets that lie completely in the span up to now: at most what was added
// within it.
func (c *Counts) SumWithin(now, span float64) float64 {
	return c.sumPeriods(periodAt(now-span, c.bucketWidth)+1, now)
}

// sumPeriods adds in the order of the ring, whatever the time: sums of floats depend on their order.
func (c *Counts) sumPeriods(first int64, now float64) float64 {
	last := periodAt(now, c.bucketWidth)
	total := 0.0
	for bucket, tick := range c.bucketPeriods {
		if tick >= first && tick <= last {
			total += c.bucketSums[bucket]
		}
	}
	return total
}
