package server

import (
	"os"

	"kestrelspread/internal/aggregator/engine"
)

// reloader reads the file again, all of it or nothing. What has changed since it was last read is
// taken over: what the environment named at the start stands until the file names something else.
type reloader struct {
	lastRead loadedConfig
	host     *Host
	hooks    []Hooks
}

func newReloader(c loadedConfig, host *Host, hooks []Hooks) *reloader {
	r := &reloader{lastRead: c, host: host, hooks: hooks}
	if fromFile, err := loadConfig(false); err == nil {
		r.lastRead = fromFile
	}
	r.lastRead.Known, r.lastRead.Settings = nil, nil // only what is compared is kept
	return r
}

// run reloads at each signal, as long as the process runs.
func (r *reloader) run(reload <-chan os.Signal) {
	for range reload {
		r.reload()
	}
}

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
	log.Info().Str("discovery", next.Discovery).Strs("need_restart", r.lastRead.needRestart(&next)).
		Msg("configuration read again")
	if next.discovery != r.lastRead.discovery {
		r.host.Engine.Discovery.Store(&next.discovery)
		r.host.Loop.Notify(engine.MoveDiscovery)
	}
	r.lastRead.discovery = next.discovery
}
