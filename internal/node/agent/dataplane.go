package agent

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward"
	"kestrelspread/internal/node/routing"
)

// buildDataPlane makes the router and the proxy.
func (a *Agent) buildDataPlane(now core.Time) {
	bounds := a.settings.Bounds
	a.router = routing.NewGuarded(routing.New(now, routing.Options{
		Zone:             a.self.Zone,
		RetryBudgetRatio: bounds.RetryBudgetRatio,
		BudgetWindow:     bounds.BudgetWindow(),
		RetryBudgetSlack: bounds.RetryBudgetSlack,
		VersionGrace:     bounds.Version(),
		VersionAll:       bounds.VersionAll(),
		Contact:          bounds.Contact(),
		Heartbeat:        a.settings.Heartbeat(),
		Index:            a.prompts.index,
		Random:           newRandom(),
		Disabled:         a.disabled,
	}), a.tellSent, a.tellStep)
	a.startup = forward.NewStartup()
	a.proxy = forward.New(forward.Options{
		Port:     a.router,
		Clock:    a.now,
		Config:   a.compiled.Load,
		MayServe: a.mayServe,
		Startup:  a.startup,
		Proxies:  func() int { return int(a.proxies.Load()) },
		Bounds:   forward.Bounds{MaxBufferedBytes: a.bufferedBytes()},
		Log:      a.log,
	})
}

// bufferShare of the memory limit may be taken by bodies and answers that are held: one in bufferShare.
const bufferShare = 4

// bufferedBytes bounds what the proxy holds; 0 leaves it to the proxy where no limit is known.
func (a *Agent) bufferedBytes() int64 { return int64(a.settings.Limits.MemoryMB) << 20 / bufferShare }

// mayServe reports whether a request may be sent on now. Source: RULES.md, "API keys".
func (a *Agent) mayServe(now core.Time, public bool) bool {
	return a.bounds().MayServe(now, a.compiled.Load(), core.Time(a.confirmed.Load()), public)
}

// leaseHolds reports whether the configuration here was confirmed recently enough for keys to be trusted.
func (a *Agent) leaseHolds(now core.Time) bool {
	return a.bounds().LeaseHolds(now, core.Time(a.confirmed.Load()))
}

// ready is the answer to the platform.
func (a *Agent) ready() bool {
	now := a.now()
	return !a.stopping.Load() && a.confirmed.Load() != 0 && a.mayServe(now, false)
}

// startupLimit ends the start of a process that does not learn all that it lacks.
const startupLimit = 4 * time.Second

// noteStartup tells the proxy what this node knows by now, for the requests that wait for it.
func (a *Agent) noteStartup(now core.Time) {
	if a.seen.startupOver {
		return
	}
	compiled := a.compiled.Load()
	known := forward.Knowledge{
		Configuration: compiled != nil && compiled.Version != 0,
		Confirmed:     a.confirmed.Load() != 0,
		Brokers:       a.control.Registry().Synced() || a.brokersCopy.restored,
	}
	a.startup.Note(known)
	a.seen.startupOver = now >= startupLimit || known.Complete()
	if now >= startupLimit {
		a.startup.End()
	}
}

// stateChanged publishes a new control state to the data plane.
func (a *Agent) stateChanged(now core.Time) {
	compiled := a.control.Compiled()
	a.compiled.Store(compiled)
	a.prompts.stale = true
	a.router.SetConfig(now, compiled)
}

// publishTable hands the brokers known to the data plane.
func (a *Agent) publishTable(now core.Time) {
	table := a.control.Registry().Table()
	a.router.SetTable(now, table)
	a.brokersChanged(now, table)
	a.prompts.stale = true
}

// fetchSnapshot gives the newest configuration of a state that was read through the chain.
func fetchSnapshot(snapshot []byte) ([]byte, error) { return config.FetchFromSnapshot(snapshot) }
