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

var writeGolden = flag.Bool("write-golden", false, "overwrite testdata/golden/trace.txt with the current trace")

// decisionTrace runs one random script with all kinds of input, and returns every change and the final states as text.
func decisionTrace(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	sizes := make([]int, 2+rng.IntN(4))
	for i := range sizes {
		sizes[i] = 2 + rng.IntN(20)
	}
	p := newScenario(DefaultConfig, rng.IntN(len(sizes)+1)-1, sizes...)
	if rng.IntN(2) == 0 {
		p.SetLatencyTarget(100 + 2000*rng.Float64())
	}
	p.runHealthy(rng.IntN(8))
	dead := map[int]bool{}
	for range 60 {
		at := rng.IntN(len(sizes))
		switch rng.IntN(8) {
		case 0:
			dead[at] = true
		case 1:
			delete(dead, at)
		case 2:
			p.HandlePeerReport(fmt.Sprint("peer", rng.IntN(4)), at, rng.IntN(2) == 0, 6000*rng.Float64())
		case 3:
			p.HandleRecoveryShare(at, rng.Float64(), 6000*rng.Float64())
		case 4:
			p.SetServer(p.sites[at][rng.IntN(len(p.sites[at]))], at, rng.IntN(3) > 0)
		case 5:
			p.now += 300 * rng.Float64()
		}
		var ids []int
		for _, s := range p.sites {
			for _, id := range s {
				if rng.IntN(2) == 0 {
					ids = append(ids, id)
				}
			}
		}
		sent := p.sendBurst(ids...)
		p.advanceTo(p.now + 60*rng.Float64())
		p.BeginTurn(p.now)
		for _, id := range ids {
			alive := !dead[id%len(sizes)] && !dead[p.servers[id].site] && rng.IntN(12) > 0
			p.RecordDone(id, sent, alive, !alive && rng.IntN(4) == 0)
		}
		p.changes = append(p.changes, p.EndTurn()...)
		p.advanceTo(p.now + 900*rng.Float64())
	}
	var b bytes.Buffer
	for _, c := range p.changes {
		fmt.Fprintln(&b, c.Site, c.From, c.To, c.ProbeSpreadMs, c.FailedServers, c.SilentMs, c.Isolated, c.FalseAlarmMs, c.ProbeHint)
	}
	for at := range sizes {
		fmt.Fprintln(&b, p.State(at), p.RecentLosses(at))
	}
	fmt.Fprintln(&b, p.TimeoutMs(), p.FalseAlarms)
	return b.String()
}

// TestGoldenTrace checks that the detector's decisions have not changed in any digit. It compares the digest of all changes of each of
// 200 random scripts with testdata/golden/trace.txt.
func TestGoldenTrace(t *testing.T) {
	if mutantAny {
		t.Skip("mutants decide differently; other tests have to detect them")
	}
	var got bytes.Buffer
	for seed := range uint64(200) {
		text := decisionTrace(seed)
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
		t.Errorf("the detector's decisions differ from %s", name)
	}
}
