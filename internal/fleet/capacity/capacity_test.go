package capacity

import (
	"math"
	"math/rand/v2"
	"os/exec"
	"strings"
	"testing"
)

// fleet is a plan before servers that bear so many sub-requests a second: what is taken beyond it comes to harm.
type fleet struct {
	*Plan
	t       *testing.T
	rng     *rand.Rand
	now     float64
	bears   float64
	rates   []float64
	worths  []float64
	taken   []float64 // of each, in the last stretch
	harmful float64
}

func newFleet(t *testing.T, bears float64, rates ...float64) *fleet {
	f := &fleet{Plan: New(Usual), t: t, rng: rand.New(rand.NewPCG(1, 1)), now: 1000, bears: bears, rates: rates}
	for i := range rates {
		f.worths = append(f.worths, float64(i+1))
	}
	f.Size(100)
	return f
}

// run plays so many seconds and leaves in taken what share of each type was taken.
func (f *fleet) run(seconds float64) {
	f.taken, f.harmful = make([]float64, len(f.rates)), 0
	steps := int(seconds * 20)
	for range steps {
		f.now += 50
		f.Begin(f.now)
		sent := 0.0
		for i, r := range f.rates {
			f.Asked(f.worths[i], int(r/20))
			l, share := f.Line(), 1.0
			if l.Worth > f.worths[i] {
				share = 0
			} else if l.Worth == f.worths[i] {
				share = 1 - l.Beyond
			}
			f.taken[i] += share / float64(steps)
			sent += share * r
		}
		// Harm rises as servers come near to what they bear, as queues differ by chance.
		harm := min(max(1-f.bears/max(sent, 1e-9), 0)+max(sent/f.bears-0.8, 0), 1)
		f.harmful += harm / float64(steps)
		for range int(sent / 20) {
			if f.rng.Float64() < harm {
				f.Ended(Harm, f.rng.Float64() < 0.4, 1)
			} else {
				f.Ended(Well, f.rng.Float64() < 0.4, 1)
			}
		}
		f.End()
	}
}

func TestAQuietFleetHasNoLine(t *testing.T) {
	f := newFleet(t, 2000, 400, 400)
	f.run(60)
	if f.Share() != 1 || f.Line() != (Line{}) || f.Back > 0 {
		t.Error(f.Share(), f.Line(), f.Back)
	}
	// A morning of four times as much that servers bear is no crowd either.
	f.rates = []float64{900, 700}
	f.run(20)
	if min(f.taken[0], f.taken[1]) < 0.999 {
		t.Error("refused without harm", f.taken)
	}
}

func TestTheLeastValuedAreRefusedFirst(t *testing.T) {
	f := newFleet(t, 1000, 500, 500, 500)
	f.run(20)
	f.run(30)
	if f.taken[2] < 0.999 {
		t.Errorf("the most valued type, which servers bear alone: %.3f taken", f.taken[2])
	}
	if f.taken[1] < 0.3 || f.taken[0] > 0.1 {
		t.Errorf("taken %.2f", f.taken)
	}
	if all := (f.taken[0] + f.taken[1] + f.taken[2]) * 500; all < 700 || all > 1100 {
		t.Errorf("%.0f a second are taken of 1,000 that servers bear", all)
	}
	// The crowd goes.
	f.rates = []float64{200, 200, 200}
	f.run(30)
	f.run(10)
	if f.Share() < 1 || f.taken[0] < 0.999 {
		t.Errorf("the crowd has gone, and %.2f is taken: %v", f.Share(), f.taken)
	}
}

// Where the most valued alone are more than servers bear, as many of them are taken as do well, and none of the others.
func TestTooManyOfTheMostValued(t *testing.T) {
	f := newFleet(t, 1000, 400, 1600)
	f.run(30)
	f.run(30)
	if f.taken[0] > 0.02 || f.taken[1] < 0.5 || f.taken[1] > 0.85 {
		t.Errorf("taken %.2f", f.taken)
	}
}

func TestHalfOfWhatIsLeftIsHalfOfTheShare(t *testing.T) {
	f := newFleet(t, 1000, 800, 800)
	f.run(30)
	was := f.Share()
	f.bears = 500
	f.Size(50)
	if s := f.Share(); math.Abs(s-was/2) > 1e-9 {
		t.Fatalf("half of it is lost: %.3f of what is asked, %.3f before", s, was)
	}
	f.run(2)
	if f.harmful > 0.45 {
		t.Errorf("%.2f came to harm in the two seconds after the loss", f.harmful)
	}
	f.Size(100)
	if f.Share() < was*0.9 {
		t.Errorf("it is back, and %.2f of what is asked is taken, %.2f before", f.Share(), was)
	}
	was = f.Share()
	f.Size(0) // all gone for a moment: what comes back is not met with the least share for half a minute
	f.Size(100)
	if f.Share() != was {
		t.Errorf("all was gone for a moment: %.2f of what is asked is taken, %.2f before", f.Share(), was)
	}
	quiet := newFleet(t, 2000, 300)
	quiet.run(5)
	quiet.Size(50)
	quiet.Size(0)
	quiet.Size(100)
	if quiet.Share() != 1 {
		t.Error("there was no line, and one is drawn by a loss alone")
	}
}

// Worths without end, as quotas make them: what is kept is bounded, and nothing of what is asked goes uncounted.
func TestLevelsAreBounded(t *testing.T) {
	p := New(Usual)
	p.share = 0.5
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range 20000 {
		p.Begin(1000 + float64(i)/10)
		p.Asked(0.1+rng.Float64(), 1)
		if len(p.levels) > Usual.Levels {
			t.Fatal(len(p.levels))
		}
		p.End()
	}
	sum, last := 0.0, 0.0
	for _, l := range p.levels {
		if l.worth <= last {
			t.Fatal("out of order")
		}
		last = l.worth
		sum += l.asked.Sum(p.now, Usual.Span)
	}
	if sum != 20000 {
		t.Errorf("%v of 20,000 counted", sum)
	}
	if l := p.Line(); l.Worth < 0.3 || l.Worth > 0.9 { // half of worths spread alike over 0.1 to 1.1
		t.Errorf("the line lies at %v", l)
	}
	p.Begin(60000) // what nobody asks at any more makes room
	for i := range Usual.Levels {
		p.Asked(10+float64(i), 1)
	}
	if n := len(p.levels); n > Usual.Levels || p.levels[n-1].worth != 10+float64(n-1) && p.levels[n-1].worth < 10 {
		t.Error(n, p.levels[n-1].worth)
	}
}

func TestPlantedDefects(t *testing.T) {
	if testing.Short() || plantAny {
		t.Skip("builds the package once for each")
	}
	for _, tag := range []string{"plant_most", "plant_stuck", "plant_blind"} {
		out, err := exec.Command("go", "test", "-count=1", "-short", "-tags", tag, ".").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "--- FAIL") {
			t.Errorf("%s was not found: %v\n%.1000s", tag, err, out)
		}
	}
}
