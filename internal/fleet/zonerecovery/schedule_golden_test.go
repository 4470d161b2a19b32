package zonerecovery

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite the files in testdata/golden")

// TestGoldenStages checks that the bytes published for random observations do not change. The golden file holds the first ones in
// full, and a hash for each seed.
func TestGoldenStages(t *testing.T) {
	var got bytes.Buffer
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		schedule, now := New(DefaultConfig,
			[]byte(`[{"site":2,"share":0.5,"falls":2},{"site":-1,"share":1,"falls":0},{"site":0,"share":1.5,"falls":0}]`), 100), 100.0
		hash := fnv.New64a()
		for range 300 {
			now += 1500 * rng.Float64()
			for range rng.IntN(4) {
				schedule.Observe(now-3000*rng.Float64(), fmt.Sprint("n", rng.IntN(5)), rng.IntN(4)-1, rng.IntN(3) == 0)
			}
			if rng.IntN(40) == 0 {
				now += 90000
			}
			data, changed := schedule.Advance(now)
			fmt.Fprintln(hash, changed, string(data))
			if seed == 0 && changed && got.Len() < 4000 {
				fmt.Fprintln(&got, string(data))
			}
		}
		fmt.Fprintf(&got, "%d %016x\n", seed, hash.Sum64())
	}
	const name = "testdata/golden/stages.txt"
	if *writeGolden {
		if err := os.WriteFile(name, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("the published stages differ from %s", name)
	}
}
