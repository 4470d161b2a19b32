package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
)

// This file simulates many proxies and brokers on a virtual clock. The simulation takes the place of
// package forward: it sends attempts to simulated brokers and reports their outcomes to the routers.

// condition is how a simulated broker behaves.
type condition int

const (
	healthy     condition = iota
	slowAnswers           // takes 12 times as long
	frozen                // accepts connections and never answers
	crashed               // refuses connections
	alwaysFull            // refuses every request for lack of capacity
	flaky                 // breaks half of its connections
	failingFast           // answers with a fast 500
)

// simBroker is a simulated broker. It runs as many requests as its instance has slots and queues twice as
// many.
type simBroker struct {
	instance      *registry.Instance
	condition     condition
	versions      map[string]uint64 // of the weights, by model
	running       int
	waiting       []*simCall
	baseLatency   core.Time // of a request without others
	arrivals      int
	tenantsBySalt map[string]map[string]bool
	versionBySalt map[string]uint64 // of the weights
}

// simCall is one attempt of a client's request.
type simCall struct {
	client  *simClient
	attempt *Attempt
	broker  *simBroker
	started bool // the answer has begun
	ended   bool
}

// simClient is a client with one request.
type simClient struct {
	proxy      int
	id         RequestID
	request    Request
	calls      []*simCall
	runs       int // at brokers
	done       bool
	retried    bool // its first try was refused
	answered   bool
	mayHaveRun bool // some attempt may have run, so no other one may follow on unsafe routes
}

// simulation is a fleet of proxies and brokers, and the results of the requests.
type simulation struct {
	t               *testing.T
	now             core.Time
	events          eventQueue
	lastEventNumber int
	random          *rand.Rand
	proxies         []*Router
	brokers         map[string]*simBroker
	table           *registry.Table
	options         Options
	trace           *decisionTrace // nil: decisions aren't traced

	clients                           []*simClient
	requests, served, refused, failed int
	requestTimes, retryTimes          []core.Time // of requests, and of their arrivals at brokers beyond the first
	latencies                         []core.Time
}

// networkDelay is how long a message between a proxy and a broker takes.
const networkDelay = time.Millisecond

func newSimulation(t *testing.T, proxies, brokers int) *simulation {
	return newSimulationWith(t, proxies, brokers, nil)
}

// newSimulationWith returns a simulation whose proxies look up cached parts in an index; nil: none.
func newSimulationWith(t *testing.T, proxies, brokers int, index prefixcache.Index) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(11, uint64(proxies))), brokers: map[string]*simBroker{}}
	s.options = Options{RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second,
		VersionGrace: 8 * time.Second, Index: index}
	list := instances(brokers)
	s.table = tableOf(list...)
	for _, i := range list {
		i.Slots = 8
		s.brokers[i.ID] = &simBroker{instance: i, versions: map[string]uint64{model: 1}, baseLatency: 20 * ms,
			tenantsBySalt: map[string]map[string]bool{}, versionBySalt: map[string]uint64{}}
	}
	for p := range proxies {
		s.proxies = append(s.proxies, s.newProxy(p, proxies))
	}
	return s
}

// newProxy returns the router of a proxy that starts now and assumes the given number of proxies.
func (s *simulation) newProxy(p, proxies int) *Router {
	options := s.options
	options.Zone = fmt.Sprintf("z%d", p%3)
	options.Random = rand.New(rand.NewPCG(uint64(p), s.random.Uint64()))
	r := New(s.now, options)
	r.SetProxyCount(s.now, proxies)
	r.SetConfig(s.now, configOf(nil))
	r.SetTable(s.now, s.table)
	return r
}

// restart replaces a proxy by a new one without state. The clients of the old one get no answer.
func (s *simulation) restart(p, proxies int) {
	for _, c := range s.clients {
		if c.proxy == p && !c.done {
			c.done = true
			s.failed++
		}
	}
	s.clients = slices.DeleteFunc(s.clients, func(c *simClient) bool { return c.done })
	s.proxies[p] = s.newProxy(p, proxies)
}

