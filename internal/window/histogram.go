package window

import "math"

// Histogram estimates quantiles of values of the recent past. Its bins grow by a constant factor,
// which bounds the relative error.
type Histogram struct {
	width   float64 // of a bucket, in the caller's unit of time
	low     float64 // the bound of the first bin
	logStep float64 // the logarithm of the factor between bounds
	bins    int

	lastTick   int64   // up to which expired buckets have been cleared
	bucketTick []int64 // the number of the width-long period that a bucket holds
	binCounts  []int32 // by bucket, then by bin
	binTotals  []int32 // by bin, over all buckets
	samples    int     // over all bins
}

// NewHistogram makes a ring of buckets that are width long each. Values from low on fall into bins
// whose bounds grow by the factor step. Smaller values fall into the first bin, larger ones into the
// last.
func NewHistogram(buckets int, width, low, step float64, bins int) *Histogram {
	return &Histogram{
		width:      width,
		low:        low,
		logStep:    math.Log(step),
		bins:       bins,
		lastTick:   noTick,
		bucketTick: emptyTicks(buckets),
		binCounts:  make([]int32, buckets*bins),
		binTotals:  make([]int32, bins),
	}
}

// Add counts one value at the time now.
func (h *Histogram) Add(now, value float64) {
	tick := h.advance(now)
	bucket := bucketOf(tick, len(h.bucketTick))
	h.bucketTick[bucket] = tick
	bin := 0
	if value > h.low {
		bin = min(int(math.Log(value/h.low)/h.logStep), h.bins-1)
	}
	h.binCounts[bucket*h.bins+bin]++
	h.binTotals[bin]++
	h.samples++
}

// Quantile returns the value under which the share lies, and the number of samples it rests on;
// without samples both are 0. Within a bin, values are taken as evenly spread over its logarithm.
func (h *Histogram) Quantile(now, share float64) (value float64, samples int) {
	h.advance(now)
	if h.samples == 0 {
		return 0, 0
	}
	rank := share * float64(h.samples)
	below := 0.0
	for bin, total := range h.binTotals {
		if total > 0 && below+float64(total) >= rank {
			fraction := (rank - below) / float64(total)
			return h.bound(float64(bin) + fraction), h.samples
		}
		below += float64(total)
	}
	return h.bound(float64(h.bins)), h.samples
}

// bound is the value at a position in bins.
func (h *Histogram) bound(position float64) float64 {
	return h.low * math.Exp(position*h.logStep)
}

// advance clears the buckets that have expired, or lie ahead since the time was set back, and returns
// the tick of now.
func (h *Histogram) advance(now float64) int64 {
	tick := tickAt(now, h.width)
	if tick == h.lastTick {
		return tick
	}
	h.lastTick = tick
	oldest := tick - int64(len(h.bucketTick))
	for bucket, previous := range h.bucketTick {
		if previous == noTick || previous > oldest && previous <= tick {
			continue
		}
		h.clear(bucket)
	}
	return tick
}

// clear takes a bucket's values out of the totals.
func (h *Histogram) clear(bucket int) {
	h.bucketTick[bucket] = noTick
	counts := h.binCounts[bucket*h.bins : (bucket+1)*h.bins]
	for bin, count := range counts {
		h.binTotals[bin] -= count
		h.samples -= int(count)
		counts[bin] = 0
	}
}
