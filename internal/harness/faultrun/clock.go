package faultrun

import (
	"container/heap"
	"time"
)

// event is a function that runs at a moment of the run.
type event struct {
	runAt    time.Duration
	sequence int
	run      func()
}

// eventHeap orders events by their time, and those of one time by the order in which they were scheduled.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].runAt < h[j].runAt || h[i].runAt == h[j].runAt && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock is the virtual clock of a run, with its scheduled events.
type clock struct {
	now      time.Duration
	events   eventHeap
	sequence int
}

// schedule runs a function at a moment, or now if that has passed.
func (c *clock) schedule(moment time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{max(moment, c.now), c.sequence, run})
}

// after runs a function after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.schedule(c.now+delay, run) }

// every runs a function at an interval, as long as it returns true.
func (c *clock) every(interval time.Duration, run func() bool) {
	c.after(interval, func() {
		if run() {
			c.every(interval, run)
		}
	})
}

// runUntil runs the events up to a moment, as long as continues returns true.
func (c *clock) runUntil(until time.Duration, continues func() bool) {
	for len(c.events) > 0 && c.events[0].runAt <= until && continues() {
		next := heap.Pop(&c.events).(event)
		c.now = next.runAt
		next.run()
	}
	if continues() {
		c.now = until
	}
}
