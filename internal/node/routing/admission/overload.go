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

	overloadSpan     = 1500. // ms of answers that are looked at
	minRatios        = 8     // answers before they count
	lateRatio        = 1.0   // latency over target that lateQuantile exceeds in an overload
	lateQuantile     = 0.3
	shedRaise        = 0.08
	shedLower        = 0.04
	maxShed          = 0.8
	busyShare        = 0.5 // of the brokers must be busy
	reportAge        = 2 * time.Second
	urgencyKept      = 10 * time.Second
	lowRatio         = 0.01 // where the histogram begins
	ratioStep        = 1.15
	ratioBins        = 70
	ratioBuckets     = 5
	topUrgencyFactor = 2 // the most urgent are shed once more than one part in so many of the least urgent is
)

// Overload measures whether a service's answers are late, over all its routes.
//
// A service that is asked for more than it can do answers all too late, as each request waits
// behind others that are late already. Then some are shed, the least urgent first, so that the rest
// is in time (RULES.md, "Worth" and "Prices").
type Overload struct {
	ratios          *window.Histogram // latency over target
	shed            float64           // share of the least urgent requests to be refused
	refreshedAt     core.Time
	lowestPriority  int // urgency of the least urgent request recently; urgencies count from 0, the most urgent
	highestPriority int
	lastArrivalAt   core.Time
}

// NewOverload makes the measure of a service without answers.
func NewOverload() Overload {
	return Overload{ratios: window.NewHistogram(ratioBuckets+1, overloadSpan/ratioBuckets, lowRatio, ratioStep, ratioBins)}
}

// Received takes in a request's urgency.
func (o *Overload) Received(now core.Time, urgency int) {
	if now-o.lastArrivalAt > urgencyKept || o.lastArrivalAt == 0 {
		o.lowestPriority, o.highestPriority = urgency, urgency
	}
	o.lastArrivalAt = now
	o.lowestPriority, o.highestPriority = max(o.lowestPriority, urgency), min(o.highestPriority, urgency)
}

// Learn takes in a latency as a ratio of its route's target.
func (o *Overload) Learn(now core.Time, ratio float64) { o.ratios.Add(units.Milliseconds(now), ratio) }

// Refresh raises or lowers the share to be shed, at most once in each ShedInterval.
func (o *Overload) Refresh(now core.Time, p *brokerstate.Pool) {
	if now < o.refreshedAt+ShedInterval {
		return
	}
	o.refreshedAt = now
	ratio, answers := o.ratios.Quantile(units.Milliseconds(now), lateQuantile)
	if answers >= minRatios && ratio > lateRatio && busy(now, p) {
		o.shed = min(o.shed+shedRaise, maxShed)
	} else {
		o.shed = max(o.shed-shedLower, 0)
	}
}

// Shed is the share of the least urgent requests to be refused.
func (o *Overload) Shed() float64 { return o.shed }

// busy reports whether most brokers with a recent report have requests waiting, or half of their
// slots taken: else a refusal would be one that isn't needed.
func busy(now core.Time, p *brokerstate.Pool) bool {
	reports, busy := 0, 0
	for _, b := range p.Brokers {
		load, recent := b.RecentReport(now, reportAge)
		if !recent {
			continue
		}
		reports++
		if load.Waiting > 0 || 2*load.Running >= load.Slots {
			busy++
		}
	}
	return reports > 0 && float64(busy) >= busyShare*float64(reports)
}

// ShedProbability is the share of requests of an urgency to be refused: of the most urgent none
// before half of the least are.
func (o *Overload) ShedProbability(urgency int) float64 {
	if o.shed == 0 {
		return 0
	}
	if o.lowestPriority > o.highestPriority && urgency == o.highestPriority {
		return max(topUrgencyFactor*o.shed-1, 0)
	}
	return o.shed
}

// Sheds decides by chance whether a request is refused as its service is overloaded.
func (g *Gate) Sheds(req *inflight.Request, o *Overload) bool {
	probability := o.ShedProbability(req.Urgency)
	return g.switches.On(mechanism.Overload) && probability > 0 && g.random.Float64() < probability
}
