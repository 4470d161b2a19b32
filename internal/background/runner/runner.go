// Package runner runs background work in one goroutine, in the order and at the times that the scheduler of package background
// chooses.
package runner

import (
	"math"
	"sync"
	"time"

	"kestrelspread/internal/background"
)

// Step does a short piece of work. It returns the number of bytes that it read and wrote, and in how many milliseconds it is due
// again: 0 for at once, +Inf for not before its task is woken.
type Step func() (bytes, againMs float64)

// Runner runs the steps of background tasks in one goroutine.
type Runner struct {
	lock      sync.Mutex // guards scheduler and steps
	scheduler *background.Scheduler
	steps     map[*background.Task]Step
	startedAt time.Time
	woken     chan struct{} // a send ends the goroutine's sleep; closed by Stop
	stopped   chan struct{} // closed once the goroutine has ended
}

// New returns a runner whose tasks together keep to a budget. It runs nothing before Start.
func New(budget background.Budget) *Runner {
	return &Runner{
		scheduler: background.New(budget, 0),
		steps:     map[*background.Task]Step{},
		startedAt: time.Now(),
		woken:     make(chan struct{}, 1),
		stopped:   make(chan struct{}),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// now returns the time on the scheduler's clock, in ms since the runner was made.
func (r *Runner) now() float64 { return milliseconds(time.Since(r.startedAt)) }

// Add registers a task that is first due in delayMs milliseconds. It may be called before or after Start.
func (r *Runner) Add(name string, priority background.Priority, delayMs float64, step Step) *background.Task {
	r.lock.Lock()
	defer r.lock.Unlock()
	t := r.scheduler.Add(name, priority, r.now()+delayMs)
	r.steps[t] = step
	r.wake()
	return t
}

// wake ends the goroutine's sleep, or the next one if it is awake.
func (r *Runner) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// Start starts the goroutine, which runs steps until Stop.
func (r *Runner) Start() { go r.run() }

func (r *Runner) run() {
	defer close(r.stopped)
	for {
		t, step, waitMs := r.next()
		if t == nil {
			if !r.sleep(waitMs) {
				return
			}
			continue
		}
		begin := time.Now()
		bytes, againMs := step()
		r.done(t, background.Cost{TimeMs: milliseconds(time.Since(begin)), Bytes: bytes}, againMs)
	}
}

func (r *Runner) next() (t *background.Task, step Step, waitMs float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	t, waitMs = r.scheduler.Next(r.now())
	return t, r.steps[t], waitMs
}

func (r *Runner) done(t *background.Task, cost background.Cost, againMs float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.scheduler.Done(t, r.now(), cost, r.now()+againMs)
}

// sleep waits for a time, which may be +Inf, or until it is woken. It returns false if the runner is stopped.
func (r *Runner) sleep(ms float64) bool {
	var due <-chan time.Time
	if !math.IsInf(ms, 1) {
		timer := time.NewTimer(time.Duration(ms*float64(time.Millisecond)) + time.Microsecond)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
		return true
	case _, open := <-r.woken:
		return open
	}
}

// Stop has the goroutine end after the current step, and waits for that for at most timeout. It returns false if the step is still
// running by then. It must not be called twice.
func (r *Runner) Stop(timeout time.Duration) bool {
	r.lock.Lock()
	r.scheduler.Stop()
	close(r.woken)
	r.lock.Unlock()
	select {
	case <-r.stopped:
		return true
	case <-time.After(timeout):
		return false
	}
}
