// Package baseline has the textbook policies that the module is compared with, behind the same port and
// so with the same fronts, carriers and pools. They know which servers are listed and nothing of
// their health: a shard request goes to a replica at random or in turn, and after a failure, where a
// second run does no harm, to another one. It is for measurements alone.
//
// A Port takes no locks: its caller makes one call at a time.
package baseline

import (
	"math"
	"math/rand/v2"

	"kestrelspread/internal/aggregator/policy"
)

// Names of the policies that New knows.
const (
	random     = "random"
	roundRobin = "roundrobin"
	failover   = "failover"
)

// Names are the policies that New knows.
var Names = []string{random, roundRobin, failover}

// Times in milliseconds.
const (
	// deadlineMargin is how long before the client's timeout a search ends.
	deadlineMargin = 25
	// failoverBackoff is how long failover avoids a server that has failed.
	failoverBackoff = 2000
	// failoverTimeout is how long failover waits for a server.
	failoverTimeout = 400
)

type search struct {
	id, queryType int
	deadline      float64
	requests      []*shardRequest
	inFlight      int // attempts
	ended         bool
	forgotten     bool
}

type shardRequest struct {
	id, shard int
	search    *search
	attempts  []*attempt
	answered  bool
	committed bool // an attempt's answer has begun: no other one may be sent
	wantsSend bool
}

type attempt struct {
	server   int
	inFlight bool
	neverRan bool
}

type server struct {
	position, zone int
	ready          bool
	// avoidUntil is for failover: until then, servers that did answer go first.
	avoidUntil float64
}

// Port is a policy.
type Port struct {
	out      policy.Executor
	rng      *rand.Rand
	inTurn   bool // or at random
	failover bool // the own zone first, then the next in order; in turn within a zone
	zone     int  // the broker's own
	now      float64

	effects     []policy.RepeatEffect // by query type
	positions   int
	replicas    int
	maxAttempts int
	mayCancel   bool

	sendCount int
	servers   []*server // by id
	searches  map[int]*search
	requests  map[int]*shardRequest
	active    []*search // in order of arrival
}

var _ policy.Decider = (*Port)(nil)

// New returns the policy of that name; the seed is for its random choices.
func New(name string, out policy.Executor, seed uint64) *Port {
	return &Port{out: out, rng: rand.New(rand.NewPCG(seed, 1)), inTurn: name != random, failover: name == failover,
		searches: map[int]*search{}, requests: map[int]*shardRequest{}, positions: 1, replicas: 1, maxAttempts: 1}
}

// Home sets the broker's own zone, for failover.
func (p *Port) Home(zone int) { p.zone = zone }

// AddQueryType implements policy.Decider; it keeps the effect of a second run.
func (p *Port) AddQueryType(_, _, _ float64, effect policy.RepeatEffect, _ float64) {
	p.effects = append(p.effects, effect)
}

// SetFleet implements policy.Decider; it keeps how shards are placed.
func (p *Port) SetFleet(positions, replicas, _ int, _ float64, _ bool) {
	p.positions, p.replicas = positions, replicas
}

// SetLimits implements policy.Decider; it keeps how many attempts a shard request may have, and whether
// those in flight may be canceled.
func (p *Port) SetLimits(maxAttempts, _ int, mayCancel, _ bool) {
	p.maxAttempts, p.mayCancel = maxAttempts, mayCancel
}

// BeginRound implements policy.Decider; it keeps the time of the round.
func (p *Port) BeginRound(now float64) { p.now = now }

// AddSearch implements policy.Decider; the search's shard requests follow.
func (p *Port) AddSearch(id, queryType, _ int, deadline float64, _ int) {
	s := &search{id: id, queryType: queryType, deadline: deadline}
	p.searches[id] = s
	p.active = append(p.active, s)
}

// AddShardRequest implements policy.Decider; the request wants its first attempt.
func (p *Port) AddShardRequest(searchID, id, shard int, _, _ float64, _ uint64) {
	s := p.searches[searchID]
	r := &shardRequest{id: id, shard: shard, search: s, wantsSend: true}
	p.requests[id] = r
	s.requests = append(s.requests, r)
}

// ShortenDeadline implements policy.Decider.
func (p *Port) ShortenDeadline(searchID int, deadline float64) {
	if s := p.searches[searchID]; s != nil {
		s.deadline = min(s.deadline, deadline)
	}
}

// UpdateServer implements policy.Decider; it keeps what the list says of a server.
func (p *Port) UpdateServer(id, zone, position int, state policy.ServerStatus, _, _ float64) {
	for id >= len(p.servers) {
		p.servers = append(p.servers, &server{})
	}
	s := p.servers[id]
	s.position, s.zone, s.ready = position, zone, state == policy.Ready
}

