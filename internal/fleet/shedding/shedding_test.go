package shedding

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time, so that a verdict stays; others with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

func TestWeightsFollowTheOperatorsOrder(t *testing.T) {
	w := NewWeights([]float64{3, 1, 1, 2}, 3, Config{ShedFirst: [][]int{{0}}, BulkCustomers: []int{2}, RetryWeight: 0.75})
	// Rejected first: type 0, whatever its value; then 1 and 2 alike, then 3; all of customer 2
	// before any of that.
	if !(w.Types[0] < w.Types[1] && w.Types[1] == w.Types[2] && w.Types[2] < w.Types[3] && w.Types[3] == 1) {
		t.Error(w.Types)
	}
	if bulk := w.Types[3] * w.Customers[2]; bulk >= w.Types[0] {
		t.Errorf("the highest bulk counts with %.2f, the lowest of the others with %.2f", bulk, w.Types[0])
	}
	text := strings.Join(w.Describe([]string{"a", "b", "c", "d"}, []string{"all", "desk", "run"}), "\n")
	for _, want := range []string{"from run\na\nb, c\nd (untouched", "counts with 0.75"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}

func TestWithoutOperatorsOrderWeightsFollowValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.5, 1, 2, 3}), 1, 8).Draw(t, "values")
		w := NewWeights(values, 2, Config{})
		for i := range values {
			for j := range values {
				if (values[i] < values[j]) != (w.Types[i] < w.Types[j]) {
					t.Fatal(values, w.Types)
				}
			}
		}
		if w.RetryWeight != 1 || w.Customers[0] != 1 || w.Customers[1] != 1 {
			t.Fatal(w)
		}
	})
}
