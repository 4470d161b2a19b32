// Package predict is an online predictor of slow answers after LinnOS (Hao et al., OSDI 2020): a
// logistic score over the load and the latest latencies of a server, trained with the answers to
// the requests that were sent. It must stay a single file, as deploy/balancer.toml lists it among
// the files that make decisions.
//
// The package does no I/O, reads no clock and makes no decisions. Times and latencies are in
// milliseconds, loads are numbers of requests. Results depend only on the order and the arguments
// of the calls, to the last bit: replays of simulated days rely on that.
package predict

import (
	"math"

	"kestrelspread/internal/window"
)

// HistorySize is the number of latest latencies of a server in its features.
const HistorySize = 4

// HistoryExpiry is the age in milliseconds from which on a latency says nothing about the server.
const HistoryExpiry = 1000.0

// MinSamples is the number of observations below which a share of them is meaningless.
const MinSamples = 20

const (
	// FalseSubmitWeight is the factor on the training step of a slow answer that was predicted
	// fast.
	FalseSubmitWeight = 3.0
	// LearningRate is the size of a training step. It suits a few answers per second: fast enough
	// to learn within the first minutes, slow enough to average out noise.
	LearningRate = 0.03
)

// Indices in a Vector.
const (
	biasIndex     = 0
	loadIndex     = 1
	latencyIndex  = 2                          // the first of HistorySize latencies
	pastLoadIndex = latencyIndex + HistorySize // the first of HistorySize loads, each at the send of the corresponding request
	vectorSize    = pastLoadIndex + HistorySize
)

// Vector holds the features of a server: the constant 1, the load, the latest latencies with the
// most recent first, and the loads when the requests were sent. Missing latencies and loads are 0.
type Vector [vectorSize]float64

// Weights are the parameters of the score, one for each feature. One set serves all servers, as
// latencies are scaled by each server's own slow threshold.
type Weights Vector

// InitialWeights are the weights before any training: a server that was slow recently is predicted
// slow, and the latest answer counts most.
var InitialWeights = Weights{-3.5, 1, 1.2, 0.7, 0.4, 0.3}

// Score returns the probability that an answer takes longer than the slow threshold.
func (w *Weights) Score(x *Vector) float64 {
	sum := 0.0
	for i, weight := range w {
		sum += weight * x[i]
	}
	return 1 / (1 + math.Exp(-sum))
}

// Train adjusts the weights by one answer, given the features when its request was sent, whether it
// was slow, and whether it had been predicted fast.
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

// MaxFeature is the upper bound of each feature, so that a single answer that hung cannot distort
// the weights.
const MaxFeature = 4.0

// Features builds a Vector.
type Features struct {
	// Vector is the vector as built so far.
	Vector Vector

	latencies     int     // number of latencies added
	slowThreshold float64 // milliseconds
	averageLoad   float64
}

// NewFeatures begins a vector with the load of a server, relative to the average load of the fleet.
// slowThreshold is the server's slow threshold in milliseconds.
func NewFeatures(slowThreshold, averageLoad, load float64) Features {
	f := Features{slowThreshold: slowThreshold, averageLoad: averageLoad}
	f.Vector[biasIndex] = 1
	f.Vector[loadIndex] = f.relativeLoad(load)
	return f
}

// AddLatency appends a latency and the load when its request was sent. The most recent one must be added
// first; those beyond HistorySize are ignored.
func (f *Features) AddLatency(latency, load float64) {
	if f.latencies >= HistorySize {
		return
	}
	f.Vector[latencyIndex+f.latencies] = min(latency/f.slowThreshold, MaxFeature)
	f.Vector[pastLoadIndex+f.latencies] = f.relativeLoad(load)
	f.latencies++
}

// relativeLoad returns the ratio of a load to the average load plus one request, which keeps the
// ratio finite in an idle fleet.
func (f *Features) relativeLoad(load float64) float64 {
	return min(load/(f.averageLoad+1), MaxFeature)
}

const (
	// SlowThresholdSpan is the time in milliseconds over which the latencies for a slow threshold are
	// collected.
	SlowThresholdSpan = 10000.
	// SlowThresholdQuantile is the quantile of the latencies that is the slow threshold.
	SlowThresholdQuantile = 0.90
	// MinSlowThresholdSamples is the number of answers of a server below which the fleet's slow
	// threshold is used in place of its own.
	MinSlowThresholdSamples = 5
	// MaxFleetThresholdRatio bounds a server's slow threshold as a multiple of the fleet's. Without it a
	// server that is always slow would be measured only against itself.
	MaxFleetThresholdRatio = 1.5
	// FleetSlowRatio is the ratio of the fleet's median latency to its lowest median above which
	// the fleet as a whole is slow.
	FleetSlowRatio = 1.3
)

// SlowThreshold returns the latency in milliseconds above which an answer of a server is slow: the
// quantile of the server's own latencies, bounded by a multiple of the fleet's, which rests on
// fleetSamples answers. Before the first answer in the fleet it is infinite, so that nothing is
// slow.
func SlowThreshold(now float64, own *window.Histogram, fleetThreshold float64, fleetSamples int) float64 {
	if fleetSamples == 0 {
		return math.Inf(1)
	}
	ownThreshold, samples := own.Quantile(now, SlowThresholdQuantile)
	if samples < MinSlowThresholdSamples {
		return fleetThreshold
	}
	return min(ownThreshold, MaxFleetThresholdRatio*fleetThreshold)
}

// FleetSlow reports whether most servers are slow together, while LinnOS assumes short bursts on a
// few. lowestMedian is the lowest median latency observed so far, 0 if there is none yet.
func FleetSlow(median, lowestMedian float64) bool {
	return lowestMedian > 0 && median > FleetSlowRatio*lowestMedian
}

const (
	// FalseSubmitSpan is the time in milliseconds over which the false submit rate is measured.
	FalseSubmitSpan = 30000.
	// MaxHedgeQuantile is the latency quantile beyond which a request may be hedged while
	// predictions are right.
	MaxHedgeQuantile = 0.95
	// MinHedgeQuantile is the lower bound of that quantile, however often predictions are wrong.
	MinHedgeQuantile = 0.90

	submitBuckets     = 12                   // a span can touch eleven buckets; one is spare
	submitBucketWidth = FalseSubmitSpan / 10 // milliseconds
)

// SubmitStats counts the requests that were sent because they were predicted fast, and the false
// submits among them, which are those that were slow.
type SubmitStats struct{ predictedFast, falseSubmits *window.Counts }

// NewSubmitStats returns empty counts.
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

// FalseRate returns the share of false submits; 0 if fewer than MinSamples requests are counted.
func (s SubmitStats) FalseRate(now float64) float64 {
	submits := s.predictedFast.Sum(now, FalseSubmitSpan)
	if submits < MinSamples {
		return 0
	}
	return s.falseSubmits.Sum(now, FalseSubmitSpan) / submits
}

// HedgeQuantile returns the latency quantile beyond which a request may be hedged, called pX by
// LinnOS, as a share between 0 and 1.
func (s SubmitStats) HedgeQuantile(now float64) float64 {
	return max(min(MaxHedgeQuantile, 1-s.FalseRate(now)), MinHedgeQuantile)
}
