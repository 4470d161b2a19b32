// Package leasesim simulates the leases of singleton roles: voters, instances and a fenced
// receiver on a virtual clock, with faults drawn from a seed. Messages are late, lost or cut one
// way; processes are suspended between a check and its effect, or killed; disks are lost; clocks
// drift. What must hold is checked after every event, from outside: at the receiver, and over all
// processes at once.
//
// The code under test is the product's own: lease, replica, consensus, membership and fence. A
// seed determines a run to the last message, so the order in which random numbers are drawn and
// events are scheduled must not depend on anything else.
package leasesim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/anishathalye/porcupine"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/fence"
)

// Plan is a run. Times are in ms.
type Plan struct {
	Seed             uint64
	Voters           int
	Instances        int
	Roles            int
	DurationMs       float64
	FaultFreeMs      float64 // the last part, without faults: there work must go on
	FaultIntervalMs  float64 // between two faults, on average; 0: none
	Config           lease.Config
	ClockDrift       float64 // that clocks really have; Config.MaxDrift is what the leases allow for
	EffectIntervalMs float64 // between two effects of a holder, on average
	LinkFaultsOnly   bool    // partitions and delays alone: nothing is suspended, killed or lost
}

// Result is the outcome of a run.
type Result struct {
	Violations         []string // of what must hold, with the time in ms
	Effects            int      // that counted
	StaleEffects       int      // rejected, as their token was stale
	DuplicateEffects   int
	LateEffects        int // sent after their sender's lease: a pause lay between check and effect
	Grants             int
	TakeoverGapsMs     []float64 // from a holder's last effect to the next one's first
	Elections          int
	Messages           int
	Syncs              int
	Commands           int
	LostDisks          int
	ReplacedVoters     int
	UndecidedHistories int    // that could not be checked in time
	Trace              uint64 // equal for equal runs
}

// maxViolations ends a run that is broken anyway.
const maxViolations = 10

// simulation is the state of a run.
type simulation struct {
	Plan
	eventQueue
	rng    *rand.Rand
	result *Result

	voters     []*simVoter
	voterByID  map[uint64]*simVoter
	founders   map[uint64]string
	lastDiskID uint64
	instances  []*simInstance

	partitions map[[2]string]bool // from one party to another
	slowdown   float64            // factor on all delays
	faultFree  bool

	receiver receiver
	checker  checker
}

// Run plays a plan.
func Run(p Plan) *Result {
	s := &simulation{
		Plan:       p,
		rng:        rand.New(rand.NewPCG(p.Seed, 11)),
		result:     &Result{},
		voterByID:  map[uint64]*simVoter{},
		founders:   map[uint64]string{},
		lastDiskID: 100,
		partitions: map[[2]string]bool{},
		slowdown:   1,
		receiver:   newReceiver(),
		checker:    newChecker(),
	}
	s.foundGroup()
	s.addInstances()
	s.after(0, s.defineRoles)
	if p.FaultIntervalMs > 0 {
		s.scheduleFault()
	}
	for s.Len() > 0 && len(s.result.Violations) < maxViolations {
		e := s.next()
		if e.time > p.DurationMs {
			break
		}
		s.now = e.time
		if !s.faultFree && s.now > p.DurationMs-p.FaultFreeMs {
			s.endFaults()
		}
		e.run()
		s.checkHolders()
	}
	s.finish()
	return s.result
}

// finish checks the history and takes the trace.
func (s *simulation) finish() {
	switch porcupine.CheckOperationsTimeout(model, s.checker.operations, historyTimeout) {
	case porcupine.Illegal:
		s.violation("the history of grants is not linearizable: %d operations", len(s.checker.operations))
	case porcupine.Unknown:
		s.result.UndecidedHistories++
	}
	r := s.result
	r.Trace = uint64(r.Messages)<<20 ^ uint64(r.Effects)<<8 ^ math.Float64bits(s.now) ^ uint64(s.scheduled)
}

func (s *simulation) violation(format string, args ...any) {
	s.result.Violations = append(s.result.Violations, fmt.Sprintf("%.0f: ", s.now)+fmt.Sprintf(format, args...))
}

