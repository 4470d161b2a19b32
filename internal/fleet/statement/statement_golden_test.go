package statement

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"testing"

	"kestrelspread/internal/ledger"
)

var writeGolden = flag.Bool("write-golden", false, "overwrite testdata/golden/statements.txt with the current output")

// TestGoldenStatements checks that the published statements and the stored progress of 40 random fleets have not changed. The golden
// file holds those of the fleet of seed 1 in full, and a digest for each fleet.
func TestGoldenStatements(t *testing.T) {
	var got bytes.Buffer
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8))
		rows := exportedRows(rng, 4, 5)
		if seed%4 == 1 {
			rows[3].Counts[ledger.Searches]++ // makes the row disagree with the closing counts of its instance
		}
		config := Config{ExpectedInstances: []string{"n0", "n1", "n2", "n3", "n4"}, WaitMs: 300}
		target, read, now := &receiver{keys: map[string]string{}}, map[string]int{}, int64(1000)
		sum := fnv.New64a()
		for range 80 {
			now += int64(rng.IntN(200))
			for _, row := range rows {
				if row.RecordedAt <= now && rng.IntN(3) > 0 && int(row.Sequence) == read[row.Instance]+1 {
					read[row.Instance]++
				}
			}
			target.runHolder(t, rows, read, config, now, rng.IntN(9), false)
			fmt.Fprintln(sum, string(target.progress))
			if seed == 1 {
				fmt.Fprintln(&got, string(target.progress))
			}
		}
		for _, key := range target.order {
			fmt.Fprintln(sum, key, target.keys[key])
			if seed == 1 {
				fmt.Fprintln(&got, key, target.keys[key])
			}
		}
		fmt.Fprintf(&got, "%d %d %016x\n", seed, len(target.order), sum.Sum64())
	}
	const name = "testdata/golden/statements.txt"
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
		t.Errorf("statements or progress differ from %s", name)
	}
}
