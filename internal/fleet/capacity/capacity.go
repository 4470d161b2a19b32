// Package capacity learns which share of what is asked servers bear while they are full, and plans with it: below which worth
// searches are refused. It is a reducer: what was asked and how it ended goes in, a line comes out; no I/O, no clock, no chance.
//
// A broker sees only its own part of the load, and knows nothing of a server's capacity. What it can see is harm: its work
// turned away, or late. So it gives a share of what is asked back, the least of worth first, for as long as harm lasts, and
// feels its way up again. All brokers see the same servers and go by the same steps, each of its own: the shares come out
// alike, and the sum is what servers bear. When a site is lost, the share is held against what is left at once.
package capacity

import (
	"math"
	"sort"

	"kestrelspread/internal/window"
)

// Config are the steps. What they bring is measured in docs/measure/site.md.
type Config struct {
	WindowMs       float64 // ms over which it is told who asks for what
	StepIntervalMs float64 // ms between two steps
	MinOutcomes    float64 // sub-requests that ended, under which a step waits
	MaxHarm        float64 // share of them that were turned away or late: over it, back
	LowHarm        float64 // under it, up. Servers' queues differ by chance: where some are full, others are idle still
	MaxHarmOfTop   float64 // harm that is too much while less valued ones are still taken
	DecreaseFactor float64 // a step back
	IncreaseFactor float64
	MinShare       float64 // share that is always taken, or nothing would be heard of servers again
	LateFraction   float64 // share of its latency target past which one sub-request is harm: its search waits for the slowest
	MaxLevels      int     // of worth that are told apart, at most
}

// DefaultConfig are the rules that brokers go by.
var DefaultConfig = Config{WindowMs: 8000, StepIntervalMs: 250, MinOutcomes: 12, MaxHarm: 0.4, LowHarm: 0.3, MaxHarmOfTop: 0.2, DecreaseFactor: 0.95, IncreaseFactor: 1.02, MinShare: 0.05, LateFraction: 0.6, MaxLevels: 64}

// Outcome is how a sub-request ended, as far as it tells of what its server bears.
type Outcome uint8

// How a sub-request ended, as far as the plan has to know.
const (
	OutcomeOK      Outcome = iota
	OutcomeHarmed          // turned away, or late
	OutcomeUnknown         // it tells nothing: unreachable, reset, called off early
)

// Threshold is what servers bear: searches worth less than Worth are beyond it, and of those worth just that the share Beyond.
// Worth 0: all are borne, or nothing is known.
type Threshold struct{ Value, RejectedShare float64 }

type level struct {
	value        float64
	demand       *window.Counts // sub-requests that searches of this worth need
	lastDemandAt float64        // the latest
}

// Estimator is one broker's.
type Estimator struct {
	config           Config
	now              float64
	lastStepAt       float64 // of the latest step
	levels           []level // by worth, the least first
	usable           float64
	admittedShare    float64    // of what is asked; 1: no line
	outcomes, harmed [2]float64 // since the latest step: of all, and of the most valued type
	threshold        Threshold
	Decreases        int // steps back, for reports
}

// New makes a plan without a line.
func New(rules Config) *Estimator {
	return &Estimator{config: rules, lastStepAt: math.Inf(-1), admittedShare: 1}
}

// SetUsable is how much there is to carry it: of what is listed, ready and at no lost site, in the units of the list. Where a line is
// drawn already and half of that goes, half of the share is what is left: nobody has to meet the crowd first.
func (p *Estimator) SetUsable(usable float64) {
	if usable <= 0 {
		return // nothing can be asked then, and of nothing no share of what comes back could be told
	}
	if p.admittedShare < 1 && p.usable > 0 && usable != p.usable && !plantBlind {
		p.admittedShare = min(max(p.admittedShare*usable/p.usable, p.config.MinShare), 1)
	}
	p.usable = usable
}

// AdmittedShare is what of all that is asked is taken.
func (p *Estimator) AdmittedShare() float64 { return p.admittedShare }

// Threshold is the latest.
func (p *Estimator) Threshold() Threshold { return p.threshold }

// BeginTurn opens a turn. Times never fall.
func (p *Estimator) BeginTurn(now float64) { p.now = now }

