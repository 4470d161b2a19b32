package admission

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

const (
	// ShedInterval is the shortest time between two changes of the shed share.
	ShedInterval = 250 * time.Millisecond

	latencyWindow     = 1500.            // ms of recent answers that are looked at
	minAnswers        = 8                // answers within latencyWindow before they count
	lateRatio         = 1.0              // latency over target that lateQuantile exceeds in an overload
	lateQuantile      = 0.3              // quantile of the latency ratios that is compared with lateRatio
	shedIncrease      = 0.08             // added to the shed share in each ShedInterval of overload
	shedDecrease      = 0.04             // subtracted from the shed share in each ShedInterval without overload
	maxShedShare      = 0.8              // upper bound of the shed share
	minBusyShare      = 0.5              // share of the brokers that must be busy in an overload
	maxReportAge      = 2 * time.Second  // older load reports are ignored
	urgencyExpiry     = 10 * time.Second // without a request, after which the range of urgencies is forgotten
	minHistogramRatio = 0.01             // lower bound of the histogram of latency ratios
	histogramStep     = 1.15             // factor between the bounds of neighboring bins
	histogramBins     = 70               // bins of the histogram
	windowBuckets     = 5                // time buckets within latencyWindow
	mostUrgentFactor  = 2                // the most urgent are shed once more than 1/mostUrgentFactor of the others is
)

// OverloadDetector detects whether a service is overloaded, by the latencies of its answers over
// all routes, and sets the share of requests to be shed.
//
// In an overload all answers are late, because each request waits behind others that are late
// already. Shedding a share of the requests, the least urgent first, lets the rest be answered in
// time (RULES.md, "Worth" and "Prices").
type OverloadDetector struct {
	latencyRatios *window.Histogram // latency over target
	shedShare     float64           // share of the less urgent requests to be refused
	updatedAt     core.Time         // when shedShare was last updated
	// leastUrgent and mostUrgent are the range of urgencies among recent requests. Urgencies count
	// from 0, the most urgent.
	leastUrgent   int
	mostUrgent    int
	lastArrivalAt core.Time
}

// NewOverloadDetector returns the detector of a service that has not answered yet.
func NewOverloadDetector() OverloadDetector {
	return OverloadDetector{
		latencyRatios: window.NewHistogram(windowBuckets+1, latencyWindow/windowBuckets, minHistogramRatio, histogramStep, histogramBins),
	}
}

// RecordArrival records the arrival of a request of an urgency.
func (o *OverloadDetector) RecordArrival(now core.Time, urgency int) {
	if now-o.lastArrivalAt > urgencyExpiry || o.lastArrivalAt == 0 {
		o.leastUrgent, o.mostUrgent = urgency, urgency
	}
	o.lastArrivalAt = now
	o.leastUrgent, o.mostUrgent = max(o.leastUrgent, urgency), min(o.mostUrgent, urgency)
}

// RecordLatencyRatio records the latency of an answer, divided by the target of its route.
func (o *OverloadDetector) RecordLatencyRatio(now core.Time, ratio float64) {
	o.latencyRatios.Add(units.Milliseconds(now), ratio)
}

// UpdateShedShare raises the shed share while the service is overloaded and lowers it otherwise, at
// most once in each ShedInterval.
func (o *OverloadDetector) UpdateShedShare(now core.Time, p *brokerstate.Pool) {
	if now < o.updatedAt+ShedInterval {
		return
	}
	o.updatedAt = now
	ratio, answers := o.latencyRatios.Quantile(units.Milliseconds(now), lateQuantile)
	if answers >= minAnswers && ratio > lateRatio && mostBrokersBusy(now, p) {
		o.shedShare = min(o.shedShare+shedIncrease, maxShedShare)
	} else {
		o.shedShare = max(o.shedShare-shedDecrease, 0)
	}
}

// ShedShare returns the share of the less urgent requests to be refused.
func (o *OverloadDetector) ShedShare() float64 { return o.shedShare }

// mostBrokersBusy reports whether at least minBusyShare of the brokers with a recent load report have
// requests waiting, or half of their slots taken. While fewer are, refusals aren't needed.
func mostBrokersBusy(now core.Time, p *brokerstate.Pool) bool {
	reports, busy := 0, 0
	for _, b := range p.Brokers {
		load, recent := b.RecentReport(now, maxReportAge)
		if !recent {
			continue
		}
		reports++
		if load.Waiting > 0 || 2*load.Running >= load.Slots {
			busy++
		}
	}
	return reports > 0 && float64(busy) >= minBusyShare*float64(reports)
}

// ShedProbability returns the share of the requests of an urgency to be refused. The most urgent are
// refused only once half of the less urgent are.
func (o *OverloadDetector) ShedProbability(urgency int) float64 {
	if o.shedShare == 0 {
		return 0
	}
	if o.leastUrgent > o.mostUrgent && urgency == o.mostUrgent {
		return max(mostUrgentFactor*o.shedShare-1, 0)
	}
	return o.shedShare
}

// ShouldShed decides whether a request is refused because its service is overloaded, at random with
// the detector's ShedProbability.
func (c *Controller) ShouldShed(req *inflight.Request, o *OverloadDetector) bool {
	probability := o.ShedProbability(req.Urgency)
	return c.switches.On(mechanism.Overload) && probability > 0 && c.random.Float64() < probability
}
