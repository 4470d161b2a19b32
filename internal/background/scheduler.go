// Package background decides which piece of background work runs next and when: compaction, export, retention, checks. Work
// comes in steps that are short; each tells what it cost; and all steps together keep to budgets of time and bytes, so that
// serving does not notice them. Pure: times come with each call, a shell runs the steps (Run does, in a goroutine).
//
// Priorities share what there is by weight and none starves: who has waited longest against its weight is next (stride
// scheduling). A budget may be overdrawn by one step, which is why steps are to be short, and is paid back before the next.
package background

import (
	"math"

	"kestrelspread/internal/must"
)

// Priority is a task's; a higher one has more of the time, none has all.
type Priority uint8

// The priorities, least first.
const (
	Idle Priority = iota
	Low
	Normal
	High
	priorityCount
)

var weights = [priorityCount]float64{1, 4, 16, 64}

// Budget is for all tasks together. 0: no limit.
type Budget struct {
	TimeMsPerS float64 // ms of work in a second
	BytesPerS  float64 // read and written in a second
	BurstS     float64 // s of both that may be saved up
}

// Cost is what a step took.
type Cost struct{ TimeMs, Bytes float64 }

// Task is one kind of work.
type Task struct {
	Name      string
	Priority  Priority
	dueAt     float64 // not before; +Inf: asleep until it is woken
	pass      float64 // its work so far over its weight
	running   bool
	Steps     int64
	TotalCost Cost
	MaxWaitMs float64 // ms at most between being due and running
}

// Scheduler keeps the tasks.
type Scheduler struct {
	budget       Budget
	tasks        []*Task
	refilledAt   float64
	timeCreditMs float64 // saved up, in ms of work; below 0: owed
	byteCredit   float64
	lastPass     float64 // of the one that ran last: who wakes starts from there, or it would have all the time for a while
	runningTask  *Task
	stopped      bool
}

// New makes a scheduler that has its burst saved up.
func New(b Budget, now float64) *Scheduler {
	return &Scheduler{budget: b, refilledAt: now, timeCreditMs: b.TimeMsPerS * b.BurstS, byteCredit: b.BytesPerS * b.BurstS}
}

// Add registers a task that is due at a time; +Inf: when it is woken.
func (s *Scheduler) Add(name string, p Priority, due float64) *Task {
	t := &Task{Name: name, Priority: min(p, High), dueAt: due, pass: s.lastPass}
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
	passed := max(now-s.refilledAt, 0) / 1000
	s.refilledAt = max(s.refilledAt, now)
	s.timeCreditMs = min(s.timeCreditMs+passed*s.budget.TimeMsPerS, s.budget.TimeMsPerS*s.budget.BurstS)
	s.byteCredit = min(s.byteCredit+passed*s.budget.BytesPerS, s.budget.BytesPerS*s.budget.BurstS)
}

// Next gives the task whose step runs now, or how long there is nothing to run: +Inf until something is woken.
func (s *Scheduler) Next(now float64) (t *Task, wait float64) {
	must.Hold(s.runningTask == nil, "one step runs at a time")
	s.refill(now)
	if s.stopped {
		return nil, math.Inf(1)
	}
	soonest := math.Inf(1)
	for _, o := range s.tasks {
		if o.dueAt > now {
			soonest = min(soonest, o.dueAt)
			continue
		}
		if t == nil || o.pass < t.pass || o.pass == t.pass && o.Priority > t.Priority {
			t = o
		}
	}
	if t == nil {
		return nil, soonest - now
	}
	if owed := s.waitForCreditMs(); owed > 0 {
		return nil, owed
	}
	t.running, s.runningTask, s.lastPass = true, t, t.pass
	t.MaxWaitMs = max(t.MaxWaitMs, now-t.dueAt)
	return t, 0
}

// waitForCreditMs is how many ms it takes until the budgets are paid back.
func (s *Scheduler) waitForCreditMs() (ms float64) {
	if s.budget.TimeMsPerS > 0 && s.timeCreditMs < 0 {
		ms = max(ms, -s.timeCreditMs/s.budget.TimeMsPerS*1000)
	}
	if s.budget.BytesPerS > 0 && s.byteCredit < 0 {
		ms = max(ms, -s.byteCredit/s.budget.BytesPerS*1000)
	}
	if ms > 0 { // a wait that the clock can't tell from none would come again and again
		ms = max(ms, minWaitMs)
	}
	return ms
}

// Done tells what the step cost and when the task is due again; +Inf: when it is woken.
func (s *Scheduler) Done(t *Task, now float64, cost Cost, due float64) {
	must.Hold(s.runningTask == t && t.running, "the step that ends is the one that runs")
	t.running, s.runningTask = false, nil
	t.dueAt = due
	t.Steps++
	t.TotalCost.TimeMs += cost.TimeMs
	t.TotalCost.Bytes += cost.Bytes
	t.pass += max(cost.TimeMs, minStepMs) / weights[t.Priority]
	s.refill(now)
	if s.budget.TimeMsPerS > 0 {
		s.timeCreditMs -= cost.TimeMs
	}
	if s.budget.BytesPerS > 0 {
		s.byteCredit -= cost.Bytes
	}
}

const minWaitMs = 0.01 // ms

const minStepMs = 0.05 // ms: a step costs at least so much of its turn

// Stop has no further step begin. The one that runs, if any, is the last: steps are short, so a stop comes in time.
func (s *Scheduler) Stop() { s.stopped = true }

// IsRunning tells whether a step runs.
func (s *Scheduler) IsRunning() bool { return s.runningTask != nil }
