package lossplan

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite the files in testdata/golden")

// checkGolden compares got with a golden file, which it writes first if -write-golden is set.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	name = "testdata/golden/" + name
	if *writeGolden {
		if err := os.WriteFile(name, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the present output:\n%s", name, got)
	}
}

// TestGoldenOutcomes checks that the JSON that `kestrelctl site plan --json` prints, including its figures, does not change.
func TestGoldenOutcomes(t *testing.T) {
	f := testFleet()
	f.Replicas = 1
	f.Loads[0].MinAnsweredShare = 0.6
	f.Headroom = 0.75
	outcomes, err := f.AllLosses()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(outcomes, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "outcomes.json", append(text, '\n'))
}

// TestGoldenBounds checks that upper bounds under random capacities, partitions and losses do not change.
func TestGoldenBounds(t *testing.T) {
	var got bytes.Buffer
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 6))
		f := testFleet()
		f.Replicas = 1 + rng.IntN(3)
		f.Loads[1].MinAnsweredShare = rng.Float64()
		conditions := f.IdealConditions()
		for i := range conditions.CapacityPerS {
			conditions.CapacityPerS[i] *= rng.Float64()
		}
		if rng.IntN(2) == 0 {
			conditions.Partition(rng.IntN(3), rng.IntN(3))
		}
		if rng.IntN(3) == 0 {
			conditions.LoseSites(f, rng.IntN(3))
		}
		b, err := f.UpperBound(conditions)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&got, seed, conditions.Key(), b.Served, b.ServedBySite, b.Goodput)
	}
	checkGolden(t, "bounds.txt", got.Bytes())
}

// TestGoldenErrors checks that the errors for invalid fleets and conditions do not change.
func TestGoldenErrors(t *testing.T) {
	var got bytes.Buffer
	for _, invalidate := range []func(f *Fleet){
		func(f *Fleet) { f.Replicas = 9 },
		func(f *Fleet) { f.Headroom = 1.5 },
		func(f *Fleet) { f.Servers = nil },
		func(f *Fleet) { f.Servers[2].Site = 7 },
		func(f *Fleet) { f.Servers[1].CapacityPerS = -2.5 },
		func(f *Fleet) { f.Loads[1].ShardsPerSearch = 0 },
		func(f *Fleet) { f.Loads[0].Value = 0 },
	} {
		f := testFleet()
		invalidate(f)
		fmt.Fprintln(&got, f.Check())
	}
	_, err := testFleet().UpperBound(&Conditions{})
	fmt.Fprintln(&got, err)
	checkGolden(t, "errors.txt", got.Bytes())
}
