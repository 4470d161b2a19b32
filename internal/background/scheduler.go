// Package background schedules background work, such as export, retention and checks. Work is done in short steps, and each step
// reports its cost. All steps together keep to budgets of time and bytes, so that serving is not slowed down. Requests of clients
// are not scheduled here. The package does no I/O and reads no clock: the caller passes the time; package runner runs the steps in
// a goroutine.
//
// Invariants: one step runs at a time; tasks share the time in proportion to the weights of their priorities, and none starves
// (stride scheduling: the next task is the one with the least work divided by its weight); a budget is overdrawn by at most one
// step, which is why steps should be short, and the debt is paid back before the next step.
package background

import (
	"math"

	"kestrelspread/internal/invariant"
)

// Priority determines a task's share of the time: a higher priority gets a larger share, but never all.
type Priority uint8

// The priorities, lowest first.
const (
	Idle Priority = iota
	Low
	Normal
	High
	priorityCount
)

// weights are the shares of the time by priority, relative to each other.
var weights = [priorityCount]float64{1, 4, 16, 64}

const (
	// minStepMs is the least cost that a step is charged, so that a task whose steps cost nothing doesn't keep all others from running.
	minStepMs = 0.05
	// minWaitMs is the shortest wait for credit. A wait too short to advance the clock would be repeated endlessly.
	minWaitMs = 0.01
)

// Budget limits the work of all tasks together.
type Budget struct {
	TimeMsPerS float64 // ms of work per second; 0: no limit
	BytesPerS  float64 // bytes read and written per second; 0: no limit
	BurstS     float64 // seconds for which unused time and bytes are saved up
}

// Cost is what one or more steps used.
type Cost struct {
	TimeMs float64
	Bytes  float64 // read and written
}

// Task is one kind of work, done in steps.
type Task struct {
	Name      string
	Priority  Priority
	Steps     int64
	TotalCost Cost
	MaxWaitMs float64 // the longest time that a step was due before it ran
	dueAt     float64 // +Inf: not before it is woken
	pass      float64 // work charged so far divided by its weight
	running   bool
}

// Scheduler decides which task runs its next step, and when. Times are in ms of the caller's clock. It is not safe for concurrent
// use.
type Scheduler struct {
	budget       Budget
	tasks        []*Task
	refilledAt   float64
	timeCreditMs float64 // budget saved up; negative: a debt
	byteCredit   float64 // likewise
	// lastPass is the pass of the task that ran last. A woken task starts from there; from its own lower one it would get all the
	// time until it had caught up.
	lastPass    float64
	runningTask *Task
	stopped     bool
}

// New returns a scheduler without tasks that has the whole burst of its budget saved up.
func New(budget Budget, now float64) *Scheduler {
	return &Scheduler{
		budget:       budget,
		refilledAt:   now,
		timeCreditMs: budget.TimeMsPerS * budget.BurstS,
		byteCredit:   budget.BytesPerS * budget.BurstS,
	}
}

// Add registers a task whose first step is due at dueAt, or once it is woken if that is +Inf.
func (s *Scheduler) Add(name string, priority Priority, dueAt float64) *Task {
	t := &Task{Name: name, Priority: min(priority, High), dueAt: dueAt, pass: s.lastPass}
	s.tasks = append(s.tasks, t)
	return t
}

// Wake makes a task due now if it was due later.
func (s *Scheduler) Wake(t *Task, now float64) {
	if now < t.dueAt {
		t.dueAt = now
		t.pass = max(t.pass, s.lastPass)
	}
}

// refill adds the credit for the time since the last call, up to the burst.
func (s *Scheduler) refill(now float64) {
	elapsedS := max(now-s.refilledAt, 0) / 1000
	s.refilledAt = max(s.refilledAt, now)
	s.timeCreditMs = min(s.timeCreditMs+elapsedS*s.budget.TimeMsPerS, s.budget.TimeMsPerS*s.budget.BurstS)
	s.byteCredit = min(s.byteCredit+elapsedS*s.budget.BytesPerS, s.budget.BytesPerS*s.budget.BurstS)
}

// Next returns the task whose step is to run now; the caller must report its end with Done. If none may run, it returns nil and
// after how many ms to call again, +Inf if nothing becomes due until a task is woken or added.
func (s *Scheduler) Next(now float64) (t *Task, waitMs float64) {
	invariant.Check(s.runningTask == nil, "one step runs at a time")
	s.refill(now)
	if s.stopped {
		return nil, math.Inf(1)
	}
	t, nextDueAt := s.choose(now)
	if t == nil {
		return nil, nextDueAt - now
	}
	if waitMs := s.waitForCreditMs(); waitMs > 0 {
		return nil, waitMs
	}
	t.running = true
	t.MaxWaitMs = max(t.MaxWaitMs, now-t.dueAt)
	s.runningTask = t
	s.lastPass = t.pass
	return t, 0
}

// choose returns the due task with the least pass (of equals that of the highest priority; nil: none is due), and when the next of
// the tasks not yet due is.
func (s *Scheduler) choose(now float64) (chosen *Task, nextDueAt float64) {
	nextDueAt = math.Inf(1)
	for _, t := range s.tasks {
		if t.dueAt > now {
			nextDueAt = min(nextDueAt, t.dueAt)
			continue
		}
		if chosen == nil || t.pass < chosen.pass || t.pass == chosen.pass && t.Priority > chosen.Priority {
			chosen = t
		}
	}
	return chosen, nextDueAt
}

// waitForCreditMs returns in how many ms the debt is paid back, 0 if there is none.
func (s *Scheduler) waitForCreditMs() float64 {
	wait := 0.0
	if s.budget.TimeMsPerS > 0 && s.timeCreditMs < 0 {
		wait = max(wait, -s.timeCreditMs/s.budget.TimeMsPerS*1000)
	}
	if s.budget.BytesPerS > 0 && s.byteCredit < 0 {
		wait = max(wait, -s.byteCredit/s.budget.BytesPerS*1000)
	}
	if wait > 0 {
		wait = max(wait, minWaitMs)
	}
	return wait
}

// Done records the end of the step that Next returned, what it cost, and when the task is due again: +Inf for not before it is
// woken.
func (s *Scheduler) Done(t *Task, now float64, cost Cost, dueAt float64) {
	invariant.Check(s.runningTask == t && t.running, "only the running step can end")
	t.running = false
	t.dueAt = dueAt
	t.Steps++
	t.TotalCost.TimeMs += cost.TimeMs
	t.TotalCost.Bytes += cost.Bytes
	t.pass += max(cost.TimeMs, minStepMs) / weights[t.Priority]
	s.runningTask = nil
	s.refill(now)
	if s.budget.TimeMsPerS > 0 {
		s.timeCreditMs -= cost.TimeMs
	}
	if s.budget.BytesPerS > 0 {
		s.byteCredit -= cost.Bytes
	}
}

// Stop keeps further steps from starting. A step that is running finishes; as steps are short, it does not delay the stop for long.
func (s *Scheduler) Stop() { s.stopped = true }

// IsRunning reports whether a step is running.
func (s *Scheduler) IsRunning() bool { return s.runningTask != nil }
