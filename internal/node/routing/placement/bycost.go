package placement

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// chooseByCost takes the candidate that is expected to begin its answer first, of those that aren't
// predicted slow; if all are, the first of all.
func (p *Placer) chooseByCost(now core.Time, req *inflight.Request, s *candidate.Set) Choice {
	owner := p.computeCosts(now, req, s.Eligible)
	chosen, slow := p.bestPredictedFast(now, req, s, lowestCost)
	choice := Choice{Candidate: chosen, Reason: ByLoad, Predicted: !slow && len(s.Eligible) > 1}
	switch {
	case slow:
		choice.Reason = AllSlow
	case s.AnyPredictedSlow():
		choice.Reason = ByPrediction
	case chosen.Cached > 0 || chosen.Broker == owner:
		choice.Reason = ByAffinity
	}
	return choice
}

// lowestCost is the candidate with the lowest cost, of those not known to look slow or of all; nil
// where there is none.
func lowestCost(found []candidate.Candidate, withSlow bool) *candidate.Candidate {
	var best *candidate.Candidate
	for i := range found {
		if c := &found[i]; (withSlow || !c.Slow()) && (best == nil || c.Cost < best.Cost) {
			best = c
		}
	}
	return best
}

// computeCosts fills in the candidates' plans and costs, and returns the broker that should cache the
// shared parts.
func (p *Placer) computeCosts(now core.Time, req *inflight.Request, found []candidate.Candidate) *brokerstate.Broker {
	lookup := p.cache.LookUp(now, req, found)
	var owner *brokerstate.Broker
	if p.switches.On(mechanism.Affinity) {
		owner = rendezvousOwner(req, found)
	}
	var v costInputs
	for i := range found {
		c := &found[i]
		v.setPlan(req, lookup, c)
		v.isOwner = c.Broker == owner
		v.prefillWait = req.Pool.PrefillWait(now, c.Broker)
		v.load = c.Load
		v.slots = c.Broker.Instance.Slots
		v.sameZone = c.Broker.Instance.Zone == p.zone
		v.warmingUp = now < c.Broker.Instance.WarmingUpUntil
		v.randomFraction = p.random.Float64()
		c.Cost = v.cost()
	}
	return owner
}

// setPlan fills in what a candidate has to fetch and read of the prompt, there and in the view for its
// cost.
func (v *costInputs) setPlan(req *inflight.Request, lookup *prefixcache.Lookup, c *candidate.Candidate) {
	missing := max(lookup.SharedTokens-max(c.Cached, c.Arriving), 0)
	v.fetchedTokens, v.fetchPerToken = lookup.Fetchable(c, missing)
	v.sharedTokens = missing - v.fetchedTokens
	v.repeatedTokens = max(v.sharedTokens-lookup.Version(c.Version).NewTokens, 0)
	v.prefillTokens = max(req.TokensIn-lookup.SharedTokens, 0) + v.sharedTokens
	v.prefillPerToken = req.Pool.PrefillPerToken(c.Broker)
	c.Plan = candidate.Plan{
		PrefillTokens: v.prefillTokens, SharedTokens: v.sharedTokens, RepeatedTokens: v.repeatedTokens, PrefillTime: v.prefillTime(),
	}
}

// rendezvousOwner is the candidate that should cache the prompt's parts, by the rendezvous order; nil where
// there is none.
func rendezvousOwner(req *inflight.Request, found []candidate.Candidate) *brokerstate.Broker {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok {
		return nil
	}
	key := prompt.AffinityKey(part, req.ServedModel, req.IsolatedTenant)
	var best *brokerstate.Broker
	highest := uint64(0)
	for i := range found {
		if weight := prompt.RendezvousWeight(key, found[i].Broker.NameHash); best == nil || weight > highest {
			best, highest = found[i].Broker, weight
		}
	}
	return best
}
