package prefixcache

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/modelversion"
)

// Cache is this proxy's view of the caches of a deployment.
type Cache struct {
	switches mechanism.Switches
	index    Index    // nil: none
	observer Observer // nil: the index is none
	versions *modelversion.Tracker
	ejector  *brokerstate.Ejector
	compiled *config.Compiled // nil before the first configuration

	recent          recentPrefills
	stores          map[string]*storeState // by address
	lookup          Lookup                 // reused
	queriedVersions []uint64               // versions that the index was asked for; reused
}

// New makes a cache view. index may be nil; then brokers are found by the rendezvous order of a
// prompt's parts alone.
func New(switches mechanism.Switches, index Index, versions *modelversion.Tracker, ejector *brokerstate.Ejector) *Cache {
	observer, _ := index.(Observer)
	return &Cache{switches: switches, index: index, observer: observer, versions: versions, ejector: ejector,
		stores: make(map[string]*storeState)}
}

// SetConfig takes a newer configuration, which names the stores.
func (c *Cache) SetConfig(compiled *config.Compiled) { c.compiled = compiled }

// Answered takes in that a broker has answered a model request, so it caches all parts of the
// prompt.
func (c *Cache) Answered(req *inflight.Request, call *brokerstate.Call) {
	if c.observer != nil {
		c.observer.Observed(call.Broker.Instance.ID, cachesalt.ID(call.Salt), req.Parts)
	}
}

// unknownEngine stands for the engine of a service that the configuration no longer has: moving a
// token is assumed to take what it usually does.
var defaultEngine = &config.Engine{}

// engine is the engine of the request's service. A newer configuration may have removed the engine
// or the service since the request began.
func (c *Cache) engine(req *inflight.Request) *config.Engine {
	service := c.compiled.Services[req.Service]
	if service == nil || service.Engine == nil {
		return defaultEngine
	}
	return service.Engine
}

// saltID is the salt of the request at a broker with a version of the weights.
func saltID(req *inflight.Request, version uint64) uint64 {
	return cachesalt.ID(cachesalt.Text(req.ServedModel, version, req.IsolatedTenant))
}

// IsStore reports whether an address that parts are fetched from is that of a store.
func (c *Cache) IsStore(address string) bool { return c.stores[address] != nil }
