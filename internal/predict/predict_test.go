package predict

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/window"
)

func latencies(values ...float64) *window.Histogram {
	histogram := window.NewHistogram(10, SlowLineSpan/10, 1, 1.1, 100)
	for _, latency := range values {
		histogram.Add(1000, latency)
	}
	return histogram
}

func repeated(value float64, count int) []float64 {
	return slices.Repeat([]float64{value}, count)
}

func near(t *testing.T, got, want, within float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= within, "got %v, want %v within %v", got, want, within)
}

// TestSlowLineIsOwnQuantileBoundedByFleet: the 90th percentile of the server's own answers.
func TestSlowLineIsOwnQuantileBoundedByFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		own  []float64
		seen int
		want float64
	}{
		{"nothing was answered anywhere", nil, 0, math.Inf(1)},
		{"too few answers of its own", repeated(10, MinSlowLineSamples-1), 100, 90},
		{"its own", repeated(50, 20), 100, 50},
		{"always slow", repeated(1000, 20), 100, MaxFleetLineRatio * 90},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := SlowLine(1000, latencies(c.own...), 90, c.seen)
			if math.IsInf(c.want, 1) {
				assert.Assert(t, math.IsInf(got, 1))
				return
			}
			near(t, got, c.want, 0.1*c.want)
		})
	}
}

func TestSlowLineExpires(t *testing.T) {
	own := latencies(repeated(10, 50)...)
	near(t, SlowLine(1000, own, 90, 100), 10, 1.5)
	near(t, SlowLine(1000+2*SlowLineSpan, own, 90, 100), 90, 0)
}

// TestFeaturesAreOrderedAndBounded: the most recent latency first, with the loads at the sends.
func TestFeaturesAreOrderedAndBounded(t *testing.T) {
	f := NewFeatures(100, 3, 8)
	for i := range HistorySize + 2 {
		f.Add(float64(50*(i+1)), float64(i))
	}
	hung := NewFeatures(100, 0, 1e6)
	hung.Add(1e9, 1e9)
	assert.Equal(t, f.Vector, Vector{1, 2, 0.5, 1, 1.5, 2, 0, 0.25, 0.5, 0.75})
	assert.Equal(t, hung.Vector, Vector{1, MaxFeature, MaxFeature, 0, 0, 0, MaxFeature})
}

func TestInitialWeightsScoreRecentSlownessAsSlow(t *testing.T) {
	w := InitialWeights
	quick, slow := NewFeatures(100, 3, 3), NewFeatures(100, 3, 3)
	for range HistorySize {
		quick.Add(40, 3)
		slow.Add(300, 3)
	}
	assert.Assert(t, w.Score(&quick.Vector) < 0.5)
	assert.Assert(t, w.Score(&slow.Vector) > 0.5)
}

func TestFalseSubmitWeighsTriple(t *testing.T) {
	x := Vector{1}
	seen, missed := Weights{}, Weights{}
	seen.Train(&x, true, false)
	missed.Train(&x, true, true)
	near(t, seen[0], LearningRate*0.5, 1e-12)
	near(t, missed[0], FalseSubmitWeight*seen[0], 1e-12)
	quick := Weights{}
	quick.Train(&x, false, true)
	near(t, quick[0], -seen[0], 1e-12)
}

// TestHedgeQuantileFollowsFalseSubmits: the smaller of 0.95 and 1 minus the false-submit rate,
// at least 0.90.
func TestHedgeQuantileFollowsFalseSubmits(t *testing.T) {
	for _, c := range []struct{ predictedFast, falseSubmits, want float64 }{
		{MinSamples - 1, MinSamples - 1, 0.95}, {100, 0, 0.95}, {100, 3, 0.95}, {100, 7, 0.93}, {100, 10, 0.90}, {100, 60, 0.90},
	} {
		s := NewSubmitStats()
		for i := range int(c.predictedFast) {
			s.Record(1000, float64(i) < c.falseSubmits)
		}
		near(t, s.HedgeQuantile(1000), c.want, 1e-9)
		near(t, s.HedgeQuantile(1000+2*FalseSubmitSpan), 0.95, 1e-9)
	}
}

func TestFleetIsSlowAboveItsLowestMedian(t *testing.T) {
	assert.Assert(t, !FleetSlow(100, 0), "no median was seen yet")
	assert.Assert(t, !FleetSlow(120, 100))
	assert.Assert(t, FleetSlow(140, 100))
}
