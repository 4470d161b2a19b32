package scale

import (
	"container/heap"
	"time"
)

// timeline is the virtual clock: what happens at a time runs once the clock is there, in the order in which it was planned.
type timeline struct {
	now     time.Duration
	events  eventHeap
	planned uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// at plans a step; one in the past comes next.
func (t *timeline) at(at time.Duration, run func()) {
	t.planned++
	heap.Push(&t.events, event{at: max(at, t.now), order: t.planned, run: run})
}

func (t *timeline) after(delay time.Duration, run func()) { t.at(t.now+delay, run) }

// runFor lets a span of time pass.
func (t *timeline) runFor(span time.Duration) {
	t.runUntil(span, func() bool { return false })
}

// runUntil lets time pass until the condition holds, or the span is over. It reports whether the condition holds.
func (t *timeline) runUntil(span time.Duration, done func() bool) bool {
	end := t.now + span
	for len(t.events) > 0 && t.events[0].at <= end {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.run()
		if done() {
			return true
		}
	}
	t.now = end
	return done()
}

// eventHeap implements heap.Interface: the next event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