// at schedules an event.
func (s *simulation) at(when core.Time, do func()) {
	s.lastEventNumber++
	heap.Push(&s.events, event{when, s.lastEventNumber, do})
}

// run processes all events up to a time, and sets the clock to it.
func (s *simulation) run(until core.Time) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// traffic sends requests at an average rate until a time, each to a random proxy.
func (s *simulation) traffic(perSecond float64, until core.Time, request func() Request) {
	var next func()
	next = func() {
		s.receiveRequest(request())
		gap := core.Time(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if s.now+gap < until {
			s.at(s.now+gap, next)
		}
	}
	s.at(s.now, next)
}

// receiveRequest has a random proxy receive a request.
func (s *simulation) receiveRequest(q Request) {
	q.Received = s.now
	q.Deadline = s.now + units.FromMilliseconds(q.Route.TimeoutMs)
	c := &simClient{proxy: s.random.IntN(len(s.proxies)), request: q}
	s.clients = append(s.clients, c)
	s.requests++
	s.requestTimes = append(s.requestTimes, s.now)
	var d Decision
	c.id, d = s.proxies[c.proxy].Begin(s.now, q)
	s.at(q.Deadline, func() { s.finishRequest(c, &s.failed) })
	s.carryOut(c, d)
}

// carryOut carries out a decision of the client's proxy, and checks refusals.
func (s *simulation) carryOut(c *simClient, d Decision) {
	if s.trace != nil {
		s.trace.add(s.now, d)
	}
	switch {
	case d.Attempt != nil:
		s.send(c, d.Attempt)
	case d.Refusal != nil:
		if c.mayHaveRun && !c.request.Route.Idempotent() {
			s.t.Fatalf("request %d on unsafe route %s may have run but was refused: %v", c.id, c.request.Route.Name, d.Refusal.Reason)
		}
		if d.Refusal.RetryAfter < 0 || d.Refusal.RetryAfter > (c.request.Deadline-s.now)/3+1 {
			s.t.Fatalf("Retry-After of %v with %v left", d.Refusal.RetryAfter, c.request.Deadline-s.now)
		}
		s.finishRequest(c, &s.refused)
	}
}

// send sends an attempt to its broker.
func (s *simulation) send(c *simClient, a *Attempt) {
	s.checkSend(c, a)
	call := &simCall{client: c, attempt: a, broker: s.brokers[a.Instance.ID]}
	c.calls = append(c.calls, call)
	if a.HedgeAt != core.Never {
		s.at(a.HedgeAt, func() {
			if !c.done && !call.started && !call.ended {
				s.hedge(c)
			}
		})
	}
	s.at(s.now+networkDelay, func() { s.arriveAtBroker(call) })
}

// checkSend checks that an attempt is allowed after the earlier ones.
func (s *simulation) checkSend(c *simClient, _ *Attempt) {
	if c.mayHaveRun && !c.request.Route.Idempotent() {
		s.t.Fatalf("request on unsafe route %s was sent again although it may have run", c.request.Route.Name)
	}
	if c.runs >= c.request.Route.MaxAttempts {
		s.t.Fatalf("request on route %s was sent again after %d runs", c.request.Route.Name, c.runs)
	}
	for _, call := range c.calls {
		if !call.ended && !c.request.Route.Idempotent() {
			s.t.Fatalf("request on unsafe route %s was sent to two brokers at once", c.request.Route.Name)
		}
	}
}

func (s *simulation) hedge(c *simClient) {
	if d := s.proxies[c.proxy].Hedge(s.now, c.id); d.Attempt != nil {
		s.carryOut(c, d)
	}
}

// arriveAtBroker handles the arrival of an attempt at its broker, by the broker's condition.
func (s *simulation) arriveAtBroker(call *simCall) {
	c, b := call.client, call.broker
	if call.ended || c.done {
		return
	}
	if b.condition == crashed {
		s.endCall(call, outcomeUnreachable)
		return
	}
	b.arrivals++
	s.recordRepeatedArrival(call)
	if v := call.attempt.ExpectVersion; v != 0 && v != b.versions[model] {
		s.endCall(call, outcomeMisdirected)
		return
	}
	s.checkSalt(call)
	switch b.condition {
	case frozen:
		s.recordRun(call)
	case alwaysFull:
		s.reject(call)
	case flaky:
		if s.random.IntN(2) == 0 {
			s.recordRun(call)
			s.at(s.now+3*ms, func() { s.endCall(call, outcomeReset) })
			return
		}
		s.runOrQueue(call)
	case failingFast:
		s.recordRun(call)
		s.at(s.now+ms, func() {
			s.answerStarted(call)
			s.endCall(call, outcomeFailure)
		})
	default:
		s.runOrQueue(call)
	}
}

// recordRepeatedArrival records the time of an arrival if its request has arrived at a broker before.
func (s *simulation) recordRepeatedArrival(call *simCall) {
	for _, other := range call.client.calls {
		if other == call {
			return // the first
		}
		if other.attempt != nil && other.arrived() {
			s.retryTimes = append(s.retryTimes, s.now)
			return
		}
	}
}

// arrived reports whether a call has reached a broker that takes connections.
func (call *simCall) arrived() bool { return call.broker.condition != crashed }

// checkSalt checks that a salt stands for one version of the weights, and for one tenant if that is isolated.
func (s *simulation) checkSalt(call *simCall) {
	b, salt := call.broker, call.attempt.Salt
	if salt == "" {
		return
	}
	if v, ok := b.versionBySalt[salt]; ok && v != b.versions[model] {
		s.t.Fatalf("salt %q stands for versions %d and %d", salt, v, b.versions[model])
	}
	b.versionBySalt[salt] = b.versions[model]
	tenants := b.tenantsBySalt[salt]
	if tenants == nil {
		tenants = map[string]bool{}
		b.tenantsBySalt[salt] = tenants
	}
	name, isolated := "", false
	if t := call.client.request.Tenant; t != nil {
		name, isolated = t.Name, t.Isolated
	}
	tenants[name] = true
	if isolated && len(tenants) > 1 {
		s.t.Fatalf("salt %q is shared by %v", salt, tenants)
	}
}

// reject refuses a request for lack of capacity.
func (s *simulation) reject(call *simCall) {
	s.at(s.now+networkDelay, func() {
		o := outcomeFull
		o.Load = call.broker.load()
		s.endCall(call, o)
	})
}

func (b *simBroker) load() *Load {
	return &Load{Running: b.running, Waiting: len(b.waiting), Slots: b.instance.Slots}
}

// runOrQueue runs a request, queues it if all slots are taken, or refuses it if the queue is full.
func (s *simulation) runOrQueue(call *simCall) {
	b := call.broker
	switch {
	case b.running < b.instance.Slots:
		s.recordRun(call)
		s.execute(call)
	case len(b.waiting) < 2*b.instance.Slots:
		b.waiting = append(b.waiting, call)
	default:
		s.reject(call)
	}
}

// recordRun records that a broker runs an attempt, and checks that it may.
func (s *simulation) recordRun(call *simCall) {
	c := call.client
	c.runs++
	c.mayHaveRun = true
	if allowed := c.request.Route.MaxAttempts; c.runs > allowed {
		s.t.Fatalf("request on route %s ran %d times, %d are allowed", c.request.Route.Name, c.runs, allowed)
	}
	if !c.request.Route.Idempotent() && c.runs > 1 {
		s.t.Fatalf("request on unsafe route %s ran twice", c.request.Route.Name)
	}
}

// execute runs a request to its end and then the next ones in the queue.
func (s *simulation) execute(call *simCall) {
	b := call.broker
	b.running++
	took := core.Time(float64(b.baseLatency) * (0.7 + 0.6*s.random.Float64()) * (1 + float64(b.running)/8))
	if b.condition == slowAnswers {
		took *= 12
	}
	s.at(s.now+took, func() {
		b.running--
		s.answerStarted(call)
		s.endCall(call, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200})
		for len(b.waiting) > 0 && b.running < b.instance.Slots {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			if next.ended || next.client.done {
				continue
			}
			s.recordRun(next)
			s.execute(next)
		}
	})
}

