// Package window keeps measures over time in rings of fixed buckets that are used again.
package window

import "math"

// Counts sums what was added lately.
type Counts struct {
	width      float64
	bucketTick []int64
	bucketSum  []float64
}

// NewCounts makes a ring of buckets, each of which sums what came within width (in the caller's unit of time).
func NewCounts(buckets int, width float64) *Counts {
	c := &Counts{width: width, bucketTick: make([]int64, buckets), bucketSum: make([]float64, buckets)}
	for i := range c.bucketTick {
		c.bucketTick[i] = math.MinInt64
	}
	return c
}

// Add counts v at a time.
func (c *Counts) Add(now, v float64) {
	t := int64(math.Floor(now / c.width))
	i := int(uint64(t) % uint64(len(c.bucketTick)))
	if c.bucketTick[i] != t {
		c.bucketTick[i], c.bucketSum[i] = t, 0
	}
	c.bucketSum[i] += v
}

// Sum covers every bucket that the span touches: at least what came within it.
func (c *Counts) Sum(now, span float64) float64 {
	return c.sumTicks(int64(math.Floor((now-span)/c.width)), now)
}

// SumWithin covers only buckets that lie in the span as a whole: at most what came within it.
func (c *Counts) SumWithin(now, span float64) float64 {
	return c.sumTicks(int64(math.Floor((now-span)/c.width))+1, now)
}

func (c *Counts) sumTicks(first int64, now float64) float64 {
	last, total := int64(math.Floor(now/c.width)), 0.0
	for i, t := range c.bucketTick {
		if t >= first && t <= last {
			total += c.bucketSum[i]
		}
	}
	return total
}

// Histogram tells quantiles of what was added lately, in bins that grow by a constant factor.
type Histogram struct {
	width, low, logStep float64
	bins                int
	lastTick            int64
	bucketTick          []int64
	binCounts           []int32
	binTotals           []int32
	samples             int
}

// NewHistogram makes a ring of buckets, each of width; values from low on fall into bins whose bounds grow by
// the factor step.
func NewHistogram(buckets int, width, low, step float64, bins int) *Histogram {
	h := &Histogram{width: width, low: low, logStep: math.Log(step), bins: bins, lastTick: math.MinInt64,
		bucketTick: make([]int64, buckets), binCounts: make([]int32, buckets*bins), binTotals: make([]int32, bins)}
	for i := range h.bucketTick {
		h.bucketTick[i] = math.MinInt64
	}
	return h
}

func (h *Histogram) advance(now float64) int64 {
	t := int64(math.Floor(now / h.width))
	if t == h.lastTick {
		return t
	}
	h.lastTick = t
	for i, old := range h.bucketTick {
		if old == math.MinInt64 || old > t-int64(len(h.bucketTick)) && old <= t {
			continue
		}
		h.bucketTick[i] = math.MinInt64
		row := h.binCounts[i*h.bins : (i+1)*h.bins]
		for j, v := range row {
			h.binTotals[j] -= v
			h.samples -= int(v)
			row[j] = 0
		}
	}
	return t
}

// Add counts one value at a time.
func (h *Histogram) Add(now, v float64) {
	t := h.advance(now)
	i := int(uint64(t) % uint64(len(h.bucketTick)))
	h.bucketTick[i] = t
	bin := 0
	if v > h.low {
		bin = min(int(math.Log(v/h.low)/h.logStep), h.bins-1)
	}
	h.binCounts[i*h.bins+bin]++
	h.binTotals[bin]++
	h.samples++
}

// Quantile gives the value under which the share q lies, and how many values it rests on.
func (h *Histogram) Quantile(now, q float64) (float64, int) {
	h.advance(now)
	if h.samples == 0 {
		return 0, 0
	}
	rank, seen := q*float64(h.samples), 0.0
	for j, v := range h.binTotals {
		if v > 0 && seen+float64(v) >= rank {
			part := (rank - seen) / float64(v)
			return h.low * math.Exp((float64(j)+part)*h.logStep), h.samples
		}
		seen += float64(v)
	}
	return h.low * math.Exp(float64(h.bins)*h.logStep), h.samples
}
