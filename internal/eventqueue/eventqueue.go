// Package eventqueue is the queue of a virtual clock: functions ordered by the time at which they are to run. Simulations and the
// harness use it; nothing that runs in service does.
package eventqueue

import (
	"cmp"
	"container/heap"
)

// Queue is a queue of functions. Those of one time come in the order in which they were added, so that runs repeat. The zero value
// is an empty queue; it is not safe for concurrent use. Time is whatever the clock counts in.
type Queue[Time cmp.Ordered] struct {
	events   eventHeap[Time]
	sequence uint64
}

// Add adds a function at a time.
func (q *Queue[Time]) Add(runAt Time, run func()) {
	q.sequence++
	heap.Push(&q.events, event[Time]{runAt: runAt, sequence: q.sequence, run: run})
}

// Next returns the time of the first function; false: the queue is empty.
func (q *Queue[Time]) Next() (runAt Time, ok bool) {
	if len(q.events) == 0 {
		return runAt, false
	}
	return q.events[0].runAt, true
}

// Take removes the first function and returns it with its time. It panics where there is none.
func (q *Queue[Time]) Take() (runAt Time, run func()) {
	first := heap.Pop(&q.events).(event[Time])
	return first.runAt, first.run
}

// event is a function with its time.
type event[Time cmp.Ordered] struct {
	runAt    Time
	sequence uint64 // order of addition, which breaks ties
	run      func()
}

// eventHeap is a heap.Interface with the first event on top.
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
