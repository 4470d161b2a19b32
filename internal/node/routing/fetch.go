package routing

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

// Moves of kept prompts between brokers and the store (PROTOCOL.md, "KV cache"). A fetch is far cheaper than reading the
// parts again, a miss costs a millisecond, and a source that is dead some hundred: so only sources that are believed to be
// well are named.
const (
	fetchLeastTokens = 256 // fewer are read sooner than moved
	sharedSlack      = 64  // tokens: brokers keep parts by blocks
	youngFor         = 20 * time.Second
	moveSpan         = 5000. // ms
	moveFew          = 3.0   // slow moves before a share of them counts
	moveShare        = 0.5   // of the moves to a broker: more slow ones, and none is asked for
	outdatedShare    = 0.1   // of what the index tells of brokers isn't kept there any more, about
)

// moves counts the answers of a broker that had parts to fetch, and those of them that were slow: links between brokers may
// turn so slow that reading anew is quicker.
type moves struct{ all, late *window.Counts }

func (m *moves) done(now core.Time, late bool) {
	if m.all == nil {
		m.all, m.late = window.NewCounts(6, moveSpan/5), window.NewCounts(6, moveSpan/5)
	}
	m.all.Add(units.Milliseconds(now), 1)
	if late {
		m.late.Add(units.Milliseconds(now), 1)
	}
}

func (m *moves) slow(now core.Time) bool {
	if m.all == nil {
		return false
	}
	late := m.late.Sum(units.Milliseconds(now), moveSpan)
	return late >= moveFew && late > moveShare*m.all.Sum(units.Milliseconds(now), moveSpan)
}

// fetchSource is the address that the chosen broker should fetch the prompt's shared parts from, or empty.
//
// A broker that has as much as the store goes first where that is known from what it was sent just now, or where the store's link, which
// is everybody's, is much slower: what the index tells of brokers is old at times, and a fetch that finds nothing has the parts read
// again. Else it is the store, also where the index has the parts at the chosen broker itself: brokers drop them within seconds and tell of it late.
// Where the store is down, it is the broker that should have them by its place in their order.
func (r *Router) fetchSource(now core.Time, req *request, chosen *candidate) string {
	if prompt.SharedTokens(req.Parts) < fetchLeastTokens || chosen.broker.moves.slow(now) {
		return ""
	}
	var holder *candidate
	if r.switches.On(mechanism.KVFetch) {
		holder = r.bestHolder(now, req, chosen)
	}
	store := r.storeFor(now, req)
	switch {
	case store != nil && (holder == nil || chosen.stored > holder.kept):
		return store.KVStoreAddr
	case store != nil && chosen.stored == holder.kept && !holder.surelyKeeps() && r.storeIsNear(req, store, holder, chosen):
		return store.KVStoreAddr
	case holder != nil:
		return holder.broker.instance.Address
	}
	if !r.switches.On(mechanism.KVFetch) {
		return ""
	}
	if keeper := r.keeper(now, req, chosen); keeper != nil {
		return keeper.instance.Address
	}
	return ""
}

// surelyKeeps reports whether a broker was sent lately what it is believed to keep.
func (c *candidate) surelyKeeps() bool { return c.coming >= c.kept }

// storeIsNear reports whether moving parts from the store takes so little more time than from a broker that the store is better, as it
// surely has them.
func (r *Router) storeIsNear(req *request, store *config.Service, holder, chosen *candidate) bool {
	engine := r.compiled.Services[req.Service].Engine
	if store.LinkMbps <= 0 || engine.LinkMbps <= 0 {
		return false
	}
	fromStore := moveTime(engine, store.LinkMbps, zonesFactor(store.Zone, chosen))
	fromBroker := moveTime(engine, engine.LinkMbps, zonesFactor(holder.broker.instance.Zone, chosen))
	return fromStore-fromBroker <= outdatedShare*req.pool.perToken(chosen.broker)
}

// zonesFactor is how many times as long a move from a zone to the chosen broker takes as one within a zone.
func zonesFactor(zone string, chosen *candidate) float64 {
	if zone == chosen.broker.instance.Zone {
		return 1
	}
	return movesZones
}

// bestHolder is the candidate that by the index keeps clearly more of the prompt than the chosen one, one of the same zone
// first; nil where none does.
func (r *Router) bestHolder(now core.Time, req *request, chosen *candidate) *candidate {
	var best *candidate
	for i := range r.field.sound {
		c := &r.field.sound[i]
		if c.kept < chosen.kept+fetchLeastTokens || best != nil && !movesSooner(c, best, chosen) {
			continue
		}
		if r.mayFetchFrom(now, req, chosen, c.broker) {
			best = c
		}
	}
	return best
}

// movesSooner reports whether a source is better than another: it has more, or as much in the zone of the broker that fetches,
// as moves between zones take twice as long.
func movesSooner(c, than, chosen *candidate) bool {
	if c.kept != than.kept {
		return c.kept > than.kept
	}
	zone := chosen.broker.instance.Zone
	return c.broker.instance.Zone == zone && than.broker.instance.Zone != zone
}

// keeper is the owner of the parts by the rendezvous order, among all brokers that can be fetched from; nil if that is the
// chosen one, or the index has them there. Where the chosen one has come lately, it is who owned them before.
func (r *Router) keeper(now core.Time, req *request, chosen *candidate) *broker {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok || chosen.kept >= prompt.SharedTokens(req.Parts)-sharedSlack {
		return nil
	}
	key := prompt.AffinityKey(part, req.model, req.wall)
	var best *broker
	bestWeight := uint64(0)
	if now >= chosen.broker.youngUntil {
		bestWeight = prompt.RendezvousWeight(key, chosen.broker.hash)
	}
	for _, b := range req.pool.brokers {
		if w := prompt.RendezvousWeight(key, b.hash); w > bestWeight && r.mayFetchFrom(now, req, chosen, b) {
			best, bestWeight = b, w
		}
	}
	return best
}

// mayFetchFrom reports whether a broker is well enough to be named as a source, and has the same weights.
func (r *Router) mayFetchFrom(now core.Time, req *request, chosen *candidate, b *broker) bool {
	switch {
	case b == chosen.broker, req.tried(b), !b.instance.Usable(), b.instance.Unresponsive, b.health.aside():
		return false
	case now < b.health.misdirectedUntil, r.hangs(now, req.pool, b):
		return false
	}
	return r.versions.VersionOf(b.instance, req.model) == chosen.version
}
