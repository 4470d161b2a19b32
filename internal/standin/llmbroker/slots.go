package llmbroker

import (
	"context"
	"slices"
	"sync"
)

// admission is the result of a request for a slot.
type admission uint8

const (
	admitted admission = iota
	rejectedFull
	rejectedClosed // an order is in progress
	abandoned      // the client left, or the deadline passed
)

// slots limit the concurrency of a broker. A bounded queue of requests waits, the most urgent first.
type slots struct {
	mutex    sync.Mutex
	capacity int
	queue    int
	running  int
	isClosed bool
	idle     func() // called once nothing runs, while closed; nil: nobody waits for that
	waiting  []*waiter
}

type waiter struct {
	priority int
	answer   chan admission // buffered
}

// enter waits for a slot. Who is admitted calls leave.
func (s *slots) enter(ctx context.Context, priority int) admission {
	s.mutex.Lock()
	switch {
	case s.isClosed:
		s.mutex.Unlock()
		return rejectedClosed
	case s.running < s.capacity:
		s.running++
		s.mutex.Unlock()
		return admitted
	case len(s.waiting) >= s.queue:
		s.mutex.Unlock()
		return rejectedFull
	}
	entry := &waiter{priority: priority, answer: make(chan admission, 1)}
	index, _ := slices.BinarySearchFunc(s.waiting, priority+1, func(w *waiter, p int) int { return w.priority - p })
	s.waiting = slices.Insert(s.waiting, index, entry)
	s.mutex.Unlock()
	select {
	case answer := <-entry.answer:
		return answer
	case <-ctx.Done():
		return s.withdraw(entry)
	}
}

// withdraw removes a waiter whose client no longer waits. One that was admitted meanwhile leaves its slot.
func (s *slots) withdraw(entry *waiter) admission {
	s.mutex.Lock()
	index := slices.Index(s.waiting, entry)
	if index >= 0 {
		s.waiting = slices.Delete(s.waiting, index, index+1)
	}
	s.mutex.Unlock()
	if index < 0 && <-entry.answer == admitted {
		s.leave()
	}
	return abandoned
}

// leave releases a slot, to the next waiter if there is one.
func (s *slots) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if !s.isClosed && len(s.waiting) > 0 && s.running < s.capacity {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		next.answer <- admitted
	}
	s.reportIdle()
}

// close rejects all waiters and new requests until open. idle is called once nothing runs.
func (s *slots) close(idle func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosed, s.idle = true, idle
	for _, entry := range s.waiting {
		entry.answer <- rejectedClosed
	}
	s.waiting = nil
	s.reportIdle()
}

// open admits requests again.
func (s *slots) open() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosed, s.idle = false, nil
}

// reportIdle calls idle once, when nothing runs. s.mutex must be held.
func (s *slots) reportIdle() {
	if s.isClosed && s.running == 0 && s.idle != nil {
		go s.idle()
		s.idle = nil
	}
}

// load is the content of X-Kestrelspread-Server-Load.
func (s *slots) load() (running, waiting, size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting), s.capacity
}