func roleName(number int) string { return fmt.Sprint("d", number) }

// event is something that happens at a time.
type event struct {
	time     float64
	sequence int // breaks ties: events of one time happen in the order they were scheduled
	run      func()
}

// eventQueue is the virtual clock and what is scheduled on it.
type eventQueue struct {
	now       float64 // ms
	scheduled int     // events so far
	events    []event
}

// after schedules something in so many ms.
func (q *eventQueue) after(delay float64, run func()) {
	q.scheduled++
	heap.Push(q, event{q.now + delay, q.scheduled, run})
}

func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// Len is the number of events that wait (heap.Interface).
func (q *eventQueue) Len() int { return len(q.events) }

// Less orders events by time, then by sequence (heap.Interface).
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.time < b.time || a.time == b.time && a.sequence < b.sequence
}

// Swap swaps two events (heap.Interface).
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push adds an event at the end (heap.Interface).
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop removes the event at the end (heap.Interface).
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

// process is a voter or an instance: a steady clock of its own, and whether it runs.
type process struct {
	rate           float64 // of its clock against the true one
	offset         float64
	suspendedUntil float64
	down           bool
	incarnation    int
	deferred       []func() // what arrived while it was suspended
}

func (s *simulation) newProcess() process {
	return process{rate: 1 + s.ClockDrift*(2*s.rng.Float64()-1), offset: 1e6 * s.rng.Float64()}
}

// clock is the process's own clock, in ms.
func (p *process) clock(now float64) float64 { return p.offset + now*p.rate }

// start begins another incarnation.
func (p *process) start() {
	p.down, p.deferred, p.suspendedUntil = false, nil, 0
	p.incarnation++
}

func (p *process) kill() {
	p.down, p.deferred, p.suspendedUntil = true, nil, 0
	p.incarnation++
}

// handle has a process do something: now, or when it goes on again.
func (s *simulation) handle(p *process, do func()) {
	switch {
	case p.down:
	case p.suspendedUntil > s.now:
		p.deferred = append(p.deferred, do)
	default:
		do()
	}
}

// suspend suspends a process for a time. What arrives meanwhile it handles after that.
func (s *simulation) suspend(p *process, span float64) {
	if p.down || p.suspendedUntil > s.now {
		return
	}
	p.suspendedUntil = s.now + span
	incarnation := p.incarnation
	s.after(span, func() {
		if p.incarnation != incarnation || p.down {
			return
		}
		p.suspendedUntil = 0
		deferred := p.deferred
		p.deferred = nil
		for _, do := range deferred {
			if p.down || p.incarnation != incarnation {
				return
			}
			do()
		}
	})
}

// One in so many messages is delayed for leases, and arrives behind newer ones.
const (
	delayOdds         = 200
	responseDelayOdds = 60
	commandDelayOdds  = 25
)

// send delivers something from one party to another, late, or not at all.
func (s *simulation) send(from, to string, deliver func()) {
	s.sendDelayed(from, to, delayOdds, deliver)
}

// sendDelayed is send with odds of its own for a long delay.
func (s *simulation) sendDelayed(from, to string, odds int, deliver func()) {
	s.result.Messages++
	if s.partitions[[2]string{from, to}] {
		return
	}
	delay := (0.5 + 3*s.rng.ExpFloat64()) * s.slowdown
	if s.faultsOn() && s.rng.IntN(odds) == 0 {
		delay += 3 * s.Config.LeaseMs * s.rng.Float64()
	}
	s.after(delay, deliver)
}

// faultsOn tells whether faults may happen now.
func (s *simulation) faultsOn() bool { return !s.faultFree && s.FaultIntervalMs > 0 }

// receiver is the fenced receiver, and the audit of what counted there.
type receiver struct {
	fence        fence.State
	lastNumber   map[string]int // by role: the latest effect that counted
	lastToken    map[string]uint64
	lastEffectAt map[string]float64
}

func newReceiver() receiver {
	return receiver{lastNumber: map[string]int{}, lastToken: map[string]uint64{}, lastEffectAt: map[string]float64{}}
}
