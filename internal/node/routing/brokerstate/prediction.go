package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	slowScore       = 0.5 // score from which an answer is predicted slow
	fleetSlowFactor = 2.0 // medians that a broker takes which is slow even where all are
)

// Prediction is whether an answer would be slow, and what it was predicted from.
type Prediction struct {
	Features predict.Vector
	Slow     bool
}

// Predict tells whether a request that is sent to the broker now would be answered late (LinnOS's
// predictor). load is the broker's, average that of the brokers in question.
func (p *Pool) Predict(now core.Time, b *Broker, load, average float64) Prediction {
	features := p.features(now, b, load, average)
	slow := p.switches.On(mechanism.Prediction) && p.predictsSlow(&features)
	// In a crowd all are slow, and who looks fast is who got no requests: only who is far slower
	// than the rest is passed over.
	if slow && p.Crowded() && b.ExpectedLatency(now, p.median) < fleetSlowFactor*p.median {
		slow = false
	}
	return Prediction{features, slow}
}

// predictsSlow is the bare prediction. An empty history counts as fast.
func (p *Pool) predictsSlow(x *predict.Vector) bool {
	return x[2] > 0 && p.weights.Score(x) > slowScore
}

// features are what the score looks at for a request that is sent to the broker now.
func (p *Pool) features(now core.Time, b *Broker, load, average float64) predict.Vector {
	line := p.SlowLine(now, b)
	features := predict.NewFeatures(line, average, load)
	// A timeout must not read as fast: a call that is out for longer than the line stands for the
	// latest latency.
	if age, loadThen := b.longestWait(now); age > line {
		features.Add(age, loadThen)
	}
	expires := p.switches.On(mechanism.HistoryExpiry)
	for _, past := range b.latencies.history {
		if past.latency > 0 && (!expires || units.Milliseconds(now-past.measuredAt) < predict.HistoryExpiry) {
			features.Add(past.latency, past.load)
		}
	}
	return features.Vector
}

// SlowLine is the latency from which an answer of the broker counts as slow, ms.
func (p *Pool) SlowLine(now core.Time, b *Broker) float64 {
	l := &b.latencies
	if now < l.slowLineAt+slowLineMaxAge {
		return l.slowLine
	}
	own := l.recent
	if own == nil {
		own = emptyHistogram
	}
	l.slowLine = predict.SlowLine(units.Milliseconds(now), own, p.fleetSlowLine, p.medianSamples)
	l.slowLineAt = now
	return l.slowLine
}

// trainPredictor tells the predictor whether a call lay over the line, once.
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

// TeachOverdue tells the predictor of a call that has been out for longer than the line already.
func (p *Pool) TeachOverdue(now core.Time, c *Call) {
	if age := c.Age(now); age > p.SlowLine(now, c.Broker) {
		p.trainPredictor(now, c, true)
	}
}

// HedgeQuantile is the quantile of latencies after which a call is hedged: the design's pX, lower
// where many predictions of fast answers were wrong.
func (p *Pool) HedgeQuantile(now core.Time) float64 {
	return p.submits.HedgeQuantile(units.Milliseconds(now))
}
