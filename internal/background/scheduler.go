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
	priorities
)

var weights = [priorities]float64{1, 4, 16, 64}

// Budget is for all tasks together. 0: no limit.
type Budget struct {
	Time  float64 // ms of work in a second
	Bytes float64 // read and written in a second
	Burst float64 // s of both that may be saved up
}

// Cost is what a step took.
type Cost struct{ Time, Bytes float64 }

// Task is one kind of work.
type Task struct {
	Name     string
	Priority Priority
	due      float64 // not before; +Inf: asleep until it is woken
	pass     float64 // its work so far over its weight
	running  bool
	Steps    int64
	Spent    Cost
	Waited   float64 // ms at most between being due and running
}

// Scheduler keeps the tasks.
type Scheduler struct {
	budget  Budget
	tasks   []*Task
	at      float64
	time    float64 // saved up, in ms of work; below 0: owed
	bytes   float64
	pass    float64 // of the one that ran last: who wakes starts from there, or it would have all the time for a while
	running *Task
	stopped bool
}

// New makes a scheduler that has its burst saved up.
func New(b Budget, now float64) *Scheduler {
	return &Scheduler{budget: b, at: now, time: b.Time * b.Burst, bytes: b.Bytes * b.Burst}
}

// Add registers a task that is due at a time; +Inf: when it is woken.
func (s *Scheduler) Add(name string, p Priority, due float64) *Task {
	t := &Task{Name: name, Priority: min(p, High), due: due, pass: s.pass}
	s.tasks = append(s.tasks, t)
	return t
}

// Wake has a task run as soon as it may.
func (s *Scheduler) Wake(t *Task, now float64) {
	if now < t.due {
		t.due = now
		t.pass = max(t.pass, s.pass)
	}
}

func (s *Scheduler) refill(now float64) {
	passed := max(now-s.at, 0) / 1000
	s.at = max(s.at, now)
	s.time = min(s.time+passed*s.budget.Time, s.budget.Time*s.budget.Burst)
	s.bytes = min(s.bytes+passed*s.budget.Bytes, s.budget.Bytes*s.budget.Burst)
}

// Next gives the task whose step runs now, or how long there is nothing to run: +Inf until something is woken.
func (s *Scheduler) Next(now float64) (t *Task, wait float64) {
	must.Hold(s.running == nil, "one step runs at a time")
	s.refill(now)
	if s.stopped {
		return nil, math.Inf(1)
	}
	soonest := math.Inf(1)
	for _, o := range s.tasks {
		if o.due > now {
			soonest = min(soonest, o.due)
			continue
		}
		if t == nil || o.pass < t.pass || o.pass == t.pass && o.Priority > t.Priority {
			t = o
		}
	}
	if t == nil {
		return nil, soonest - now
	}
	if owed := s.owed(); owed > 0 {
		return nil, owed
	}
	t.running, s.running, s.pass = true, t, t.pass
	t.Waited = max(t.Waited, now-t.due)
	return t, 0
}

// owed is how many ms it takes until the budgets are paid back.
func (s *Scheduler) owed() (ms float64) {
	if s.budget.Time > 0 && s.time < 0 {
		ms = max(ms, -s.time/s.budget.Time*1000)
	}
	if s.budget.Bytes > 0 && s.bytes < 0 {
		ms = max(ms, -s.bytes/s.budget.Bytes*1000)
	}
	if ms > 0 { // a wait that the clock can't tell from none would come again and again
		ms = max(ms, leastWait)
	}
	return ms
}

// Done tells what the step cost and when the task is due again; +Inf: when it is woken.
func (s *Scheduler) Done(t *Task, now float64, cost Cost, due float64) {
	must.Hold(s.running == t && t.running, "the step that ends is the one that runs")
	t.running, s.running = false, nil
	t.due = due
	t.Steps++
	t.Spent.Time += cost.Time
	t.Spent.Bytes += cost.Bytes
	t.pass += max(cost.Time, least) / weights[t.Priority]
	s.refill(now)
	if s.budget.Time > 0 {
		s.time -= cost.Time
	}
	if s.budget.Bytes > 0 {
		s.bytes -= cost.Bytes
	}
}

const leastWait = 0.01 // ms

const least = 0.05 // ms: a step costs at least so much of its turn

// Stop has no further step begin. The one that runs, if any, is the last: steps are short, so a stop comes in time.
func (s *Scheduler) Stop() { s.stopped = true }

// Running tells whether a step runs.
func (s *Scheduler) Running() bool { return s.running != nil }
