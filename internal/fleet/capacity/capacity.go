// Package capacity learns which share of the demand the servers can carry while they are at
// capacity, and derives a threshold from it: below which value searches are rejected. It is a
// reducer: demand and outcomes go in, a threshold comes out; no I/O, no clock, no randomness.
//
// A broker sees only its own part of the load, and does not know a server's capacity. What it can
// see is harm: its work rejected by a server, or late. So the admitted share decreases for as long
// as harm lasts, the lowest values first, and increases again in small steps (multiplicative
// decrease and increase). All brokers see the same servers and take the same steps, each of its
// own: their shares converge, and the sum is what the servers carry. When a site is lost, the
// share is scaled to what is left at once.
package capacity

import (
	"math"
	"sort"

	"kestrelspread/internal/window"
)

// Config has the steps of the estimator. Their effect is measured in docs/measure/site.md.
type Config struct {
	WindowMs       float64 // over which demand is summed
	StepIntervalMs float64
	MinOutcomes    float64 // sub-requests that ended, below which a step waits
	MaxHarm        float64 // harmed share of the outcomes above which the admitted share decreases
	// LowHarm is the harmed share below which the admitted share increases. Servers' queues differ
	// by chance: where some are full, others are idle still.
	LowHarm        float64
	MaxHarmOfTop   float64 // in place of MaxHarm while lower values are admitted
	DecreaseFactor float64
	IncreaseFactor float64
	// MinShare is always admitted: without any outcomes the estimator would learn nothing again.
	MinShare float64
	// LateFraction is the fraction of the latency target past which one sub-request counts as
	// late: its search waits for the slowest.
	LateFraction float64
	MaxLevels    int // of values that are kept apart
}

// DefaultConfig is what brokers use.
var DefaultConfig = Config{
	WindowMs:       8000,
	StepIntervalMs: 250,
	MinOutcomes:    12,
	MaxHarm:        0.4,
	LowHarm:        0.3,
	MaxHarmOfTop:   0.2,
	DecreaseFactor: 0.95,
	IncreaseFactor: 1.02,
	MinShare:       0.05,
	LateFraction:   0.6,
	MaxLevels:      64,
}

// A level's demand is counted in buckets of an eighth of the window, and more of them than eight,
// so that they cover the window also while a bucket begins.
const (
	demandBuckets    = 10
	bucketsPerWindow = 8
)

// Outcome is how a sub-request ended, as far as it tells of its server's capacity.
type Outcome uint8

// The outcomes.
const (
	OutcomeOK      Outcome = iota
	OutcomeHarmed          // rejected by the server, or late
	OutcomeUnknown         // it tells nothing: unreachable, reset, cancelled early
)

// Threshold is what is beyond the servers' capacity: searches of less than Value, and of those of
// just that Value the RejectedShare. A Value of 0 rejects nothing.
type Threshold struct{ Value, RejectedShare float64 }

// level is the demand at one value.
type level struct {
	value        float64
	demand       *window.Counts // sub-requests that its searches need
	lastDemandAt float64
}

// tally counts outcomes since the latest step.
type tally struct{ ended, harmed float64 }

func (t *tally) harm() float64 { return t.harmed / t.ended }

// Estimator is one broker's. Times are ms and never fall.
type Estimator struct {
	config        Config
	now           float64
	lastStepAt    float64
	levels        []level // by value, the lowest first
	usable        float64 // capacity, in the units of the server list
	admittedShare float64 // of the demand; 1: no threshold
	all           tally
	top           tally // of the highest value alone
	threshold     Threshold
	Decreases     int // steps down so far, for reports
}

// New returns an estimator that admits all.
func New(config Config) *Estimator {
	return &Estimator{config: config, lastStepAt: math.Inf(-1), admittedShare: 1}
}

// SetUsable sets how much there is to carry the demand: what is listed, ready and at no lost site,
// in the units of the list. While there is a threshold, the admitted share is scaled with it: when
// half of the servers go, half of the share is left at once. (At 0 nothing can be served, and no
// share of what comes back could be derived.)
func (e *Estimator) SetUsable(usable float64) {
	if usable <= 0 {
		return
	}
	changed := e.usable > 0 && usable != e.usable
	if e.admittedShare < 1 && changed && !mutantBlind {
		e.admittedShare = min(max(e.admittedShare*usable/e.usable, e.config.MinShare), 1)
	}
	e.usable = usable
}

// AdmittedShare is the share of the demand that is admitted.
func (e *Estimator) AdmittedShare() float64 { return e.admittedShare }

// Threshold is the latest threshold.
func (e *Estimator) Threshold() Threshold { return e.threshold }

// BeginTurn opens a turn at a time.
func (e *Estimator) BeginTurn(now float64) { e.now = now }

