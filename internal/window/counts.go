package window

// Counts sums values over the recent past.
type Counts struct {
	bucketWidth   float64   // in the caller's unit of time
	bucketPeriods []int64   // by bucket: the period whose values it holds
	bucketSums    []float64 // by bucket: the sum of the values
}

// NewCounts returns a ring of buckets, each bucketWidth long in the caller's unit of time. Spans to
// be summed must not touch more buckets than there are.
func NewCounts(buckets int, bucketWidth float64) *Counts {
	return &Counts{bucketWidth: bucketWidth, bucketPeriods: emptyPeriods(buckets), bucketSums: make([]float64, buckets)}
}

// Add adds a value at the time now. Time must not go back by more than the length of the ring.
func (c *Counts) Add(now, value float64) {
	period := periodAt(now, c.bucketWidth)
	bucket := bucketIndex(period, len(c.bucketPeriods))
	if c.bucketPeriods[bucket] != period {
		c.bucketPeriods[bucket] = period
		c.bucketSums[bucket] = 0
	}
	c.bucketSums[bucket] += value
}

// Sum returns the sum over all buckets that the span up to now touches, which is at least what was
// added within the span.
func (c *Counts) Sum(now, span float64) float64 {
	return c.sumPeriods(periodAt(now-span, c.bucketWidth), now)
}

// SumWithin returns the sum over the buckets that lie completely within the span up to now, which
// is at most what was added within the span.
func (c *Counts) SumWithin(now, span float64) float64 {
	return c.sumPeriods(periodAt(now-span, c.bucketWidth)+1, now)
}

// sumPeriods returns the sum of the buckets from the period first to that of now. It adds them in
// the order of the ring, whatever the time, as a sum of floats depends on the order.
func (c *Counts) sumPeriods(first int64, now float64) float64 {
	last := periodAt(now, c.bucketWidth)
	total := 0.0
	for bucket, period := range c.bucketPeriods {
		if period >= first && period <= last {
			total += c.bucketSums[bucket]
		}
	}
	return total
}
