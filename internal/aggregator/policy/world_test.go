package policy

import (
	"fmt"
	"math/rand"
	"testing"
)

// This file simulates the surroundings of one policy: clients, servers and the server list. The events
// are random but valid, and the rules are checked at every decision and after every round.

// modelAttempt is an attempt as the world sees it.
type modelAttempt struct {
	server             int
	sentAt             float64
	inFlight, neverRan bool // neverRan: it has ended, and cannot have run
	outcome            Outcome
	cancelled          bool
}

// modelRequest is a shard request as the world sees it.
type modelRequest struct {
	search, shard, phase int
	weight               float64
	attempts             []modelAttempt
	answered, ended      bool // ended: the phase of its search is over
}

// modelSearch is a search as the world sees it.
type modelSearch struct {
	kind, expected, phase     int
	deadline                  float64
	requests                  []int
	finalAnswers              int
	firstComplete, clientGone bool // firstComplete: the first phase had a complete answer
}

// modelServer is a server of the world.
type modelServer struct {
	position  int
	state     ServerStatus
	startedAt float64
	behaviour int // one of the behaviours below
	sent      []sentWork
}

// Behaviours of a modelServer.
const (
	answers = iota
	unresponsive
	returnsErrors
	rejects
	unreachable
	numBehaviours
)

// sentWork is work that was sent to a server.
type sentWork struct{ sentAt, work float64 }

// world drives a policy with random events and collects violations of the rules.
type world struct {
	t                                                           testing.TB
	random                                                      *rand.Rand
	policy                                                      *Policy
	now, wakeAt, warmUpDuration, multiple, warmUpWindow         float64
	warmUpShare, latencyTarget, timeout, tokenWindow, allowance float64
	ratio, budgetWindow, maxRate                                float64
	requiredShares, minShares                                   []float64
	effects                                                     []RepeatEffect
	followUp, positions, replicas, maxPending, maxAttempts      int
	aggregators                                                 int
	mayCancel, mayHedge, mayProbe, mustAsk, hasBudget           bool
	servers                                                     []*modelServer
	searches                                                    map[int]*modelSearch
	requests                                                    map[int]*modelRequest
	requestOrder                                                []int // shard requests in order of arrival, so that runs are repeatable
	lastID                                                      int
	secondPhases                                                []int // searches whose follow-up phase starts next
	probing                                                     []int
	requestTimes, retryTimes                                    []float64
	violations                                                  []string
	tamper                                                      string // breaks a decision, to test the checks: drained, twice, whole or late
	finalAnswers, sends                                         int
}

// newWorld returns a world whose settings, servers and events are determined by the seed.
func newWorld(t testing.TB, seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	pick := func(values ...float64) float64 { return values[r.Intn(len(values))] }
	w := &world{t: t, random: r, now: pick(0, 1e6), warmUpDuration: pick(0, 5000, 17000), multiple: pick(2, 3),
		warmUpWindow: pick(1500, 3000), warmUpShare: pick(0.16, 0.5), latencyTarget: pick(0, 300, 1500), timeout: pick(400, 3000),
		tokenWindow: pick(200, 5000), allowance: pick(0, 3), ratio: pick(0, 0.1), budgetWindow: pick(500, 5000),
		followUp: r.Intn(3), positions: 1 + r.Intn(6), replicas: 1 + r.Intn(4), maxPending: int(pick(0, 5, 200)), maxAttempts: r.Intn(5),
		mayCancel: r.Intn(4) > 0, mayHedge: r.Intn(3) > 0, mayProbe: r.Intn(2) > 0, mustAsk: r.Intn(4) == 0,
		hasBudget: r.Intn(3) == 0}
	for i := 0; i < 3; i++ {
		w.effects = append(w.effects, RepeatEffect(r.Intn(3)))
		w.requiredShares = append(w.requiredShares, pick(1, 1, 0.6))
		w.minShares = append(w.minShares, min(w.requiredShares[i], pick(1, 0.5, 0)))
	}
	for i := r.Intn(9); i >= 0; i-- {
		w.servers = append(w.servers, &modelServer{position: r.Intn(w.positions)})
	}
	w.start()
	return w
}

