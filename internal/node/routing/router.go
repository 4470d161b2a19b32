package routing

import (
	"maps"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/modelversion"
	"kestrelspread/internal/node/routing/placement"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/routing/routeclass"
)

// Router makes the routing decisions of one proxy. It holds the requests and the state of the brokers,
// and delegates each part of a decision to the package for it. It isn't safe for concurrent use: see
// LockedRouter.
type Router struct {
	options  Options
	switches mechanism.Switches
	compiled *config.Compiled

	versions         modelversion.Tracker
	isolatedTenants  cachesalt.IsolatedTenants
	retryLimits      retrybudget.Limits
	ejector          *brokerstate.Ejector
	cache            *prefixcache.Cache
	finder           *candidate.Finder
	placer           *placement.Placer
	admissionControl *admission.Controller

	brokers      map[string]*brokerstate.Broker // by instance id
	services     map[string]*serviceState       // by name
	routeClasses routeclass.Classes
	requests     map[RequestID]*request
	lastID       RequestID

	counters    Counters
	lateAnswers recentLateAnswers
}

// serviceState is the state of one service: its brokers, retry budget and overload detection.
type serviceState struct {
	pool     *brokerstate.Pool
	budget   retrybudget.Budget
	overload admission.OverloadDetector
}

var _ RequestRouter = (*Router)(nil)

// New returns a router without brokers and without a configuration.
func New(now core.Time, options Options) *Router {
	options.applyDefaults()
	switches := mechanism.NewSwitches(options.Disabled)
	r := &Router{
		options:  options,
		switches: switches,
		versions: modelversion.NewTracker(now, modelversion.Bounds{
			SingleStablePeriod: options.VersionGrace, AllStablePeriods: options.VersionGraceAll, UnstableFor: options.UnstableFor,
		}),
		retryLimits:      retrybudget.NewLimits(now, options.RetryBudgetRatio, options.RetryBudgetSlack, options.BudgetWindow),
		admissionControl: admission.New(now, switches, options.Random),
		brokers:          make(map[string]*brokerstate.Broker),
		services:         make(map[string]*serviceState),
		requests:         make(map[RequestID]*request),
		counters:         Counters{Refusals: make(map[RefusalReason]uint64)},
	}
	r.ejector = brokerstate.NewEjector(switches, options.Random, options.Heartbeat, &r.retryLimits.Proxies)
	r.cache = prefixcache.New(switches, options.Index, &r.versions, r.ejector)
	r.finder = candidate.NewFinder(switches, &r.versions, r.ejector)
	r.placer = placement.New(switches, options.Zone, options.Random, r.cache)
	return r
}

// Counters returns a copy of the counters since the start.
func (r *Router) Counters() Counters {
	counters := r.counters.clone()
	counters.Late = maps.Clone(r.lateAnswers.counts)
	counters.BudgetDenied = r.retryLimits.Denied
	counters.Ejections = r.ejector.Ejections()
	return counters
}

// PendingRequests returns the number of requests that the router holds.
func (r *Router) PendingRequests() int { return len(r.requests) }

// SetProxyCount sets the number of proxies that share the retry budget, this one included. It ignores
// numbers below 1.
func (r *Router) SetProxyCount(now core.Time, proxies int) {
	if proxies > 0 {
		r.retryLimits.Proxies.Set(now, proxies)
	}
}

// SetConfig replaces the configuration.
func (r *Router) SetConfig(now core.Time, compiled *config.Compiled) {
	r.compiled = compiled
	r.cache.SetConfig(compiled)
	r.versions.Observe(now, compiled)
	r.isolatedTenants.Observe(compiled)
}

// RecordCoreInstability records that the core was unstable at a time, because it lost a machine and the agreed
// view dropped that machine. The grace period for older weights restarts from there. at must not be
// later than the latest possible time of the fault; the core counts as unstable for contactMs after it
// (RULES.md, "Stable"). Faults of disks alone don't make the core unstable.
func (r *Router) RecordCoreInstability(now, at core.Time) { r.versions.RecordDisturbance(now, at) }

// RecordProcessPause records that this process was paused until now. Answers that it didn't receive meanwhile
// don't count as timeouts of brokers, and latencies that include the pause are ignored.
func (r *Router) RecordProcessPause(now core.Time) { r.ejector.ProcessResumed(now) }

// SetTable replaces the list of brokers. The state of brokers that stay in it is kept.
func (r *Router) SetTable(now core.Time, table *registry.Table) {
	firstTable := len(r.brokers) == 0
	for id := range r.brokers {
		if instance := table.ByID[id]; instance == nil || instance.State == registry.Gone {
			delete(r.brokers, id)
		}
	}
	for _, s := range r.services {
		clear(s.pool.Brokers)
		s.pool.Brokers = s.pool.Brokers[:0]
	}
	for name, instances := range table.ByService {
		pool := r.service(name).pool
		for _, instance := range instances {
			if instance.State != registry.Gone {
				pool.Brokers = append(pool.Brokers, r.broker(now, instance, !firstTable))
			}
		}
	}
}

// broker returns the state of an instance, updated from its entry in the table. It creates the state
// of an unknown instance. joined: an unknown instance has just joined the fleet.
func (r *Router) broker(now core.Time, instance *registry.Instance, joined bool) *brokerstate.Broker {
	b := r.brokers[instance.ID]
	if b == nil {
		b = brokerstate.NewBroker(now, instance, joined)
		r.brokers[instance.ID] = b
	}
	b.Update(now, instance)
	return b
}

// service returns the state of a service, which it creates if there is none.
func (r *Router) service(name string) *serviceState {
	s := r.services[name]
	if s == nil {
		s = &serviceState{pool: brokerstate.NewPool(r.switches), budget: r.retryLimits.NewBudget(), overload: admission.NewOverloadDetector()}
		r.services[name] = s
	}
	return s
}

// ObserveLoad records a broker's load report that didn't come with the answer to a request.
func (r *Router) ObserveLoad(now core.Time, instance string, load Load) {
	if b := r.brokers[instance]; b != nil {
		b.RecordLoadReport(now, &load)
	}
}

// RecordStoreHealth records whether a store answered its last health check. The last parameter, whether the
// store lost its contents, is ignored: the index reports that as well.
func (r *Router) RecordStoreHealth(_ core.Time, address string, alive, _ bool) {
	r.cache.RecordStoreProbe(address, alive)
}
