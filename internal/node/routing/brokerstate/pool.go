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
	// LoadingTrusted is how long a mark that a broker loads new weights is believed where brokers
	// are scarce: longer than a broker usually takes to load.
	LoadingTrusted = 5 * time.Second

	minUnmarkedShare = 0.6 // of the brokers that don't drain: with fewer free of the mark, they are scarce
	refreshInterval  = 250 * time.Millisecond
)

// Pool is one service's brokers and what is usual among them.
type Pool struct {
	// Brokers in the order of the registry's table.
	Brokers []*Broker

	switches      mechanism.Switches
	perBrokerPace bool // each broker has a pace of its own
	prefillTime   prefillTimeEstimator
	usualStepTime float64 // ms between two events of a stream; 0: not known
	stepTimes     []float64
	weights       predict.Weights
	submits       predict.SubmitStats
	latencies     *window.Histogram // all answers of the service, scaled to the usual work
	median        float64           // of latencies, ms
	fleetSlowLine float64           // the latency from which an answer in the service is slow, ms
	medianSamples int               // that these stand on
	lowestMedian  float64           // lowest median seen, ms
	brokersScarce bool              // too few brokers bear no mark of loading
	refreshedAt   core.Time
	// lastAnswerAt is when any broker last answered.
	lastAnswerAt core.Time
}

// NewPool makes the state of a service without brokers.
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

// Refresh brings the pool's usual figures up to date, at most some times a second.
func (p *Pool) Refresh(now core.Time) {
	if now < p.refreshedAt+refreshInterval {
		return
	}
	p.refreshedAt = now
	at := units.Milliseconds(now)
	p.median, p.medianSamples = p.latencies.Quantile(at, 0.5)
	p.brokersScarce = p.tooFewUnmarked()
	p.usualStepTime = p.medianStepTime()
	p.fleetSlowLine, _ = p.latencies.Quantile(at, predict.SlowLineQuantile)
	if p.MedianKnown() && (p.lowestMedian == 0 || p.median < p.lowestMedian) {
		p.lowestMedian = p.median
	}
}

// Median is the usual latency of the service, ms.
func (p *Pool) Median() float64 { return p.median }

// MedianKnown reports whether the median stands on enough answers.
func (p *Pool) MedianKnown() bool { return p.medianSamples >= predict.MinSamples }

// Crowded reports whether the service as a whole is slower than it can be.
func (p *Pool) Crowded() bool { return predict.FleetSlow(p.median, p.lowestMedian) }

// tooFewUnmarked reports whether fewer brokers than the rest can do without are free of the mark that
// they load new weights.
func (p *Pool) tooFewUnmarked() bool {
	ready, free := 0, 0
	for _, b := range p.Brokers {
		if b.Instance.State != registry.Ready {
			continue
		}
		ready++
		if !b.Instance.Loading {
			free++
		}
	}
	return float64(free) < minUnmarkedShare*float64(ready)
}

// Usable reports whether new requests may be sent to a broker. A mark that it loads new weights may
// have been left behind by a lost lease holder: where brokers are scarce it is believed for a while
// only, as a broker that does load refuses requests by itself.
func (p *Pool) Usable(now core.Time, b *Broker) bool {
	if b.Instance.State != registry.Ready {
		return false
	}
	return !p.switches.On(mechanism.LoadingMarks) || !b.Instance.Loading || p.brokersScarce && now >= b.loadingSince+LoadingTrusted
}

// Learn takes a call's latency into all measures, once it is known to be one that was worked for.
// It must be called once a call.
func (p *Pool) Learn(now core.Time, c *Call) {
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