// RecordDemand records that a search of a value arrived, which needs so many sub-requests.
func (e *Estimator) RecordDemand(value float64, parts int) {
	i := e.levelFor(value)
	l := &e.levels[i]
	l.demand.Add(e.now, float64(parts))
	l.lastDemandAt = e.now
}

// levelFor is the index of a value's level, which it makes where there is room. Without room the
// value counts with the next lower one.
func (e *Estimator) levelFor(value float64) int {
	i := e.searchLevel(value)
	if i < len(e.levels) && e.levels[i].value == value {
		return i
	}
	if len(e.levels) >= e.config.MaxLevels && !e.dropStaleLevel() {
		return max(min(i, len(e.levels))-1, 0)
	}
	i = e.searchLevel(value) // a level may have gone
	e.levels = append(e.levels, level{})
	copy(e.levels[i+1:], e.levels[i:])
	e.levels[i] = level{value: value, demand: window.NewCounts(demandBuckets, e.config.WindowMs/bucketsPerWindow)}
	return i
}

// searchLevel is the index of the first level of at least a value.
func (e *Estimator) searchLevel(value float64) int {
	return sort.Search(len(e.levels), func(i int) bool { return e.levels[i].value >= value })
}

// dropStaleLevel drops a level without demand for two windows, if there is one.
func (e *Estimator) dropStaleLevel() bool {
	for i := range e.levels {
		if e.now-e.levels[i].lastDemandAt > 2*e.config.WindowMs {
			e.levels = append(e.levels[:i], e.levels[i+1:]...)
			return true
		}
	}
	return false
}

// RecordOutcomes records the outcomes of so many sub-requests, of the highest value or of another.
// A search of the highest value that is rejected otherwise than by the threshold was harmed in
// all its parts.
func (e *Estimator) RecordOutcomes(outcome Outcome, isTop bool, count float64) {
	if outcome == OutcomeUnknown {
		return
	}
	e.all.add(outcome, count)
	if isTop {
		e.top.add(outcome, count)
	}
}

func (t *tally) add(outcome Outcome, count float64) {
	t.ended += count
	if outcome == OutcomeHarmed {
		t.harmed += count
	}
}

// AdmitsLowerValues tells whether searches below the highest value are admitted still. Then those
// of the highest are to come to no harm by them.
func (e *Estimator) AdmitsLowerValues() bool {
	n := len(e.levels)
	return n > 1 && e.threshold.Value < e.levels[n-1].value
}

// EndTurn closes a turn, and takes a step where one is due. It returns true where the threshold
// has moved.
func (e *Estimator) EndTurn() bool {
	if e.now < e.lastStepAt+e.config.StepIntervalMs {
		return false
	}
	e.lastStepAt = e.now
	switch {
	case e.all.ended >= e.config.MinOutcomes:
		e.adjustShare()
		e.all, e.top = tally{}, tally{}
	case e.all.ended == 0 && e.admittedShare < 1: // whoever comes now is to find out
		e.increaseShare()
	}
	before := e.threshold
	e.threshold = e.findThreshold()
	return e.threshold != before
}

// adjustShare takes a step down or up by the harm seen. While lower values are admitted, the bound
// is lower, and the highest value alone is the measure where enough of it has ended: what is slow
// to one type is quick to another.
func (e *Estimator) adjustShare() {
	maxHarm, lowHarm, measured := e.config.MaxHarm, e.config.LowHarm, e.all
	if e.AdmitsLowerValues() {
		maxHarm, lowHarm = e.config.MaxHarmOfTop, e.config.MaxHarmOfTop/2
		if e.top.ended >= e.config.MinOutcomes/2 {
			measured = e.top
		}
	}
	harm := measured.harm()
	switch {
	case harm > maxHarm:
		e.admittedShare = max(e.admittedShare*e.config.DecreaseFactor, e.config.MinShare)
		e.Decreases++
	case harm < lowHarm && !mutantStuck:
		e.increaseShare()
	}
}

func (e *Estimator) increaseShare() {
	e.admittedShare = min(e.admittedShare*e.config.IncreaseFactor, 1)
}

// findThreshold finds the value below which the demand beyond the admitted share lies.
func (e *Estimator) findThreshold() Threshold {
	if e.admittedShare >= 1 {
		return Threshold{}
	}
	total := 0.0
	for i := range e.levels {
		total += e.demandAt(i)
	}
	beyond := (1 - e.admittedShare) * total
	for i := range e.levels {
		if mutantHighestFirst {
			i = len(e.levels) - 1 - i
		}
		demand := e.demandAt(i)
		if demand > 0 && demand >= beyond {
			return Threshold{e.levels[i].value, beyond / demand}
		}
		beyond -= demand
	}
	return Threshold{}
}

// demandAt is the demand at a level, over the window.
func (e *Estimator) demandAt(i int) float64 { return e.levels[i].demand.Sum(e.now, e.config.WindowMs) }
