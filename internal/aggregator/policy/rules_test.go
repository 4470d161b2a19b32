package policy

import (
	"testing"
)

// FuzzRules runs random events with random settings, failures and server lists, and checks the rules
// after every step.
func FuzzRules(f *testing.F) {
	for seed := int64(1); seed <= 150; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		w := newWorld(t, seed)
		for i := 0; i < 1500 && len(w.violations) == 0; i++ {
			w.step()
			if w.random.Intn(700) == 0 {
				w.start()
			}
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
	})
}

// The checker must be able to fail: each tampering breaks a decision before it is checked.
func TestCheckerDetectsBrokenDecisions(t *testing.T) {
	for _, tamper := range []string{"drained", "twice", "whole", "late"} {
		detected := false
		for seed := int64(1); seed <= 40 && !detected; seed++ {
			w := newWorld(t, seed)
			w.tamper = tamper
			for i := 0; i < 400 && !detected; i++ {
				w.step()
				detected = len(w.violations) > 0
			}
		}
		if !detected {
			t.Errorf("nothing noticed that a decision was broken: %s", tamper)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		a, b := newWorld(t, seed), newWorld(t, seed)
		for i := 0; i < 500; i++ {
			a.step()
			b.step()
			if a.sends != b.sends || a.finalAnswers != b.finalAnswers || a.wakeAt != b.wakeAt {
				t.Fatalf("seed %d, round %d: two runs of the same events differ", seed, i)
			}
		}
	}
}

func TestExtremeSettingsAndArrivals(t *testing.T) {
	for _, c := range []struct {
		name                               string
		servers, kind, requests, positions int
		maxAttempts, maxPending, shard     int
		until                              float64
	}{
		{"no server", 0, 0, 2, 1, 4, 0, 0, 4000},
		{"no part", 1, 0, 0, 1, 4, 0, 0, 4000},
		{"no try allowed", 1, 0, 2, 1, 0, 0, 0, 4000},
		{"no holder", 1, 0, 1, 4, 4, 0, 2, 4000},
		{"past on arrival", 1, 0, 1, 1, 4, 0, 0, 900},
		{"unknown query type and customer", 1, 9, 1, 1, 4, 0, 0, 4000},
		{"negative numbers", 1, -1, -1, 1, -1, -1, -3, -1},
	} {
		b, n := newTestPolicy(c.servers, func(b *Policy) {
			b.Fleet(c.positions, 1, 1, 0, false)
			b.Limits(c.maxAttempts, c.maxPending, true, true)
		})
		b.Begin(1000)
		b.Search(0, c.kind, c.kind, c.until, c.requests)
		for i := range c.requests {
			b.ShardRequest(0, 1+i, c.shard, 1/float64(c.requests), 100, 0)
		}
		b.End()
		if len(n.shed)+len(n.failed) != 1 || len(n.forgotten) != 1 || len(n.sent) != 0 {
			t.Errorf("%s: shed %v, failed %v, sent %v: want one prompt final answer", c.name, n.shed, n.failed, n.sent)
		}
	}
}
