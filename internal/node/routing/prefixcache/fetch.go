package prefixcache

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prompt"
)

// Brokers fetch cached parts from other brokers and from the store (PROTOCOL.md, "KV cache"). A
// fetch is far cheaper than reading the parts again. A miss costs about a millisecond, but a dead
// source costs a few hundred milliseconds, so only sources that are believed to be healthy are
// named.
const (
	// MinFetchTokens is the number of tokens from which parts are fetched. Fewer tokens are read
	// faster than they are fetched.
	MinFetchTokens = 256

	blockTolerance      = 64    // tokens that may be missing from a complete entry, as brokers cache whole blocks
	outdatedIndexShare  = 0.1   // approximate share of the index's entries on brokers that were evicted meanwhile
	assumedTransferTime = 0.001 // ms per token, if the configuration doesn't tell
	bitsPerByte         = 8
	bitsPerMsMbps       = 1000 // bits in a ms at 1 Mbps
	otherZoneFactor     = 2.0  // on the transfer time between zones (PROTOCOL.md, "KV cache")
)

// FetchSource returns the address that the chosen broker should fetch the prompt's shared parts
// from, or "" if it should not fetch.
//
// A broker that caches more of them than the store is preferred to the store. One that caches as
// much is preferred if it was sent the parts recently, so that it surely has them, or if the
// store's link, which all brokers share, is much slower. Otherwise the store is preferred, because
// the index's entries on brokers are sometimes outdated, and after a fetch that finds nothing the
// parts have to be read again. The store is also named if the index lists the parts at the chosen
// broker itself, because brokers evict them within seconds and report that late. If no store is
// available and no candidate is known to cache them, the source is the broker that should cache them
// by the rendezvous order.
func (c *Cache) FetchSource(now core.Time, req *inflight.Request, eligible []candidate.Candidate, chosen *candidate.Candidate) string {
	if prompt.SharedTokens(req.Parts) < MinFetchTokens || chosen.Broker.Fetches.Slow(now) {
		return ""
	}
	var holder *candidate.Candidate
	if c.switches.On(mechanism.KVFetch) {
		holder = c.bestHolder(now, req, eligible, chosen)
	}
	store := c.chooseStore(now, req)
	switch {
	case store != nil && (holder == nil || chosen.StoredTokens > holder.CachedTokens):
		return store.KVStoreAddr
	case store != nil && chosen.StoredTokens == holder.CachedTokens && !recentlySent(holder) && c.storeFetchCompetitive(req, store, holder, chosen):
		return store.KVStoreAddr
	case holder != nil:
		return holder.Broker.Instance.Address
	}
	if !c.switches.On(mechanism.KVFetch) {
		return ""
	}
	if owner := c.fetchableOwner(now, req, chosen); owner != nil {
		return owner.Instance.Address
	}
	return ""
}

// recentlySent reports whether the broker was sent recently all that it is believed to cache, so
// that it surely has it.
func recentlySent(holder *candidate.Candidate) bool {
	return holder.ExpectedTokens >= holder.CachedTokens
}

// storeFetchCompetitive reports whether fetching parts from the store takes so little longer than
// from a broker that the store is preferable, because it surely has them.
func (c *Cache) storeFetchCompetitive(req *inflight.Request, store *config.Service, holder, chosen *candidate.Candidate) bool {
	engine := c.engine(req)
	if store.LinkMbps <= 0 || engine.LinkMbps <= 0 {
		return false
	}
	fromStore := transferTimePerToken(engine, store.LinkMbps, transferFactor(store.Zone, chosen))
	fromBroker := transferTimePerToken(engine, engine.LinkMbps, transferFactor(holder.Broker.Instance.Zone, chosen))
	return fromStore-fromBroker <= outdatedIndexShare*req.Pool.PrefillTimePerToken(chosen.Broker)
}

// transferFactor returns how many times as long a fetch from a zone to the chosen broker takes as a
// fetch within a zone.
func transferFactor(zone string, chosen *candidate.Candidate) float64 {
	if zone == chosen.Broker.Instance.Zone {
		return 1
	}
	return otherZoneFactor
}

