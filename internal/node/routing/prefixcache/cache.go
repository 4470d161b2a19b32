package prefixcache

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/modelversion"
)

// Cache is this proxy's view of the prefix caches of a deployment.
type Cache struct {
	switches mechanism.Switches
	index    Index    // nil: there is no index
	observer Observer // nil: the index isn't an Observer, or there is none
	versions *modelversion.Tracker
	ejector  *brokerstate.Ejector
	compiled *config.Compiled // nil before the first configuration

	recent          recentPrefills         // prompt parts that were sent to brokers recently
	stores          map[string]*storeState // by address
	lookup          Lookup                 // result of LookUp; reused by each call
	queriedVersions []uint64               // versions that the current lookup has queried the index for; reused
}

// New returns a cache view. If index is nil, brokers are found only by the rendezvous order of a
// prompt's parts and by what was sent to them recently.
func New(switches mechanism.Switches, index Index, versions *modelversion.Tracker, ejector *brokerstate.Ejector) *Cache {
	observer, _ := index.(Observer)
	return &Cache{switches: switches, index: index, observer: observer, versions: versions, ejector: ejector,
		stores: make(map[string]*storeState)}
}

// SetConfig replaces the configuration, which lists the stores.
func (c *Cache) SetConfig(compiled *config.Compiled) { c.compiled = compiled }

// RecordAnswer records that a broker has answered a model request, so that it caches all parts of
// the prompt now.
func (c *Cache) RecordAnswer(req *inflight.Request, call *brokerstate.Call) {
	if c.observer != nil {
		c.observer.Observed(call.Broker.Instance.ID, cachesalt.ID(call.Salt), req.Parts)
	}
}

// defaultEngine is used for a service that the configuration no longer contains. With it,
// transferring a token is assumed to take assumedTransferTime.
var defaultEngine = &config.Engine{}

// engine returns the engine of the request's service, or defaultEngine if a newer configuration has
// removed the engine or the service since the request began.
func (c *Cache) engine(req *inflight.Request) *config.Engine {
	service := c.compiled.Services[req.Service]
	if service == nil || service.Engine == nil {
		return defaultEngine
	}
	return service.Engine
}

// saltID returns the number of the salt that the request has at a broker with the given version of
// the weights.
func saltID(req *inflight.Request, version uint64) uint64 {
	return cachesalt.ID(cachesalt.Text(req.ServedModel, version, req.IsolatedTenant))
}

// IsStore reports whether an address that parts are fetched from belongs to a store.
func (c *Cache) IsStore(address string) bool { return c.stores[address] != nil }