// answerStarted reports the start of an answer to the proxy.
func (s *simulation) answerStarted(call *simCall) {
	if call.ended || call.client.done || call.broker.condition == frozen {
		return
	}
	call.started = true
	s.proxies[call.client.proxy].AnswerStarted(s.now, call.client.id, call.attempt.Number, call.broker.load())
}

// endCall reports the outcome of an attempt to the proxy, and carries out its decision.
func (s *simulation) endCall(call *simCall, o Outcome) {
	c := call.client
	if call.ended || c.done || call.broker.condition == frozen {
		return
	}
	call.ended = true
	if o.Verdict == verdict.NotRun && c.runs == 0 {
		c.mayHaveRun = false
	}
	d := s.proxies[c.proxy].AttemptEnded(s.now, c.id, call.attempt.Number, o, false)
	switch {
	case o.Answered:
		s.latencies = append(s.latencies, s.now-c.request.Received)
		s.finishRequest(c, &s.served)
	case d != Decision{}:
		s.carryOut(c, d)
	case c.outstanding() == 0:
		s.finishRequest(c, &s.failed)
	}
}

// outstanding returns the number of attempts that haven't ended.
func (c *simClient) outstanding() int {
	n := 0
	for _, call := range c.calls {
		if !call.ended {
			n++
		}
	}
	return n
}

