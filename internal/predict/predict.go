// Package predict is LinnOS's predictor of slow answers, online: a logistic score over a broker's load and its last four
// latencies, taught by what was sent. Loads are counts of requests; times and latencies are milliseconds.
package predict

import (
	"math"

	"kestrelspread/internal/window"
)

// The design's figures, and those that it leaves open.
const (
	HistorySize = 4      // latencies kept of each broker
	HistoryLife = 1000.0 // older ones have expired
	LineSpan    = 10000. // what a line is taken over
	LineShare   = 0.90   // the share of answers that lies under it
	LineFew     = 5      // answers under which a broker's own line says less than the fleet's
	LineFleet   = 1.5    // own line at most so many fleet lines, or a lasting slowness becomes its own measure
	FalseSpan   = 30000.
	FalseCost   = 3.0  // weight of a predicted-fast answer over the line
	LearnRate   = 0.03 // few answers a second: fast enough for the first minutes, slow enough for noise
	FeatureCap  = 4.0  // one hang must not throw the weights
	Few         = 20   // answers before a share of them means something
	CopyTop     = 0.95 // the design's pX
	CopyFloor   = 0.90
	CrowdTimes  = 1.3 // the fleet's median latency against the lowest seen
)

// Vector holds what the score looks at: 1, the load, the latencies, the latest first, and the loads at their sends.
type Vector [2 + 2*HistorySize]float64

// Weights of the score: one set serves all brokers, as features are scaled by each one's own line.
type Weights Vector

// Start is what a new instance knows: slow is who was slow lately, the latest answer first.
var Start = Weights{-3.5, 1, 1.2, 0.7, 0.4, 0.3}

// Score is the chance that an answer lies over the line.
func (w *Weights) Score(x *Vector) float64 {
	z := 0.0
	for i, weight := range w {
		z += weight * x[i]
	}
	return 1 / (1 + math.Exp(-z))
}

// Teach tells whether what was sent under x was slow; fast: it was predicted fast.
func (w *Weights) Teach(x *Vector, slow, fast bool) {
	e := w.Score(x)
	if slow {
		e--
		if fast {
			e *= FalseCost
		}
	}
	for i := range w {
		w[i] -= LearnRate * e * x[i]
	}
}

// Features collects a vector; n latencies are in.
type Features struct {
	X             Vector
	n             int
	line, average float64
}

// NewFeatures begins with the load, against the average load of the fleet.
func NewFeatures(line, average, load float64) Features {
	return Features{X: Vector{1, min(load/(average+1), FeatureCap)}, line: line, average: average}
}

// Add takes a latency and the load at its send, the latest first; what is too much is left out.
func (f *Features) Add(latency, load float64) {
	if f.n < HistorySize {
		f.X[2+f.n] = min(latency/f.line, FeatureCap)
		f.X[2+HistorySize+f.n] = min(load/(f.average+1), FeatureCap)
		f.n++
	}
}

// Line is where slow begins for a broker: its own, bounded by the fleet's (top, taken from seen answers).
func Line(now float64, own *window.Hist, top float64, seen int) float64 {
	if seen == 0 {
		return math.Inf(1)
	}
	if line, n := own.Quantile(now, LineShare); n >= LineFew {
		return min(line, LineFleet*top)
	}
	return top
}

// Submits counts the sends that were predicted fast, and those of them that were slow: false submits.
type Submits struct{ fast, wrong *window.Counts }

// NewSubmits has counted nothing yet.
func NewSubmits() Submits {
	return Submits{window.NewCounts(12, FalseSpan/10), window.NewCounts(12, FalseSpan/10)}
}

// Note counts a send that was predicted fast.
func (s Submits) Note(now float64, slow bool) {
	if s.fast.Add(now, 1); slow {
		s.wrong.Add(now, 1)
	}
}

// FalseRate is the share of false submits.
func (s Submits) FalseRate(now float64) float64 {
	n := s.fast.Sum(now, FalseSpan)
	if n < Few {
		return 0
	}
	return s.wrong.Sum(now, FalseSpan) / n
}

// CopyShare is the design's X, as a share: past it, a request may have a copy.
func (s Submits) CopyShare(now float64) float64 {
	return max(min(CopyTop, 1-s.FalseRate(now)), CopyFloor)
}

// Crowded tells slowness on most brokers together, where the design assumes short bursts on few. calm is
// the lowest median seen.
func Crowded(median, calm float64) bool { return calm > 0 && median > CrowdTimes*calm }
