package predict

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/window"
)

// latencies returns a histogram with the given latencies, all recorded at the time 1000.
func latencies(values ...float64) *window.Histogram {
	histogram := window.NewHistogram(10, SlowThresholdSpan/10, 1, 1.1, 100)
	for _, latency := range values {
		histogram.Add(1000, latency)
	}
	return histogram
}

// repeated returns a slice that holds a value count times.
func repeated(value float64, count int) []float64 {
	return slices.Repeat([]float64{value}, count)
}

// wantNear fails the test if got differs from want by more than the tolerance.
func wantNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance, "got %v, want %v within %v", got, want, tolerance)
}

// The slow threshold is the 90th percentile of the server's own answers; with too few of them, or
// if it is always slow, the fleet's threshold decides.
func TestSlowThresholdIsOwnQuantileBoundedByFleet(t *testing.T) {
	for _, c := range []struct {
		name         string
		own          []float64
		fleetSamples int
		want         float64
	}{
		{"no answer in the whole fleet", nil, 0, math.Inf(1)},
		{"too few answers of its own", repeated(10, MinSlowThresholdSamples-1), 100, 90},
		{"enough answers of its own", repeated(50, 20), 100, 50},
		{"always slow", repeated(1000, 20), 100, MaxFleetThresholdRatio * 90},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := SlowThreshold(1000, latencies(c.own...), 90, c.fleetSamples)
			if math.IsInf(c.want, 1) {
				assert.Assert(t, math.IsInf(got, 1))
				return
			}
			wantNear(t, got, c.want, 0.1*c.want)
		})
	}
}

func TestSlowThresholdExpires(t *testing.T) {
	own := latencies(repeated(10, 50)...)
	wantNear(t, SlowThreshold(1000, own, 90, 100), 10, 1.5)
	wantNear(t, SlowThreshold(1000+2*SlowThresholdSpan, own, 90, 100), 90, 0)
}

// The most recent latency comes first, each feature is bounded, and the loads are those when the
// requests were sent.
func TestFeaturesAreOrderedAndBounded(t *testing.T) {
	f := NewFeatures(100, 3, 8)
	for i := range HistorySize + 2 {
		f.AddLatency(float64(50*(i+1)), float64(i))
	}
	hung := NewFeatures(100, 0, 1e6)
	hung.AddLatency(1e9, 1e9)
	assert.Equal(t, f.Vector, Vector{1, 2, 0.5, 1, 1.5, 2, 0, 0.25, 0.5, 0.75})
	assert.Equal(t, hung.Vector, Vector{1, MaxFeature, MaxFeature, 0, 0, 0, MaxFeature})
}

func TestInitialWeightsScoreRecentSlownessAsSlow(t *testing.T) {
	w := InitialWeights
	fast, slow := NewFeatures(100, 3, 3), NewFeatures(100, 3, 3)
	for range HistorySize {
		fast.AddLatency(40, 3)
		slow.AddLatency(300, 3)
	}
	assert.Assert(t, w.Score(&fast.Vector) < 0.5)
	assert.Assert(t, w.Score(&slow.Vector) > 0.5)
}

func TestFalseSubmitWeighsTriple(t *testing.T) {
	x := Vector{1}
	seen, missed := Weights{}, Weights{}
	seen.Train(&x, true, false)
	missed.Train(&x, true, true)
	wantNear(t, seen[0], LearningRate*0.5, 1e-12)
	wantNear(t, missed[0], FalseSubmitWeight*seen[0], 1e-12)
	fast := Weights{}
	fast.Train(&x, false, true)
	wantNear(t, fast[0], -seen[0], 1e-12)
}

// The hedge quantile is the smaller of 0.95 and 1 minus the false submit rate, but at least 0.90.
func TestHedgeQuantileFollowsFalseSubmits(t *testing.T) {
	for _, c := range []struct{ predictedFast, falseSubmits, want float64 }{
		{MinSamples - 1, MinSamples - 1, 0.95}, {100, 0, 0.95}, {100, 3, 0.95}, {100, 7, 0.93}, {100, 10, 0.90}, {100, 60, 0.90},
	} {
		s := NewSubmitStats()
		for i := range int(c.predictedFast) {
			s.Record(1000, float64(i) < c.falseSubmits)
		}
		wantNear(t, s.HedgeQuantile(1000), c.want, 1e-9)
		wantNear(t, s.HedgeQuantile(1000+2*FalseSubmitSpan), 0.95, 1e-9)
	}
}

func TestFleetIsSlowAboveItsLowestMedian(t *testing.T) {
	assert.Assert(t, !FleetSlow(100, 0), "slow before there was any median")
	assert.Assert(t, !FleetSlow(120, 100), "slow at 1.2 times the lowest median")
	assert.Assert(t, FleetSlow(140, 100), "not slow at 1.4 times the lowest median")
}
