// Package eventqueue provides the event queue of a discrete-event simulation: functions ordered by the virtual time at which they
// are to run. Only simulations and the test harness use it, no program in production.
package eventqueue

import (
	"cmp"
	"container/heap"
)

// Queue is a queue of functions ordered by time. Functions of equal time run in the order in which they were added, so that a
// simulation gives the same result each time. The zero value is an empty queue. A queue is not safe for concurrent use. Time is the
// type of the simulation's clock, in any unit.
type Queue[Time cmp.Ordered] struct {
	events   eventHeap[Time]
	sequence uint64
}

// Add adds a function that is to run at a time.
func (q *Queue[Time]) Add(runAt Time, run func()) {
	q.sequence++
	heap.Push(&q.events, event[Time]{runAt: runAt, sequence: q.sequence, run: run})
}

// Next returns the time of the first function, or false if the queue is empty.
func (q *Queue[Time]) Next() (runAt Time, ok bool) {
	if len(q.events) == 0 {
		return runAt, false
	}
	return q.events[0].runAt, true
}

// Take removes the first function and returns it with its time. It panics if the queue is empty.
func (q *Queue[Time]) Take() (runAt Time, run func()) {
	first := heap.Pop(&q.events).(event[Time])
	return first.runAt, first.run
}

// event is a function and the time at which it is to run.
type event[Time cmp.Ordered] struct {
	runAt    Time
	sequence uint64 // number of its addition; orders events of equal time
	run      func()
}

// eventHeap implements heap.Interface; its minimum is the event to run first.
type eventHeap[Time cmp.Ordered] []event[Time]

// Len implements heap.Interface.
func (h eventHeap[Time]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap[Time]) Less(i, j int) bool {
	if h[i].runAt != h[j].runAt {
		return h[i].runAt < h[j].runAt
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap[Time]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap[Time]) Push(x any) { *h = append(*h, x.(event[Time])) }

// Pop implements heap.Interface.
func (h *eventHeap[Time]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
