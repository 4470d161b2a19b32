package llmbroker

import (
	"context"
	"slices"
	"sync"
)

// admission is what became of a request that asked for a slot.
type admission uint8

const (
	admitted admission = iota
	refusedFull
	refusedClosed // an order is under way
	gaveUp        // its caller left, or its deadline passed
)

// slots are the places of a broker: so many requests run at once, and a few more wait, the most urgent first.
type slots struct {
	mutex   sync.Mutex
	size    int
	queue   int
	running int
	closed  bool
	idle    func() // called once nothing runs, while closed
	waiting []*waiter
}

type waiter struct {
	priority int
	answer   chan admission // has room for one
}

// enter waits for a place. Who is admitted calls leave.
func (s *slots) enter(ctx context.Context, priority int) admission {
	s.mutex.Lock()
	switch {
	case s.closed:
		s.mutex.Unlock()
		return refusedClosed
	case s.running < s.size:
		s.running++
		s.mutex.Unlock()
		return admitted
	case len(s.waiting) >= s.queue:
		s.mutex.Unlock()
		return refusedFull
	}
	entry := &waiter{priority: priority, answer: make(chan admission, 1)}
	at, _ := slices.BinarySearchFunc(s.waiting, priority+1, func(w *waiter, p int) int { return w.priority - p })
	s.waiting = slices.Insert(s.waiting, at, entry)
	s.mutex.Unlock()
	select {
	case answer := <-entry.answer:
		return answer
	case <-ctx.Done():
		return s.withdraw(entry)
	}
}

// withdraw takes a waiter out whose caller does not wait any more.
func (s *slots) withdraw(entry *waiter) admission {
	s.mutex.Lock()
	at := slices.Index(s.waiting, entry)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mutex.Unlock()
	if at < 0 && <-entry.answer == admitted {
		s.leave()
	}
	return gaveUp
}

// leave gives a place up.
func (s *slots) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if !s.closed && len(s.waiting) > 0 && s.running < s.size {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		next.answer <- admitted
	}
	s.reportIdle()
}

// close refuses whoever waits and whoever comes until open. idle is called once nothing runs.
func (s *slots) close(idle func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed, s.idle = true, idle
	for _, entry := range s.waiting {
		entry.answer <- refusedClosed
	}
	s.waiting = nil
	s.reportIdle()
}

func (s *slots) open() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed, s.idle = false, nil
}

func (s *slots) reportIdle() {
	if s.closed && s.running == 0 && s.idle != nil {
		go s.idle()
		s.idle = nil
	}
}

// load is what a broker tells in X-Kestrelspread-Server-Load.
func (s *slots) load() (running, waiting, size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting), s.size
}
