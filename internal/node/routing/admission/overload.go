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
	// ShedInterval is how often the share of requests to be shed changes.
	ShedInterval = 250 * time.Millisecond

	latencyWindow     = 1500. // ms of answers that are looked at
	minAnswers        = 8     // answers before they count
	lateRatio         = 1.0   // latency over target that lateQuantile exceeds in an overload
	lateQuantile      = 0.3
	shedIncrease      = 0.08
	shedDecrease      = 0.04
	maxShedShare      = 0.8
	minBusyShare      = 0.5 // of the brokers must be busy
	maxReportAge      = 2 * time.Second
	urgencyExpiry     = 10 * time.Second
	minHistogramRatio = 0.01 // where the histogram begins
	histogramStep     = 1.15
	histogramBins     = 70
	windowBuckets     = 5
	mostUrgentFactor  = 2 // the most urgent are shed once more than one part in so many of the least urgent is
)

// OverloadDetector measures whether a service's answers are late, over all its routes.
//
// A service that is asked for more than it can do answers all too late, as each request waits
// behind others that are late already. Then some are shed, the least urgent first, so that the rest
// is in time (RULES.md, "Worth" and "Prices").
type OverloadDetector struct {
	latencyRatios *window.Histogram // latency over target
	shedShare     float64           // share of the least urgent requests to be refused
	updatedAt     core.Time
	leastUrgent   int // urgency of the least urgent request recently; urgencies count from 0, the most urgent
	mostUrgent    int
	lastArrivalAt core.Time
}

// NewOverloadDetector makes the measure of a service without answers.
func NewOverloadDetector() OverloadDetector {
	return OverloadDetector{latencyRatios: window.NewHistogram(windowBuckets+1, latencyWindow/windowBuckets, minHistogramRatio, histogramStep, histogramBins)}
}

// RecordArrival takes in a request's urgency.
func (o *OverloadDetector) RecordArrival(now core.Time, urgency int) {
	if now-o.lastArrivalAt > urgencyExpiry || o.lastArrivalAt == 0 {
		o.leastUrgent, o.mostUrgent = urgency, urgency
	}
	o.lastArrivalAt = now
	o.leastUrgent, o.mostUrgent = max(o.leastUrgent, urgency), min(o.mostUrgent, urgency)
}

// RecordLatencyRatio takes in a latency as a ratio of its route's target.
func (o *OverloadDetector) RecordLatencyRatio(now core.Time, ratio float64) {
	o.latencyRatios.Add(units.Milliseconds(now), ratio)
}

// UpdateShedShare raises or lowers the share to be shed, at most once in each ShedInterval.
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

// ShedShare is the share of the least urgent requests to be refused.
func (o *OverloadDetector) ShedShare() float64 { return o.shedShare }

// mostBrokersBusy reports whether most brokers with a recent report have requests waiting, or half of their
// slots taken: else a refusal would be one that isn't needed.
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

// ShedProbability is the share of requests of an urgency to be refused: of the most urgent none
// before half of the least are.
func (o *OverloadDetector) ShedProbability(urgency int) float64 {
	if o.shedShare == 0 {
		return 0
	}
	if o.leastUrgent > o.mostUrgent && urgency == o.mostUrgent {
		return max(mostUrgentFactor*o.shedShare-1, 0)
	}
	return o.shedShare
}

// ShouldShed decides by chance whether a request is refused as its service is overloaded.
func (g *Controller) ShouldShed(req *inflight.Request, o *OverloadDetector) bool {
	probability := o.ShedProbability(req.Urgency)
	return g.switches.On(mechanism.Overload) && probability > 0 && g.random.Float64() < probability
}
