// Package capacity estimates which share of the demand the servers can carry while they are overloaded, and derives an
// admission threshold from it: the search value below which searches are rejected. It is a reducer: demand and outcomes go in,
// a threshold comes out; it does no I/O, reads no clock and uses no randomness.
//
// A broker sees only its own part of the load and does not know any server's capacity. What it can observe is overload: its
// sub-requests are rejected by a server or answered late. The admitted share therefore decreases as long as overload is
// observed, the searches of the lowest value being rejected first, and increases again in small steps (multiplicative decrease
// and multiplicative increase). All brokers observe the same servers and each takes the same steps on its own, so their shares
// converge, and the sum of what they admit is what the servers can carry. When a site is lost, the share is scaled at once to
// the capacity that is left.
package capacity

import (
	"math"
	"sort"

	"kestrelspread/internal/window"
)

// Config holds the parameters of the estimator. Their effect is measured in docs/measure/site.md. Overloaded outcomes are those
// recorded as OutcomeOverloaded; shares and fractions are between 0 and 1.
type Config struct {
	WindowMs       float64 // period over which demand is summed
	StepIntervalMs float64 // minimum time between two adjustments of the admitted share
	MinOutcomes    float64 // number of finished sub-requests that an adjustment needs
	// MaxOverloadedShare is the share of overloaded outcomes above which the admitted share decreases.
	MaxOverloadedShare float64
	// LowOverloadedShare is the share of overloaded outcomes below which the admitted share increases. It is not near zero
	// because queue lengths differ by chance: while some servers are full, others are still idle.
	LowOverloadedShare float64
	// MaxOverloadedShareOfTop replaces MaxOverloadedShare while searches below the highest value are admitted.
	MaxOverloadedShareOfTop float64
	DecreaseFactor          float64 // factor of one decrease of the admitted share
	IncreaseFactor          float64 // factor of one increase of the admitted share
	// MinShare is the smallest admitted share: with no searches admitted there would be no outcomes to learn from.
	MinShare float64
	// LateFraction is the fraction of the search's latency target after which a sub-request counts as late. It is below 1
	// because a search waits for its slowest sub-request.
	LateFraction float64
	MaxLevels    int // number of search values whose demand is counted separately
}

// DefaultConfig is the configuration that brokers use.
var DefaultConfig = Config{
	WindowMs:                8000,
	StepIntervalMs:          250,
	MinOutcomes:             12,
	MaxOverloadedShare:      0.4,
	LowOverloadedShare:      0.3,
	MaxOverloadedShareOfTop: 0.2,
	DecreaseFactor:          0.95,
	IncreaseFactor:          1.02,
	MinShare:                0.05,
	LateFraction:            0.6,
	MaxLevels:               64,
}

// The demand of a level is counted in buckets of an eighth of the window. There are more than eight buckets, so that they still
// cover the whole window when a new bucket has just begun.
const (
	demandBuckets    = 10
	bucketsPerWindow = 8
)

// Outcome tells what the end of a sub-request says about the capacity of its server.
type Outcome uint8

// The outcomes of a sub-request.
const (
	OutcomeOK         Outcome = iota // answered soon enough
	OutcomeOverloaded                // rejected by the server, or late
	OutcomeUnknown                   // no evidence: unreachable, connection reset or cancelled early
)

// Threshold tells which searches exceed the servers' capacity: all searches of a value below Value, and the share RejectedShare
// of the searches of exactly that value. A Value of 0 rejects nothing.
type Threshold struct{ Value, RejectedShare float64 }

// level holds the demand of the searches of one value.
type level struct {
	value        float64
	demand       *window.Counts // sub-requests that the searches need
	lastDemandAt float64
}

// outcomeCounts counts the sub-requests that have ended since the latest adjustment.
type outcomeCounts struct{ ended, overloaded float64 }

func (c *outcomeCounts) overloadedShare() float64 { return c.overloaded / c.ended }

// Estimator estimates the share of the demand that one broker may admit. Times are in ms and never decrease.
type Estimator struct {
	config         Config
	now            float64
	lastStepAt     float64
	levels         []level // in ascending order of value
	usableCapacity float64 // in the units of the server list
	admittedShare  float64 // of the demand; 1: there is no threshold
	all            outcomeCounts
	top            outcomeCounts // outcomes of searches of the highest value only
	threshold      Threshold
	Decreases      int // number of decreases of the admitted share so far, for reports
}

// New returns an estimator that admits all searches at first.
func New(config Config) *Estimator {
	return &Estimator{config: config, lastStepAt: math.Inf(-1), admittedShare: 1}
}

// SetUsableCapacity sets the total capacity of the servers that are listed, ready and not at a lost site, in the units of the
// server list. While there is a threshold, the admitted share is scaled in proportion: when half of the capacity is lost, the
// admitted share is halved at once. A capacity of 0 is ignored: nothing can be served then, and the share for the capacity that
// comes back could not be derived from it.
func (e *Estimator) SetUsableCapacity(capacity float64) {
	if capacity <= 0 {
		return
	}
	changed := e.usableCapacity > 0 && capacity != e.usableCapacity
	if e.admittedShare < 1 && changed && !mutantBlind {
		e.admittedShare = min(max(e.admittedShare*capacity/e.usableCapacity, e.config.MinShare), 1)
	}
	e.usableCapacity = capacity
}

// AdmittedShare returns the share of the demand that is admitted.
func (e *Estimator) AdmittedShare() float64 { return e.admittedShare }

// Threshold returns the latest threshold.
func (e *Estimator) Threshold() Threshold { return e.threshold }

