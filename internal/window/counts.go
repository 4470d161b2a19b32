package window

// Counts sums values over the recent past.
type Counts struct {
	width      float64   // of a bucket, in the caller's unit of time
	bucketTick []int64   // the number of the width-long period that a bucket holds
	bucketSum  []float64 // by bucket
}

// NewCounts makes a ring of buckets that are width long each, in the caller's unit of time. A span
// that is to be summed must touch no more buckets than there are.
func NewCounts(buckets int, width float64) *Counts {
	return &Counts{width: width, bucketTick: emptyTicks(buckets), bucketSum: make([]float64, buckets)}
}

// Add counts value at the time now. Times must not run backwards by more than the ring is long.
func (c *Counts) Add(now, value float64) {
	tick := tickAt(now, c.width)
	bucket := bucketOf(tick, len(c.bucketTick))
	if c.bucketTick[bucket] != tick {
		c.bucketTick[bucket] = tick
		c.bucketSum[bucket] = 0
	}
	c.bucketSum[bucket] += value
}

// Sum covers every bucket that the span up to now touches: at least what was added within it.
func (c *Counts) Sum(now, span float64) float64 {
	return c.sumTicks(tickAt(now-span, c.width), now)
}

// SumWithin covers only buckets that lie completely in the span up to now: at most what was added
// within it.
func (c *Counts) SumWithin(now, span float64) float64 {
	return c.sumTicks(tickAt(now-span, c.width)+1, now)
}

// sumTicks adds in the order of the ring, whatever the time: sums of floats depend on their order.
func (c *Counts) sumTicks(first int64, now float64) float64 {
	last := tickAt(now, c.width)
	total := 0.0
	for bucket, tick := range c.bucketTick {
		if tick >= first && tick <= last {
			total += c.bucketSum[bucket]
		}
	}
	return total
}
