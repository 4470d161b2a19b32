package routing

import (
	"maps"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/modelversion"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/verdict"
)

// Router decides for one proxy. It isn't safe for concurrent use: see Guarded.
type Router struct {
	options  Options
	switches mechanism.Switches
	compiled *config.Compiled
	versions modelversion.Tracker
	walls    cachesalt.IsolatedTenants
	limits   retrybudget.Limits

	brokers  map[string]*broker // by instance id
	pools    map[string]*pool   // by service
	classes  map[string]*class  // by route
	requests map[RequestID]*request
	lastID   RequestID
	// startedAt is when this router began to learn.
	startedAt core.Time
	stores    map[string]*storeState // by address

	// awakeAt is when this process last came back from standing still.
	awakeAt core.Time

	field    field   // used again by each choice
	placing  placing // used again by each choice for a model
	reads    recentReads
	asked    []uint64 // used again by rankHolders
	counters Counters
	late     lateRecord
}

var _ Port = (*Router)(nil)

// New makes a router that knows neither brokers nor a configuration.
func New(now core.Time, options Options) *Router {
	options.withDefaults()
	return &Router{
		options:  options,
		switches: mechanism.NewSwitches(options.Disabled),
		versions: modelversion.NewTracker(now, modelversion.Bounds{
			SingleStretch: options.VersionGrace, AllStretches: options.VersionAll, UnstableFor: options.Contact,
		}),
		limits:    retrybudget.NewLimits(now, options.RetryBudgetRatio, options.RetryBudgetSlack, options.BudgetWindow),
		startedAt: now,
		brokers:   make(map[string]*broker),
		pools:     make(map[string]*pool),
		classes:   make(map[string]*class),
		requests:  make(map[RequestID]*request),
		stores:    make(map[string]*storeState),
		counters:  Counters{Refusals: make(map[RefusalReason]uint64)},
	}
}

// Counters copies what was counted since the start.
func (r *Router) Counters() Counters {
	counters := r.counters.clone()
	counters.Late = maps.Clone(r.late.counts)
	counters.BudgetDenied = r.limits.Denied
	return counters
}

// Holding is how many requests are held.
func (r *Router) Holding() int { return len(r.requests) }

// SetPeers tells how many proxies share the retry budget, this one included.
func (r *Router) SetPeers(now core.Time, proxies int) {
	if proxies > 0 {
		r.limits.Proxies.Set(now, proxies)
	}
}

// SetConfig takes a newer configuration.
func (r *Router) SetConfig(now core.Time, compiled *config.Compiled) {
	r.compiled = compiled
	r.versions.Observe(now, compiled)
	r.walls.Observe(compiled)
}

// CoreDisturbed tells that the core was not stable at a time: a machine of it was lost, and the agreed view dropped it. The time
// for older weights is counted anew from there. at must not be later than the trouble may have been, which lasts for
// contactMs (RULES.md, "Stable"); trouble with disks alone is none.
func (r *Router) CoreDisturbed(now, at core.Time) { r.versions.CoreDisturbed(now, at) }

// SetTable takes a newer picture of the brokers.
func (r *Router) SetTable(now core.Time, table *registry.Table) {
	first := len(r.brokers) == 0
	for id := range r.brokers {
		if instance := table.ByID[id]; instance == nil || instance.State == registry.Gone {
			delete(r.brokers, id)
		}
	}
	for _, p := range r.pools {
		clear(p.brokers)
		p.brokers = p.brokers[:0]
	}
	for service, instances := range table.ByService {
		p := r.pool(service)
		for _, instance := range instances {
			if instance.State != registry.Gone {
				p.brokers = append(p.brokers, r.broker(now, instance, first))
			}
		}
	}
}

func (r *Router) broker(now core.Time, instance *registry.Instance, first bool) *broker {
	b := r.brokers[instance.ID]
	if b == nil {
		b = newBroker(now, instance)
		if !first {
			b.youngUntil = now + youngFor
		}
		r.brokers[instance.ID] = b
	}
	b.replaced(now, instance)
	return b
}

func (r *Router) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = newPool(service, r.limits.NewBudget())
		p.paced = r.switches.On(mechanism.BrokerPace)
		r.pools[service] = p
	}
	return p
}

func (r *Router) class(now core.Time, route string) *class {
	c := r.classes[route]
	if c == nil {
		r.forgetClasses(now)
		c = newClass()
		r.classes[route] = c
	}
	c.usedAt = now
	return c
}

