package policy

import (
	"fmt"
	"math/rand"
	"testing"
)

// A world drives one broker with random but legal events and checks the rules after every call and
// round.

type modelAttempt struct {
	server             int
	sentAt             float64
	inFlight, neverRan bool // neverRan: it cannot have run
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
	firstComplete, clientGone bool // clientGone: it has left
}

type modelServer struct {
	position  int
	state     State
	startedAt float64
	behaviour int // 0 sound, 1 silent, 2 errors, 3 full, 4 unreachable
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
	need, floor                                                 []float64
	effects                                                     []Effect
	followUp, positions, replicas, maxPending, maxAttempts      int
	aggregators                                                 int
	mayCancel, mayHedge, mayProbe, mustAsk, hasBudget           bool
	servers                                                     []*modelServer
	searches                                                    map[int]*modelSearch
	requests                                                    map[int]*modelRequest
	order                                                       []int // parts in the order they came, so that runs repeat
	next                                                        int
	secondPhases                                                []int // searches whose second step comes next
	probing                                                     []int
	requestTimes, retryTimes                                    []float64
	faults                                                      []string
	tamper                                                      string
	finals, sends                                               int
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
		w.need = append(w.need, pick(1, 1, 0.6))
		w.floor = append(w.floor, min(w.need[i], pick(1, 0.5, 0)))
	}
	for i := r.Intn(9); i >= 0; i-- {
		w.servers = append(w.servers, &modelServer{position: r.Intn(w.positions)})
	}
	w.start()
	return w
}

