package policy

import (
	"testing"
)

// FuzzRules runs a policy with random settings, events, failures and server lists, and checks the
// rules in every step.
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

// The checks must be able to fail: each kind of tampering breaks a decision before it is checked.
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
			t.Errorf("no check detected the tampering %q", tamper)
		}
	}
}

// The same seed and the same events must produce the same decisions.
func TestSameEventsGiveSameDecisions(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		a, b := newWorld(t, seed), newWorld(t, seed)
		for i := 0; i < 500; i++ {
			a.step()
			b.step()
			if a.sends != b.sends || a.finalAnswers != b.finalAnswers || a.wakeAt != b.wakeAt {
				t.Fatalf("seed %d, round %d: two runs with the same events decide differently", seed, i)
			}
		}
	}
}

func TestExtremeSettingsAndArrivals(t *testing.T) {
	for _, c := range []struct {
		name                               string
		servers, kind, requests, positions int
		maxAttempts, maxPending, shard     int
		deadline                           float64
	}{
		{"no server", 0, 0, 2, 1, 4, 0, 0, 4000},
		{"no shard request", 1, 0, 0, 1, 4, 0, 0, 4000},
		{"no attempt allowed", 1, 0, 2, 1, 0, 0, 0, 4000},
		{"no replica", 1, 0, 1, 4, 4, 0, 2, 4000},
		{"deadline passed on arrival", 1, 0, 1, 1, 4, 0, 0, 900},
		{"unknown query type and customer", 1, 9, 1, 1, 4, 0, 0, 4000},
		{"negative numbers", 1, -1, -1, 1, -1, -1, -3, -1},
	} {
		p, out := newTestPolicy(c.servers, func(p *Policy) {
			p.SetFleet(c.positions, 1, 1, 0, false)
			p.SetLimits(c.maxAttempts, c.maxPending, true, true)
		})
		p.BeginRound(1000)
		p.AddSearch(0, c.kind, c.kind, c.deadline, c.requests)
		for i := range c.requests {
			p.AddShardRequest(0, 1+i, c.shard, 1/float64(c.requests), 100, 0)
		}
		p.EndRound()
		if len(out.shed)+len(out.failed) != 1 || len(out.forgotten) != 1 || len(out.sent) != 0 {
			t.Errorf("%s: shed %v, failed %v, sent %v: want one prompt final answer", c.name, out.shed, out.failed, out.sent)
		}
	}
}