// forgetClasses drops the measures of routes without requests lately, so that a day of many changes leaves nothing behind.
func (r *Router) forgetClasses(now core.Time) {
	for name, c := range r.classes {
		if now-c.usedAt > classKept {
			delete(r.classes, name)
		}
	}
}

// Begin takes a request and decides at once.
func (r *Router) Begin(now core.Time, request Request) (RequestID, Decision) {
	req := r.take(now, request)
	req.pool.refresh(now)
	if req.Deadline-now < leastTime {
		return req.id, r.refuse(now, req, RefusedDeadline, core.Never)
	}
	f := r.gather(now, req)
	if len(f.sound) == 0 {
		return req.id, r.withoutSound(now, req, f)
	}
	chosen, byPrediction := r.pick(now, req, f)
	req.pool.overload.refresh(now, req.pool)
	if chance := req.pool.overload.chance(req.Urgency); r.switches.On(mechanism.Overload) && chance > 0 && r.options.Random.Float64() < chance {
		return req.id, r.refuse(now, req, RefusedFull, core.Never)
	}
	if after, ok := r.postponed(now, req, f, chosen); ok {
		r.counters.Refusals[RefusedLate]++
		return req.id, Decision{Refusal: &Refusal{Reason: RefusedLate, RetryAfter: after}}
	}
	if r.hopeless(now, req, chosen) {
		return req.id, r.refuse(now, req, RefusedDeadline, core.Never)
	}
	return req.id, r.send(now, req, chosen, byPrediction)
}

func (r *Router) take(now core.Time, received Request) *request {
	r.lastID++
	r.counters.Requests++
	req := &request{
		Request:    received,
		id:         r.lastID,
		pool:       r.pool(received.Service),
		class:      r.class(now, received.Route.Name),
		idempotent: received.Route.Idempotent(),
	}
	if r.runsModels(received.Service) && received.Model != "" {
		req.model = received.Model
		req.oversized = r.oversized(&received)
		req.wall = r.walls.BoundaryOf(req.Tenant)
	}
	req.class.came(req.TokensIn)
	req.fresh = req.class.fresh(now, &req.Request)
	req.work = req.class.work(req.TokensIn)
	req.pool.budget.Received(now)
	req.pool.overload.came(now, req.Urgency)
	r.requests[req.id] = req
	return req
}

// withoutSound answers where no sound broker is left for a request that was not sent yet.
func (r *Router) withoutSound(now core.Time, req *request, f *field) Decision {
	switch {
	case f.full > 0:
		return r.refuse(now, req, RefusedFull, f.earliest)
	case len(f.doubtful) == 0:
		return r.refuse(now, req, RefusedNoBroker, core.Never)
	}
	doubtful := r.pickDoubtful(f)
	if !req.idempotent && doubtful.broker.health.ailment == hanging {
		return r.refuse(now, req, RefusedUnhealthy, core.Never) // it would be lost, where another proxy may serve it
	}
	r.counters.Fallback++
	r.score(now, req, f, doubtful)
	return r.send(now, req, doubtful, false)
}

// runsModels reports whether a service's brokers have an engine, and so versions of weights and kept prompts.
func (r *Router) runsModels(service string) bool {
	if r.compiled == nil {
		return false
	}
	s := r.compiled.Services[service]
	return s != nil && s.Engine != nil
}

// oversized reports whether a request is larger than a broker's memory, which turns it away as if it were full.
func (r *Router) oversized(received *Request) bool {
	capacity := r.compiled.Services[received.Service].Engine.KVCapacityTokens
	return capacity > 0 && float64(received.TokensIn+received.TokensOut) > capacity
}

// End forgets a request. What is still out of it counts as called off.
func (r *Router) End(now core.Time, id RequestID) {
	req := r.requests[id]
	if req == nil {
		return
	}
	for _, a := range req.attempts {
		if !a.ended {
			r.settle(now, req, a, &Outcome{Verdict: verdict.MayHaveRun, Canceled: true})
		}
	}
	delete(r.requests, id)
}

// ObserveLoad takes a broker's count that came otherwise than with an answer to a request.
func (r *Router) ObserveLoad(now core.Time, instance string, load Load) {
	if b := r.brokers[instance]; b != nil {
		b.told(now, &load)
	}
}
