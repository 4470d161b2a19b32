package brokerstate

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

// Histograms of latencies: times are resolved to a tenth of the window, values to a seventh, which
// keeps a broker's memory small.
const (
	latencyBuckets  = 10
	latencyLow      = 1.0 // ms
	latencyStep     = 1.15
	latencyBins     = 70 // up to 17 s
	slowLineMaxAge  = 250 * time.Millisecond
	smoothingWeight = 0.5     // of the newest answer in the smoothed latency
	smoothedMaxAge  = 10000.0 // ms after which the smoothed latency says nothing any more
)

// NewLatencyHistogram makes an empty histogram of latencies, ms, over the predictor's window.
func NewLatencyHistogram() *window.Histogram {
	return window.NewHistogram(latencyBuckets, predict.SlowLineSpan/latencyBuckets, latencyLow, latencyStep, latencyBins)
}

// emptyHistogram stands for a broker that has not answered yet.
var emptyHistogram = window.NewHistogram(1, 1, 1, 2, 1)

// latencies are a broker's latencies, ms, each divided by the scale of its call.
type latencies struct {
	history    [predict.HistorySize]latencySample // the newest first
	recent     *window.Histogram                  // nil before the first answer
	slowLine   float64                            // the cached result of Pool.SlowLine
	slowLineAt core.Time
	smoothed   float64
	smoothedAt core.Time
}

// latencySample is a latency, when it was measured, when its request was sent, and the load then. A
// latency of 0 stands for none.
type latencySample struct {
	latency    float64
	measuredAt core.Time
	sentAt     core.Time
	load       float64
}

// recordLatency keeps a call's latency.
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

// UnlearnLatency takes back the latency of a call that turned out a failure: quick errors must not
// read as fast.
func (b *Broker) UnlearnLatency(c *Call) {
	if c.latencyRecorded && b.latencies.history[0].sentAt == c.SentAt {
		b.latencies.history[0].latency = 0
	}
}

// smoothLatency averages the latency.
func (b *Broker) smoothLatency(now core.Time, latency float64) {
	l := &b.latencies
	if l.smoothedAt == 0 || units.Milliseconds(now-l.smoothedAt) > smoothedMaxAge {
		l.smoothed = latency
	}
	l.smoothed += smoothingWeight * (latency - l.smoothed)
	l.smoothedAt = now
}

// ObserveUnanswered takes in that a call ended without an answer: had it gone on, it would have
// taken longer still, so its age counts where it is more than was expected. median is that of the
// pool, ms.
func (b *Broker) ObserveUnanswered(now core.Time, c *Call, median float64) {
	if age := c.Age(now); age > b.ExpectedLatency(now, median) {
		b.smoothLatency(now, age)
	}
}

// ExpectedLatency is what an answer of the usual work would take here, ms. median is that of the
// pool, to which a broker without recent answers fades.
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

// longestWait is the scaled age, ms, of the call that has waited longest for its answer to begin,
// and the load at its send; 0 where none waits.
func (b *Broker) longestWait(now core.Time) (age, load float64) {
	if len(b.awaiting) == 0 {
		return 0, 0
	}
	first := b.awaiting[0]
	return first.Age(now), first.Load
}
