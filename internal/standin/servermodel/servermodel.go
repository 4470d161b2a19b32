// Package servermodel simulates the capacity of a server: a number of slots, a queue, a slow start after each restart, and a load beyond
// which a server in slow start would fail. It counts what the server received, independently of brokers.
package servermodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Config describes servers of one kind.
type Config struct {
	Slots            int     // concurrent requests
	WorkMs           float64 // mean service time, when warm
	WorkCV           float64 // coefficient of variation of the service time, which is log-normal
	QueueLength      int     // of waiting requests; more are rejected
	WarmUpShare      float64 // share of the full speed right after a start
	WarmUpMs         float64 // until it has full speed
	OverloadFactor   float64 // of its capacity: a higher load in slow start is an overload
	OverloadWindowMs float64 // of that load
}

// CapacityPerS is the throughput of a warm server, in requests per second.
func (c Config) CapacityPerS() float64 { return 1000 * float64(c.Slots) / c.WorkMs }

// WarmShare is the share of the full speed, by the time since the start.
func (c Config) WarmShare(ageMs float64) float64 {
	if c.WarmUpMs <= 0 || ageMs >= c.WarmUpMs {
		return 1
	}
	return c.WarmUpShare + (1-c.WarmUpShare)*max(ageMs, 0)/c.WarmUpMs
}

// Second counts the requests of one second.
type Second struct {
	Received, Answered, Rejected, Abandoned int // Abandoned: their sender had left
	BusyMs                                  float64
	Capacity                                float64 // in requests, with slow start and slowdown
}

// Server is the model of one server. It is safe for concurrent use.
type Server struct {
	Config
	mutex          sync.Mutex
	random         *rand.Rand
	runStart       time.Time // times are relative to it
	startedAtMs    float64   // negative infinity: long ago
	slowdown       float64   // factor of the service time
	unresponsive   bool
	failingShare   float64 // share of errors
	slots          chan struct{}
	waiting        int
	seconds        []Second
	receivedWorkMs map[int]float64 // by part of the window
	overloads      int
	maxWarmUpLoad  float64
	incarnation    int
	states         []state // changes, the latest last
}

// state is the state of a server from a moment on.
type state struct {
	fromMs, startedAtMs, slowdown float64
	unresponsive                  bool
}

const (
	binsPerWindow    = 10
	samplesPerSecond = 10 // of the capacity
)

// New returns a warm server. Times are relative to runStart; the seed determines the service times.
func New(config Config, runStart time.Time, seed uint64) *Server {
	return &Server{Config: config, random: rand.New(rand.NewPCG(seed, 2)), runStart: runStart, startedAtMs: math.Inf(-1), slowdown: 1,
		slots: make(chan struct{}, config.Slots), receivedWorkMs: map[int]float64{}, states: []state{{math.Inf(-1), math.Inf(-1), 1, false}}}
}

// recordState records the state from now on. s.mutex must be held.
func (s *Server) recordState() {
	s.states = append(s.states, state{s.now(), s.startedAtMs, s.slowdown, s.unresponsive})
}

// CapacityAt is the capacity at a moment, in requests per second, with slow start and slowdown, and whether the server was unresponsive.
func (s *Server) CapacityAt(momentMs float64) (perS float64, unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.capacityAt(momentMs)
}

// capacityAt is CapacityAt. s.mutex must be held.
func (s *Server) capacityAt(momentMs float64) (perS float64, unresponsive bool) {
	current := s.states[0]
	for _, candidate := range s.states[1:] {
		if candidate.fromMs <= momentMs {
			current = candidate
		}
	}
	return s.CapacityPerS() * s.WarmShare(momentMs-current.startedAtMs) / current.slowdown, current.unresponsive
}

// now is the time of the run, in ms.
func (s *Server) now() float64 { return float64(time.Since(s.runStart).Microseconds()) / 1000 }

// Restart restarts the server, with slow start. Waiting requests are lost.
func (s *Server) Restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startedAtMs = s.now()
	s.incarnation++
	s.waiting = 0
	s.slots = make(chan struct{}, s.Slots)
	clear(s.receivedWorkMs)
	s.recordState()
}

// SetSlowdown multiplies the service time; 1 is normal.
func (s *Server) SetSlowdown(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowdown = factor
	s.recordState()
}

// SetUnresponsive has the server accept requests and not answer.
func (s *Server) SetUnresponsive(on bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unresponsive = on
	s.recordState()
}

