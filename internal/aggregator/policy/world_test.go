package policy

import (
	"fmt"
	"math/rand"
	"testing"
)

// A world drives one policy with random but legal events and checks the rules after every call and
// round.

type modelAttempt struct {
	server             int
	sentAt             float64
	inFlight, neverRan bool // neverRan: it can't have run
	outcome            Outcome
	cancelled          bool
}

type modelRequest struct {
	search, shard, phase int
	weight               float64
	attempts             []modelAttempt
	answered, ended      bool
}

type modelSearch struct {
	kind, expected, phase     int
	deadline                  float64
	requests                  []int
	finalAnswers              int
	firstComplete, clientGone bool // clientGone: it has disconnected
}

type modelServer struct {
	position  int
	state     State
	startedAt float64
	behaviour int // 0 answers, 1 unresponsive, 2 errors, 3 rejects, 4 unreachable
	sent      []sentWork
}

type sentWork struct{ sentAt, work float64 }

type world struct {
	t                                                           testing.TB
	random                                                      *rand.Rand
	policy                                                      *Policy
	now, wakeAt, warmUpDuration, multiple, warmUpWindow         float64
	warmUpShare, latencyTarget, timeout, tokenWindow, allowance float64
	ratio, budgetWindow, maxRate                                float64
	requiredShares, minShares                                   []float64
	effects                                                     []Effect
	followUp, positions, replicas, maxPending, maxAttempts      int
	aggregators                                                 int
	mayCancel, mayHedge, mayProbe, mustAsk, hasBudget           bool
	servers                                                     []*modelServer
	searches                                                    map[int]*modelSearch
	requests                                                    map[int]*modelRequest
	requestOrder                                                []int // requests in order of arrival, so that runs repeat
	lastID                                                      int
	secondPhases                                                []int // searches whose second phase starts next
	probing                                                     []int
	requestTimes, retryTimes                                    []float64
	violations                                                  []string
	tamper                                                      string
	finalAnswers, sends                                         int
}

func newWorld(t testing.TB, seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	pick := func(v ...float64) float64 { return v[r.Intn(len(v))] }
	w := &world{t: t, random: r, now: pick(0, 1e6), warmUpDuration: pick(0, 5000, 17000), multiple: pick(2, 3),
		warmUpWindow: pick(1500, 3000), warmUpShare: pick(0.16, 0.5), latencyTarget: pick(0, 300, 1500), timeout: pick(400, 3000),
		tokenWindow: pick(200, 5000), allowance: pick(0, 3), ratio: pick(0, 0.1), budgetWindow: pick(500, 5000),
		followUp: r.Intn(3), positions: 1 + r.Intn(6), replicas: 1 + r.Intn(4), maxPending: int(pick(0, 5, 200)), maxAttempts: r.Intn(5),
		mayCancel: r.Intn(4) > 0, mayHedge: r.Intn(3) > 0, mayProbe: r.Intn(2) > 0, mustAsk: r.Intn(4) == 0,
		hasBudget: r.Intn(3) == 0}
	for i := 0; i < 3; i++ {
		w.effects = append(w.effects, Effect(r.Intn(3)))
		w.requiredShares = append(w.requiredShares, pick(1, 1, 0.6))
		w.minShares = append(w.minShares, min(w.requiredShares[i], pick(1, 0.5, 0)))
	}
	for i := r.Intn(9); i >= 0; i-- {
		w.servers = append(w.servers, &modelServer{position: r.Intn(w.positions)})
	}
	w.start()
	return w
}

// start begins with a new policy, as after a crash: nothing is pending, and no outcome of an earlier
// attempt is reported.
func (w *world) start() {
	w.searches, w.requests, w.requestOrder, w.secondPhases, w.probing = map[int]*modelSearch{}, map[int]*modelRequest{}, nil, nil, nil
	w.requestTimes, w.retryTimes, w.wakeAt, w.maxRate = nil, nil, -1, 0
	seed := w.random.Uint64()
	w.aggregators = []int{1, 3, 100, 1000}[w.random.Intn(4)]
	b := New(w, seed, w.aggregators, 0)
	for i, e := range w.effects {
		b.QueryType(w.latencyTarget, float64(1+i), 0.3, e, w.tokenWindow)
		b.Shares(i, w.requiredShares[i], w.minShares[i], 0.8, w.followUp*(i%2))
	}
	b.Customer(float64(w.random.Intn(3)), 0.1)
	b.Fleet(w.positions, w.replicas, 1+w.random.Intn(4), 10, true)
	b.Limits(w.maxAttempts, w.maxPending, w.mayCancel, w.mayHedge)
	b.MaxRetryAfter(500)
	if w.warmUpDuration > 0 {
		b.WarmUp(w.warmUpShare, w.warmUpDuration, w.multiple, w.warmUpWindow)
	}
	if w.hasBudget {
		b.Budget(w.allowance, w.ratio, w.budgetWindow)
	}
	b.Reports(w.random.Intn(2) == 0, []Field{Queue})
	if w.mayProbe {
		b.Probes()
	}
	b.Discovery(w.mustAsk)
	w.policy = b
	b.Begin(w.now)
	for i, s := range w.servers {
		s.sent = nil
		b.Server(i, i%2, s.position, s.state, 1, s.startedAt)
	}
	b.End()
}

