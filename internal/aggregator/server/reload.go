package server

import (
	"os"

	"kestrelspread/internal/aggregator/engine"
)

// reloader reads the configuration file again on request and applies it as a whole or not at all.
// It compares each reading with the last one from the file, so that a value which the environment
// gave at the start stays in force until the file's own value changes.
type reloader struct {
	lastRead loadedConfig
	host     *Host
	hooks    []Hooks
}

// newReloader returns a reloader for an aggregator that was started with configuration c.
func newReloader(c loadedConfig, host *Host, hooks []Hooks) *reloader {
	r := &reloader{lastRead: c, host: host, hooks: hooks}
	if fromFile, err := loadConfig(false); err == nil {
		r.lastRead = fromFile
	}
	r.lastRead.Known, r.lastRead.Settings = nil, nil // the raw JSON is not compared; let it be freed
	return r
}

// run reloads at each signal received. It never returns: the channel is not closed.
func (r *reloader) run(reload <-chan os.Signal) {
	for range reload {
		r.reload()
	}
}

// reload calls the extensions' Reload hooks, then reads the file again and applies a changed
// discovery address. Other changes are only logged, as needing a restart.
func (r *reloader) reload() {
	for _, hooks := range r.hooks {
		if hooks.Reload != nil {
			hooks.Reload()
		}
	}
	log := r.host.Log
	next, err := loadConfig(false)
	if err != nil {
		log.Warn().Err(err).Msg("configuration not taken over")
		return
	}
	log.Info().Str("discovery", next.Discovery).Strs("need_restart", r.lastRead.changesNeedingRestart(&next)).
		Msg("configuration read again")
	if next.discovery != r.lastRead.discovery {
		r.host.Engine.DiscoveryAddr.Store(&next.discovery)
		r.host.Loop.Notify(engine.MoveDiscovery)
	}
	r.lastRead.discovery = next.discovery
}
