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
	// MinLateFetches is how many answers in a row must come late with fetches from a store before
	// it is left alone.
	MinLateFetches = 4
	// StoreBackoff is how long such a store is left alone.
	StoreBackoff = 2 * time.Second

	storeLateThreshold = 200.0 // ms beyond the usual: a dead source costs some hundred
)

// storeState is the health of a store. A store is believed to be well until there is a reason
// against it: its home node asks it each second, and a store that fails in between shows by answers
// that come late whenever parts were to be fetched from it.
type storeState struct {
	dead               bool      // it was asked and gave no sign of life
	consecutiveLate    int       // answers in a row that came late with a fetch from it
	onTimeWithoutStore int       // answers in time meanwhile, without a fetch from it
	backoffUntil       core.Time // it isn't fetched from before
}

// chooseStore is the store that caches the shared parts of a request's prompt: of those that are well,
// the first in the rendezvous order of its sticky part. So each part is cached in one store, by
// whatever proxy it is saved, and the stores together hold as much as all of their memory. nil:
// there is none.
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

func (c *Cache) store(address string) *storeState {
	state := c.stores[address]
	if state == nil {
		state = &storeState{}
		c.stores[address] = state
	}
	return state
}

// storeUsable reports whether a store is to be fetched from.
func (c *Cache) storeUsable(now core.Time, address string) bool {
	state := c.store(address)
	return !state.dead && now >= state.backoffUntil
}

// SaveTarget is the address of the store that the chosen broker should send the prompt's parts to,
// or empty where the index has the shared parts there: what is sent in vain evicts what is of use.
func (c *Cache) SaveTarget(now core.Time, req *inflight.Request, chosen *candidate.Candidate) string {
	store := c.chooseStore(now, req)
	shared := prompt.SharedTokens(req.Parts)
	if store == nil || shared < MinFetchTokens || chosen.StoredTokens >= shared-blockTolerance {
		return ""
	}
	return store.KVStoreAddr
}

// StoreSeen takes in a sign of life of a store, or that it was asked and gave none.
func (c *Cache) StoreSeen(address string, alive bool) {
	state := c.store(address)
	if alive && state.dead {
		*state = storeState{}
	}
	state.dead = !alive
}

// LearnFetch learns from an answer whether a store delivers: if fetches from it delay answers, one
// after the other, while others come in time, it is left alone for a while. usual is the median of
// the pool, ms.
func (c *Cache) LearnFetch(now core.Time, call *brokerstate.Call, usual float64) {
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

// countOnTimeAnswer takes in, against stores that seem late, that answers without them aren't.
func (c *Cache) countOnTimeAnswer() {
	for _, state := range c.stores {
		if state.consecutiveLate > 0 {
			state.onTimeWithoutStore++
		}
	}
}
