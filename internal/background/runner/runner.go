// Package runner runs background work in one goroutine, as package background's scheduler says.
package runner

import (
	"math"
	"sync"
	"time"

	"kestrelspread/internal/background"
)

// Step does a short piece of work. It returns the bytes that it read and wrote, and in how many ms it wants to run again: 0 at
// once, +Inf once woken.
type Step func() (bytes, againMs float64)

// Runner is the goroutine and its tasks.
type Runner struct {
	lock      sync.Mutex // guards scheduler and steps
	scheduler *background.Scheduler
	steps     map[*background.Task]Step
	startedAt time.Time
	woken     chan struct{} // closed by Stop
	stopped   chan struct{} // closed once the goroutine has ended
}

// New returns a runner; Start starts it.
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

func (r *Runner) now() float64 { return milliseconds(time.Since(r.startedAt)) }

// Add registers work, first due in delayMs.
func (r *Runner) Add(name string, priority background.Priority, delayMs float64, step Step) *background.Task {
	r.lock.Lock()
	defer r.lock.Unlock()
	t := r.scheduler.Add(name, priority, r.now()+delayMs)
	r.steps[t] = step
	r.wake()
	return t
}

func (r *Runner) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// Start runs work in a goroutine of its own until Stop.
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

// sleep waits until something is due or woken; false: the runner is stopped.
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

// Stop ends the runner after the step that runs, and waits for that for timeout at most; false: it still runs.
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
