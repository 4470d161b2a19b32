package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
)

// Step is one step of a schedule: a fault starts, or ends.
type Step struct {
	AtS        float64
	Ends       bool
	FaultIndex int    // in the time line
	Round      int    // of a periodic fault
	Target     string // instance; empty: the fault names its targets itself
	Fault      Fault
}

// String is the step as a schedule prints it.
func (s Step) String() string {
	word := "begins"
	if s.Ends {
		word = "ends"
	}
	what := strings.TrimSpace(fmt.Sprintf("%s %s %s", s.Fault.Action, s.Fault.Target, s.Target))
	if s.Fault.Source != "" {
		what = fmt.Sprintf("%s %s to %s (%s)", s.Fault.Action, s.Fault.Source, s.Fault.Destination, s.Fault.Direction)
	}
	return fmt.Sprintf("%8.3f s  %s %s", s.AtS, what, word)
}

// Schedule is the time line as steps in order of time: a function of the file alone. resolve returns the instances that a pattern
// selects.
func (f *File) Schedule(resolve func(pattern string, share float64) []string) (steps []Step) {
	random := rand.New(rand.NewPCG(f.Seed, scheduleStream))
	for i, fault := range f.Timeline {
		lastS := fault.AtS
		if fault.PeriodS > 0 {
			lastS = fault.UntilS - 1e-9 // UntilS itself is excluded
		}
		for round, roundS := 0, fault.AtS; roundS <= lastS; round, roundS = round+1, roundS+max(fault.PeriodS, 1e-3) {
			targets := []string{""}
			if fault.Target != "" && fault.Action != "lose" && fault.Action != "load" {
				targets = resolve(fault.Target, fault.Share)
			}
			for _, target := range targets {
				startS := roundS
				if fault.SpreadS > 0 {
					startS += fault.SpreadS * random.Float64()
				}
				step := Step{AtS: startS, FaultIndex: i, Round: round, Target: target, Fault: fault}
				steps = append(steps, step)
				if fault.DurationS > 0 {
					step.AtS += fault.DurationS
					step.Ends = true
					steps = append(steps, step)
				}
			}
			if fault.PeriodS == 0 {
				break
			}
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AtS < steps[j].AtS })
	return steps
}

// FirstFaultS is when the first fault starts; positive infinity without one.
func (f *File) FirstFaultS() float64 {
	first := math.Inf(1)
	for _, fault := range f.Timeline {
		first = min(first, fault.AtS)
	}
	return first
}
