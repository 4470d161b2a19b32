package capacity

import (
	"math"
	"math/rand/v2"
	"os/exec"
	"strings"
	"testing"
)

// simulatedFleet is an estimator before servers that carry so many sub-requests a second: what is
// admitted beyond comes to harm.
type simulatedFleet struct {
	*Estimator
	t              *testing.T
	rng            *rand.Rand
	now            float64
	serverCapacity float64
	rates          []float64
	values         []float64
	admitted       []float64 // share of each type, in the last run
	harmful        float64
}

func newFleet(t *testing.T, bears float64, rates ...float64) *simulatedFleet {
	f := &simulatedFleet{Estimator: New(DefaultConfig), t: t, rng: rand.New(rand.NewPCG(1, 1)), now: 1000, serverCapacity: bears, rates: rates}
	for i := range rates {
		f.values = append(f.values, float64(i+1))
	}
	f.SetUsable(100)
	return f
}

// run plays so many seconds, and leaves in admitted what share of each type was admitted.
func (f *simulatedFleet) run(seconds float64) {
	f.admitted, f.harmful = make([]float64, len(f.rates)), 0
	steps := int(seconds * 20)
	for range steps {
		f.now += 50
		f.BeginTurn(f.now)
		sent := 0.0
		for i, r := range f.rates {
			f.RecordDemand(f.values[i], int(r/20))
			l, share := f.Threshold(), 1.0
			if l.Value > f.values[i] {
				share = 0
			} else if l.Value == f.values[i] {
				share = 1 - l.RejectedShare
			}
			f.admitted[i] += share / float64(steps)
			sent += share * r
		}
		// Harm rises near to the capacity already, as queues differ by chance.
		harm := min(max(1-f.serverCapacity/max(sent, 1e-9), 0)+max(sent/f.serverCapacity-0.8, 0), 1)
		f.harmful += harm / float64(steps)
		for range int(sent / 20) {
			if f.rng.Float64() < harm {
				f.RecordOutcomes(OutcomeHarmed, f.rng.Float64() < 0.4, 1)
			} else {
				f.RecordOutcomes(OutcomeOK, f.rng.Float64() < 0.4, 1)
			}
		}
		f.EndTurn()
	}
}

func TestFleetBelowCapacityRejectsNothing(t *testing.T) {
	f := newFleet(t, 2000, 400, 400)
	f.run(60)
	if f.AdmittedShare() != 1 || f.Threshold() != (Threshold{}) || f.Decreases > 0 {
		t.Error(f.AdmittedShare(), f.Threshold(), f.Decreases)
	}
	// Four times as much that servers can carry is no overload either.
	f.rates = []float64{900, 700}
	f.run(20)
	if min(f.admitted[0], f.admitted[1]) < 0.999 {
		t.Error("rejected without harm", f.admitted)
	}
}

func TestLowestValuesAreRejectedFirst(t *testing.T) {
	f := newFleet(t, 1000, 500, 500, 500)
	f.run(20)
	f.run(30)
	if f.admitted[2] < 0.999 {
		t.Errorf("the highest value, which servers can carry alone: %.3f admitted", f.admitted[2])
	}
	if f.admitted[1] < 0.3 || f.admitted[0] > 0.1 {
		t.Errorf("admitted %.2f", f.admitted)
	}
	if all := (f.admitted[0] + f.admitted[1] + f.admitted[2]) * 500; all < 700 || all > 1100 {
		t.Errorf("%.0f a second are admitted, and servers carry 1,000", all)
	}
	// The overload ends.
	f.rates = []float64{200, 200, 200}
	f.run(30)
	f.run(10)
	if f.AdmittedShare() < 1 || f.admitted[0] < 0.999 {
		t.Errorf("the overload has ended, and %.2f is admitted: %v", f.AdmittedShare(), f.admitted)
	}
}

// Where the highest value alone is above the capacity, as much of it is admitted as does well, and
// nothing of the others.
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
	was := f.AdmittedShare()
	f.serverCapacity = 500
	f.SetUsable(50)
	if s := f.AdmittedShare(); math.Abs(s-was/2) > 1e-9 {
		t.Fatalf("half of the servers are lost: %.3f of the demand is admitted, %.3f before", s, was)
	}
	f.run(2)
	if f.harmful > 0.45 {
		t.Errorf("%.2f came to harm in the two seconds after the loss", f.harmful)
	}
	f.SetUsable(100)
	if f.AdmittedShare() < was*0.9 {
		t.Errorf("the servers are back, and %.2f of the demand is admitted, %.2f before", f.AdmittedShare(), was)
	}
	was = f.AdmittedShare()
	f.SetUsable(0) // all gone for a moment: what comes back must not meet the minimum share for half a minute
	f.SetUsable(100)
	if f.AdmittedShare() != was {
		t.Errorf("all servers were gone for a moment: %.2f of the demand is admitted, %.2f before", f.AdmittedShare(), was)
	}
	quiet := newFleet(t, 2000, 300)
	quiet.run(5)
	quiet.SetUsable(50)
	quiet.SetUsable(0)
	quiet.SetUsable(100)
	if quiet.AdmittedShare() != 1 {
		t.Error("there was no threshold, and a loss alone made one")
	}
}

// Values without end, as quotas make them: the levels are bounded, and no demand goes uncounted.
func TestLevelsAreBounded(t *testing.T) {
	e := New(DefaultConfig)
	e.admittedShare = 0.5
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range 20000 {
		e.BeginTurn(1000 + float64(i)/10)
		e.RecordDemand(0.1+rng.Float64(), 1)
		if len(e.levels) > DefaultConfig.MaxLevels {
			t.Fatal(len(e.levels))
		}
		e.EndTurn()
	}
	sum, last := 0.0, 0.0
	for _, l := range e.levels {
		if l.value <= last {
			t.Fatal("out of order")
		}
		last = l.value
		sum += l.demand.Sum(e.now, DefaultConfig.WindowMs)
	}
	if sum != 20000 {
		t.Errorf("%v of 20,000 counted", sum)
	}
	if l := e.Threshold(); l.Value < 0.3 || l.Value > 0.9 { // half of the values, which are even over 0.1 to 1.1
		t.Errorf("the threshold is %v", l)
	}
	e.BeginTurn(60000) // levels without demand make room
	for i := range DefaultConfig.MaxLevels {
		e.RecordDemand(10+float64(i), 1)
	}
	if n := len(e.levels); n > DefaultConfig.MaxLevels || e.levels[n-1].value != 10+float64(n-1) && e.levels[n-1].value < 10 {
		t.Error(n, e.levels[n-1].value)
	}
}

func TestPlantedDefects(t *testing.T) {
	if testing.Short() || mutantAny {
		t.Skip("builds the package once for each")
	}
	for _, tag := range []string{"mutant_highest_first", "mutant_stuck", "mutant_blind"} {
		out, err := exec.Command("go", "test", "-count=1", "-short", "-tags", tag, ".").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "--- FAIL") {
			t.Errorf("%s was not found: %v\n%.1000s", tag, err, out)
		}
	}
}
