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

var writeGolden = flag.Bool("write-golden", false, "write testdata/golden anew")

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
		t.Errorf("%s differs, got:\n%s", name, got)
	}
}

// TestGoldenOutcomes freezes the JSON that `scenario plan --json` prints, and its figures.
func TestGoldenOutcomes(t *testing.T) {
	f := testFleet()
	f.Replicas = 1
	f.Loads[0].MinAnsweredShare = 0.6
	f.Headroom = 0.75
	list, err := f.AllLosses()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "outcomes.json", append(text, '\n'))
}

// TestGoldenBounds freezes upper bounds over random capacities and partitions.
func TestGoldenBounds(t *testing.T) {
	var got bytes.Buffer
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 6))
		f := testFleet()
		f.Replicas = 1 + rng.IntN(3)
		f.Loads[1].MinAnsweredShare = rng.Float64()
		m := f.IdealConditions()
		for i := range m.CapacityPerS {
			m.CapacityPerS[i] *= rng.Float64()
		}
		if rng.IntN(2) == 0 {
			m.Partition(rng.IntN(3), rng.IntN(3))
		}
		if rng.IntN(3) == 0 {
			m.LoseSites(f, rng.IntN(3))
		}
		b, err := f.UpperBound(m)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&got, seed, m.Key(), b.Served, b.ServedBySite, b.Goodput)
	}
	checkGolden(t, "bounds.txt", got.Bytes())
}

// TestGoldenErrors freezes what is said of a fleet that makes no sense.
func TestGoldenErrors(t *testing.T) {
	var got bytes.Buffer
	for _, spoil := range []func(f *Fleet){
		func(f *Fleet) { f.Replicas = 9 },
		func(f *Fleet) { f.Headroom = 1.5 },
		func(f *Fleet) { f.Servers = nil },
		func(f *Fleet) { f.Servers[2].Site = 7 },
		func(f *Fleet) { f.Servers[1].CapacityPerS = -2.5 },
		func(f *Fleet) { f.Loads[1].ShardsPerSearch = 0 },
		func(f *Fleet) { f.Loads[0].Value = 0 },
	} {
		f := testFleet()
		spoil(f)
		fmt.Fprintln(&got, f.Check())
	}
	_, err := testFleet().UpperBound(&Conditions{})
	fmt.Fprintln(&got, err)
	checkGolden(t, "errors.txt", got.Bytes())
}
