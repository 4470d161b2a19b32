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

// chooseByCost returns the candidate with the lowest cost among those that aren't predicted to be
// slow; if all are, the one with the lowest cost of all.
func (p *Placer) chooseByCost(now core.Time, req *inflight.Request, s *candidate.Set) Choice {
	owner := p.computeCosts(now, req, s.Eligible)
	chosen, allSlow := p.bestPredictedFast(now, req, s, lowestCost)
	choice := Choice{Candidate: chosen, Reason: ByLoad, PredictionUsed: !allSlow && len(s.Eligible) > 1}
	switch {
	case allSlow:
		choice.Reason = AllSlow
	case s.AnyPredictedSlow():
		choice.Reason = ByPrediction
	case chosen.CachedTokens > 0 || chosen.Broker == owner:
		choice.Reason = ByAffinity
	}
	return choice
}

// lowestCost returns the candidate with the lowest cost, or nil if there is none. It skips
// candidates that were predicted to be slow unless includeSlow is set.
func lowestCost(candidates []candidate.Candidate, includeSlow bool) *candidate.Candidate {
	var best *candidate.Candidate
	for i := range candidates {
		if c := &candidates[i]; (includeSlow || !c.PredictedSlow()) && (best == nil || c.Cost < best.Cost) {
			best = c
		}
	}
	return best
}

// computeCosts fills in the plan and the cost of each candidate. It returns the owner: the broker
// that should cache the shared parts of the prompt, or nil if there is none.
func (p *Placer) computeCosts(now core.Time, req *inflight.Request, candidates []candidate.Candidate) *brokerstate.Broker {
	lookup := p.cache.LookUp(now, req, candidates)
	var owner *brokerstate.Broker
	if p.switches.On(mechanism.Affinity) {
		owner = rendezvousOwner(req, candidates)
	}
	var v costInputs
	for i := range candidates {
		c := &candidates[i]
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

// setPlan computes how much of the prompt the candidate has to fetch and to prefill. It stores the
// result in the cost inputs and in the candidate's Plan.
func (v *costInputs) setPlan(req *inflight.Request, lookup *prefixcache.Lookup, c *candidate.Candidate) {
	missing := max(lookup.SharedTokens-max(c.CachedTokens, c.ExpectedTokens), 0)
	v.fetchedTokens, v.fetchPerToken = lookup.Fetchable(c, missing)
	v.sharedTokens = missing - v.fetchedTokens
	v.repeatedTokens = max(v.sharedTokens-lookup.Version(c.Version).NewTokens, 0)
	v.prefillTokens = max(req.TokensIn-lookup.SharedTokens, 0) + v.sharedTokens
	v.prefillPerToken = req.Pool.PrefillTimePerToken(c.Broker)
	c.Plan = candidate.Plan{
		PrefillTokens: v.prefillTokens, SharedTokens: v.sharedTokens, RepeatedTokens: v.repeatedTokens, PrefillTime: v.prefillTime(),
	}
}

// rendezvousOwner returns the candidate that should cache the shared parts of the prompt: the first
// in the rendezvous order of the prompt's affinity key. It returns nil if the prompt has no parts.
func rendezvousOwner(req *inflight.Request, candidates []candidate.Candidate) *brokerstate.Broker {
	part, ok := prompt.StickyPart(req.Parts)
	if !ok {
		return nil
	}
	key := prompt.AffinityKey(part, req.ServedModel, req.IsolatedTenant)
	var best *brokerstate.Broker
	highest := uint64(0)
	for i := range candidates {
		if weight := prompt.RendezvousWeight(key, candidates[i].Broker.NameHash); best == nil || weight > highest {
			best, highest = candidates[i].Broker, weight
		}
	}
	return best
}
