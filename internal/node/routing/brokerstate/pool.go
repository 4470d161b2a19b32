package brokerstate

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	// LoadingMarkExpiry is how long the mark that a broker loads new weights is believed while
	// brokers are scarce. It is longer than loading usually takes.
	LoadingMarkExpiry = 5 * time.Second

	minUnmarkedShare = 0.6 // of the ready brokers: with fewer that aren't marked as loading, brokers are scarce
	refreshInterval  = 250 * time.Millisecond
)

// Pool holds the brokers of one service and the statistics over all of them.
type Pool struct {
	// Brokers is in the order of the registry's table.
	Brokers []*Broker

	switches      mechanism.Switches
	perBrokerPace bool                 // whether differences in speed between brokers are taken into account
	prefillTime   prefillTimeEstimator // prefill time per token, over all brokers
	usualStepTime float64              // ms between two events of a stream, median over the brokers; 0: not known
	stepTimes     []float64            // buffer of medianStepTime, reused
	weights       predict.Weights
	submits       predict.SubmitStats // outcomes of requests that were sent as predicted fast
	latencies     *window.Histogram   // of all answers of the service, scaled to the usual work
	median        float64             // of latencies, ms
	fleetSlowLine float64             // latency in ms above which an answer of the service is slow
	medianSamples int                 // number of answers that median and fleetSlowLine are computed from
	lowestMedian  float64             // lowest median seen so far, ms
	brokersScarce bool                // too few brokers aren't marked as loading
	refreshedAt   core.Time
	// lastAnswerAt is when any broker of the pool last answered.
	lastAnswerAt core.Time
}

// NewPool returns the state of a service without brokers.
func NewPool(switches mechanism.Switches) *Pool {
	return &Pool{
		switches:      switches,
		perBrokerPace: switches.On(mechanism.BrokerPace),
		weights:       predict.InitialWeights,
		submits:       predict.NewSubmitStats(),
		latencies:     NewLatencyHistogram(),
		refreshedAt:   -refreshInterval,
	}
}

// Refresh recomputes the pool's statistics, at most once in refreshInterval.
func (p *Pool) Refresh(now core.Time) {
	if now < p.refreshedAt+refreshInterval {
		return
	}
	p.refreshedAt = now
	at := units.Milliseconds(now)
	p.median, p.medianSamples = p.latencies.Quantile(at, 0.5)
	p.brokersScarce = p.tooFewUnmarked()
	p.usualStepTime = p.medianStepTime()
	p.fleetSlowLine, _ = p.latencies.Quantile(at, predict.SlowThresholdQuantile)
	if p.MedianKnown() && (p.lowestMedian == 0 || p.median < p.lowestMedian) {
		p.lowestMedian = p.median
	}
}

// Median returns the median latency of the service in ms.
func (p *Pool) Median() float64 { return p.median }

// MedianKnown reports whether the median is computed from enough answers.
func (p *Pool) MedianKnown() bool { return p.medianSamples >= predict.MinSamples }

// FleetSlow reports whether the service as a whole is slower than it has been at its best.
func (p *Pool) FleetSlow() bool { return predict.FleetSlow(p.median, p.lowestMedian) }

// tooFewUnmarked reports whether the brokers that aren't marked as loading new weights are too few
// for the service to rely on them alone.
func (p *Pool) tooFewUnmarked() bool {
	ready, unmarked := 0, 0
	for _, b := range p.Brokers {
		if b.Instance.State != registry.Ready {
			continue
		}
		ready++
		if !b.Instance.Loading {
			unmarked++
		}
	}
	return float64(unmarked) < minUnmarkedShare*float64(ready)
}

// Usable reports whether new requests may be sent to a broker. The mark that it loads new weights
// may have been left behind by a lease holder that was lost. While brokers are scarce, it is
// therefore believed for a limited time only; a broker that does load refuses requests by itself.
func (p *Pool) Usable(now core.Time, b *Broker) bool {
	if b.Instance.State != registry.Ready {
		return false
	}
	return !p.switches.On(mechanism.LoadingMarks) || !b.Instance.Loading || p.brokersScarce && now >= b.loadingSince+LoadingMarkExpiry
}

// RecordLatency adds a call's latency to all statistics, once it is known that the broker worked
// for it and didn't merely fail quickly. It must be called only once for each call.
func (p *Pool) RecordLatency(now core.Time, c *Call) {
	c.latencyRecorded = true
	b := c.Broker
	p.Refresh(now)
	slow := c.Latency > p.SlowLine(now, b)
	p.trainPredictor(now, c, slow)
	if c.FetchFrom != "" {
		b.Fetches.observe(now, slow)
	}
	if c.Salt != "" {
		p.prefillTime.addSample(c.BacklogAhead, c.Latency*c.Scale/p.slowdown(b))
	}
	b.recordLatency(now, c)
	p.latencies.Add(units.Milliseconds(now), c.Latency)
}
