// Package predict is LinnOS's predictor of slow answers, online: a logistic score over a broker's load and its last four
// latencies, taught by what was sent. Loads are counts of requests; times and latencies are milliseconds.
package predict

import (
	"math"

	"kestrelspread/internal/window"
)

// The design's figures, and those that it leaves open.
const (
	HistorySize        = 4      // latencies kept of each broker
	HistoryExpiry      = 1000.0 // older ones have expired
	SlowLineSpan       = 10000. // what a line is taken over
	SlowLineQuantile   = 0.90   // the share of answers that lies under it
	MinSlowLineSamples = 5      // answers under which a broker's own line says less than the fleet's
	MaxFleetLineRatio  = 1.5    // own line at most so many fleet lines, or a lasting slowness becomes its own measure
	FalseSubmitSpan    = 30000.
	FalseSubmitWeight  = 3.0  // weight of a predicted-fast answer over the line
	LearningRate       = 0.03 // few answers a second: fast enough for the first minutes, slow enough for noise
	MaxFeature         = 4.0  // one hang must not throw the weights
	MinSamples         = 20   // answers before a share of them means something
	MaxHedgeQuantile   = 0.95 // the design's pX
	MinHedgeQuantile   = 0.90
	FleetSlowRatio     = 1.3 // the fleet's median latency against the lowest seen
)

// Vector holds what the score looks at: 1, the load, the latencies, the latest first, and the loads at their sends.
type Vector [2 + 2*HistorySize]float64

// Weights of the score: one set serves all brokers, as features are scaled by each one's own line.
type Weights Vector

// InitialWeights is what a new instance knows: slow is who was slow lately, the latest answer first.
var InitialWeights = Weights{-3.5, 1, 1.2, 0.7, 0.4, 0.3}

// Score is the chance that an answer lies over the line.
func (w *Weights) Score(x *Vector) float64 {
	z := 0.0
	for i, weight := range w {
		z += weight * x[i]
	}
	return 1 / (1 + math.Exp(-z))
}

// Train tells whether what was sent under x was slow; fast: it was predicted fast.
func (w *Weights) Train(x *Vector, slow, fast bool) {
	e := w.Score(x)
	if slow {
		e--
		if fast {
			e *= FalseSubmitWeight
		}
	}
	for i := range w {
		w[i] -= LearningRate * e * x[i]
	}
}

// Features collects a vector; n latencies are in.
type Features struct {
	Vector                Vector
	latencies             int
	slowLine, averageLoad float64
}

// NewFeatures begins with the load, against the average load of the fleet.
func NewFeatures(slowLine, averageLoad, load float64) Features {
	return Features{Vector: Vector{1, min(load/(averageLoad+1), MaxFeature)}, slowLine: slowLine, averageLoad: averageLoad}
}

// Add takes a latency and the load at its send, the latest first; what is too much is left out.
func (f *Features) Add(latency, load float64) {
	if f.latencies < HistorySize {
		f.Vector[2+f.latencies] = min(latency/f.slowLine, MaxFeature)
		f.Vector[2+HistorySize+f.latencies] = min(load/(f.averageLoad+1), MaxFeature)
		f.latencies++
	}
}

// SlowLine is where slow begins for a broker: its own, bounded by the fleet's (top, taken from seen answers).
func SlowLine(now float64, own *window.Histogram, fleetLine float64, fleetSamples int) float64 {
	if fleetSamples == 0 {
		return math.Inf(1)
	}
	if line, n := own.Quantile(now, SlowLineQuantile); n >= MinSlowLineSamples {
		return min(line, MaxFleetLineRatio*fleetLine)
	}
	return fleetLine
}

// SubmitStats counts the sends that were predicted fast, and those of them that were slow: false submits.
type SubmitStats struct{ predictedFast, falseSubmits *window.Counts }

// NewSubmitStats has counted nothing yet.
func NewSubmitStats() SubmitStats {
	return SubmitStats{window.NewCounts(12, FalseSubmitSpan/10), window.NewCounts(12, FalseSubmitSpan/10)}
}

// Record counts a send that was predicted fast.
func (s SubmitStats) Record(now float64, slow bool) {
	if s.predictedFast.Add(now, 1); slow {
		s.falseSubmits.Add(now, 1)
	}
}

// FalseRate is the share of false submits.
func (s SubmitStats) FalseRate(now float64) float64 {
	n := s.predictedFast.Sum(now, FalseSubmitSpan)
	if n < MinSamples {
		return 0
	}
	return s.falseSubmits.Sum(now, FalseSubmitSpan) / n
}

// HedgeQuantile is the design's X, as a share: past it, a request may have a copy.
func (s SubmitStats) HedgeQuantile(now float64) float64 {
	return max(min(MaxHedgeQuantile, 1-s.FalseRate(now)), MinHedgeQuantile)
}

// FleetSlow tells slowness on most brokers together, where the design assumes short bursts on few. calm is
// the lowest median seen.
func FleetSlow(median, lowestMedian float64) bool {
	return lowestMedian > 0 && median > FleetSlowRatio*lowestMedian
}
