package agent

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward"
	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// buildDataPlane builds the router and the proxy.
func (a *Agent) buildDataPlane(now core.Time) {
	bounds := a.settings.Bounds
	a.router = routing.NewLockedRouter(routing.New(now, routing.Options{
		Zone:             a.self.Zone,
		RetryBudgetRatio: bounds.RetryBudgetRatio,
		BudgetWindow:     bounds.BudgetWindow(),
		RetryBudgetSlack: bounds.RetryBudgetSlack,
		VersionGrace:     bounds.Version(),
		VersionGraceAll:  bounds.VersionAll(),
		UnstableFor:      bounds.Contact(),
		Heartbeat:        a.settings.Heartbeat(),
		Index:            a.prompts.index,
		Random:           newRandom(),
		Disabled:         a.options.Disabled,
	}), a.announceSent, a.announceStep)
	a.startup = forward.NewStartup()
	a.proxy = forward.New(forward.Options{
		Router:        a.router,
		Clock:         a.now,
		Configuration: a.compiled.Load,
		MayServe:      a.mayServe,
		Confirmed:     a.configurationConfirmed,
		Startup:       a.startup,
		ProxyCount:    func() int { return int(a.proxyCount.Load()) },
		Bounds: forward.Bounds{
			MaxBufferedBytes: a.maxBufferedBytes(), MaxHeadMemory: a.maxHeadMemory(), MaxClientConnections: a.maxClientConnections(),
		},
		Log:      a.log,
		Upstream: upstream.Options{NetworkMap: a.options.NetworkMap, MaxIdle: a.maxIdleUpstream(), MaxOpen: a.maxOpenUpstream()},
	})
}

// bufferMemoryDivisor: bodies and answers that the proxy buffers may take one part in
// bufferMemoryDivisor of the memory limit.
const bufferMemoryDivisor = 4

// maxBufferedBytes bounds what the proxy buffers, in bytes; 0, the proxy's own default, where no memory
// limit is known.
func (a *Agent) maxBufferedBytes() int64 {
	return int64(a.settings.Limits.MemoryMB) << 20 / bufferMemoryDivisor
}

// headMemoryDivisor: heads of clients may take one part in headMemoryDivisor of the memory limit.
const headMemoryDivisor = 12

// maxHeadMemory bounds the memory of clients' heads, in bytes; 0, the proxy's own default, where no memory limit is known.
func (a *Agent) maxHeadMemory() int64 {
	return int64(a.settings.Limits.MemoryMB) << 20 / headMemoryDivisor
}

const (
	// reservedDescriptors of the limit are for files outside the disk folder (DEPLOY.md, "Memory and descriptors").
	reservedDescriptors = 200
	// descriptorShares: of the other descriptors clients may have one part in descriptorShares, and connections to brokers two, half of
	// which may be idle. Callers of the control API may have half a part; the rest is for peers and the disk.
	descriptorShares = 4
	// defaultControlConnections bounds callers of the control API where no limit on descriptors is known.
	defaultControlConnections = 512
	// clientMemoryDivisor: their connections may take one part in clientMemoryDivisor of the memory limit, of clientConnectionBytes
	// each without heads and bodies.
	clientMemoryDivisor   = 4
	clientConnectionBytes = 32 << 10
)

// maxClientConnections bounds the connections of clients; 0, the proxy's own default, where no limit is known.
func (a *Agent) maxClientConnections() int {
	limits := a.settings.Limits
	byMemory, byDescriptors := limits.MemoryMB<<20/clientMemoryDivisor/clientConnectionBytes, a.descriptorShare()
	switch {
	case byDescriptors <= 0:
		return byMemory
	case byMemory <= 0:
		return byDescriptors
	default:
		return min(byMemory, byDescriptors)
	}
}

// maxControlConnections bounds the connections of brokers and operators.
func (a *Agent) maxControlConnections() int {
	if share := a.descriptorShare(); share > 0 {
		return share / 2
	}
	return defaultControlConnections
}

// maxIdleUpstream bounds the idle connections to brokers; 0, the pool's own default, where no limit is known.
func (a *Agent) maxIdleUpstream() int {
	if share := a.descriptorShare(); share > 0 {
		return min(share, upstream.DefaultMaxIdle)
	}
	return 0
}

// maxOpenUpstream bounds all connections to brokers; 0, the pool's own default, where no limit is known.
func (a *Agent) maxOpenUpstream() int { return 2 * a.descriptorShare() }

// descriptorShare is one share of the descriptors; 0: their limit isn't known.
func (a *Agent) descriptorShare() int {
	if a.settings.Limits.MaxFDs <= 0 {
		return 0
	}
	return max(a.settings.Limits.MaxFDs-reservedDescriptors, descriptorShares) / descriptorShares
}

// mayServe reports whether a request may be forwarded now. Source: RULES.md, "API keys".
func (a *Agent) mayServe(now core.Time, public bool) bool {
	return !a.coreUnable.Load() && a.bounds().MayServe(now, a.compiled.Load(), core.Time(a.confirmedAt.Load()), public)
}

// configurationLeaseValid reports whether the published configuration was confirmed recently enough for
// API keys to be trusted.
func (a *Agent) configurationLeaseValid(now core.Time) bool {
	return a.bounds().ConfigurationLeaseValid(now, core.Time(a.confirmedAt.Load()))
}

// configurationConfirmed reports whether the published configuration was confirmed recently enough to say which tenants share cached
// prefixes. Source: RULES.md, WALL.
func (a *Agent) configurationConfirmed(now core.Time) bool {
	return a.bounds().IsolationLeaseValid(now, core.Time(a.confirmedAt.Load()))
}

// ready is the readiness that the platform is told: a confirmed configuration that may be served, and
// no shutdown under way.
func (a *Agent) ready() bool {
	now := a.now()
	return !a.stopping.Load() && a.confirmedAt.Load() != 0 && a.mayServe(now, false)
}

// startupTimeout ends the startup of a process that hasn't learnt all it lacks by then.
const startupTimeout = 4 * time.Second

// updateStartup tells the proxy what this node knows by now, which releases requests that wait for it.
func (a *Agent) updateStartup(now core.Time) {
	if a.progress.startupOver {
		return
	}
	compiled := a.compiled.Load()
	known := forward.Knowledge{
		Configuration: compiled != nil && compiled.Version != 0,
		Confirmed:     a.confirmedAt.Load() != 0,
		Brokers:       a.control.Registry().Synced() || a.savedBrokers.restored,
	}
	a.startup.Update(known)
	a.progress.startupOver = now >= startupTimeout || known.Complete()
	if now >= startupTimeout {
		a.startup.End()
	}
}

// publishState publishes a new control state to the data plane.
func (a *Agent) publishState(now core.Time) {
	compiled := a.control.Compiled()
	before := a.compiled.Swap(compiled)
	a.prompts.sourcesStale = true
	a.router.SetConfig(now, compiled)
	a.isolation.record(now, before, compiled)
}

// publishTable publishes the registry's table of brokers to the data plane.
func (a *Agent) publishTable(now core.Time) {
	table := a.control.Registry().Table()
	a.router.SetTable(now, table)
	a.scheduleBrokerSave(now, table)
	a.prompts.sourcesStale = true
}

// fetchSnapshot returns the configuration, as JSON, of a control state that was read through the chain.
func fetchSnapshot(snapshot []byte) ([]byte, error) { return config.FetchFromSnapshot(snapshot) }