// start begins the broker anew, as after a kill: it holds nothing, and what was out is told to
// nobody.
func (w *world) start() {
	w.searches, w.requests, w.order, w.secondPhases, w.probing = map[int]*modelSearch{}, map[int]*modelRequest{}, nil, nil, nil
	w.requestTimes, w.retryTimes, w.wakeAt, w.maxRate = nil, nil, -1, 0
	seed := w.random.Uint64()
	w.aggregators = []int{1, 3, 100, 1000}[w.random.Intn(4)]
	b := New(w, seed, w.aggregators, 0)
	for i, e := range w.effects {
		b.QueryType(w.latencyTarget, float64(1+i), 0.3, e, w.tokenWindow)
		b.Shares(i, w.need[i], w.floor[i], 0.8, w.followUp*(i%2))
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

func (w *world) fault(form string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.0f: ", w.now)+fmt.Sprintf(form, args...))
}

func (w *world) Send(id, server int, within, begin float64) {
	p := w.requests[id]
	if w.tamper == "drained" {
		w.servers[server].state = Draining
	}
	s := w.servers[server]
	q := w.searches[p.search]
	w.sends++
	if p.ended || q.finalAnswers > 0 || p.answered || q.clientGone {
		w.fault("part %d sent though over", id)
	}
	if s.state != Ready {
		w.fault("part %d sent to server %d, drained or gone", id, server)
	}
	if ((s.position-p.shard)%w.positions+w.positions)%w.positions >= w.replicas {
		w.fault("part %d sent to server %d that does not hold it", id, server)
	}
	if len(p.attempts) >= w.maxAttempts {
		w.fault("part %d has more sub-requests than allowed", id)
	}
	effect, first := w.effects[q.kind], -1.0
	for _, y := range p.attempts {
		if y.inFlight && !w.mayHedge {
			w.fault("part %d has two sub-requests at once", id)
		}
		if !y.neverRan && first < 0 {
			first = y.sentAt
		}
	}
	if first >= 0 && (effect == NonIdempotent || effect == Tokened && w.now > first+w.tokenWindow) {
		w.fault("part %d of effect %d may run twice", id, effect)
	}
	if len(p.attempts) > 0 {
		w.retryTimes = append(w.retryTimes, w.now)
		if n := w.countInWindow(w.retryTimes); w.hasBudget && float64(n) > w.allowance+w.ratio*float64(w.countInWindow(w.requestTimes)) {
			w.fault("further sub-request %d of the window is over budget", n)
		}
	}
	sum := 100.0 + 10
	for _, v := range s.sent {
		if v.sentAt > w.now-w.warmUpWindow {
			sum += v.work
		}
	}
	s.sent = append(s.sent, sentWork{w.now, 100.0 + 10})
	if age := w.now - s.startedAt; s.startedAt > 0 && age < w.warmUpDuration {
		share := w.warmUpShare + (1-w.warmUpShare)*age/w.warmUpDuration
		few := min(max(float64(w.aggregators)/50, 1), 4)                                              // by lot, which many even out
		if sum > few*(100.0+10) && sum > w.multiple*share*w.maxRate/assumedBusyShare*w.warmUpWindow { // what servers can do, if so busy
			w.fault("server %d sent %.0f of work while cold", server, sum)
		}
	}
	total := 0.0
	for _, v := range s.sent {
		if v.sentAt > w.now-10000 {
			total += v.work
		}
	}
	w.maxRate = max(w.maxRate, total/10000)
	p.attempts = append(p.attempts, modelAttempt{server: server, sentAt: w.now, inFlight: true})
	if w.tamper == "twice" && len(p.attempts) == 1 {
		w.Send(id, server, within, begin)
	}
}

// countInWindow counts what came in the budget's window, this moment included.
func (w *world) countInWindow(times []float64) (n int) {
	for _, at := range times {
		if at > w.now-w.budgetWindow {
			n++
		}
	}
	return n
}

func (w *world) Cancel(id, try int) {
	p := w.requests[id]
	if !w.mayCancel || p == nil || try >= len(p.attempts) {
		w.fault("cancel of sub-request %d of part %d", try, id)
		return
	}
	p.attempts[try].cancelled = true
}

func (w *world) final(id int) *modelSearch {
	q := w.searches[id]
	w.finals++
	if q.finalAnswers++; q.finalAnswers > 1 && !q.clientGone {
		w.fault("search %d has a second final answer", id)
	}
	if w.tamper == "late" {
		w.now += 1e6
	}
	if w.now > q.deadline+20 && !q.clientGone {
		w.fault("search %d answered too late", id)
	}
	return q
}

func (w *world) Answer(id int, whole bool) {
	q := w.searches[id]
	if w.tamper == "whole" {
		whole = true
	}
	got, in := 0.0, 0
	for _, at := range q.requests {
		if p := w.requests[at]; p.answered && p.phase == q.phase {
			got, in = got+p.weight, in+1
		}
	}
	need, floor := w.need[q.kind], w.floor[q.kind]
	if q.phase > 0 {
		need = 1
		if w.floor[q.kind] >= w.need[q.kind] {
			floor = 1
		}
	}
	if got < floor-1e-4 || in == 0 {
		w.fault("search %d answered from %.2f, least %.2f", id, got, floor)
	}
	if whole && (got < need-1e-4 || q.phase > 0 && !(q.firstComplete && in == q.expected)) {
		w.fault("search %d marked whole with %.2f", id, got)
	}
	if n := w.followUp * (q.kind % 2); q.phase == 0 && n > 0 {
		q.phase, q.expected, q.firstComplete = 1, min(n, in), whole
		w.secondPhases = append(w.secondPhases, id)
		for _, at := range q.requests {
			w.requests[at].ended = true
		}
		return
	}
	w.final(id)
}

func (w *world) Shed(id int, _ float64) {
	q := w.final(id)
	for _, at := range q.requests {
		for _, y := range w.requests[at].attempts {
			if !y.neverRan && w.effects[q.kind] != Idempotent {
				w.fault("search %d shed though part %d may have run", id, at)
			}
		}
	}
}

func (w *world) Fail(id int) { w.final(id) }

func (w *world) Probe(server int) {
	if !w.mayProbe {
		w.fault("a probe where none is allowed")
	}
	w.probing = append(w.probing, server)
}

func (w *world) Close(_ int)     {}
func (w *world) Subscribe()      {}
func (w *world) Log(_ string)    {}
func (w *world) Wake(in float64) { w.wakeAt = w.now + in }

func (w *world) Forget(id int) {
	q := w.searches[id]
	if q.finalAnswers == 0 && !q.clientGone {
		w.fault("search %d forgotten without an answer", id)
	}
	for _, at := range q.requests {
		for _, y := range w.requests[at].attempts {
			if y.inFlight {
				w.fault("part %d forgotten while out", at)
			}
		}
		delete(w.requests, at)
	}
	delete(w.searches, id)
}

func (w *world) step() {
	r := w.random
	w.now += float64(1 + r.Intn(12))
	stalled := r.Intn(400) == 0
	if stalled {
		w.now += float64(r.Intn(2500))
	}
	w.policy.Begin(w.now)
	for id := 0; stalled && id <= w.next; id++ { // who waited too long has left
		if q := w.searches[id]; q != nil && q.finalAnswers == 0 && !q.clientGone && w.now > q.deadline {
			q.clientGone = true
			w.policy.ClientGone(id)
		}
	}
	if w.wakeAt >= 0 && w.now >= w.wakeAt {
		w.wakeAt = -1
		w.policy.Woken()
	}
	hall, fleet := r.Intn(500), r.Intn(900) == 0 // a hall in one mood, the whole fleet restarted or drained
	for i, s := range w.servers {
		if r.Intn(300) == 0 || hall == i%2 {
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
	for i, s := range w.servers { // its index may be used again: here, by the same one
		if s.state == Gone && r.Intn(40) == 0 && w.policy.RemoveServer(i) && w.policy.servers[i] != nil {
			w.fault("server %d is dropped and known", i)
		}
	}
	if r.Intn(200) == 0 {
		w.policy.DiscoveryFailed()
	}
	if r.Intn(500) == 0 && len(w.servers) < 40 { // a wave: every other server goes and another takes its place
		for i, s := range w.servers[:len(w.servers):len(w.servers)] {
			if s.state = Gone; i%2 == 0 {
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
	for _, i := range w.probing {
		w.policy.Probed(i, w.servers[i].behaviour == 0, float64(r.Intn(250)), []float64{float64(r.Intn(9))})
	}
	w.probing = w.probing[:0]
	w.endAttempts()
	for _, id := range w.secondPhases {
		if q := w.searches[id]; q != nil && !q.clientGone {
			w.addRequests(id, q.expected)
		}
	}
	w.secondPhases = w.secondPhases[:0]
	if r.Intn(6) == 0 {
		id := w.id()
		q := &modelSearch{kind: r.Intn(3), expected: r.Intn(8), deadline: w.now + float64(r.Intn(int(w.timeout)))}
		w.searches[id] = q
		w.policy.Search(id, q.kind, r.Intn(2), q.deadline, q.expected)
		w.requestTimes = append(w.requestTimes, w.now)
		w.addRequests(id, q.expected)
	}
	w.policy.End()
	for id, q := range w.searches {
		if q.finalAnswers == 0 && !q.clientGone && w.now > q.deadline+20 {
			w.fault("search %d has no final answer in time", id)
		}
	}
}

func (w *world) id() int { w.next++; return w.next }

func (w *world) addRequests(search, n int) {
	q := w.searches[search]
	for i := 0; i < n; i++ {
		id := w.id()
		p := &modelRequest{search: search, shard: w.random.Intn(w.positions), phase: q.phase, weight: 1 / float64(n)}
		w.requests[id] = p
		w.order = append(w.order, id)
		q.requests = append(q.requests, id)
		w.requestTimes = append(w.requestTimes, w.now)
		w.policy.ShardRequest(search, id, p.shard, p.weight, 100.0, uint64(w.random.Intn(4)))
	}
}

// endAttempts ends some of what is out, as the moods of the servers have it, and all of what is
// overdue.
func (w *world) endAttempts() {
	kept := w.order[:0]
	for _, id := range w.order {
		p := w.requests[id]
		if p == nil {
			continue
		}
		kept = append(kept, id)
		q := w.searches[p.search]
		for no := range p.attempts {
			y := &p.attempts[no]
			mood := w.servers[y.server].behaviour
			if !y.inFlight || !y.cancelled && w.now < q.deadline && (mood == 1 || mood == 0 && w.random.Intn(12) > 0) {
				continue
			}
			y.outcome = [...]Outcome{Answered, TimedOut, Errored, Rejected, ConnectFailed}[mood]
			if y.cancelled && w.random.Intn(8) > 0 {
				y.outcome = Cancelled
			} else if w.now >= q.deadline {
				y.outcome = TimedOut
			} else if w.random.Intn(60) == 0 {
				y.outcome = Reset
			}
			y.inFlight, y.neverRan = false, y.outcome.NeverRan()
			if y.outcome == Answered && !p.ended && q.finalAnswers == 0 {
				p.answered = true
			}
			w.policy.Done(id, no, y.outcome, []float64{float64(w.random.Intn(9))})
			if w.requests[id] == nil {
				break
			}
		}
	}
	w.order = kept
	for _, id := range w.order {
		if p := w.requests[id]; p != nil && w.random.Intn(3000) == 0 {
			if q := w.searches[p.search]; q.finalAnswers == 0 && !q.clientGone {
				q.clientGone = true
				w.policy.ClientGone(p.search)
			}
		}
	}
}
