package prefixcache

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prompt"
)

const (
	// MinLateFetches is how many consecutive answers with fetches from a store must be late before
	// the store is avoided.
	MinLateFetches = 4
	// StoreBackoff is how long a late store is avoided.
	StoreBackoff = 2 * time.Second

	storeLateThreshold = 200.0 // ms above the usual latency; a dead source costs a few hundred
)

// storeState is the health of a store. A store counts as healthy until there is evidence against
// it. Its home node probes it once a second. A store that fails between two probes shows by late
// answers whenever parts were to be fetched from it.
type storeState struct {
	dead               bool      // the last probe failed
	consecutiveLate    int       // consecutive late answers with a fetch from this store
	onTimeWithoutStore int       // answers without a store that were on time meanwhile
	backoffUntil       core.Time // it isn't used before this time
}

// chooseStore returns the store that caches the shared parts of a request's prompt: the usable
// store that is first in the rendezvous order of the prompt's sticky part. Thus each part is cached
// in one store only, whichever proxy saves it, and the capacity of the stores adds up. It returns
// nil if there is no such store.
func (c *Cache) chooseStore(now core.Time, req *inflight.Request) *config.Service {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok || c.compiled == nil || !c.switches.On(mechanism.KVStore) {
		return nil
	}
	key := prompt.AffinityKey(part, req.ServedModel, req.IsolatedTenant)
	var best *config.Service
	highest := uint64(0)
	for _, store := range c.compiled.Stores {
		weight := prompt.RendezvousWeight(key, prompt.HashText(store.KVStoreAddr))
		if (best == nil || weight > highest) && c.storeUsable(now, store.KVStoreAddr) {
			best, highest = store, weight
		}
	}
	return best
}

// store returns the state of a store, which it creates if there is none.
func (c *Cache) store(address string) *storeState {
	state := c.stores[address]
	if state == nil {
		state = &storeState{}
		c.stores[address] = state
	}
	return state
}

// storeUsable reports whether a store may be used.
func (c *Cache) storeUsable(now core.Time, address string) bool {
	state := c.store(address)
	return !state.dead && now >= state.backoffUntil
}

// SaveTarget returns the address of the store that the chosen broker should save the prompt's parts
// to. It returns "" if the index already lists the shared parts there, because saving them
// needlessly evicts useful ones.
func (c *Cache) SaveTarget(now core.Time, req *inflight.Request, chosen *candidate.Candidate) string {
	store := c.chooseStore(now, req)
	shared := prompt.SharedTokens(req.Parts)
	if store == nil || shared < MinFetchTokens || chosen.StoredTokens >= shared-blockTolerance {
		return ""
	}
	return store.KVStoreAddr
}

// RecordStoreProbe records whether a store answered a probe.
func (c *Cache) RecordStoreProbe(address string, alive bool) {
	state := c.store(address)
	if alive && state.dead {
		*state = storeState{}
	}
	state.dead = !alive
}

// RecordFetch judges a store by an answer. If consecutive answers with fetches from the store are
// late while answers without a store are on time, the store is avoided for StoreBackoff. usual is
// the median latency of the pool in ms.
func (c *Cache) RecordFetch(now core.Time, call *brokerstate.Call, usual float64) {
	late := (call.Latency-usual)*call.Scale > storeLateThreshold
	state := c.stores[call.FetchFrom]
	if state == nil {
		if !late {
			c.countOnTimeAnswer()
		}
		return
	}
	if !late {
		state.consecutiveLate, state.onTimeWithoutStore = 0, 0
		return
	}
	state.consecutiveLate++
	if state.consecutiveLate >= MinLateFetches && state.onTimeWithoutStore > 0 {
		*state = storeState{dead: state.dead, backoffUntil: now + StoreBackoff}
	}
}

// countOnTimeAnswer counts an answer that was on time without a store, as evidence against stores
// whose answers are late.
func (c *Cache) countOnTimeAnswer() {
	for _, state := range c.stores {
		if state.consecutiveLate > 0 {
			state.onTimeWithoutStore++
		}
	}
}