func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.0f: ", w.now)+fmt.Sprintf(format, args...))
}

// attemptWork is the predicted work of each attempt, in ms: that of its request and a constant per call.
const attemptWork = 100.0 + 10

func (w *world) Send(request, server int, within, begin float64) {
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
		w.Send(request, server, within, begin)
	}
}

func (w *world) Cancel(id, attempt int) {
	request := w.requests[id]
	if !w.mayCancel || request == nil || attempt >= len(request.attempts) {
		w.recordViolation("cancel of attempt %d of request %d", attempt, id)
		return
	}
	request.attempts[attempt].cancelled = true
}

func (w *world) recordFinal(id int) *modelSearch {
	search := w.searches[id]
	w.finalAnswers++
	if search.finalAnswers++; search.finalAnswers > 1 && !search.clientGone {
		w.recordViolation("search %d has a second final answer", id)
	}
	if w.tamper == "late" {
		w.now += 1e6
	}
	if w.now > search.deadline+20 && !search.clientGone {
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
		if p := w.requests[requestID]; p.answered && p.phase == search.phase {
			answeredShare, answeredRequests = answeredShare+p.weight, answeredRequests+1
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
		w.recordViolation("search %d answered from %.2f, minimum %.2f", id, answeredShare, minimum)
	}
	if complete && (answeredShare < required-1e-4 || search.phase > 0 && !(search.firstComplete && answeredRequests == search.expected)) {
		w.recordViolation("search %d marked complete with %.2f", id, answeredShare)
	}
	if n := w.followUp * (search.kind % 2); search.phase == 0 && n > 0 {
		search.phase, search.expected, search.firstComplete = 1, min(n, answeredRequests), complete
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
				w.recordViolation("search %d shed though request %d may have run", id, requestID)
			}
		}
	}
}

func (w *world) Fail(id int) { w.recordFinal(id) }

func (w *world) Probe(server int) {
	if !w.mayProbe {
		w.recordViolation("a probe though none is allowed")
	}
	w.probing = append(w.probing, server)
}

func (w *world) Close(_ int)          {}
func (w *world) Subscribe()           {}
func (w *world) Log(_ string)         {}
func (w *world) Wake(afterMs float64) { w.wakeAt = w.now + afterMs }

func (w *world) Forget(id int) {
	search := w.searches[id]
	if search.finalAnswers == 0 && !search.clientGone {
		w.recordViolation("search %d forgotten without an answer", id)
	}
	for _, requestID := range search.requests {
		for _, attempt := range w.requests[requestID].attempts {
			if attempt.inFlight {
				w.recordViolation("request %d forgotten while in flight", requestID)
			}
		}
		delete(w.requests, requestID)
	}
	delete(w.searches, id)
}

// step is one round of the policy with random events.
func (w *world) step() {
	w.now += float64(1 + w.random.Intn(12))
	stalled := w.random.Intn(400) == 0
	if stalled {
		w.now += float64(w.random.Intn(2500))
	}
	w.policy.Begin(w.now)
	if stalled {
		w.disconnectOverdueClients()
	}
	if w.wakeAt >= 0 && w.now >= w.wakeAt {
		w.wakeAt = -1
		w.policy.Woken()
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
		w.policy.Probed(i, w.servers[i].behaviour == 0, float64(w.random.Intn(250)), []float64{float64(w.random.Intn(9))})
	}
	w.probing = w.probing[:0]
	w.endAttempts()
	w.startSecondPhases()
	if w.random.Intn(6) == 0 {
		w.startSearch()
	}
	w.policy.End()
	w.checkDeadlines()
}

