package routing

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/window"
)

// Moves of kept prompts between brokers and the store (PROTOCOL.md, "KV cache"). A fetch is far cheaper than reading the
// parts again, a miss costs a millisecond, and a source that is dead some hundred: so only sources known to be well are
// named.
const (
	fetchLeastTokens = 256 // fewer are read sooner than moved
	storeConfirmed   = 2500 * time.Millisecond
	savedMost        = 4096 // keys of parts that are remembered as saved
	saveIndexed      = 3 * time.Second
	saveBlind        = time.Minute
	savers           = 3
	sharedSlack      = 64 // tokens: brokers keep parts by blocks
	youngFor         = 20 * time.Second
	moveSpan         = 5000. // ms
	moveFew          = 3.0   // slow moves before a share of them counts
	moveShare        = 0.5   // of the moves to a broker: more slow ones, and none is asked for
)

// moves counts the answers of a broker that had parts to fetch, and those of them that were slow: links between brokers may
// turn so slow that reading anew is quicker.
type moves struct{ all, late *window.Counts }

func (m *moves) done(now core.Time, late bool) {
	if m.all == nil {
		m.all, m.late = window.NewCounts(6, moveSpan/5), window.NewCounts(6, moveSpan/5)
	}
	m.all.Add(milliseconds(now), 1)
	if late {
		m.late.Add(milliseconds(now), 1)
	}
}

func (m *moves) slow(now core.Time) bool {
	if m.all == nil {
		return false
	}
	late := m.late.Sum(milliseconds(now), moveSpan)
	return late >= moveFew && late > moveShare*m.all.Sum(milliseconds(now), moveSpan)
}

// storeState is what is known of a store of kept prompts by its own signs of life.
type storeState struct {
	aliveAt core.Time
	dead    bool // it was asked and gave none
}

// store is the store that brokers of this zone use, nil where the configuration has none.
func (r *Router) store() *config.Service {
	if r.compiled == nil || len(r.compiled.Stores) == 0 {
		return nil
	}
	for _, store := range r.compiled.Stores {
		if store.Zone == r.options.Zone {
			return store
		}
	}
	return r.compiled.Stores[0]
}

// storeAlive reports whether a store gave a sign of life lately: only then it is fetched from.
func (r *Router) storeAlive(now core.Time, address string) bool {
	state, ok := r.stores[address]
	return ok && !state.dead && now-state.aliveAt <= storeConfirmed
}

// storeTakes reports whether parts may be sent to a store: it isn't known to be down. No request waits for that.
func (r *Router) storeTakes(address string) bool { return !r.stores[address].dead }

// fetchSource is the address that the chosen broker should fetch the prompt's shared parts from, or empty.
func (r *Router) fetchSource(now core.Time, req *request, chosen *candidate) string {
	if sharedTokens(req.Parts) < fetchLeastTokens || chosen.broker.moves.slow(now) {
		return ""
	}
	if holder := r.bestHolder(now, req, chosen); holder != nil {
		return holder.instance.Address
	}
	address := r.storeSource(req, chosen)
	if address == "" || !r.storeAlive(now, address) {
		return ""
	}
	return address
}

// storeSource is the store that keeps more of the prompt than the chosen broker: by the index, else any may.
func (r *Router) storeSource(req *request, chosen *candidate) string {
	if r.options.Index == nil {
		if store := r.store(); store != nil {
			return store.KVStoreAddr
		}
		return ""
	}
	if req.store.Tokens <= chosen.kept {
		return ""
	}
	return req.store.Instance
}

// bestHolder is the broker that keeps more of the prompt than the chosen one: by the index, else the first in the order of
// its parts.
func (r *Router) bestHolder(now core.Time, req *request, chosen *candidate) *broker {
	part, ok := stickyPart(req.Parts)
	if !ok || len(req.Parts) < 2 {
		return nil
	}
	key := affinityKey(part, req.model, req.wall)
	kept := 0
	var best *broker
	for i := range r.field.sound {
		if c := &r.field.sound[i]; c.kept > kept && r.mayFetchFrom(now, req, chosen, c.broker) {
			best, kept = c.broker, c.kept
		}
	}
	if best != nil {
		if chosen.kept >= kept {
			return nil
		}
		return best
	}
	return r.keeper(now, req, chosen, key)
}

// keeper is the owner of the parts by the rendezvous order, among all brokers that can be fetched from; nil if that is the
// chosen one. Where the chosen one has come lately, it is who owned them before.
func (r *Router) keeper(now core.Time, req *request, chosen *candidate, key uint64) *broker {
	var best *broker
	bestWeight := uint64(0)
	if now >= chosen.broker.youngUntil {
		bestWeight = weight(key, chosen.broker)
	}
	for _, b := range req.pool.brokers {
		if w := weight(key, b); w > bestWeight && r.mayFetchFrom(now, req, chosen, b) {
			best, bestWeight = b, w
		}
	}
	return best
}

// mayFetchFrom reports whether a broker is well enough to be named as a source, and has the same weights.
func (r *Router) mayFetchFrom(now core.Time, req *request, chosen *candidate, b *broker) bool {
	switch {
	case b == chosen.broker, req.tried(b), !b.instance.Usable(), b.instance.Silent, b.health.aside():
		return false
	case now < b.health.misdirectedUntil, r.hangs(now, req.pool, b):
		return false
	}
	return r.versions.believed(b.instance, req.model) == chosen.version
}

// saveTarget is the store that the chosen broker should send the prompt's parts to, or empty.
//
// With an index, parts go there that the store isn't known to keep. Without one, each proxy has a set of shared parts sent
// once, and few of all proxies do so, as each takes its chance.
func (r *Router) saveTarget(now core.Time, req *request, salt string) string {
	store := r.store()
	shared := sharedTokens(req.Parts)
	switch {
	case store == nil, shared < fetchLeastTokens, !r.storeTakes(store.KVStoreAddr):
		return ""
	case r.storeKeeps(req, shared):
		return ""
	}
	part, _ := stickyPart(req.Parts)
	key := mix(part.ID ^ SaltID(salt))
	if at, ok := r.saved[key]; ok && now-at < r.saveAgain() || r.options.Index == nil && !r.savesByChance(now) {
		return ""
	}
	if len(r.saved) >= savedMost {
		clear(r.saved)
	}
	r.saved[key] = now
	return store.KVStoreAddr
}

// storeKeeps reports whether the index knows that the store has the shared parts.
func (r *Router) storeKeeps(req *request, shared int) bool {
	return req.store.Store && req.store.Tokens >= shared-sharedSlack
}

// saveAgain is when parts that were saved may have to be saved again, as the store drops what wasn't used for longest.
func (r *Router) saveAgain() time.Duration {
	if r.options.Index != nil {
		return saveIndexed
	}
	return saveBlind
}

// savesByChance picks, without an exchange, about savers of all proxies.
func (r *Router) savesByChance(now core.Time) bool {
	count := r.peers.most(now)
	return count <= savers || r.options.Random.IntN(count) < savers
}

func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// StoreSeen tells of a sign of life of a store, or that it was asked and gave none. lost: what it kept is gone.
func (r *Router) StoreSeen(now core.Time, address string, alive, lost bool) {
	if lost {
		clear(r.saved)
	}
	state := r.stores[address]
	state.dead = !alive
	if alive {
		state.aliveAt = now
	}
	r.stores[address] = state
}
