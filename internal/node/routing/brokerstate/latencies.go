package brokerstate

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

// Latencies are kept in histograms. Their window is divided into latencyBuckets periods, and bins
// grow by latencyStep, so values are exact to about a seventh. This keeps the memory for each
// broker small.
const (
	latencyBuckets  = 10
	latencyLow      = 1.0 // ms; lower bound of the first bin, which also holds smaller values
	latencyStep     = 1.15
	latencyBins     = 70                     // up to 17 s
	slowLineMaxAge  = 250 * time.Millisecond // after which the cached slow line is computed again
	smoothingWeight = 0.5                    // weight of the newest answer in the smoothed latency
	smoothedMaxAge  = 10000.0                // ms after which the smoothed latency no longer counts
)

// NewLatencyHistogram returns an empty histogram of latencies in ms over the predictor's window.
func NewLatencyHistogram() *window.Histogram {
	return window.NewHistogram(latencyBuckets, predict.SlowThresholdSpan/latencyBuckets, latencyLow, latencyStep, latencyBins)
}

// emptyHistogram is used for brokers that have not answered yet.
var emptyHistogram = window.NewHistogram(1, 1, 1, 2, 1)

// latencies holds a broker's latencies in ms, each divided by the scale of its call.
type latencies struct {
	history    [predict.HistorySize]latencySample // the newest first
	recent     *window.Histogram                  // nil before the first answer
	slowLine   float64                            // cached result of Pool.SlowLine
	slowLineAt core.Time
	smoothed   float64
	smoothedAt core.Time
}

// latencySample is one measured latency, when it was measured, when its request was sent, and the
// broker's load then. A latency of 0 means that there is none.
type latencySample struct {
	latency    float64
	measuredAt core.Time
	sentAt     core.Time
	load       float64
}

// recordLatency adds the latency of a call to the broker's statistics.
func (b *Broker) recordLatency(now core.Time, c *Call) {
	l := &b.latencies
	copy(l.history[1:], l.history[:])
	l.history[0] = latencySample{latency: c.Latency, measuredAt: now, sentAt: c.SentAt, load: c.Load}
	if l.recent == nil {
		l.recent = NewLatencyHistogram()
	}
	l.recent.Add(units.Milliseconds(now), c.Latency)
	l.slowLineAt = -slowLineMaxAge
	b.smoothLatency(now, c.Latency)
}

// DiscardLatency removes the latency of a call that turned out to be a failure from the history, so
// that a broker with quick errors doesn't look fast.
func (b *Broker) DiscardLatency(c *Call) {
	if c.latencyRecorded && b.latencies.history[0].sentAt == c.SentAt {
		b.latencies.history[0].latency = 0
	}
}

// smoothLatency adds a latency to the exponentially weighted average. If the average is too old, it
// starts again with this latency.
func (b *Broker) smoothLatency(now core.Time, latency float64) {
	l := &b.latencies
	if l.smoothedAt == 0 || units.Milliseconds(now-l.smoothedAt) > smoothedMaxAge {
		l.smoothed = latency
	}
	l.smoothed += smoothingWeight * (latency - l.smoothed)
	l.smoothedAt = now
}

// ObserveUnanswered records that a call ended without an answer. The answer would have taken even
// longer than the call's age, so the age counts as a latency if it exceeds the expected one. median
// is the median latency of the pool in ms.
func (b *Broker) ObserveUnanswered(now core.Time, c *Call, median float64) {
	if age := c.Age(now); age > b.ExpectedLatency(now, median) {
		b.smoothLatency(now, age)
	}
}

// ExpectedLatency returns the expected latency of an answer with the usual amount of work, in ms.
// median is the median latency of the pool in ms; a broker's estimate approaches it as its last
// answers age.
func (b *Broker) ExpectedLatency(now core.Time, median float64) float64 {
	l := &b.latencies
	expected := median
	if l.smoothedAt != 0 {
		weight := max(1-units.Milliseconds(now-l.smoothedAt)/smoothedMaxAge, 0)
		expected = weight*l.smoothed + (1-weight)*median
	}
	if age, _ := b.longestWait(now); age > expected {
		return age
	}
	return expected
}

// longestWait returns the scaled age in ms of the call that has waited longest for its answer to
// begin, and the broker's load at its send. Both are 0 if no call waits.
func (b *Broker) longestWait(now core.Time) (age, load float64) {
	if len(b.awaiting) == 0 {
		return 0, 0
	}
	first := b.awaiting[0]
	return first.Age(now), first.Load
}
