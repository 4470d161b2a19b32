// Package window keeps measures over time in rings of fixed buckets that are used again.
package window

import "math"

// Counts sums what was added lately.
type Counts struct {
	width float64
	tick  []int64
	sum   []float64
}

// NewCounts makes a ring of buckets, each of which sums what came within width (in the caller's unit of time).
func NewCounts(buckets int, width float64) *Counts {
	c := &Counts{width: width, tick: make([]int64, buckets), sum: make([]float64, buckets)}
	for i := range c.tick {
		c.tick[i] = math.MinInt64
	}
	return c
}

// Add counts v at a time.
func (c *Counts) Add(now, v float64) {
	t := int64(math.Floor(now / c.width))
	i := int(uint64(t) % uint64(len(c.tick)))
	if c.tick[i] != t {
		c.tick[i], c.sum[i] = t, 0
	}
	c.sum[i] += v
}

// Sum covers every bucket that the span touches: at least what came within it.
func (c *Counts) Sum(now, span float64) float64 {
	return c.over(int64(math.Floor((now-span)/c.width)), now)
}

// Inside covers only buckets that lie in the span as a whole: at most what came within it.
func (c *Counts) Inside(now, span float64) float64 {
	return c.over(int64(math.Floor((now-span)/c.width))+1, now)
}

func (c *Counts) over(first int64, now float64) float64 {
	last, total := int64(math.Floor(now/c.width)), 0.0
	for i, t := range c.tick {
		if t >= first && t <= last {
			total += c.sum[i]
		}
	}
	return total
}

// Hist tells quantiles of what was added lately, in bins that grow by a constant factor.
type Hist struct {
	width, low, logStep float64
	bins                int
	last                int64
	tick                []int64
	count               []int32
	total               []int32
	n                   int
}

// NewHist makes a ring of buckets, each of width; values from low on fall into bins whose bounds grow by
// the factor step.
func NewHist(buckets int, width, low, step float64, bins int) *Hist {
	h := &Hist{width: width, low: low, logStep: math.Log(step), bins: bins, last: math.MinInt64,
		tick: make([]int64, buckets), count: make([]int32, buckets*bins), total: make([]int32, bins)}
	for i := range h.tick {
		h.tick[i] = math.MinInt64
	}
	return h
}

func (h *Hist) advance(now float64) int64 {
	t := int64(math.Floor(now / h.width))
	if t == h.last {
		return t
	}
	h.last = t
	for i, old := range h.tick {
		if old == math.MinInt64 || old > t-int64(len(h.tick)) && old <= t {
			continue
		}
		h.tick[i] = math.MinInt64
		row := h.count[i*h.bins : (i+1)*h.bins]
		for j, v := range row {
			h.total[j] -= v
			h.n -= int(v)
			row[j] = 0
		}
	}
	return t
}

// Add counts one value at a time.
func (h *Hist) Add(now, v float64) {
	t := h.advance(now)
	i := int(uint64(t) % uint64(len(h.tick)))
	h.tick[i] = t
	bin := 0
	if v > h.low {
		bin = min(int(math.Log(v/h.low)/h.logStep), h.bins-1)
	}
	h.count[i*h.bins+bin]++
	h.total[bin]++
	h.n++
}

// Quantile gives the value under which the share q lies, and how many values it rests on.
func (h *Hist) Quantile(now, q float64) (float64, int) {
	h.advance(now)
	if h.n == 0 {
		return 0, 0
	}
	rank, seen := q*float64(h.n), 0.0
	for j, v := range h.total {
		if v > 0 && seen+float64(v) >= rank {
			part := (rank - seen) / float64(v)
			return h.low * math.Exp((float64(j)+part)*h.logStep), h.n
		}
		seen += float64(v)
	}
	return h.low * math.Exp(float64(h.bins)*h.logStep), h.n
}
