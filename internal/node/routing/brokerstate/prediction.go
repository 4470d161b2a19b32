package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	slowScore       = 0.5 // score above which an answer is predicted to be slow
	fleetSlowFactor = 2.0 // on the median: while the whole fleet is slow, only a broker above it is predicted to be slow
)

// Prediction tells whether an answer is expected to be slow, and the features it was predicted
// from.
type Prediction struct {
	Features predict.Vector
	Slow     bool
}

// Predict predicts whether a request that is sent to the broker now would be answered slowly
// (LinnOS's predictor). load is the broker's estimated load, and average that of the candidate
// brokers.
func (p *Pool) Predict(now core.Time, b *Broker, load, average float64) Prediction {
	features := p.features(now, b, load, average)
	slow := p.switches.On(mechanism.Prediction) && p.predictsSlow(&features)
	// While the whole fleet is slow, the brokers that look fast are those that got no requests. So
	// only a broker that is far slower than the rest is passed over.
	if slow && p.FleetSlow() && b.ExpectedLatency(now, p.median) < fleetSlowFactor*p.median {
		slow = false
	}
	return Prediction{features, slow}
}

// predictsSlow returns the predictor's result without the rule for a slow fleet. A broker without
// recent answers counts as fast.
func (p *Pool) predictsSlow(x *predict.Vector) bool {
	return x[2] > 0 && p.weights.Score(x) > slowScore
}

// features returns the predictor's input for a request that is sent to the broker now.
func (p *Pool) features(now core.Time, b *Broker, load, average float64) predict.Vector {
	slowLine := p.SlowLine(now, b)
	features := predict.NewFeatures(slowLine, average, load)
	// A broker that doesn't answer must not look fast: a call that has waited for longer than the
	// slow line counts as the latest latency.
	if age, loadAtSend := b.longestWait(now); age > slowLine {
		features.AddLatency(age, loadAtSend)
	}
	expires := p.switches.On(mechanism.HistoryExpiry)
	for _, past := range b.latencies.history {
		if past.latency > 0 && (!expires || units.Milliseconds(now-past.measuredAt) < predict.HistoryExpiry) {
			features.AddLatency(past.latency, past.load)
		}
	}
	return features.Vector
}

// SlowLine returns the slow line of the broker: the latency in ms above which an answer counts as
// slow. The result is cached for slowLineMaxAge.
func (p *Pool) SlowLine(now core.Time, b *Broker) float64 {
	l := &b.latencies
	if now < l.slowLineAt+slowLineMaxAge {
		return l.slowLine
	}
	own := l.recent
	if own == nil {
		own = emptyHistogram
	}
	l.slowLine = predict.SlowThreshold(units.Milliseconds(now), own, p.fleetSlowLine, p.medianSamples)
	l.slowLineAt = now
	return l.slowLine
}

// trainPredictor trains the predictor with a call that was slow or wasn't, at most once for each
// call.
func (p *Pool) trainPredictor(now core.Time, c *Call, slow bool) {
	if c.predictorTrained {
		return
	}
	c.predictorTrained = true
	p.weights.Train(&c.Features, slow, c.PredictedFast)
	if c.PredictedFast {
		p.submits.Record(units.Milliseconds(now), slow)
	}
}

// TrainOverdue trains the predictor with a call that isn't answered yet, if it has already waited
// for longer than the slow line.
func (p *Pool) TrainOverdue(now core.Time, c *Call) {
	if age := c.Age(now); age > p.SlowLine(now, c.Broker) {
		p.trainPredictor(now, c, true)
	}
}

// HedgeQuantile returns the quantile of latencies after which a call is hedged: pX in LinnOS's
// design. It is lower while many answers that were predicted to be fast are slow.
func (p *Pool) HedgeQuantile(now core.Time) float64 {
	return p.submits.HedgeQuantile(units.Milliseconds(now))
}
