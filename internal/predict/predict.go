// Package predict is an online predictor of slow answers after LinnOS (Hao et al., OSDI 2020): a
// logistic score over a server's load and its latest latencies, trained by the answers to what was
// sent. It is one file on purpose: deploy/balancer.toml lists it among those that decide.
//
// It does no I/O, reads no clock and makes no decision of its own. Times and latencies are
// milliseconds, loads are counts of requests. Its results depend on nothing but the order and the
// values of its calls, to the last bit: replays of simulated days rely on that.
package predict

import (
	"math"

	"kestrelspread/internal/window"
)

// HistorySize is how many of a server's latest latencies the score looks at.
const HistorySize = 4

// HistoryExpiry is the age in milliseconds from which a latency says nothing about the server.
const HistoryExpiry = 1000.0

// MinSamples is the number of observations under which a share of them means nothing.
const MinSamples = 20

const (
	// FalseSubmitWeight is how much more a slow answer that was predicted fast counts in training.
	FalseSubmitWeight = 3.0
	// LearningRate suits a few answers a second: fast enough for the first minutes, slow enough
	// for noise.
	LearningRate = 0.03
)

// Indices in a Vector.
const (
	biasIndex     = 0
	loadIndex     = 1
	latencyIndex  = 2                          // the first of HistorySize latencies
	pastLoadIndex = latencyIndex + HistorySize // the first of HistorySize loads at their sends
	vectorSize    = pastLoadIndex + HistorySize
)

// Vector is the input of the score: the constant 1, the load, the latest latencies, the most recent
// first, and the loads at the time of their sends. A missing one is 0.
type Vector [vectorSize]float64

// Weights are the score's parameters. One set serves all servers, as features are scaled by each
// server's own slow line.
type Weights Vector

// InitialWeights are the weights of a new instance: a server that was slow lately is slow, and the
// latest answer counts most.
var InitialWeights = Weights{-3.5, 1, 1.2, 0.7, 0.4, 0.3}

// Score is the probability that an answer takes longer than the slow line.
func (w *Weights) Score(x *Vector) float64 {
	sum := 0.0
	for i, weight := range w {
		sum += weight * x[i]
	}
	return 1 / (1 + math.Exp(-sum))
}

// Train moves the weights by one answer to a request that was sent under x: whether it was slow, and
// whether it had been predicted fast.
func (w *Weights) Train(x *Vector, slow, predictedFast bool) {
	scoreError := w.Score(x)
	if slow {
		scoreError--
		if predictedFast {
			scoreError *= FalseSubmitWeight
		}
	}
	for i := range w {
		w[i] -= LearningRate * scoreError * x[i]
	}
}

// MaxFeature bounds each feature, so that one answer that hung can't throw the weights.
const MaxFeature = 4.0

// Features collects a Vector.
type Features struct {
	// Vector is what has been collected so far.
	Vector Vector

	latencies   int // added so far
	slowLine    float64
	averageLoad float64
}

// NewFeatures begins a vector with a server's load, relative to the average load of the fleet.
// slowLine is the server's, in milliseconds.
func NewFeatures(slowLine, averageLoad, load float64) Features {
	f := Features{slowLine: slowLine, averageLoad: averageLoad}
	f.Vector[biasIndex] = 1
	f.Vector[loadIndex] = f.relativeLoad(load)
	return f
}

// Add appends a latency and the load at its send. The most recent one comes first; what exceeds
// HistorySize is ignored.
func (f *Features) Add(latency, load float64) {
	if f.latencies >= HistorySize {
		return
	}
	f.Vector[latencyIndex+f.latencies] = min(latency/f.slowLine, MaxFeature)
	f.Vector[pastLoadIndex+f.latencies] = f.relativeLoad(load)
	f.latencies++
}

// relativeLoad counts one request more on average, so that an idle fleet has a finite ratio.
func (f *Features) relativeLoad(load float64) float64 {
	return min(load/(f.averageLoad+1), MaxFeature)
}

const (
	// SlowLineSpan is the time in milliseconds over which a slow line is taken.
	SlowLineSpan = 10000.
	// SlowLineQuantile is the quantile of the latencies at which the slow line lies.
	SlowLineQuantile = 0.90
	// MinSlowLineSamples is the number of answers under which a server's own slow line says less
	// than the fleet's.
	MinSlowLineSamples = 5
	// MaxFleetLineRatio bounds a server's slow line by the fleet's: else a server that stays slow
	// would become its own measure.
	MaxFleetLineRatio = 1.5
	// FleetSlowRatio is the ratio of the fleet's median latency to its lowest median from which the
	// fleet as a whole is slow.
	FleetSlowRatio = 1.3
)

// SlowLine is the latency in milliseconds from which an answer of a server is slow: the server's own
// quantile, bounded by the fleet's, which rests on fleetSamples answers. Before the fleet's first
// answer nothing is slow, and it is infinite.
func SlowLine(now float64, own *window.Histogram, fleetLine float64, fleetSamples int) float64 {
	if fleetSamples == 0 {
		return math.Inf(1)
	}
	ownLine, samples := own.Quantile(now, SlowLineQuantile)
	if samples < MinSlowLineSamples {
		return fleetLine
	}
	return min(ownLine, MaxFleetLineRatio*fleetLine)
}

// FleetSlow reports whether most servers are slow together, where LinnOS assumes short bursts on few
// of them. lowestMedian is the lowest median seen, 0 before there is one.
func FleetSlow(median, lowestMedian float64) bool {
	return lowestMedian > 0 && median > FleetSlowRatio*lowestMedian
}

const (
	// FalseSubmitSpan is the time in milliseconds over which the false submit rate is taken.
	FalseSubmitSpan = 30000.
	// MaxHedgeQuantile is the latency quantile past which a request may be hedged while predictions
	// are right.
	MaxHedgeQuantile = 0.95
	// MinHedgeQuantile bounds it below, however often predictions are wrong.
	MinHedgeQuantile = 0.90

	submitBuckets     = 12 // the eleven that a span can touch, and one to spare
	submitBucketWidth = FalseSubmitSpan / 10
)

// SubmitStats counts the requests that were sent as predicted fast, and the false submits among
// them: those whose answers were slow.
type SubmitStats struct{ predictedFast, falseSubmits *window.Counts }

// NewSubmitStats returns counts of nothing.
func NewSubmitStats() SubmitStats {
	return SubmitStats{
		predictedFast: window.NewCounts(submitBuckets, submitBucketWidth),
		falseSubmits:  window.NewCounts(submitBuckets, submitBucketWidth),
	}
}

// Record counts the answer to a request that was predicted fast.
func (s SubmitStats) Record(now float64, slow bool) {
	s.predictedFast.Add(now, 1)
	if slow {
		s.falseSubmits.Add(now, 1)
	}
}

// FalseRate is the share of false submits, 0 while too few requests are counted.
func (s SubmitStats) FalseRate(now float64) float64 {
	submits := s.predictedFast.Sum(now, FalseSubmitSpan)
	if submits < MinSamples {
		return 0
	}
	return s.falseSubmits.Sum(now, FalseSubmitSpan) / submits
}

// HedgeQuantile is the latency quantile past which a request may be hedged: LinnOS's pX, as a share.
func (s SubmitStats) HedgeQuantile(now float64) float64 {
	return max(min(MaxHedgeQuantile, 1-s.FalseRate(now)), MinHedgeQuantile)
}