// RemoveServer implements policy.Decider; nothing here still needs a server that is gone.
func (p *Port) RemoveServer(_ int) bool { return true }

// CommitAttempt implements policy.Decider; the first attempt that asks for a request gets it.
func (p *Port) CommitAttempt(id, _ int, _ bool) bool {
	r := p.requests[id]
	if r == nil || r.committed || r.answered {
		return false
	}
	r.committed = true
	return true
}

// AttemptDone implements policy.Decider; a request that failed harmlessly is sent again, as far as the limit
// allows.
func (p *Port) AttemptDone(id, number int, outcome policy.Outcome, _ []float64) {
	r := p.requests[id]
	if r == nil || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return
	}
	a := r.attempts[number]
	a.inFlight, a.neverRan = false, outcome.NeverRan()
	r.search.inFlight--
	switch outcome {
	case policy.ConnectFailed, policy.TimedOut, policy.ConnectionReset:
		p.servers[a.server].avoidUntil = p.now + failoverBackoff
	case policy.Answered:
		p.servers[a.server].avoidUntil = 0
	}
	if outcome == policy.Answered {
		r.answered = true
	} else if p.mayRetry(r, outcome) {
		r.wantsSend = true
	}
	p.forget(r.search)
}

// mayRetry reports whether a request whose attempt failed may be sent again.
func (p *Port) mayRetry(r *shardRequest, outcome policy.Outcome) bool {
	if r.search.ended || r.committed || len(r.attempts) >= p.maxAttempts {
		return false
	}
	return outcome.NeverRan() || p.effects[r.search.queryType] == policy.Idempotent
}

// ClientGone implements policy.Decider; the search ends.
func (p *Port) ClientGone(id int) {
	if s := p.searches[id]; s != nil && !s.ended {
		p.end(s)
	}
}

// end ends a search, and cancels what is in flight where that is allowed.
func (p *Port) end(s *search) {
	s.ended = true
	for _, r := range s.requests {
		for number, a := range r.attempts {
			if a.inFlight && p.mayCancel {
				p.out.Cancel(r.id, number)
			}
		}
	}
	p.forget(s)
}

// forget drops a search that has ended, once none of its attempts is in flight.
func (p *Port) forget(s *search) {
	if !s.ended || s.inFlight > 0 || s.forgotten {
		return
	}
	s.forgotten = true
	delete(p.searches, s.id)
	for _, r := range s.requests {
		delete(p.requests, r.id)
	}
	p.out.ReleaseSearch(s.id)
}

// EndRound implements policy.Decider; it sends what wants to be sent, and ends searches that are complete,
// have failed or have reached their deadline.
func (p *Port) EndRound() {
	active := p.active[:0]
	nextDeadline := math.Inf(1)
	for _, s := range p.active {
		if s.ended {
			continue
		}
		p.step(s)
		if !s.ended {
			active = append(active, s)
			nextDeadline = min(nextDeadline, s.deadline-deadlineMargin-p.now)
		}
	}
	clear(p.active[len(active):])
	p.active = active
	if !math.IsInf(nextDeadline, 1) {
		p.out.ScheduleWakeUp(max(nextDeadline, 1))
	}
}

// step sends a search's requests, and ends it where it is due.
func (p *Port) step(s *search) {
	complete, failed := true, false
	for _, r := range s.requests {
		if r.wantsSend && !r.answered && p.now < s.deadline-deadlineMargin {
			r.wantsSend = false
			p.send(r)
		}
		complete = complete && r.answered
		failed = failed || !r.answered && !r.anyInFlight()
	}
	switch {
	case complete:
		p.out.Answer(s.id, true)
		p.end(s)
	case failed || p.now >= s.deadline-deadlineMargin:
		if p.harmless(s) {
			p.out.Shed(s.id, 0)
		} else {
			p.out.Fail(s.id)
		}
		p.end(s)
	}
}

// send sends an attempt of a request, where there is a server for it.
func (p *Port) send(r *shardRequest) {
	destination := p.pick(r)
	if destination < 0 {
		return
	}
	r.attempts = append(r.attempts, &attempt{server: destination, inFlight: true})
	r.search.inFlight++
	timeout := 0.0
	if p.failover {
		timeout = min(failoverTimeout, r.search.deadline-deadlineMargin-p.now)
	}
	p.out.Send(r.id, destination, timeout, 0)
}

func (r *shardRequest) anyInFlight() bool {
	for _, a := range r.attempts {
		if a.inFlight {
			return true
		}
	}
	return false
}

// harmless reports whether the client may repeat a search: no attempt ran, or a second run has no
// further effect.
func (p *Port) harmless(s *search) bool {
	for _, r := range s.requests {
		for _, a := range r.attempts {
			if r.committed || !a.neverRan && p.effects[s.queryType] != policy.Idempotent {
				return false
			}
		}
	}
	return true
}