// transferTimePerToken returns how long it takes to transfer one token over a link, in ms.
// zoneFactor is the result of transferFactor.
func transferTimePerToken(engine *config.Engine, mbps, zoneFactor float64) float64 {
	if mbps <= 0 || engine.KVTokenBytes <= 0 {
		return assumedTransferTime * zoneFactor
	}
	return zoneFactor * engine.KVTokenBytes * bitsPerByte / (mbps * bitsPerMsMbps)
}

// Fetchable returns how many of a prompt's missing tokens the candidate can fetch, and the time for
// each of them in ms. It is an estimate for placement, which takes any source broker to be in
// another zone; Cache.FetchSource names the source once the broker is chosen.
func (l *Lookup) Fetchable(chosen *candidate.Candidate, missing int) (tokens int, perToken float64) {
	if missing < MinFetchTokens {
		return 0, 0
	}
	cached := l.SharedTokens - missing
	known := l.Version(chosen.Version)
	if known.MaxCached > cached && known.MaxCached >= chosen.StoredTokens {
		return known.MaxCached - cached, transferTimePerToken(l.engine, l.engine.LinkMbps, otherZoneFactor)
	}
	if l.Store == nil || chosen.StoredTokens <= cached {
		return 0, 0
	}
	return min(chosen.StoredTokens-cached, missing), transferTimePerToken(l.engine, l.Store.LinkMbps, transferFactor(l.Store.Zone, chosen))
}

// bestHolder returns the candidate that caches at least MinFetchTokens more of the prompt than the
// chosen one and is the best source, or nil if there is none.
func (c *Cache) bestHolder(now core.Time, req *inflight.Request, eligible []candidate.Candidate, chosen *candidate.Candidate) *candidate.Candidate {
	var best *candidate.Candidate
	for i := range eligible {
		holder := &eligible[i]
		if holder.CachedTokens < chosen.CachedTokens+MinFetchTokens || best != nil && !preferredSource(holder, best, chosen) {
			continue
		}
		if c.mayFetchFrom(now, req, chosen, holder.Broker) {
			best = holder
		}
	}
	return best
}

// preferredSource reports whether source is better than other: it caches more tokens, or as many in
// the zone of the broker that fetches, as fetches between zones take twice as long.
func preferredSource(source, other, chosen *candidate.Candidate) bool {
	if source.CachedTokens != other.CachedTokens {
		return source.CachedTokens > other.CachedTokens
	}
	zone := chosen.Broker.Instance.Zone
	return source.Broker.Instance.Zone == zone && other.Broker.Instance.Zone != zone
}

// fetchableOwner returns the owner of the parts by the rendezvous order, among all brokers that can
// be fetched from. It returns nil if the owner is the chosen broker, or if the chosen broker is
// already known to cache the parts. If the chosen broker joined recently, the result is the owner
// before it joined.
func (c *Cache) fetchableOwner(now core.Time, req *inflight.Request, chosen *candidate.Candidate) *brokerstate.Broker {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok || chosen.CachedTokens >= prompt.SharedTokens(req.Parts)-blockTolerance {
		return nil
	}
	key := prompt.AffinityKey(part, req.ServedModel, req.IsolatedTenant)
	var best *brokerstate.Broker
	highest := uint64(0)
	if !chosen.Broker.JoinedRecently(now) {
		highest = prompt.RendezvousWeight(key, chosen.Broker.NameHash)
	}
	for _, b := range req.Pool.Brokers {
		if weight := prompt.RendezvousWeight(key, b.NameHash); weight > highest && c.mayFetchFrom(now, req, chosen, b) {
			best, highest = b, weight
		}
	}
	return best
}

// mayFetchFrom reports whether a broker is healthy enough to be named as a source and has the same
// weights as the chosen broker.
func (c *Cache) mayFetchFrom(now core.Time, req *inflight.Request, chosen *candidate.Candidate, b *brokerstate.Broker) bool {
	switch {
	case b == chosen.Broker, req.Tried(b), !b.Instance.Usable(), b.Instance.Unresponsive, b.Health.Ejected():
		return false
	case b.Health.Misdirected(now), c.ejector.TimedOut(now, req.Pool, b):
		return false
	}
	return c.versions.VersionOf(b.Instance, req.ServedModel) == chosen.Version
}