// start replaces the policy by a new one, as after a crash: nothing is pending, and the outcomes of
// earlier attempts are not reported to it.
func (w *world) start() {
	w.searches, w.requests, w.requestOrder, w.secondPhases, w.probing = map[int]*modelSearch{}, map[int]*modelRequest{}, nil, nil, nil
	w.requestTimes, w.retryTimes, w.wakeAt, w.maxRate = nil, nil, -1, 0
	seed := w.random.Uint64()
	w.aggregators = []int{1, 3, 100, 1000}[w.random.Intn(4)]
	p := New(w, seed, w.aggregators, 0)
	for i, effect := range w.effects {
		p.AddQueryType(w.latencyTarget, float64(1+i), 0.3, effect, w.tokenWindow)
		p.SetAnswerShares(i, w.requiredShares[i], w.minShares[i], 0.8, w.followUp*(i%2))
	}
	p.AddCustomer(float64(w.random.Intn(3)), 0.1)
	p.SetFleet(w.positions, w.replicas, 1+w.random.Intn(4), 10, true)
	p.SetLimits(w.maxAttempts, w.maxPending, w.mayCancel, w.mayHedge)
	p.SetMaxRetryAfter(500)
	if w.warmUpDuration > 0 {
		p.SetWarmUp(w.warmUpShare, w.warmUpDuration, w.multiple, w.warmUpWindow)
	}
	if w.hasBudget {
		p.SetRetryBudget(w.allowance, w.ratio, w.budgetWindow)
	}
	p.SetLoadReports(w.random.Intn(2) == 0, []ReportField{QueueField})
	if w.mayProbe {
		p.AllowProbes()
	}
	p.SetDiscovery(w.mustAsk)
	w.policy = p
	p.BeginRound(w.now)
	for i, s := range w.servers {
		s.sent = nil
		p.UpdateServer(i, i%2, s.position, s.state, 1, s.startedAt)
	}
	p.EndRound()
}

// recordViolation records that a rule was broken now.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.0f: ", w.now)+fmt.Sprintf(format, args...))
}

// attemptWork is the expected work of each attempt in ms: the hint of its shard request plus that of a batch.
const attemptWork = 100.0 + 10

// deadlineTolerance is how many ms after its deadline a search may still get its final answer.
const deadlineTolerance = 20

func (w *world) Send(request, server int, timeout, beginWithin float64) {
	target := w.requests[request]
	if w.tamper == "drained" {
		w.servers[server].state = Draining
	}
	w.sends++
	w.checkTarget(request, server)
	w.checkRepetition(request)
	if len(target.attempts) > 0 {
		w.checkRetryBudget()
	}
	w.checkWarmUp(server)
	w.recordRate(w.servers[server])
	target.attempts = append(target.attempts, modelAttempt{server: server, sentAt: w.now, inFlight: true})
	if w.tamper == "twice" && len(target.attempts) == 1 {
		w.Send(request, server, timeout, beginWithin)
	}
}

func (w *world) Cancel(id, attempt int) {
	request := w.requests[id]
	if !w.mayCancel || request == nil || attempt >= len(request.attempts) {
		w.recordViolation("cancel of attempt %d of shard request %d", attempt, id)
		return
	}
	request.attempts[attempt].cancelled = true
}

// recordFinal records that a search has been answered, shed or failed, and checks that this happens once and
// in time.
func (w *world) recordFinal(id int) *modelSearch {
	search := w.searches[id]
	w.finalAnswers++
	if search.finalAnswers++; search.finalAnswers > 1 && !search.clientGone {
		w.recordViolation("search %d has a second final answer", id)
	}
	if w.tamper == "late" {
		w.now += 1e6
	}
	if w.now > search.deadline+deadlineTolerance && !search.clientGone {
		w.recordViolation("search %d answered too late", id)
	}
	return search
}

func (w *world) Answer(id int, complete bool) {
	search := w.searches[id]
	if w.tamper == "whole" {
		complete = true
	}
	answeredShare, answeredRequests := 0.0, 0
	for _, requestID := range search.requests {
		if request := w.requests[requestID]; request.answered && request.phase == search.phase {
			answeredShare, answeredRequests = answeredShare+request.weight, answeredRequests+1
		}
	}
	required, minimum := w.requiredShares[search.kind], w.minShares[search.kind]
	if search.phase > 0 {
		required = 1
		if w.minShares[search.kind] >= w.requiredShares[search.kind] {
			minimum = 1
		}
	}
	if answeredShare < minimum-1e-4 || answeredRequests == 0 {
		w.recordViolation("search %d answered with a share of %.2f, the minimum is %.2f", id, answeredShare, minimum)
	}
	if complete && (answeredShare < required-1e-4 || search.phase > 0 && !(search.firstComplete && answeredRequests == search.expected)) {
		w.recordViolation("search %d marked complete with a share of %.2f", id, answeredShare)
	}
	if followUp := w.followUp * (search.kind % 2); search.phase == 0 && followUp > 0 {
		search.phase, search.expected, search.firstComplete = 1, min(followUp, answeredRequests), complete
		w.secondPhases = append(w.secondPhases, id)
		for _, requestID := range search.requests {
			w.requests[requestID].ended = true
		}
		return
	}
	w.recordFinal(id)
}

