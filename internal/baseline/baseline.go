// Package baseline implements the textbook load-balancing policies that package policy is compared with
// in measurements. They implement policy.Decider, and so run in the same aggregator, with the same client
// and server connections and connection pools. They know which servers are listed, but nothing about
// their health: a shard request goes to a random replica or to the replicas in turn, and after a failure
// to another replica, if the failed attempt never ran or a second run has no further effect.
//
// A Port is not safe for concurrent use.
package baseline

import (
	"math"
	"math/rand/v2"

	"kestrelspread/internal/aggregator/policy"
)

// Names of the policies.
const (
	random     = "random"
	roundRobin = "roundrobin"
	failover   = "failover"
)

// Names lists the policies that New accepts.
var Names = []string{random, roundRobin, failover}

// Times in milliseconds.
const (
	// deadlineMargin is the time before the client's deadline at which a search is ended.
	deadlineMargin = 25
	// failoverBackoff is the time for which failover avoids a server after a failed attempt.
	failoverBackoff = 2000
	// failoverTimeout is the time limit of one attempt under failover.
	failoverTimeout = 400
)

// search is a search whose indices are in use.
type search struct {
	id, queryType int
	deadline      float64 // of the client, in milliseconds
	requests      []*shardRequest
	inFlight      int  // number of attempts in flight
	ended         bool // the client was answered, or no longer waits
	released      bool // its indices were released
}

// shardRequest is the part of a search that concerns one shard.
type shardRequest struct {
	id, shard int
	search    *search
	attempts  []*attempt
	answered  bool
	committed bool // an attempt has begun to answer: no other attempt may be sent
	sendDue   bool // an attempt is to be sent in this round
}

// attempt is one try of a shard request at a server.
type attempt struct {
	server   int
	inFlight bool
	neverRan bool // its outcome proves that it had no effect
}

// server is what the server list states about a server.
type server struct {
	position, zone int
	ready          bool
	// avoidUntil is the time until which failover prefers other servers, in milliseconds.
	avoidUntil float64
}

// Port is a baseline policy. Times are in milliseconds.
type Port struct {
	out        policy.Executor
	rng        *rand.Rand
	roundRobin bool    // round robin among the candidates; otherwise a random choice
	failover   bool    // the aggregator's own zone first, then the following ones; round robin within a zone
	homeZone   int     // zone of the aggregator
	now        float64 // time of the current round

	effects     []policy.RepeatEffect // by query type
	positions   int                   // of the ring on which shards are placed
	replicas    int                   // of each shard
	maxAttempts int                   // of each shard request
	mayCancel   bool

	sendCount int       // attempts sent so far, for round robin
	servers   []*server // by id
	searches  map[int]*search
	requests  map[int]*shardRequest
	active    []*search // searches that have not ended, in order of arrival
}

var _ policy.Decider = (*Port)(nil)

// New returns the policy with this name, one of Names. Its decisions go to out. The seed is that of its
// random choices.
func New(name string, out policy.Executor, seed uint64) *Port {
	return &Port{out: out, rng: rand.New(rand.NewPCG(seed, 1)), roundRobin: name != random, failover: name == failover,
		searches: map[int]*search{}, requests: map[int]*shardRequest{}, positions: 1, replicas: 1, maxAttempts: 1}
}

// SetHomeZone sets the zone of the aggregator, which failover prefers.
func (p *Port) SetHomeZone(zone int) { p.homeZone = zone }

// AddQueryType implements policy.Decider. It stores the effect that a second run has.
func (p *Port) AddQueryType(_, _, _ float64, effect policy.RepeatEffect, _ float64) {
	p.effects = append(p.effects, effect)
}

// SetFleet implements policy.Decider. It stores how shards are placed.
func (p *Port) SetFleet(positions, replicas, _ int, _ float64, _ bool) {
	p.positions, p.replicas = positions, replicas
}

// SetLimits implements policy.Decider. It stores how many attempts a shard request may have, and whether
// attempts in flight may be canceled.
func (p *Port) SetLimits(maxAttempts, _ int, mayCancel, _ bool) {
	p.maxAttempts, p.mayCancel = maxAttempts, mayCancel
}

// BeginRound implements policy.Decider. It stores the time of the round.
func (p *Port) BeginRound(now float64) { p.now = now }

// AddSearch implements policy.Decider. It adds a search; the calls for its shard requests follow.
func (p *Port) AddSearch(id, queryType, _ int, deadline float64, _ int) {
	s := &search{id: id, queryType: queryType, deadline: deadline}
	p.searches[id] = s
	p.active = append(p.active, s)
}

// AddShardRequest implements policy.Decider. It adds a shard request, whose first attempt is sent at the end of
// the round.
func (p *Port) AddShardRequest(searchID, id, shard int, _, _ float64, _ uint64) {
	s := p.searches[searchID]
	r := &shardRequest{id: id, shard: shard, search: s, sendDue: true}
	p.requests[id] = r
	s.requests = append(s.requests, r)
}

