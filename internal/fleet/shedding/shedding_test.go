package shedding

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed so that each run checks the same cases; -rapid.seed selects others.
func init() { flag.Set("rapid.seed", "1") }

func TestWeightsFollowTheOperatorsOrder(t *testing.T) {
	w := NewWeights([]float64{3, 1, 1, 2}, 3, Config{ShedFirst: [][]int{{0}}, BulkCustomers: []int{2}, RetryWeight: 0.75})
	// Order of rejection: all searches of customer 2, then type 0 despite its high value, then types 1 and 2 together, then 3.
	if !(w.Types[0] < w.Types[1] && w.Types[1] == w.Types[2] && w.Types[2] < w.Types[3] && w.Types[3] == 1) {
		t.Error("the weights of the types are not in the operator's order:", w.Types)
	}
	if bulk := w.Types[3] * w.Customers[2]; bulk >= w.Types[0] {
		t.Errorf("the highest weight of a bulk search is %.2f, the lowest weight of the others only %.2f", bulk, w.Types[0])
	}
	text := strings.Join(w.Describe([]string{"a", "b", "c", "d"}, []string{"all", "desk", "run"}), "\n")
	for _, want := range []string{"from run\na\nb, c\nd (untouched", "counts with 0.75"} {
		if !strings.Contains(text, want) {
			t.Errorf("the description does not contain %q:\n%s", want, text)
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
					t.Fatalf("weights %v are not in the order of the values %v", w.Types, values)
				}
			}
		}
		if w.RetryWeight != 1 || w.Customers[0] != 1 || w.Customers[1] != 1 {
			t.Fatalf("a weight is reduced although the operator has set no order: %+v", w)
		}
	})
}
