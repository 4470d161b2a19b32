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
	config := lease.DefaultConfig
	config.HandoverMs, config.FailureBackoffMs, config.MaxFailureBackoffMs = 3000, 200, 2000
	return Plan{
		Seed:             seed,
		Voters:           3 + 2*int(seed%2),
		Instances:        6,
		Roles:            3,
		DurationMs:       90000,
		FaultFreeMs:      25000,
		FaultIntervalMs:  1500,
		Config:           config,
		ClockDrift:       0.009,
		EffectIntervalMs: 300,
	}
}

func TestWithoutFaultsEveryRoleIsDone(t *testing.T) {
	p := plan(1)
	p.FaultIntervalMs = 0
	r := Run(p)
	if len(r.Violations) > 0 || r.Effects < 400 || r.Grants != 3 || r.StaleEffects != 0 {
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
	var sum Result
	for seed := range uint64(n) {
		r := Run(plan(seed))
		for _, violation := range r.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if t.Failed() {
			return
		}
		sum.Effects += r.Effects
		sum.StaleEffects += r.StaleEffects
		sum.Grants += r.Grants
		sum.LateEffects += r.LateEffects
		sum.LostDisks += r.LostDisks
		sum.ReplacedVoters += r.ReplacedVoters
		if r.UndecidedHistories > 0 {
			t.Errorf("seed %d: its history can't be decided", seed)
		}
	}
	t.Logf("%d seeds: %d grants, %d effects, %d of stale tokens rejected, %d sent after the lease had run out, %d disks lost, %d voters replaced",
		n, sum.Grants, sum.Effects, sum.StaleEffects, sum.LateEffects, sum.LostDisks, sum.ReplacedVoters)
	if n >= 30 && (sum.StaleEffects == 0 || sum.LateEffects == 0 || sum.ReplacedVoters == 0) {
		t.Error("the fence was never needed, or no disk was replaced: nothing was tested")
	}
}

// Each defect is planted in the product's own code, behind a build tag.
func TestPlantedDefects(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the package once for each")
	}
	// Two that show soon, here; the others take up to some hundred seeds: go test -run Planted
	// ./internal/standin/leasesim -args -planted
	tags := []string{"mutant_reuse", "mutant_answertime"}
	if *planted {
		tags = append(tags, "mutant_back", "mutant_oldword", "mutant_revive", "mutant_oldprogress", "mutant_nowait", "mutant_longhold",
			"mutant_nofence", "mutant_unconfirmed", "mutant_byname")
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

// The model rejects what it is for.
func TestHistoryWithTwoHoldersIsRejected(t *testing.T) {
	op := func(kind string, token uint64, ok bool, call, ret int64) porcupine.Operation {
		return porcupine.Operation{Input: operation{"d", kind, token}, Output: ok, Call: call, Return: ret}
	}
	good := []porcupine.Operation{
		op(eventGranted, 1, true, 0, 10),
		op(operationProgress, 1, true, 12, 20),
		op(eventExpired, 1, true, 15, 30),
		op(eventGranted, 2, true, 31, 40),
		op(operationProgress, 1, false, 25, 50),
		op(operationProgress, 2, true, 42, 60),
	}
	if !porcupine.CheckOperations(model, good) {
		t.Error("a sound history is rejected")
	}
	for name, bad := range map[string]porcupine.Operation{
		"a stale holder's progress is stored": op(operationProgress, 1, true, 45, 70),
		"the holder's progress is rejected":   op(operationProgress, 2, false, 45, 70),
		"a token is granted twice":            op(eventGranted, 2, true, 65, 80),
		"it ends under another's token":       op(eventExpired, 1, true, 45, 70),
		"granted while it has a holder":       op(eventGranted, 3, true, 65, 80),
	} {
		if porcupine.CheckOperations(model, append(append([]porcupine.Operation(nil), good...), bad)) {
			t.Error(name, "and is not found")
		}
	}
}

// Figures for docs/measure/owner.md, by hand: go test -v -run Figures ./internal/standin/leasesim
// -args -figures
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("by hand")
	}
	for _, n := range []int{3, 20, 300} {
		p := plan(1)
		p.Instances, p.Roles, p.FaultIntervalMs, p.EffectIntervalMs, p.DurationMs = n, 10, 0, 1e12, 60000
		r := Run(p)
		t.Logf("at rest, %3d instances, %d voters: %.1f messages a second, %.0f syncs an hour", n, p.Voters, float64(r.Messages)/60, float64(r.Syncs)*60)
	}
	for _, leaseMs := range []float64{500, 1000, 3000, 10000} {
		logTakeovers(t, leaseMs)
	}
}

// logTakeovers plays 20 seeds with all faults, and 20 with link faults alone: a holder that loses
// its role in these was alive all the time.
func logTakeovers(t *testing.T, leaseMs float64) {
	t.Helper()
	var gaps []float64
	needless := 0
	for seed := range uint64(20) {
		p := plan(seed)
		p.Config.LeaseMs, p.Config.FailureBackoffMs = leaseMs, leaseMs
		p.EffectIntervalMs, p.DurationMs, p.FaultFreeMs, p.FaultIntervalMs = leaseMs/10, 40*leaseMs, 4*leaseMs, 6*leaseMs
		gaps = append(gaps, Run(p).TakeoverGapsMs...)
		p.LinkFaultsOnly, p.FaultIntervalMs = true, leaseMs
		needless += Run(p).Grants - p.Roles
	}
	sort.Float64s(gaps)
	t.Logf("lease %5.0f ms: %d take-overs, p50 %.0f ms, p99 %.0f ms between one holder's last effect and the next one's first; %d take-overs in %.0f leases with bad links alone",
		leaseMs, len(gaps), gaps[len(gaps)/2], gaps[len(gaps)*99/100], needless, 20*40.)
}
