package background

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// simulate runs a task of each of the priorities for a virtual time. The tasks always have work; each step has a random cost. It
// returns the tasks and the time at the end.
func simulate(seed uint64, budget Budget, priorities []Priority, durationMs float64) (tasks []*Task, now float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := New(budget, 0)
	for i, p := range priorities {
		tasks = append(tasks, s.Add(fmt.Sprint(i), p, 0))
	}
	for turns := 0; now < durationMs; turns++ {
		if turns > 1e6 {
			panic(fmt.Sprintf("the clock is still at %v ms after a million turns", now))
		}
		t, wait := s.Next(now)
		if t == nil {
			now += wait
			continue
		}
		cost := Cost{TimeMs: 0.5 + 4*rng.Float64(), Bytes: 1000 * rng.Float64()}
		now += cost.TimeMs
		s.Done(t, now, cost, now)
	}
	return tasks, now
}

// TestBudgetsAreKept checks that work stays within each budget and its burst, but for one step, and that a budget of time is used
// to 95% at least.
func TestBudgetsAreKept(t *testing.T) {
	for seed := range uint64(20) {
		for _, budget := range []Budget{{TimeMsPerS: 100, BurstS: 0.1}, {BytesPerS: 20000, BurstS: 0.2},
			{TimeMsPerS: 50, BytesPerS: 1e9, BurstS: 0.5}} {
			tasks, now := simulate(seed, budget, []Priority{High, Low, Idle}, 20000)
			var sum Cost
			for _, task := range tasks {
				sum.TimeMs += task.TotalCost.TimeMs
				sum.Bytes += task.TotalCost.Bytes
			}
			if budget.TimeMsPerS > 0 && sum.TimeMs > budget.TimeMsPerS*(now/1000+budget.BurstS)+5 {
				t.Errorf("%+v: %.0f ms of work in %.0f ms", budget, sum.TimeMs, now)
			}
			if budget.BytesPerS > 0 && sum.Bytes > budget.BytesPerS*(now/1000+budget.BurstS)+1000 {
				t.Errorf("%+v: %.0f bytes in %.0f ms", budget, sum.Bytes, now)
			}
			if budget.TimeMsPerS == 100 && sum.TimeMs < 0.95*budget.TimeMsPerS*now/1000 {
				t.Errorf("%+v: only %.0f ms of work in %.0f ms", budget, sum.TimeMs, now)
			}
		}
	}
}

// TestSharesFollowPrioritiesAndNoneStarves: each priority gets about four times the time of the next lower one, and the lowest
// still runs.
func TestSharesFollowPrioritiesAndNoneStarves(t *testing.T) {
	tasks, now := simulate(1, Budget{TimeMsPerS: 200, BurstS: 0.1}, []Priority{High, Normal, Low, Idle}, 120000)
	for i := 1; i < len(tasks); i++ {
		if ratio := tasks[i-1].TotalCost.TimeMs / tasks[i].TotalCost.TimeMs; ratio < 3 || ratio > 5 {
			t.Errorf("priority %v has %.1f times the time of priority %v, want 3 to 5", tasks[i-1].Priority, ratio, tasks[i].Priority)
		}
	}
	if idle := tasks[3]; idle.Steps < 20 || idle.MaxWaitMs > 10000 {
		t.Errorf("the lowest priority had %d steps in %.0f s and waited up to %.1f s, want at least 20 steps and at most 10 s",
			idle.Steps, now/1000, idle.MaxWaitMs/1000)
	}
}

// TestWokenTaskGetsNoArrears: a task that has slept for long shares the time equally from then on. It must not make up for the time
// in which it had no work.
func TestWokenTaskGetsNoArrears(t *testing.T) {
	s := New(Budget{}, 0)
	busy, late := s.Add("busy", Low, 0), s.Add("late", Low, math.Inf(1))
	now := 0.0
	for range 10000 {
		task, _ := s.Next(now)
		now += 1
		s.Done(task, now, Cost{TimeMs: 1}, now)
	}
	s.Wake(late, now)
	ran := 0
	for range 20 {
		task, _ := s.Next(now)
		if task == late {
			ran++
		}
		now += 1
		s.Done(task, now, Cost{TimeMs: 1}, now)
	}
	if ran < 9 || ran > 11 {
		t.Errorf("%d of 20 steps were the woken task's, want half of them beside %q", ran, busy.Name)
	}
}

func TestNoStepStartsAfterStop(t *testing.T) {
	s := New(Budget{TimeMsPerS: 1}, 0)
	task := s.Add("a", High, 0)
	if got, _ := s.Next(0); got != task {
		t.Fatalf("Next returned %v, want the task that is due", got)
	}
	s.Stop()
	s.Done(task, 1, Cost{TimeMs: 1}, 1)
	if got, wait := s.Next(1e9); got != nil || !math.IsInf(wait, 1) || s.IsRunning() {
		t.Errorf("after Stop: Next returned task %v and wait %v, running %v; want none, +Inf and false", got, wait, s.IsRunning())
	}
}