func (w *world) Shed(id int, _ float64) {
	search := w.recordFinal(id)
	for _, requestID := range search.requests {
		for _, attempt := range w.requests[requestID].attempts {
			if !attempt.neverRan && w.effects[search.kind] != Idempotent {
				w.recordViolation("search %d shed though shard request %d may have run", id, requestID)
			}
		}
	}
}

func (w *world) Fail(id int) { w.recordFinal(id) }

func (w *world) Probe(server int) {
	if !w.mayProbe {
		w.recordViolation("server %d probed though health checks are not allowed", server)
	}
	w.probing = append(w.probing, server)
}

func (w *world) CloseIdleConnections(_ int)   {}
func (w *world) SubscribeToServers()          {}
func (w *world) Log(_ string)                 {}
func (w *world) ScheduleWakeUp(delay float64) { w.wakeAt = w.now + delay }

func (w *world) ReleaseSearch(id int) {
	search := w.searches[id]
	if search.finalAnswers == 0 && !search.clientGone {
		w.recordViolation("search %d forgotten without an answer", id)
	}
	for _, requestID := range search.requests {
		for _, attempt := range w.requests[requestID].attempts {
			if attempt.inFlight {
				w.recordViolation("shard request %d forgotten while in flight", requestID)
			}
		}
		delete(w.requests, requestID)
	}
	delete(w.searches, id)
}

// step runs one round of the policy with random events.
func (w *world) step() {
	w.now += float64(1 + w.random.Intn(12))
	stalled := w.random.Intn(400) == 0
	if stalled {
		w.now += float64(w.random.Intn(2500))
	}
	w.policy.BeginRound(w.now)
	if stalled {
		w.disconnectOverdueClients()
	}
	if w.wakeAt >= 0 && w.now >= w.wakeAt {
		w.wakeAt = -1
		w.policy.WakeUpDue()
	}
	w.changeServers()
	w.removeGoneServers()
	if w.random.Intn(200) == 0 {
		w.policy.DiscoveryFailed()
	}
	if w.random.Intn(500) == 0 && len(w.servers) < 40 {
		w.replaceServers()
	}
	for _, i := range w.probing {
		w.policy.ProbeDone(i, w.servers[i].behaviour == answers, float64(w.random.Intn(250)), []float64{float64(w.random.Intn(9))})
	}
	w.probing = w.probing[:0]
	w.endAttempts()
	w.startSecondPhases()
	if w.random.Intn(6) == 0 {
		w.startSearch()
	}
	w.policy.EndRound()
	w.checkDeadlines()
}

// disconnectOverdueClients disconnects the clients that have waited past their deadline.
func (w *world) disconnectOverdueClients() {
	for id := 0; id <= w.lastID; id++ {
		if search := w.searches[id]; search != nil && search.finalAnswers == 0 && !search.clientGone && w.now > search.deadline {
			search.clientGone = true
			w.policy.ClientGone(id)
		}
	}
}

// changeServers changes the behaviour and the state of servers: of single ones, of a zone, or of
// the whole fleet.
func (w *world) changeServers() {
	r := w.random
	// If zone is 0 or 1, all servers of this zone change their behaviour; if fleet is set, all servers
	// change their state.
	zone, fleet := r.Intn(500), r.Intn(900) == 0
	for i, s := range w.servers {
		if r.Intn(300) == 0 || zone == i%2 {
			s.behaviour = r.Intn(numBehaviours)
		}
		if fleet || r.Intn(600) == 0 {
			s.state = ServerStatus(r.Intn(3))
			if s.state == Ready {
				s.startedAt = w.now - float64(r.Intn(2000))
			}
			w.policy.UpdateServer(i, i%2, s.position, s.state, 1, s.startedAt)
		}
	}
}