// RecordDemand counts a search that came, by what it is worth and its number of parts.
func (p *Estimator) RecordDemand(worth float64, parts int) {
	at := sort.Search(len(p.levels), func(i int) bool { return p.levels[i].value >= worth })
	if at == len(p.levels) || p.levels[at].value != worth {
		if len(p.levels) >= p.config.MaxLevels && !p.dropStaleLevel() {
			at = max(min(at, len(p.levels))-1, 0) // counted with the next lower one
		} else {
			at = sort.Search(len(p.levels), func(i int) bool { return p.levels[i].value >= worth })
			p.levels = append(p.levels, level{})
			copy(p.levels[at+1:], p.levels[at:])
			p.levels[at] = level{value: worth, demand: window.NewCounts(10, p.config.WindowMs/8)}
		}
	}
	p.levels[at].demand.Add(p.now, float64(parts))
	p.levels[at].lastDemandAt = p.now
}

// dropStaleLevel drops a level that nobody has asked at for long.
func (p *Estimator) dropStaleLevel() bool {
	for i := range p.levels {
		if p.now-p.levels[i].lastDemandAt > 2*p.config.WindowMs {
			p.levels = append(p.levels[:i], p.levels[i+1:]...)
			return true
		}
	}
	return false
}

// RecordOutcomes counts n sub-requests that came back, of the most valued type (top) or of another. One of the most
// valued that is refused by anything else than the line was harmed in all its parts.
func (p *Estimator) RecordOutcomes(how Outcome, top bool, n float64) {
	for i := range p.outcomes {
		if how == OutcomeUnknown || i == measureTop && !top {
			break
		}
		if p.outcomes[i] += n; how == OutcomeHarmed {
			p.harmed[i] += n
		}
	}
}

const (
	measureAll = 0
	measureTop = 1
)

// AdmitsLowerValues tells whether less valued searches are taken still: then the most valued are to come to no harm by them.
func (p *Estimator) AdmitsLowerValues() bool {
	n := len(p.levels)
	return n > 1 && p.threshold.Value < p.levels[n-1].value
}

// EndTurn closes a turn: true where the line has moved.
func (p *Estimator) EndTurn() bool {
	if p.now < p.lastStepAt+p.config.StepIntervalMs {
		return false
	}
	p.lastStepAt = p.now
	if p.outcomes[measureAll] >= p.config.MinOutcomes {
		most, calm, of := p.config.MaxHarm, p.config.LowHarm, measureAll
		if p.AdmitsLowerValues() {
			// What is slow to one type is quick to another: while there are enough of the most valued, they are the measure.
			if most, calm = p.config.MaxHarmOfTop, p.config.MaxHarmOfTop/2; p.outcomes[measureTop] >= p.config.MinOutcomes/2 {
				of = measureTop
			}
		}
		switch harm := p.harmed[of] / p.outcomes[of]; {
		case harm > most:
			p.admittedShare = max(p.admittedShare*p.config.DecreaseFactor, p.config.MinShare)
			p.Decreases++
		case harm < calm && !plantStuck:
			p.admittedShare = min(p.admittedShare*p.config.IncreaseFactor, 1)
		}
		p.outcomes, p.harmed = [2]float64{}, [2]float64{}
	} else if p.outcomes[measureAll] == 0 && p.admittedShare < 1 {
		p.admittedShare = min(p.admittedShare*p.config.IncreaseFactor, 1) // nothing is heard: whoever asks now is to find out
	}
	was := p.threshold
	p.threshold = p.findThreshold()
	return p.threshold != was
}

// findThreshold finds the worth under which what is beyond the share lies.
func (p *Estimator) findThreshold() Threshold {
	if p.admittedShare >= 1 {
		return Threshold{}
	}
	all := 0.0
	for i := range p.levels {
		all += p.levels[i].demand.Sum(p.now, p.config.WindowMs)
	}
	beyond := (1 - p.admittedShare) * all
	for i := range p.levels {
		if plantMost {
			i = len(p.levels) - 1 - i
		}
		asked := p.levels[i].demand.Sum(p.now, p.config.WindowMs)
		if asked > 0 && asked >= beyond {
			return Threshold{p.levels[i].value, beyond / asked}
		}
		beyond -= asked
	}
	return Threshold{}
}
