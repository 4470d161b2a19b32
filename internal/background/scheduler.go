// Package background decides which piece of background work runs next and when: export, retention, checks. Work comes in
// short steps; each reports its cost; and all steps together keep to budgets of time and bytes, so that serving does not notice
// them. Pure: times come with each call; package runner runs the steps in a goroutine. It schedules no request of a client.
//
// Invariants: one step runs at a time; priorities share the time by weight and none starves (stride scheduling: the task whose
// work over its weight is least is next); a budget is overdrawn by one step at most, which is why steps are to be short, and
// the debt is paid back before the next step.
package background

import (
	"math"

	"kestrelspread/internal/invariant"
)

// Priority is a task's priority. A higher one gets more of the time, none gets all.
type Priority uint8

// The priorities, the lowest first.
const (
	Idle Priority = iota
	Low
	Normal
	High
	priorityCount
)

var weights = [priorityCount]float64{1, 4, 16, 64}

const (
	// minStepMs is what a step costs its task at least, so that a task of free steps doesn't run alone.
	minStepMs = 0.05
	// minWaitMs bounds waits for credit: one that the clock can't tell from none would come again and again.
	minWaitMs = 0.01
)

// Budget is for all tasks together. 0: no limit.
type Budget struct {
	TimeMsPerS float64 // ms of work in a second
	BytesPerS  float64 // read and written in a second
	BurstS     float64 // s of both that may be saved up
}

// Cost is what steps took.
type Cost struct {
	TimeMs float64
	Bytes  float64
}

// Task is one kind of work.
type Task struct {
	Name      string
	Priority  Priority
	Steps     int64
	TotalCost Cost
	MaxWaitMs float64 // between being due and running
	dueAt     float64 // +Inf: asleep until it is woken
	pass      float64 // its work so far over its weight
	running   bool
}

// Scheduler decides over all tasks. Times are in ms of the caller's clock.
type Scheduler struct {
	budget       Budget
	tasks        []*Task
	refilledAt   float64
	timeCreditMs float64 // saved up; below 0: a debt
	byteCredit   float64
	lastPass     float64 // of the task that ran last: a woken one starts from there, or it would have all the time for a while
	runningTask  *Task
	stopped      bool
}

// New returns a scheduler that has its burst saved up.
func New(budget Budget, now float64) *Scheduler {
	return &Scheduler{
		budget:       budget,
		refilledAt:   now,
		timeCreditMs: budget.TimeMsPerS * budget.BurstS,
		byteCredit:   budget.BytesPerS * budget.BurstS,
	}
}

// Add registers a task that is due at a time; +Inf: once it is woken.
func (s *Scheduler) Add(name string, priority Priority, dueAt float64) *Task {
	t := &Task{Name: name, Priority: min(priority, High), dueAt: dueAt, pass: s.lastPass}
	s.tasks = append(s.tasks, t)
	return t
}

// Wake has a task run as soon as it may.
func (s *Scheduler) Wake(t *Task, now float64) {
	if now < t.dueAt {
		t.dueAt = now
		t.pass = max(t.pass, s.lastPass)
	}
}

func (s *Scheduler) refill(now float64) {
	passedS := max(now-s.refilledAt, 0) / 1000
	s.refilledAt = max(s.refilledAt, now)
	s.timeCreditMs = min(s.timeCreditMs+passedS*s.budget.TimeMsPerS, s.budget.TimeMsPerS*s.budget.BurstS)
	s.byteCredit = min(s.byteCredit+passedS*s.budget.BytesPerS, s.budget.BytesPerS*s.budget.BurstS)
}

// Next returns the task whose step runs now, or how many ms there is nothing to run: +Inf until a task is woken.
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

// choose returns the due task with the least pass, the higher priority first among equals, and when the next other task is due.
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

// waitForCreditMs is how long it takes until the debt is paid back.
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

// Done takes what the step cost and when the task is due again; +Inf: once it is woken.
func (s *Scheduler) Done(t *Task, now float64, cost Cost, dueAt float64) {
	invariant.Check(s.runningTask == t && t.running, "the step that ends is the one that runs")
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

// Stop has no further step begin. The one that runs, if any, is the last: steps are short, so a stop comes in time.
func (s *Scheduler) Stop() { s.stopped = true }

// IsRunning tells whether a step runs.
func (s *Scheduler) IsRunning() bool { return s.runningTask != nil }