// removeGoneServers removes some of the servers that are gone. An index may be reused, here by the
// same server.
func (w *world) removeGoneServers() {
	for i, s := range w.servers {
		if s.state == Gone && w.random.Intn(40) == 0 && w.policy.RemoveServer(i) && w.policy.servers[i] != nil {
			w.recordViolation("server %d was removed but is still known", i)
		}
	}
}

// replaceServers simulates a rolling restart: all servers go, and every other one is replaced by a
// new one at its position.
func (w *world) replaceServers() {
	for i, s := range w.servers[:len(w.servers):len(w.servers)] {
		s.state = Gone
		if i%2 == 0 {
			w.servers = append(w.servers, &modelServer{position: s.position, startedAt: w.now})
		}
		w.policy.UpdateServer(i, i%2, s.position, s.state, 1, s.startedAt)
	}
	for i, s := range w.servers {
		if s.startedAt == w.now {
			w.policy.UpdateServer(i, i%2, s.position, s.state, 1, s.startedAt)
		}
	}
}

// startSecondPhases adds the shard requests of the searches whose first phase has been answered.
func (w *world) startSecondPhases() {
	for _, id := range w.secondPhases {
		if search := w.searches[id]; search != nil && !search.clientGone {
			w.addRequests(id, search.expected)
		}
	}
	w.secondPhases = w.secondPhases[:0]
}

// startSearch starts a random search with its shard requests.
func (w *world) startSearch() {
	r := w.random
	id := w.newID()
	search := &modelSearch{kind: r.Intn(3), expected: r.Intn(8), deadline: w.now + float64(r.Intn(int(w.timeout)))}
	w.searches[id] = search
	w.policy.AddSearch(id, search.kind, r.Intn(2), search.deadline, search.expected)
	w.requestTimes = append(w.requestTimes, w.now)
	w.addRequests(id, search.expected)
}

// newID returns the next index of a search or shard request.
func (w *world) newID() int { w.lastID++; return w.lastID }

// addRequests adds shard requests to a search.
func (w *world) addRequests(search, count int) {
	parent := w.searches[search]
	for i := 0; i < count; i++ {
		id := w.newID()
		request := &modelRequest{search: search, shard: w.random.Intn(w.positions), phase: parent.phase, weight: 1 / float64(count)}
		w.requests[id] = request
		w.requestOrder = append(w.requestOrder, id)
		parent.requests = append(parent.requests, id)
		w.requestTimes = append(w.requestTimes, w.now)
		w.policy.AddShardRequest(search, id, request.shard, request.weight, 100.0, uint64(w.random.Intn(4)))
	}
}

// endAttempts ends some of the attempts in flight, with outcomes by the behaviour of their servers,
// and all that are overdue. Some clients disconnect.
func (w *world) endAttempts() {
	live := w.requestOrder[:0]
	for _, id := range w.requestOrder {
		request := w.requests[id]
		if request == nil {
			continue
		}
		live = append(live, id)
		search := w.searches[request.search]
		for index := range request.attempts {
			attempt := &request.attempts[index]
			behaviour := w.servers[attempt.server].behaviour
			if !attempt.inFlight || !attempt.cancelled && w.now < search.deadline &&
				(behaviour == unresponsive || behaviour == answers && w.random.Intn(12) > 0) {
				continue
			}
			attempt.outcome = [numBehaviours]Outcome{Answered, TimedOut, Errored, Rejected, ConnectFailed}[behaviour]
			if attempt.cancelled && w.random.Intn(8) > 0 {
				attempt.outcome = Cancelled
			} else if w.now >= search.deadline {
				attempt.outcome = TimedOut
			} else if w.random.Intn(60) == 0 {
				attempt.outcome = ConnectionReset
			}
			attempt.inFlight, attempt.neverRan = false, attempt.outcome.NeverRan()
			if attempt.outcome == Answered && !request.ended && search.finalAnswers == 0 {
				request.answered = true
			}
			w.policy.AttemptDone(id, index, attempt.outcome, []float64{float64(w.random.Intn(9))})
			if w.requests[id] == nil {
				break
			}
		}
	}
	w.requestOrder = live
	for _, id := range w.requestOrder {
		if request := w.requests[id]; request != nil && w.random.Intn(3000) == 0 {
			if search := w.searches[request.search]; search.finalAnswers == 0 && !search.clientGone {
				search.clientGone = true
				w.policy.ClientGone(request.search)
			}
		}
	}
}
