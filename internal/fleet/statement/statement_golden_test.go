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

var writeGolden = flag.Bool("write-golden", false, "write testdata/golden anew")

// TestGoldenStatements freezes what is published and what goes from holder to holder: one fleet in full, 40 as digests.
func TestGoldenStatements(t *testing.T) {
	var got bytes.Buffer
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8))
		rows := exportedRows(rng, 4, 5)
		if seed%4 == 1 {
			rows[3].Counts[ledger.Searches]++ // no longer what its instance closed with
		}
		r := Config{ExpectedInstances: []string{"n0", "n1", "n2", "n3", "n4"}, WaitMs: 300}
		f, read, now := &receiver{keys: map[string]string{}}, map[string]int{}, int64(1000)
		sum := fnv.New64a()
		for range 80 {
			now += int64(rng.IntN(200))
			for _, row := range rows {
				if row.RecordedAt <= now && rng.IntN(3) > 0 && int(row.Sequence) == read[row.Instance]+1 {
					read[row.Instance]++
				}
			}
			f.runHolder(t, rows, read, r, now, rng.IntN(9), false)
			fmt.Fprintln(sum, string(f.progress))
			if seed == 1 {
				fmt.Fprintln(&got, string(f.progress))
			}
		}
		for _, key := range f.order {
			fmt.Fprintln(sum, key, f.keys[key])
			if seed == 1 {
				fmt.Fprintln(&got, key, f.keys[key])
			}
		}
		fmt.Fprintf(&got, "%d %d %016x\n", seed, len(f.order), sum.Sum64())
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
		t.Errorf("what is published differs from %s", name)
	}
}