// ShortenDeadline implements policy.Decider. It applies the earlier of the two deadlines.
func (p *Port) ShortenDeadline(searchID int, deadline float64) {
	if s := p.searches[searchID]; s != nil {
		s.deadline = min(s.deadline, deadline)
	}
}

// UpdateServer implements policy.Decider. It stores what the server list states about a server.
func (p *Port) UpdateServer(id, zone, position int, state policy.ServerStatus, _, _ float64) {
	for id >= len(p.servers) {
		p.servers = append(p.servers, &server{})
	}
	s := p.servers[id]
	s.position, s.zone, s.ready = position, zone, state == policy.Ready
}

// RemoveServer implements policy.Decider. It returns true, as nothing here depends on a server that is gone.
func (p *Port) RemoveServer(_ int) bool { return true }

// CommitAttempt implements policy.Decider. It commits a shard request to the first attempt for which it is
// called.
func (p *Port) CommitAttempt(id, _ int, _ bool) bool {
	r := p.requests[id]
	if r == nil || r.committed || r.answered {
		return false
	}
	r.committed = true
	return true
}

// AttemptDone implements policy.Decider. It records how an attempt ended, and schedules another one after a failure if
// mayRetry allows it.
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
		r.sendDue = true
	}
	p.releaseIfIdle(r.search)
}

// mayRetry reports whether a shard request may be sent again after an attempt with this outcome: its attempts
// are not used up, and the attempt never ran or a second run has no further effect.
func (p *Port) mayRetry(r *shardRequest, outcome policy.Outcome) bool {
	if r.search.ended || r.committed || len(r.attempts) >= p.maxAttempts {
		return false
	}
	return outcome.NeverRan() || p.effects[r.search.queryType] == policy.Idempotent
}

// ClientGone implements policy.Decider. It ends the search.
func (p *Port) ClientGone(id int) {
	if s := p.searches[id]; s != nil && !s.ended {
		p.endSearch(s)
	}
}

// endSearch ends a search, and cancels its attempts in flight if that is allowed.
func (p *Port) endSearch(s *search) {
	s.ended = true
	for _, r := range s.requests {
		for number, a := range r.attempts {
			if a.inFlight && p.mayCancel {
				p.out.Cancel(r.id, number)
			}
		}
	}
	p.releaseIfIdle(s)
}

// releaseIfIdle releases the indices of a search that has ended, unless an attempt of it is still in flight.
func (p *Port) releaseIfIdle(s *search) {
	if !s.ended || s.inFlight > 0 || s.released {
		return
	}
	s.released = true
	delete(p.searches, s.id)
	for _, r := range s.requests {
		delete(p.requests, r.id)
	}
	p.out.ReleaseSearch(s.id)
}

// EndRound implements policy.Decider. It sends the attempts that are due, ends searches that are complete, have
// failed or have reached their deadline, and asks for a wake-up at the next deadline.
func (p *Port) EndRound() {
	active := p.active[:0]
	nextDeadline := math.Inf(1)
	for _, s := range p.active {
		if s.ended {
			continue
		}
		p.advanceSearch(s)
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

// advanceSearch sends the attempts of a search that are due, and ends the search if it is complete, has failed or
// has reached its deadline.
func (p *Port) advanceSearch(s *search) {
	complete, failed := true, false
	for _, r := range s.requests {
		if r.sendDue && !r.answered && p.now < s.deadline-deadlineMargin {
			r.sendDue = false
			p.send(r)
		}
		complete = complete && r.answered
		failed = failed || !r.answered && !r.anyInFlight()
	}
	switch {
	case complete:
		p.out.Answer(s.id, true)
		p.endSearch(s)
	case failed || p.now >= s.deadline-deadlineMargin:
		if p.isSafeToRepeat(s) {
			p.out.Shed(s.id, 0)
		} else {
			p.out.Fail(s.id)
		}
		p.endSearch(s)
	}
}

// send sends an attempt of a shard request, unless no replica of its shard is ready.
func (p *Port) send(r *shardRequest) {
	destination := p.pickServer(r)
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

// anyInFlight reports whether an attempt of the shard request is in flight.
func (r *shardRequest) anyInFlight() bool {
	for _, a := range r.attempts {
		if a.inFlight {
			return true
		}
	}
	return false
}

// isSafeToRepeat reports whether the client may safely repeat a search: none of its attempts ran, or a second
// run has no further effect, and no attempt has begun to answer.
func (p *Port) isSafeToRepeat(s *search) bool {
	for _, r := range s.requests {
		for _, a := range r.attempts {
			if r.committed || !a.neverRan && p.effects[s.queryType] != policy.Idempotent {
				return false
			}
		}
	}
	return true
}
