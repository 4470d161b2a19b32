package capacity

import (
	"math"
	"math/rand/v2"
	"os/exec"
	"strings"
	"testing"
)

// simulatedFleet is an estimator in front of simulated servers that can carry serverCapacity sub-requests a second. The more of
// them are admitted, the larger is the share that ends overloaded.
type simulatedFleet struct {
	*Estimator
	t              *testing.T
	rng            *rand.Rand
	now            float64   // ms
	serverCapacity float64   // sub-requests a second
	rates          []float64 // by query type, sub-requests a second
	values         []float64 // by query type
	admitted       []float64 // by query type: the share admitted in the latest run
	overloaded     float64   // share of overloaded sub-requests in the latest run
}

// newFleet returns a fleet with the given rate of sub-requests for each query type; the types have the values 1, 2 and so on.
func newFleet(t *testing.T, serverCapacity float64, rates ...float64) *simulatedFleet {
	f := &simulatedFleet{
		Estimator: New(DefaultConfig), t: t, rng: rand.New(rand.NewPCG(1, 1)),
		now: 1000, serverCapacity: serverCapacity, rates: rates,
	}
	for i := range rates {
		f.values = append(f.values, float64(i+1))
	}
	f.SetUsableCapacity(100)
	return f
}

// run simulates a number of seconds, and sets admitted and overloaded to their averages over that time.
func (f *simulatedFleet) run(seconds float64) {
	f.admitted, f.overloaded = make([]float64, len(f.rates)), 0
	steps := int(seconds * 20)
	for range steps {
		f.now += 50
		f.BeginRound(f.now)
		sent := 0.0
		for i, r := range f.rates {
			f.RecordDemand(f.values[i], int(r/20))
			threshold, share := f.Threshold(), 1.0
			if threshold.Value > f.values[i] {
				share = 0
			} else if threshold.Value == f.values[i] {
				share = 1 - threshold.RejectedShare
			}
			f.admitted[i] += share / float64(steps)
			sent += share * r
		}
		// Some sub-requests are overloaded from 80% of the capacity on, as queue lengths differ by chance.
		overloaded := min(max(1-f.serverCapacity/max(sent, 1e-9), 0)+max(sent/f.serverCapacity-0.8, 0), 1)
		f.overloaded += overloaded / float64(steps)
		for range int(sent / 20) {
			if f.rng.Float64() < overloaded {
				f.RecordOutcomes(OutcomeOverloaded, f.rng.Float64() < 0.4, 1)
			} else {
				f.RecordOutcomes(OutcomeOK, f.rng.Float64() < 0.4, 1)
			}
		}
		f.EndRound()
	}
}

func TestFleetBelowCapacityRejectsNothing(t *testing.T) {
	f := newFleet(t, 2000, 400, 400)
	f.run(60)
	if f.AdmittedShare() != 1 || f.Threshold() != (Threshold{}) || f.Decreases > 0 {
		t.Errorf("below capacity: admitted share %v, threshold %v, %d decreases", f.AdmittedShare(), f.Threshold(), f.Decreases)
	}
	// 1,600 a second, which the servers can still carry, is no overload either.
	f.rates = []float64{900, 700}
	f.run(20)
	if min(f.admitted[0], f.admitted[1]) < 0.999 {
		t.Error("searches were rejected below capacity: admitted", f.admitted)
	}
}

func TestLowestValuesAreRejectedFirst(t *testing.T) {
	f := newFleet(t, 1000, 500, 500, 500)
	f.run(20)
	f.run(30)
	if f.admitted[2] < 0.999 {
		t.Errorf("servers can carry the highest value alone, but only %.3f of it is admitted", f.admitted[2])
	}
	if f.admitted[1] < 0.3 || f.admitted[0] > 0.1 {
		t.Errorf("admitted %.2f", f.admitted)
	}
	if all := (f.admitted[0] + f.admitted[1] + f.admitted[2]) * 500; all < 700 || all > 1100 {
		t.Errorf("%.0f sub-requests a second are admitted, and servers can carry 1,000", all)
	}
	// After the overload has ended, everything is admitted again.
	f.rates = []float64{200, 200, 200}
	f.run(30)
	f.run(10)
	if f.AdmittedShare() < 1 || f.admitted[0] < 0.999 {
		t.Errorf("the overload has ended, but the admitted share is %.2f; by type: %v", f.AdmittedShare(), f.admitted)
	}
}

