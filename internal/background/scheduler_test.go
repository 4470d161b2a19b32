package background

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// runDay runs tasks that always have work, with steps of random length, and gives what each had.
func runDay(seed uint64, b Budget, list []Priority, ms float64) (tasks []*Task, now float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := New(b, 0)
	for i, p := range list {
		tasks = append(tasks, s.Add(fmt.Sprint(i), p, 0))
	}
	for turns := 0; now < ms; turns++ {
		if turns > 1e6 {
			panic("time stands still")
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

func TestBudgetsAreKept(t *testing.T) {
	for seed := range uint64(20) {
		for _, b := range []Budget{{TimeMsPerS: 100, BurstS: 0.1}, {BytesPerS: 20000, BurstS: 0.2}, {TimeMsPerS: 50, BytesPerS: 1e9, BurstS: 0.5}} {
			tasks, now := runDay(seed, b, []Priority{High, Low, Idle}, 20000)
			var sum Cost
			for _, k := range tasks {
				sum.TimeMs += k.TotalCost.TimeMs
				sum.Bytes += k.TotalCost.Bytes
			}
			if b.TimeMsPerS > 0 && sum.TimeMs > b.TimeMsPerS*(now/1000+b.BurstS)+5 {
				t.Errorf("%+v: %.0f ms of work in %.0f", b, sum.TimeMs, now)
			}
			if b.BytesPerS > 0 && sum.Bytes > b.BytesPerS*(now/1000+b.BurstS)+1000 {
				t.Errorf("%+v: %.0f bytes in %.0f ms", b, sum.Bytes, now)
			}
			if b.TimeMsPerS == 100 && sum.TimeMs < 0.95*b.TimeMsPerS*now/1000 {
				t.Errorf("%+v: only %.0f ms of work in %.0f", b, sum.TimeMs, now)
			}
		}
	}
}

func TestSharesFollowPrioritiesAndNoneStarves(t *testing.T) {
	tasks, now := runDay(1, Budget{TimeMsPerS: 200, BurstS: 0.1}, []Priority{High, Normal, Low, Idle}, 120000)
	for i := 1; i < len(tasks); i++ {
		if r := tasks[i-1].TotalCost.TimeMs / tasks[i].TotalCost.TimeMs; r < 3 || r > 5 {
			t.Errorf("%v has %.1f times the time of %v", tasks[i-1].Priority, r, tasks[i].Priority)
		}
	}
	if idle := tasks[3]; idle.Steps < 20 || idle.MaxWaitMs > 10000 {
		t.Errorf("the least had %d steps in %.0f s and waited %.1f s at most", idle.Steps, now/1000, idle.MaxWaitMs/1000)
	}
}

func TestWokenTaskHasNoArrears(t *testing.T) {
	s := New(Budget{}, 0)
	busy, late := s.Add("busy", Low, 0), s.Add("late", Low, math.Inf(1))
	now := 0.0
	for range 10000 {
		k, _ := s.Next(now)
		now += 1
		s.Done(k, now, Cost{TimeMs: 1}, now)
	}
	s.Wake(late, now)
	ran := 0
	for range 20 {
		k, _ := s.Next(now)
		if k == late {
			ran++
		}
		now += 1
		s.Done(k, now, Cost{TimeMs: 1}, now)
	}
	if ran < 9 || ran > 11 {
		t.Errorf("%d of 20 steps after a long sleep beside %q", ran, busy.Name)
	}
}

func TestStopBeginsNothingMore(t *testing.T) {
	s := New(Budget{TimeMsPerS: 1}, 0)
	k := s.Add("a", High, 0)
	if got, _ := s.Next(0); got != k {
		t.Fatal(got)
	}
	s.Stop()
	s.Done(k, 1, Cost{TimeMs: 1}, 1)
	if got, wait := s.Next(1e9); got != nil || !math.IsInf(wait, 1) || s.IsRunning() {
		t.Error(got, wait)
	}
}
