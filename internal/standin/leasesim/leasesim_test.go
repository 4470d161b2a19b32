package leasesim

import (
	"os/exec"
	"sort"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"kestrelspread/internal/fleet/lease"
)

func plan(seed uint64) Plan {
	r := lease.DefaultConfig
	r.HandoverMs, r.FailureBackoffMs, r.MaxFailureBackoffMs = 3000, 200, 2000
	return Plan{Seed: seed, Voters: 3 + 2*int(seed%2), Instances: 6, Duties: 3, Until: 90000, Quiet: 25000, Faults: 1500, Rules: r, Drift: 0.009, Work: 300}
}

func TestWithoutFaultsEveryDutyIsDone(t *testing.T) {
	p := plan(1)
	p.Faults = 0
	r := Run(p)
	if len(r.Broken) > 0 || r.Effects < 400 || r.Grants != 3 || r.Old != 0 {
		t.Fatalf("%+v", r)
	}
	if again := Run(p); again.Trace != r.Trace || again.Messages != r.Messages {
		t.Fatal("the same seed gives another run")
	}
}

// Thousands of seeds by hand: go test -run Seeds ./internal/standin/leasesim -args -seeds 3000
func TestSeeds(t *testing.T) {
	n := *seeds
	if testing.Short() {
		n = min(n, 4)
	}
	effects, old, grants, late, lost, replaced := 0, 0, 0, 0, 0, 0
	for seed := range uint64(n) {
		r := Run(plan(seed))
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if t.Failed() {
			return
		}
		effects, old, grants, late = effects+r.Effects, old+r.Old, grants+r.Grants, late+r.Late
		lost, replaced = lost+r.Lost, replaced+r.Replaced
		if r.Unknown > 0 {
			t.Errorf("seed %d: its history can't be decided", seed)
		}
	}
	t.Logf("%d seeds: %d grants, %d effects, %d of old owners refused, %d sent after the lease had run out, %d disks lost, %d voters replaced", n, grants, effects, old, late, lost, replaced)
	if n >= 30 && (old == 0 || late == 0 || replaced == 0) {
		t.Error("the fence was never needed, or no disk was replaced: nothing was tested")
	}
}

// Each defect is planted in the product's own code, behind a build tag.
func TestPlantedDefects(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the package once for each")
	}
	// Two that show soon, here; the others take up to some hundred seeds: go test -run Planted ./internal/standin/leasesim -args -planted
	tags := []string{"plant_reuse", "plant_answertime"}
	if *planted {
		tags = append(tags, "plant_back", "plant_oldword", "plant_revive", "plant_oldprogress", "plant_nowait", "plant_longhold",
			"plant_nofence", "plant_unconfirmed", "plant_byname")
	}
	for _, tag := range tags {
		out, err := exec.Command("go", "test", "-count=1", "-tags", tag, "-run", "TestSeeds", ".", "-args", "-seeds", "600").CombinedOutput()
		at := strings.Index(string(out), "seed ")
		if at < 0 { // the library itself finds a voter that has forgotten what it had agreed to
			at = strings.Index(string(out), "panic: ")
		}
		if err == nil || at < 0 {
			t.Errorf("%s was not found: %v\n%.600s", tag, err, out)
			continue
		}
		line, _, _ := strings.Cut(string(out)[at:], "\n")
		t.Logf("%s found: %.160s", tag, line)
	}
}

// The checker of histories finds what it is for.
func TestAHistoryWithTwoOwnersIsFound(t *testing.T) {
	op := func(what string, token uint64, ok bool, call, ret int64) porcupine.Operation {
		return porcupine.Operation{Input: entry{"d", what, token}, Output: ok, Call: call, Return: ret}
	}
	good := []porcupine.Operation{op("granted", 1, true, 0, 10), op("progress", 1, true, 12, 20), op("expired", 1, true, 15, 30),
		op("granted", 2, true, 31, 40), op("progress", 1, false, 25, 50), op("progress", 2, true, 42, 60)}
	if !porcupine.CheckOperations(model, good) {
		t.Error("a sound history is refused")
	}
	for name, bad := range map[string]porcupine.Operation{
		"an old owner's word is taken":  op("progress", 1, true, 45, 70),
		"the owner's word is refused":   op("progress", 2, false, 45, 70),
		"a token is given twice":        op("granted", 2, true, 65, 80),
		"it ends under another's token": op("expired", 1, true, 45, 70),
		"granted while it has an owner": op("granted", 3, true, 65, 80),
	} {
		if porcupine.CheckOperations(model, append(append([]porcupine.Operation(nil), good...), bad)) {
			t.Error(name, "and is not found")
		}
	}
}

// Figures for docs/measure/owner.md, by hand: go test -v -run Figures ./internal/standin/leasesim -args -figures
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("by hand")
	}
	for _, n := range []int{3, 20, 300} {
		p := plan(1)
		p.Instances, p.Duties, p.Faults, p.Work, p.Until = n, 10, 0, 1e12, 60000
		r := Run(p)
		t.Logf("at rest, %3d instances, %d voters: %.1f messages a second, %.0f syncs an hour", n, p.Voters, float64(r.Messages)/60, float64(r.Syncs)*60)
	}
	for _, lease := range []float64{500, 1000, 3000, 10000} {
		var list []float64
		false_, grants := 0, 0
		for seed := range uint64(20) {
			p := plan(seed)
			p.Rules.LeaseMs, p.Rules.FailureBackoffMs = lease, lease
			p.Work, p.Until, p.Quiet, p.Faults = lease/10, 40*lease, 4*lease, 6*lease
			r := Run(p)
			list = append(list, r.Takeovers...)
			grants += r.Grants
			p.Calm, p.Faults = true, lease // links alone: an owner that loses its duty then was there all the time
			false_ += Run(p).Grants - p.Duties
		}
		sort.Float64s(list)
		t.Logf("lease %5.0f ms: %d take-overs, p50 %.0f ms, p99 %.0f ms between one owner's last effect and the next one's first; %d take-overs in %.0f leases with bad links alone",
			lease, len(list), list[len(list)/2], list[len(list)*99/100], false_, 20*40.)
	}
}
