package scale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The sizes of the short run, in proxies, and the spans of its phases.
var shortSizes = []int{10, 30, 100}

var shortSpans = Spans{Settle: 3 * time.Second, Quiet: 6 * time.Second, BusyWarmUp: time.Second, Busy: 2 * time.Second}

// shortShape has fewer events, which changes how long the messages are, but not how many there are.
func shortShape(proxies int) Shape {
	shape := ShapeOf(proxies, TwoYears)
	shape.EventsPerBroker = 20
	return shape
}

func measureShort(t *testing.T, options Options, phases Phases) []SizeResult {
	t.Helper()
	options.Seed = 7
	options.Spans = shortSpans
	var results []SizeResult
	for _, size := range shortSizes {
		result := Measure(shortShape(size), options, phases, nil)
		assert.Assert(t, len(result.Problems) == 0, "%v", result.Problems)
		results = append(results, result)
	}
	return results
}

// What a node sends must not grow with the fleet, but for what docs/CAPACITY.md lists.
func TestShareOfANodeStays(t *testing.T) {
	results := measureShort(t, Options{}, Phases{Events: true})
	for _, broken := range CheckSlopes(results, Bounds()) {
		t.Error(broken)
	}
}

// The check finds a node that tells all others something each second: the fleet's messages grow with its square.
func TestPlantedQuadraticIsFound(t *testing.T) {
	results := measureShort(t, Options{Chatter: time.Second}, Phases{})
	broken := CheckSlopes(results, Bounds())
	assert.Assert(t, len(broken) >= 2, "%v", broken)
}

// The state that single items take: bounds well above what they take today, and below twice that.
func TestStateOfItemsStays(t *testing.T) {
	most := map[string]float64{
		"registry: a broker":                           1500,
		"router: a broker known":                       1400,
		"membership: a member":                         800,
		"index: a record":                              100,
		"index home: a part of a broker":               600,
		"configuration: a tenant, held and compiled":   800,
		"configuration: bytes of a snapshot, a tenant": 150,
	}
	seen := 0
	for _, unit := range Units(TwoYears) {
		limit, bounded := most[unit.Metric]
		if !bounded {
			continue
		}
		seen++
		assert.Check(t, unit.Slope < limit, "%s: %.0f bytes each, at most %.0f are allowed", unit.Metric, unit.Slope, limit)
	}
	assert.Equal(t, seen, len(most))
}

func TestLineThroughSizes(t *testing.T) {
	fit, ok := fitLine("m", "B", []float64{10, 30, 100}, []float64{120, 160, 300}, 410, 460)
	assert.Assert(t, ok)
	assert.Check(t, fit.Base > 99.9 && fit.Base < 100.1, "%v", fit.Base)
	assert.Check(t, fit.Slope > 1.99 && fit.Slope < 2.01, "%v", fit.Slope)
	assert.Check(t, fit.Share > 1.99 && fit.Share < 2.01, "%v", fit.Share)
	assert.Check(t, fit.Error < 0.001)
	_, ok = fitLine("m", "B", []float64{10, 30}, []float64{1, 2}, 410, 0)
	assert.Assert(t, !ok, "two sizes make no fit")
}

func TestPowerOfSizes(t *testing.T) {
	sizes := []float64{10, 30, 100}
	for _, c := range []struct {
		values []float64
		power  float64
	}{{[]float64{5, 5, 5}, 0}, {[]float64{1, 3, 10}, 1}, {[]float64{100, 900, 10000}, 2}, {[]float64{0, 1, 2}, 0}} {
		got := powerOf(sizes, c.values)
		assert.Check(t, got > c.power-0.01 && got < c.power+0.01, "%v: %v", c.values, got)
	}
}
