package faultrun

import (
	"flag"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

var (
	seedCount = flag.Int("seeds", 60, "how many seeds to play")
	firstSeed = flag.Uint64("first-seed", 0, "the first of them")
	onlyFirst = flag.Bool("only-first", false, "end with the first seed that breaks something")
)

func TestSeeds(t *testing.T) {
	seeds := *seedCount
	if testing.Short() {
		seeds = 8
	}
	var broken atomic.Bool
	for i := range uint64(seeds) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if *onlyFirst && broken.Load() {
				return
			}
			r := Play(PlanOf(seed), false)
			if r.Violation == "" {
				t.Logf("%d changes, %d reads, %d relayed, longest %v, unclear %v", r.AckedChanges, r.Reads, r.RelayedMessages, r.MaxOrderWait, r.HistoryUnchecked)
				return
			}
			broken.Store(true)
			t.Errorf("seed %d (core %d, tolerance %d, padding %d, pause %v, delay %v): %s", seed, r.Plan.CoreSize, r.Plan.Tolerance, r.Plan.MaxPadding,
				r.Plan.OperatorInterval, r.Plan.MessageDelay, r.Violation)
			if testing.Verbose() {
				t.Log(strings.Join(Play(r.Plan, true).Trace, "\n"))
			}
		})
	}
}

// TestRunIsDeterministic runs plans twice and compares the traces.
func TestRunIsDeterministic(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		first, second := Play(PlanOf(seed), true), Play(PlanOf(seed), true)
		for i := range first.Trace {
			if i >= len(second.Trace) || first.Trace[i] != second.Trace[i] {
				t.Fatalf("seed %d differs from line %d on:\n%s\n%s", seed, i, first.Trace[i], second.Trace[min(i, len(second.Trace)-1)])
			}
		}
	}
}
