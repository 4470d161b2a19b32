package faultrun

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of the run.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
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

// clock is the time of a run.
type clock struct {
	now      time.Duration
	events   eventHeap
	sequence int
}

func (c *clock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{max(at, c.now), c.sequence, run})
}

func (c *clock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

// every runs something again and again while it returns true.
func (c *clock) every(interval time.Duration, run func() bool) {
	c.after(interval, func() {
		if run() {
			c.every(interval, run)
		}
	})
}

// play runs events up to the moment, while goOn holds.
func (c *clock) play(until time.Duration, goOn func() bool) {
	for len(c.events) > 0 && c.events[0].at <= until && goOn() {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	if goOn() {
		c.now = until
	}
}
