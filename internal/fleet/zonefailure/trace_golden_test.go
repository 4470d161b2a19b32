package zonefailure

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/golden anew")

// trace plays one random script with all kinds of input and gives every change as text.
func trace(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	sizes := make([]int, 2+rng.IntN(4))
	for i := range sizes {
		sizes[i] = 2 + rng.IntN(20)
	}
	p := sites(Usual, rng.IntN(len(sizes)+1)-1, sizes...)
	if rng.IntN(2) == 0 {
		p.Target(100 + 2000*rng.Float64())
	}
	p.usual(rng.IntN(8))
	dead := map[int]bool{}
	for range 60 {
		at := rng.IntN(len(sizes))
		switch rng.IntN(8) {
		case 0:
			dead[at] = true
		case 1:
			delete(dead, at)
		case 2:
			p.Told(fmt.Sprint("peer", rng.IntN(4)), at, rng.IntN(2) == 0, 6000*rng.Float64())
		case 3:
			p.Staged(at, rng.Float64(), 6000*rng.Float64())
		case 4:
			p.Server(p.sites[at][rng.IntN(len(p.sites[at]))], at, rng.IntN(3) > 0)
		case 5:
			p.at += 300 * rng.Float64()
		}
		var ids []int
		for _, s := range p.sites {
			for _, id := range s {
				if rng.IntN(2) == 0 {
					ids = append(ids, id)
				}
			}
		}
		sent := p.burst(ids...)
		p.to(p.at + 60*rng.Float64())
		p.Begin(p.at)
		for _, id := range ids {
			alive := !dead[id%len(sizes)] && !dead[p.servers[id].site] && rng.IntN(12) > 0
			p.Done(id, sent, alive, !alive && rng.IntN(4) == 0)
		}
		p.changes = append(p.changes, p.End()...)
		p.to(p.at + 900*rng.Float64())
	}
	var b bytes.Buffer
	for _, c := range p.changes {
		fmt.Fprintln(&b, c.Site, c.From, c.To, c.Spread, c.Failed, c.Mute, c.Alone, c.Wrong, c.Hint)
	}
	for at := range sizes {
		fmt.Fprintln(&b, p.State(at), p.Losses(at))
	}
	fmt.Fprintln(&b, p.Line(), p.False)
	return b.String()
}

// TestGoldenTrace freezes what the detector decides, to the digit: a digest of all changes for each of 200 random scripts.
func TestGoldenTrace(t *testing.T) {
	if plantAny {
		t.Skip("mutants decide otherwise; the tests of behaviour find them")
	}
	var got bytes.Buffer
	for seed := range uint64(200) {
		text := trace(seed)
		sum := fnv.New64a()
		sum.Write([]byte(text))
		fmt.Fprintf(&got, "%d %d %016x\n", seed, bytes.Count([]byte(text), []byte("\n")), sum.Sum64())
	}
	const name = "testdata/golden/trace.txt"
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
		t.Errorf("decisions differ from %s", name)
	}
}
