package window

import "math"

// Histogram estimates quantiles of the values of the recent past. The bounds of its bins grow by a
// constant factor, which limits the relative error.
type Histogram struct {
	bucketWidth float64 // in the caller's unit of time
	firstBound  float64 // lower bound of the first bin
	logBinRatio float64 // logarithm of the factor between the bounds of a bin
	bins        int

	lastPeriod    int64   // period up to which expired buckets have been cleared
	bucketPeriods []int64 // by bucket: the period whose values it holds
	binCounts     []int32 // by bucket, then by bin
	binTotals     []int32 // by bin, over all buckets
	samples       int     // over all bins
}

// NewHistogram returns a ring of buckets, each bucketWidth long in the caller's unit of time.
// Values from firstBound on are counted in bins whose bounds grow by the factor binRatio; smaller
// values are counted in the first bin, larger ones in the last.
func NewHistogram(buckets int, bucketWidth, firstBound, binRatio float64, bins int) *Histogram {
	return &Histogram{
		bucketWidth:   bucketWidth,
		firstBound:    firstBound,
		logBinRatio:   math.Log(binRatio),
		bins:          bins,
		lastPeriod:    noPeriod,
		bucketPeriods: emptyPeriods(buckets),
		binCounts:     make([]int32, buckets*bins),
		binTotals:     make([]int32, bins),
	}
}

// Add counts a value at the time now.
func (h *Histogram) Add(now, value float64) {
	period := h.advance(now)
	bucket := bucketIndex(period, len(h.bucketPeriods))
	h.bucketPeriods[bucket] = period
	bin := 0
	if value > h.firstBound {
		bin = min(int(math.Log(value/h.firstBound)/h.logBinRatio), h.bins-1)
	}
	h.binCounts[bucket*h.bins+bin]++
	h.binTotals[bin]++
	h.samples++
}

// Quantile returns the value below which the given share of the samples lies, and the number of
// samples; both are 0 if there are none. Values in a bin are assumed to be spread evenly on a
// logarithmic scale.
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

// bound returns the value at a position on the axis of bins; a whole number is the lower bound of a
// bin.
func (h *Histogram) bound(position float64) float64 {
	return h.firstBound * math.Exp(position*h.logBinRatio)
}

// advance clears the buckets that have expired, or that lie in the future because the time was set
// back, and returns the period of now.
func (h *Histogram) advance(now float64) int64 {
	period := periodAt(now, h.bucketWidth)
	if period == h.lastPeriod {
		return period
	}
	h.lastPeriod = period
	oldest := period - int64(len(h.bucketPeriods))
	for bucket, previous := range h.bucketPeriods {
		if previous == noPeriod || previous > oldest && previous <= period {
			continue
		}
		h.clear(bucket)
	}
	return period
}

// clear removes a bucket's values from the totals.
func (h *Histogram) clear(bucket int) {
	h.bucketPeriods[bucket] = noPeriod
	counts := h.binCounts[bucket*h.bins : (bucket+1)*h.bins]
	for bin, count := range counts {
		h.binTotals[bin] -= count
		h.samples -= int(count)
		counts[bin] = 0
	}
}