// When the demand of the highest value alone exceeds the capacity, a part of it is admitted and nothing of the lower value.
func TestTopValueAboveCapacityIsAdmittedInPart(t *testing.T) {
	f := newFleet(t, 1000, 400, 1600)
	f.run(30)
	f.run(30)
	if f.admitted[0] > 0.02 || f.admitted[1] < 0.5 || f.admitted[1] > 0.85 {
		t.Errorf("admitted %.2f", f.admitted)
	}
}

func TestLostCapacityScalesAdmittedShare(t *testing.T) {
	f := newFleet(t, 1000, 800, 800)
	f.run(30)
	before := f.AdmittedShare()
	f.serverCapacity = 500
	f.SetUsableCapacity(50)
	if s := f.AdmittedShare(); math.Abs(s-before/2) > 1e-9 {
		t.Fatalf("half of the capacity is lost: the admitted share is %.3f, %.3f before the loss", s, before)
	}
	f.run(2)
	if f.overloaded > 0.45 {
		t.Errorf("%.2f of the sub-requests were overloaded in the two seconds after the loss", f.overloaded)
	}
	f.SetUsableCapacity(100)
	if f.AdmittedShare() < before*0.9 {
		t.Errorf("the servers are back, but the admitted share is %.2f, %.2f before the loss", f.AdmittedShare(), before)
	}
	before = f.AdmittedShare()
	// All servers are gone for a moment: the admitted share must not have to recover from its minimum, which takes half a minute.
	f.SetUsableCapacity(0)
	f.SetUsableCapacity(100)
	if f.AdmittedShare() != before {
		t.Errorf("all servers were gone for a moment: the admitted share is %.2f, %.2f before", f.AdmittedShare(), before)
	}
	quiet := newFleet(t, 2000, 300)
	quiet.run(5)
	quiet.SetUsableCapacity(50)
	quiet.SetUsableCapacity(0)
	quiet.SetUsableCapacity(100)
	if quiet.AdmittedShare() != 1 {
		t.Error("a loss of capacity without overload has set a threshold")
	}
}

// Quotas can produce any number of distinct values: the number of levels stays bounded, and all demand is counted.
func TestLevelsAreBounded(t *testing.T) {
	e := New(DefaultConfig)
	e.admittedShare = 0.5
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range 20000 {
		e.BeginRound(1000 + float64(i)/10)
		e.RecordDemand(0.1+rng.Float64(), 1)
		if len(e.levels) > DefaultConfig.MaxLevels {
			t.Fatalf("%d levels, at most %d are allowed", len(e.levels), DefaultConfig.MaxLevels)
		}
		e.EndRound()
	}
	sum, last := 0.0, 0.0
	for _, l := range e.levels {
		if l.value <= last {
			t.Fatalf("level values are not ascending: %v after %v", l.value, last)
		}
		last = l.value
		sum += l.demand.Sum(e.now, DefaultConfig.WindowMs)
	}
	if sum != 20000 {
		t.Errorf("%v of 20,000 sub-requests are counted", sum)
	}
	if l := e.Threshold(); l.Value < 0.3 || l.Value > 0.9 { // half of the values, which are uniform over 0.1 to 1.1, are below 0.6
		t.Errorf("the threshold is %v", l)
	}
	e.BeginRound(60000) // stale levels are dropped to make room for new values
	for i := range DefaultConfig.MaxLevels {
		e.RecordDemand(10+float64(i), 1)
	}
	if n := len(e.levels); n > DefaultConfig.MaxLevels || e.levels[n-1].value != 10+float64(n-1) && e.levels[n-1].value < 10 {
		t.Errorf("%d levels after new values, the highest is %v", n, e.levels[n-1].value)
	}
}

// Each defect behind a build tag must make the tests of this package fail.
func TestPlantedDefects(t *testing.T) {
	if testing.Short() || mutantAny {
		t.Skip("builds and tests the package once for each defect")
	}
	for _, tag := range []string{"mutant_highest_first", "mutant_stuck", "mutant_blind"} {
		out, err := exec.Command("go", "test", "-count=1", "-short", "-tags", tag, ".").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "--- FAIL") {
			t.Errorf("no test found the defect %s: %v\n%.1000s", tag, err, out)
		}
	}
}
