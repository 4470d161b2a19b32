package coretest

import (
	"time"

	"kestrelspread/internal/eventqueue"
	"kestrelspread/internal/node/core"
)

// Schedule is a queue of calls ordered by time. Calls at the same time come in the order in which
// they were added. The zero value is an empty queue; it is not safe for concurrent use.
type Schedule struct {
	queue eventqueue.Queue[time.Duration]
}

// Add adds a call at a time of the virtual clock.
func (s *Schedule) Add(dueAt time.Duration, call func()) { s.queue.Add(dueAt, call) }

// Next returns the time of the first call; core.Never: there is none.
func (s *Schedule) Next() time.Duration {
	if dueAt, ok := s.queue.Next(); ok {
		return dueAt
	}
	return core.Never
}

// Take removes the first call and returns it with its time. It panics where there is none.
func (s *Schedule) Take() (dueAt time.Duration, call func()) { return s.queue.Take() }
