package coretest

import (
	"container/heap"
	"time"

	"kestrelspread/internal/node/core"
)

// Schedule is a queue of calls ordered by time. Calls at the same time come in the order in which
// they were added. The zero value is an empty queue; it is not safe for concurrent use.
type Schedule struct {
	calls    callHeap
	sequence uint64
}

// Add adds a call at a time of the virtual clock.
func (s *Schedule) Add(dueAt time.Duration, call func()) {
	s.sequence++
	heap.Push(&s.calls, queuedCall{dueAt: dueAt, sequence: s.sequence, call: call})
}

// Next returns the time of the first call; core.Never: there is none.
func (s *Schedule) Next() time.Duration {
	if len(s.calls) == 0 {
		return core.Never
	}
	return s.calls[0].dueAt
}

// Take removes the first call and returns it with its time. It panics where there is none.
func (s *Schedule) Take() (dueAt time.Duration, call func()) {
	first := heap.Pop(&s.calls).(queuedCall)
	return first.dueAt, first.call
}

// queuedCall is a call of a Schedule.
type queuedCall struct {
	dueAt    time.Duration
	sequence uint64 // order of addition, which breaks ties
	call     func()
}

// callHeap is a heap.Interface with the first call on top.
type callHeap []queuedCall

// Len is the number of calls.
func (h callHeap) Len() int { return len(h) }

// Swap exchanges two calls.
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Less orders calls by time, then by addition.
func (h callHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	return h[i].sequence < h[j].sequence
}

// Push appends a call.
func (h *callHeap) Push(x any) { *h = append(*h, x.(queuedCall)) }

// Pop removes the last call.
func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