// BeginRound begins a round of events, all of which take place at the time now.
func (e *Estimator) BeginRound(now float64) { e.now = now }

// RecordDemand records the arrival of a search of the given value that needs the given number of sub-requests.
func (e *Estimator) RecordDemand(value float64, subRequests int) {
	i := e.levelFor(value)
	l := &e.levels[i]
	l.demand.Add(e.now, float64(subRequests))
	l.lastDemandAt = e.now
}

// levelFor returns the index of the level of a value, and adds the level if there is room for it. If there is none, it returns
// the index of the level of the next lower value, or 0 if there is no lower one.
func (e *Estimator) levelFor(value float64) int {
	i := e.searchLevel(value)
	if i < len(e.levels) && e.levels[i].value == value {
		return i
	}
	if len(e.levels) >= e.config.MaxLevels && !e.dropStaleLevel() {
		return max(min(i, len(e.levels))-1, 0)
	}
	i = e.searchLevel(value) // dropStaleLevel may have removed a level before it
	e.levels = append(e.levels, level{})
	copy(e.levels[i+1:], e.levels[i:])
	e.levels[i] = level{value: value, demand: window.NewCounts(demandBuckets, e.config.WindowMs/bucketsPerWindow)}
	return i
}

// searchLevel returns the index of the first level whose value is not less than the given one.
func (e *Estimator) searchLevel(value float64) int {
	return sort.Search(len(e.levels), func(i int) bool { return e.levels[i].value >= value })
}

// dropStaleLevel removes the first level that has had no demand for two windows, and reports whether there was one.
func (e *Estimator) dropStaleLevel() bool {
	for i := range e.levels {
		if e.now-e.levels[i].lastDemandAt > 2*e.config.WindowMs {
			e.levels = append(e.levels[:i], e.levels[i+1:]...)
			return true
		}
	}
	return false
}

// RecordOutcomes records that count sub-requests ended with the given outcome. isTop tells whether they belong to searches of
// the highest value. When a search of the highest value is rejected for another reason than the threshold, the caller records
// all its sub-requests as overloaded.
func (e *Estimator) RecordOutcomes(outcome Outcome, isTop bool, count float64) {
	if outcome == OutcomeUnknown {
		return
	}
	e.all.add(outcome, count)
	if isTop {
		e.top.add(outcome, count)
	}
}

func (c *outcomeCounts) add(outcome Outcome, count float64) {
	c.ended += count
	if outcome == OutcomeOverloaded {
		c.overloaded += count
	}
}

// AdmitsLowerValues reports whether searches below the highest value are still admitted. While they are, searches of the
// highest value should not suffer from overload.
func (e *Estimator) AdmitsLowerValues() bool {
	n := len(e.levels)
	return n > 1 && e.threshold.Value < e.levels[n-1].value
}

// EndRound ends a round, and adjusts the admitted share and the threshold if an adjustment is due. It reports whether the
// threshold has changed.
func (e *Estimator) EndRound() bool {
	if e.now < e.lastStepAt+e.config.StepIntervalMs {
		return false
	}
	e.lastStepAt = e.now
	switch {
	case e.all.ended >= e.config.MinOutcomes:
		e.adjustShare()
		e.all, e.top = outcomeCounts{}, outcomeCounts{}
	case e.all.ended == 0 && e.admittedShare < 1: // without outcomes, only admitting more can show whether servers can carry it
		e.increaseShare()
	}
	before := e.threshold
	e.threshold = e.findThreshold()
	return e.threshold != before
}

// adjustShare decreases or increases the admitted share by the share of overloaded outcomes. While lower values are admitted,
// the bounds are lower and, if enough of them have ended, only the sub-requests of the highest value are considered: a latency
// that is slow for one query type may be fast for another.
func (e *Estimator) adjustShare() {
	maxOverloaded, lowOverloaded, measured := e.config.MaxOverloadedShare, e.config.LowOverloadedShare, e.all
	if e.AdmitsLowerValues() {
		maxOverloaded, lowOverloaded = e.config.MaxOverloadedShareOfTop, e.config.MaxOverloadedShareOfTop/2
		if e.top.ended >= e.config.MinOutcomes/2 {
			measured = e.top
		}
	}
	overloaded := measured.overloadedShare()
	switch {
	case overloaded > maxOverloaded:
		e.admittedShare = max(e.admittedShare*e.config.DecreaseFactor, e.config.MinShare)
		e.Decreases++
	case overloaded < lowOverloaded && !mutantStuck:
		e.increaseShare()
	}
}

func (e *Estimator) increaseShare() {
	e.admittedShare = min(e.admittedShare*e.config.IncreaseFactor, 1)
}

// findThreshold returns the threshold that rejects the demand beyond the admitted share, lowest values first.
func (e *Estimator) findThreshold() Threshold {
	if e.admittedShare >= 1 {
		return Threshold{}
	}
	total := 0.0
	for i := range e.levels {
		total += e.demandAt(i)
	}
	toReject := (1 - e.admittedShare) * total
	for i := range e.levels {
		if mutantHighestFirst {
			i = len(e.levels) - 1 - i
		}
		demand := e.demandAt(i)
		if demand > 0 && demand >= toReject {
			return Threshold{e.levels[i].value, toReject / demand}
		}
		toReject -= demand
	}
	return Threshold{}
}

// demandAt returns the demand of a level over the latest window, in sub-requests.
func (e *Estimator) demandAt(i int) float64 { return e.levels[i].demand.Sum(e.now, e.config.WindowMs) }
