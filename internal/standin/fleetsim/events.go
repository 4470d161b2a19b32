package fleetsim

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
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after schedules a function after a delay.
func (sim *simulation) after(delayMs float64, run func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.now + delayMs, sim.lastSequence, run})
}
