package simnet

import "container/heap"

// event is a function that runs at a moment.
type event struct {
	runAtMs  float64
	sequence int
	run      func()
}

// eventQueue orders events by time, and those of one time by the order in which they were scheduled.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].runAtMs < q[j].runAtMs || q[i].runAtMs == q[j].runAtMs && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// After schedules a function after a delay.
func (n *Network) After(delayMs float64, run func()) {
	n.lastSequence++
	heap.Push(&n.events, event{n.NowMs + max(delayMs, 0), n.lastSequence, run})
}
