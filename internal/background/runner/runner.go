// Package runner runs background work in one goroutine, as the scheduler says.
package runner

import (
	"math"
	"sync"
	"time"

	"kestrelspread/internal/background"
)

// Step does a short piece of work; it tells the bytes it read and wrote, and in how many ms it wants to run again: 0 at
// once, +Inf when woken.
type Step func() (bytes, again float64)

// Runner is the goroutine and its tasks.
type Runner struct {
	lock      sync.Mutex
	scheduler *background.Scheduler
	steps     map[*background.Task]Step
	startedAt time.Time
	woken     chan struct{}
	stopped   chan struct{}
}

// New makes a runner; Go starts it.
func New(b background.Budget) *Runner {
	return &Runner{scheduler: background.New(b, 0), steps: map[*background.Task]Step{}, startedAt: time.Now(), woken: make(chan struct{}, 1),
		stopped: make(chan struct{})}
}

func (r *Runner) now() float64 { return float64(time.Since(r.startedAt)) / 1e6 }

// Add registers work, first due in so many ms.
func (r *Runner) Add(name string, p background.Priority, in float64, step Step) *background.Task {
	r.lock.Lock()
	defer r.lock.Unlock()
	t := r.scheduler.Add(name, p, r.now()+in)
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

// Go runs until Stop.
func (r *Runner) Start() {
	go func() {
		defer close(r.stopped)
		for {
			r.lock.Lock()
			t, wait := r.scheduler.Next(r.now())
			r.lock.Unlock()
			if t == nil {
				if !r.sleep(wait) {
					return
				}
				continue
			}
			at := time.Now()
			bytes, again := r.steps[t]()
			r.lock.Lock()
			r.scheduler.Done(t, r.now(), background.Cost{TimeMs: float64(time.Since(at)) / 1e6, Bytes: bytes}, r.now()+again)
			r.lock.Unlock()
		}
	}()
}

// sleep waits until something is due or woken; false: it is stopped.
func (r *Runner) sleep(ms float64) bool {
	var due <-chan time.Time
	if !math.IsInf(ms, 1) {
		t := time.NewTimer(time.Duration(ms*1e6) + time.Microsecond)
		defer t.Stop()
		due = t.C
	}
	select {
	case <-due:
		return true
	case _, open := <-r.woken:
		return open
	}
}

// Stop ends it after the step that runs, and waits so long for that; false: it still runs.
func (r *Runner) Stop(within time.Duration) bool {
	r.lock.Lock()
	r.scheduler.Stop()
	close(r.woken)
	r.lock.Unlock()
	select {
	case <-r.stopped:
		return true
	case <-time.After(within):
		return false
	}
}
