package window

import "math"

// Histogram estimates quantiles of values of the recent past. Its bins grow by a constant factor,
// which bounds the relative error.
type Histogram struct {
	bucketWidth float64 // of a bucket, in the caller's unit of time
	firstBound  float64 // the bound of the first bin
	logBinRatio float64 // the logarithm of the factor between bounds
	bins        int

	lastPeriod    int64   // up to which expired buckets have been cleared
	bucketPeriods []int64 // the number of the width-long period that a bucket holds
	binCounts     []int32 // by bucket, then by bin
	binTotals     []int32 // by bin, over all buckets
	samples       int     // over all bins
}

// NewHistogram makes a ring of buckets that are width long each. Values from low on fall into bins
// whose bounds grow by the factor step. Smaller values fall into the first bin, larger ones into the
// last.
func NewHistogram(buckets int, width, low, step float64, bins int) *Histogram {
	return &Histogram{
		bucketWidth:   width,
		firstBound:    low,
		logBinRatio:   math.Log(step),
		bins:          bins,
		lastPeriod:    noPeriod,
		bucketPeriods: emptyPeriods(buckets),
		binCounts:     make([]int32, buckets*bins),
		binTotals:     make([]int32, bins),
	}
}

// Add counts one value at the time now.
func (h *Histogram) Add(now, value float64) {
	tick := h.advance(now)
	bucket := bucketIndex(tick, len(h.bucketPeriods))
	h.bucketPeriods[bucket] = tick
	bin := 0
	if value > h.firstBound {
		bin = min(int(math.Log(value/h.firstBound)/h.logBinRatio), h.bins-1)
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
	return h.firstBound * math.Exp(position*h.logBinRatio)
}

// advance clears the buckets that have expired, or lie ahead since the time was set back, and returns
// the tick of now.
func (h *Histogram) advance(now float64) int64 {
	tick := periodAt(now, h.bucketWidth)
	if tick == h.lastPeriod {
		return tick
	}
	h.lastPeriod = tick
	oldest := tick - int64(len(h.bucketPeriods))
	for bucket, previous := range h.bucketPeriods {
		if previous == noPeriod || previous > oldest && previous <= tick {
			continue
		}
		h.clear(bucket)
	}
	return tick
}

// clear takes a bucket's values out of the totals.
func (h *Histogram) clear(bucket int) {
	h.bucketPeriods[bucket] = noPeriod
	counts := h.binCounts[bucket*h.bins : (bucket+1)*h.bins]
	for bin, count := range counts {
		h.binTotals[bin] -= count
		h.samples -= int(count)
		counts[bin] = 0
	}
}