// disconnectOverdueClients lets the clients leave that have waited past their deadline.
func (w *world) disconnectOverdueClients() {
	for id := 0; id <= w.lastID; id++ {
		if q := w.searches[id]; q != nil && q.finalAnswers == 0 && !q.clientGone && w.now > q.deadline {
			q.clientGone = true
			w.policy.ClientGone(id)
		}
	}
}

// changeServers changes the behaviour and state of servers: of single ones, of a zone, or of the whole fleet.
func (w *world) changeServers() {
	r := w.random
	zone, fleet := r.Intn(500), r.Intn(900) == 0 // a zone of one behaviour, the whole fleet restarted or drained
	for i, s := range w.servers {
		if r.Intn(300) == 0 || zone == i%2 {
			s.behaviour = r.Intn(5)
		}
		if fleet || r.Intn(600) == 0 {
			s.state = State(r.Intn(3))
			if s.state == Ready {
				s.startedAt = w.now - float64(r.Intn(2000))
			}
			w.policy.Server(i, i%2, s.position, s.state, 1, s.startedAt)
		}
	}
}

// removeGoneServers removes some of the servers that are gone; an index may be used again, here by the same server.
func (w *world) removeGoneServers() {
	for i, s := range w.servers {
		if s.state == Gone && w.random.Intn(40) == 0 && w.policy.RemoveServer(i) && w.policy.servers[i] != nil {
			w.recordViolation("server %d is removed and known", i)
		}
	}
}

// replaceServers is a wave of restarts: every other server goes and a new one takes its position.
func (w *world) replaceServers() {
	for i, s := range w.servers[:len(w.servers):len(w.servers)] {
		s.state = Gone
		if i%2 == 0 {
			w.servers = append(w.servers, &modelServer{position: s.position, startedAt: w.now})
		}
		w.policy.Server(i, i%2, s.position, s.state, 1, s.startedAt)
	}
	for i, s := range w.servers {
		if s.startedAt == w.now {
			w.policy.Server(i, i%2, s.position, s.state, 1, s.startedAt)
		}
	}
}

// startSecondPhases adds the requests of the searches whose first phase has been answered.
func (w *world) startSecondPhases() {
	for _, id := range w.secondPhases {
		if q := w.searches[id]; q != nil && !q.clientGone {
			w.addRequests(id, q.expected)
		}
	}
	w.secondPhases = w.secondPhases[:0]
}

// startSearch starts a random search with its requests.
func (w *world) startSearch() {
	r := w.random
	id := w.newID()
	q := &modelSearch{kind: r.Intn(3), expected: r.Intn(8), deadline: w.now + float64(r.Intn(int(w.timeout)))}
	w.searches[id] = q
	w.policy.Search(id, q.kind, r.Intn(2), q.deadline, q.expected)
	w.requestTimes = append(w.requestTimes, w.now)
	w.addRequests(id, q.expected)
}

func (w *world) newID() int { w.lastID++; return w.lastID }

func (w *world) addRequests(search, count int) {
	parent := w.searches[search]
	for i := 0; i < count; i++ {
		id := w.newID()
		request := &modelRequest{search: search, shard: w.random.Intn(w.positions), phase: parent.phase, weight: 1 / float64(count)}
		w.requests[id] = request
		w.requestOrder = append(w.requestOrder, id)
		parent.requests = append(parent.requests, id)
		w.requestTimes = append(w.requestTimes, w.now)
		w.policy.ShardRequest(search, id, request.shard, request.weight, 100.0, uint64(w.random.Intn(4)))
	}
}

// endAttempts ends some of the attempts in flight, by the behaviour of their servers, and all that
// are overdue.
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
			if !attempt.inFlight || !attempt.cancelled && w.now < search.deadline && (behaviour == 1 || behaviour == 0 && w.random.Intn(12) > 0) {
				continue
			}
			attempt.outcome = [...]Outcome{Answered, TimedOut, Errored, Rejected, ConnectFailed}[behaviour]
			if attempt.cancelled && w.random.Intn(8) > 0 {
				attempt.outcome = Cancelled
			} else if w.now >= search.deadline {
				attempt.outcome = TimedOut
			} else if w.random.Intn(60) == 0 {
				attempt.outcome = Reset
			}
			attempt.inFlight, attempt.neverRan = false, attempt.outcome.NeverRan()
			if attempt.outcome == Answered && !request.ended && search.finalAnswers == 0 {
				request.answered = true
			}
			w.policy.Done(id, index, attempt.outcome, []float64{float64(w.random.Intn(9))})
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
