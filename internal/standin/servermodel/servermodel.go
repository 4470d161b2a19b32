// Package station is a stand-in for what a server can do: so many at a time, a queue, a cold phase after each start, and a
// load past which it falls over. Its book of what it was sent is kept here, by no broker's word.
package servermodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Kind is what servers of one kind can do.
type Kind struct {
	Slots    int     // sub-requests at a time
	Work     float64 // ms that one takes, on average, when warm
	CV       float64 // of that, log-normal
	Queue    int     // that wait, at most; past it they are turned away
	ColdFrom float64 // share of its speed just after a start
	ColdFor  float64 // ms until it is warm
	Multiple float64 // of what it can do: more over Over makes it fall
	Over     float64 // ms
}

// Bears is how many sub-requests a warm one answers in a second, at most.
func (k Kind) Bears() float64 { return 1000 * float64(k.Slots) / k.Work }

// Share is what one of an age (ms) can do of what it can do warm.
func (k Kind) Share(age float64) float64 {
	if k.ColdFor <= 0 || age >= k.ColdFor {
		return 1
	}
	return k.ColdFrom + (1-k.ColdFrom)*max(age, 0)/k.ColdFor
}

// Second is what one second brought.
type Second struct {
	Came, Answered, Turned, Gone int // sub-requests; gone: their sender no longer wanted them
	Busy                         float64
	Bears                        float64 // what it could have answered, cold as it was
}

// Station is one server's capacity.
type Station struct {
	Kind
	lock    sync.Mutex
	rng     *rand.Rand
	zero    time.Time // of the run
	started float64   // ms of the run; negative infinity: long ago
	times   float64   // slower by so many times
	silent  bool
	failing float64 // share answered with an error
	slots   chan struct{}
	waiting int
	book    []Second
	bins    map[int]float64 // work that came, by Over/10
	fell    int
	worst   float64
	gen     int
	marks   []mark // how it has stood, the latest last
}

// mark is from when on it stood so.
type mark struct {
	at, started, times float64
	silent             bool
}

const (
	binsPerOver = 10
	perSecond   = 10 // looks at what it bore in one
)

// New makes a warm one. Times are of the run that began at zero; the seed draws service times.
func New(k Kind, zero time.Time, seed uint64) *Station {
	return &Station{Kind: k, rng: rand.New(rand.NewPCG(seed, 2)), zero: zero, started: math.Inf(-1), times: 1,
		slots: make(chan struct{}, k.Slots), bins: map[int]float64{}, marks: []mark{{math.Inf(-1), math.Inf(-1), 1, false}}}
}

// mark notes how it stands from now on. The lock is held.
func (s *Station) mark() { s.marks = append(s.marks, mark{s.now(), s.started, s.times, s.silent}) }

// Could is how many sub-requests a second it could answer at a time of the run (ms), cold and slow as it was then, and
// whether it said nothing then.
func (s *Station) Could(at float64) (bears float64, silent bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.could(at)
}

func (s *Station) could(at float64) (bears float64, silent bool) {
	m := s.marks[0]
	for _, n := range s.marks[1:] {
		if n.at <= at {
			m = n
		}
	}
	return s.Bears() * s.Share(at-m.started) / m.times, m.silent
}

func (s *Station) now() float64 { return float64(time.Since(s.zero).Microseconds()) / 1000 }

// Start has it start anew now: cold, with nothing held.
func (s *Station) Start() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.started = s.now()
	s.gen++
	s.waiting = 0
	s.slots = make(chan struct{}, s.Slots)
	clear(s.bins)
	s.mark()
}

// Slow makes it slower by so many times; 1: as ever.
func (s *Station) Slow(times float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.times = times
	s.mark()
}

// Silent has it take what comes and say nothing.
func (s *Station) Silent(on bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silent = on
	s.mark()
}

// Failing has it answer a share with an error.
func (s *Station) Failing(share float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.failing = share
}

// at gives the book of the second at hand. The lock is held.
func (s *Station) at(now float64) *Second {
	i := max(int(now/1000), 0)
	for len(s.book) <= i {
		s.book = append(s.book, Second{})
	}
	return &s.book[i]
}

// Work takes one sub-request: sockets.Behaviour's Work.
func (s *Station) Work(ctx context.Context, _ string, _ int) string {
	s.lock.Lock()
	now := s.now()
	s.at(now).Came++
	s.watch(now)
	if s.waiting >= s.Queue {
		s.at(now).Turned++
		s.lock.Unlock()
		return "REJECTED"
	}
	s.waiting++
	slots, gen := s.slots, s.gen
	s.lock.Unlock()
	got := false
	select {
	case slots <- struct{}{}:
		got = true
	case <-ctx.Done():
	}
	s.lock.Lock()
	if s.gen == gen {
		s.waiting--
	}
	if !got {
		s.at(s.now()).Gone++
		s.lock.Unlock()
		return ""
	}
	now = s.now()
	sigma := math.Sqrt(math.Log(1 + s.CV*s.CV))
	draw := s.Kind.Work * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
	ms := draw * s.times / s.Share(now-s.started)
	fails := s.failing > 0 && s.rng.Float64() < s.failing
	s.lock.Unlock()
	t := time.NewTimer(time.Duration(ms * 1e6))
	select {
	case <-t.C:
	case <-ctx.Done():
		t.Stop()
	}
	<-slots
	s.lock.Lock()
	defer s.lock.Unlock()
	now = s.now()
	sec := s.at(now)
	sec.Busy += ms
	switch {
	case ctx.Err() != nil || s.gen != gen:
		sec.Gone++
		return ""
	case s.silent:
		return ""
	case fails:
		return "ERROR"
	}
	sec.Answered++
	return "OK"
}

// watch keeps rule 4 from outside: what came within Over, against what one so cold bears. The lock is held.
func (s *Station) watch(now float64) {
	if s.Multiple <= 0 || s.Over <= 0 || now-s.started >= s.ColdFor {
		return
	}
	bin := int(now / (s.Over / binsPerOver))
	s.bins[bin] += s.Kind.Work
	sum, bears := 0.0, 0.0
	for i := bin - binsPerOver + 1; i <= bin; i++ {
		sum += s.bins[i]
		bears += float64(s.Slots) * s.Share((float64(i)+0.5)*s.Over/binsPerOver-s.started) * s.Over / binsPerOver
	}
	ratio := sum / (s.Multiple * bears)
	s.worst = max(s.worst, ratio)
	if ratio > 1 {
		s.fell++
	}
}

// Fell tells how often more came than it bore while cold, and the worst ratio of what came to that.
func (s *Station) Fell() (times int, worst float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fell, s.worst
}

// Book gives what each second brought, and what it could have answered in each.
func (s *Station) Book() []Second {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := append([]Second(nil), s.book...)
	for i := range list { // as it stood then: judged by its latest start, it was cold long before that
		for n := range perSecond {
			bears, _ := s.could((float64(i) + (float64(n)+0.5)/perSecond) * 1000)
			list[i].Bears += bears / perSecond
		}
	}
	return list
}