// SetFailingShare has the server answer a share of requests with an error.
func (s *Server) SetFailingShare(share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failingShare = share
}

// secondAt is the counts of the second of a moment. s.mutex must be held.
func (s *Server) secondAt(now float64) *Second {
	i := max(int(now/1000), 0)
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, Second{})
	}
	return &s.seconds[i]
}

// Serve serves one request: it is the Serve of fakeservers.Behaviour. It returns the status of the answer; empty: none is sent.
func (s *Server) Serve(ctx context.Context, _ string, _ int) string {
	slots, incarnation, accepted := s.enqueue()
	if !accepted {
		return "REJECTED"
	}
	acquired := false
	select {
	case slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	serviceMs, fails, ok := s.dequeue(incarnation, acquired)
	if !ok {
		return ""
	}
	timer := time.NewTimer(time.Duration(serviceMs * 1e6))
	select {
	case <-timer.C:
	case <-ctx.Done():
		timer.Stop()
	}
	<-slots
	return s.finish(ctx, incarnation, serviceMs, fails)
}

// enqueue counts a request, and lets it wait for a slot unless the queue is full.
func (s *Server) enqueue() (slots chan struct{}, incarnation int, accepted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	s.secondAt(now).Received++
	s.checkWarmUpLoad(now)
	if s.waiting >= s.QueueLength {
		s.secondAt(now).Rejected++
		return nil, 0, false
	}
	s.waiting++
	return s.slots, s.incarnation, true
}

// dequeue ends the wait of a request, and draws its service time and outcome. ok is false if its sender has left.
func (s *Server) dequeue(incarnation int, acquired bool) (serviceMs float64, fails, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.incarnation == incarnation {
		s.waiting--
	}
	now := s.now()
	if !acquired {
		s.secondAt(now).Abandoned++
		return 0, false, false
	}
	sigma := math.Sqrt(math.Log(1 + s.WorkCV*s.WorkCV))
	workMs := s.WorkMs * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	serviceMs = workMs * s.slowdown / s.WarmShare(now-s.startedAtMs)
	fails = s.failingShare > 0 && s.random.Float64() < s.failingShare
	return serviceMs, fails, true
}

// finish counts the end of a request, and returns its status.
func (s *Server) finish(ctx context.Context, incarnation int, serviceMs float64, fails bool) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	second := s.secondAt(s.now())
	second.BusyMs += serviceMs
	switch {
	case ctx.Err() != nil || s.incarnation != incarnation:
		second.Abandoned++
		return ""
	case s.unresponsive:
		return ""
	case fails:
		return "ERROR"
	}
	second.Answered++
	return "OK"
}

// checkWarmUpLoad checks rule 4: the work received within the window, by the capacity of a server in slow start. s.mutex must be held.
func (s *Server) checkWarmUpLoad(nowMs float64) {
	if s.OverloadFactor <= 0 || s.OverloadWindowMs <= 0 || nowMs-s.startedAtMs >= s.WarmUpMs {
		return
	}
	binMs := s.OverloadWindowMs / binsPerWindow
	current := int(nowMs / binMs)
	s.receivedWorkMs[current] += s.WorkMs
	receivedMs, capacityMs := 0.0, 0.0
	for bin := current - binsPerWindow + 1; bin <= current; bin++ {
		receivedMs += s.receivedWorkMs[bin]
		ageMs := (float64(bin)+0.5)*s.OverloadWindowMs/binsPerWindow - s.startedAtMs
		capacityMs += float64(s.Slots) * s.WarmShare(ageMs) * s.OverloadWindowMs / binsPerWindow
	}
	load := receivedMs / (s.OverloadFactor * capacityMs)
	s.maxWarmUpLoad = max(s.maxWarmUpLoad, load)
	if load > 1 {
		s.overloads++
	}
}

// WarmUpOverloads is the number of overloads in slow start, and the highest load, where 1 is an overload.
func (s *Server) WarmUpOverloads() (count int, maxLoad float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.overloads, s.maxWarmUpLoad
}

// Seconds returns the counts of each second, with its capacity.
func (s *Server) Seconds() []Second {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seconds := append([]Second(nil), s.seconds...)
	for i := range seconds { // by the state at that time
		for n := range samplesPerSecond {
			perS, _ := s.capacityAt((float64(i) + (float64(n)+0.5)/samplesPerSecond) * 1000)
			seconds[i].Capacity += perS / samplesPerSecond
		}
	}
	return seconds
}
