package routing

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prompt"
)

// A store of kept prompts is believed to be well until there is a reason against it: its home asks it each second, and a store
// that went down in between shows by answers that come late whenever parts were to be fetched from it.
const (
	storeLateBy  = 200.0 // ms beyond the usual: a dead source costs some hundred
	storeLateFew = 4     // answers in a row
	storeRest    = 2 * time.Second
)

// storeState is what is known of a store.
type storeState struct {
	dead       bool      // it was asked and gave no sign of life
	late       int       // answers in a row that came late with a fetch from it
	others     int       // answers in time meanwhile, without a fetch from it
	restsUntil core.Time // it isn't fetched from before
}

// storeFor is the store that keeps the shared parts of a request's prompt: of those that are well, the first in the rendezvous order of
// its sticky part. So each part is kept in one store, by whatever proxy it is saved, and the stores together hold as much as all of
// their memory. nil: there is none.
func (r *Router) storeFor(now core.Time, req *request) *config.Service {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok || r.compiled == nil || !r.switches.On(mechanism.KVStore) {
		return nil
	}
	key := prompt.AffinityKey(part, req.model, req.wall)
	var best *config.Service
	highest := uint64(0)
	for _, store := range r.compiled.Stores {
		w := prompt.RendezvousWeight(key, prompt.HashText(store.KVStoreAddr))
		if (best == nil || w > highest) && r.storeWell(now, store.KVStoreAddr) {
			best, highest = store, w
		}
	}
	return best
}

func (r *Router) storeState(address string) *storeState {
	state := r.stores[address]
	if state == nil {
		state = &storeState{}
		r.stores[address] = state
	}
	return state
}

// storeWell reports whether a store is to be fetched from.
func (r *Router) storeWell(now core.Time, address string) bool {
	state := r.storeState(address)
	return !state.dead && now >= state.restsUntil
}

// saveTarget is the store that the chosen broker should send the prompt's parts to, or empty where the index has the shared
// parts there: what is sent in vain drives out what is of use.
func (r *Router) saveTarget(now core.Time, req *request, chosen *candidate) string {
	store := r.storeFor(now, req)
	shared := prompt.SharedTokens(req.Parts)
	if store == nil || shared < fetchLeastTokens || chosen.stored >= shared-sharedSlack {
		return ""
	}
	return store.KVStoreAddr
}

// StoreSeen tells of a sign of life of a store, or that it was asked and gave none. lost: what it kept is gone, which the index
// tells as well.
func (r *Router) StoreSeen(_ core.Time, address string, alive, _ bool) {
	state := r.storeState(address)
	if alive && state.dead {
		*state = storeState{}
	}
	state.dead = !alive
}

// noteStore learns from an answer whether the store delivers: if fetches from it delay answers, one after the other, while
// others come in time, it is left alone for a while.
func (r *Router) noteStore(now core.Time, a *attempt, usual float64) {
	late := (a.latency-usual)*a.scale > storeLateBy
	state := r.stores[a.fetchFrom]
	if state == nil {
		if !late {
			r.othersInTime()
		}
		return
	}
	if !late {
		state.late, state.others = 0, 0
		return
	}
	state.late++
	if state.late >= storeLateFew && state.others > 0 {
		*state = storeState{dead: state.dead, restsUntil: now + storeRest}
	}
}

// othersInTime notes, against stores that seem late, that answers without them aren't.
func (r *Router) othersInTime() {
	for _, state := range r.stores {
		if state.late > 0 {
			state.others++
		}
	}
}