// finishRequest ends the request of a client, cancels its attempts, and increments a counter of results.
func (s *simulation) finishRequest(c *simClient, result *int) {
	if c.done {
		return
	}
	c.done = true
	*result++
	r := s.proxies[c.proxy]
	for _, call := range c.calls {
		if !call.ended {
			r.AttemptEnded(s.now, c.id, call.attempt.Number, Outcome{Verdict: verdict.MayHaveRun, Canceled: true}, false)
		}
	}
	r.End(s.now, c.id)
}

// checkBudget checks in every window of the retry budget that the arrivals beyond the first of each request
// are allowed by the number of requests in that window and the slack.
func (s *simulation) checkBudget() {
	s.t.Helper()
	requests, from, requestFrom := 0, 0, 0
	o := s.options
	for i, at := range s.retryTimes {
		for requests < len(s.requestTimes) && s.requestTimes[requests] <= at {
			requests++
		}
		for s.retryTimes[from] <= at-o.BudgetWindow {
			from++
		}
		for requestFrom < len(s.requestTimes) && s.requestTimes[requestFrom] <= at-o.BudgetWindow {
			requestFrom++
		}
		retries := float64(i - from + 1)
		if allowed := o.RetryBudgetRatio*float64(requests-requestFrom) + o.RetryBudgetSlack; retries > allowed {
			s.t.Fatalf("%v repeated arrivals in the window up to %v, %v are allowed", retries, at, allowed)
		}
	}
}

// takeArrivals returns the number of arrivals at each broker since the last call.
func (s *simulation) takeArrivals() map[string]int {
	counts := map[string]int{}
	for id, b := range s.brokers {
		counts[id] = b.arrivals
		b.arrivals = 0
	}
	return counts
}

func (s *simulation) safeRequest() Request {
	return Request{Route: safeRoute, Service: service, TokensIn: 500}
}

func (s *simulation) mixedRequest() Request {
	switch s.random.IntN(3) {
	case 0:
		return s.safeRequest()
	case 1:
		return Request{Route: unsafeRoute, Service: service, TokensIn: 500}
	}
	q := Request{Route: resumableRoute, Service: service, Model: model, TokensIn: 2000}
	part := uint64(s.random.IntN(40) + 10)
	q.Parts = []prompt.Part{{ID: 1, Tokens: 500}, {ID: part, Tokens: 900}, {ID: s.random.Uint64(), Tokens: 600}}
	q.Tenant = &config.Tenant{Name: fmt.Sprintf("t%d", s.random.IntN(4))}
	q.Tenant.Isolated = q.Tenant.Name == "t3"
	return q
}
