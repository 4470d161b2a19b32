package placement

// A model broker reads (prefills) prompts one after the other, so its answer begins once it has
// read the prompts that were sent there earlier and then the prompt of the request itself. The cost
// of a candidate is therefore the expected time until the first token, in ms, leaving out what is
// the same for all candidates. The number of requests says little about that time, as one prompt
// may be a hundred times as long as another.
//
// To add a term: add its inputs to costInputs and set them in Placer.computeCosts, write the term
// as a method of costInputs whose comment says why it matters, and add it in costInputs.cost. The
// order and grouping of the floating-point sums there determine the last digits of the result, so
// keep them for the existing terms.
const (
	repeatedPrefillFactor = 3.0  // extra weight of a token that another broker has read recently
	ownerPrefillDiscount  = 0.5  // share of the cost of the shared prefill that is subtracted at the owner
	minOwnerCredit        = 4.0  // ms that are always subtracted at the owner
	fixedFetchCost        = 3.0  // ms for each fetch, whatever its size
	costPerRequest        = 0.3  // ms for each request that runs at the broker
	maxRandomCost         = 1.0  // ms; upper bound of the random part
	otherZoneCost         = 2.0  // ms
	noFreeSlotCost        = 200. // ms
	warmUpFactor          = 2.0  // applied to the whole cost of a broker in slow start
)

// costInputs holds the values from which the cost of one candidate is computed. They are copies, so
// that a cost term can change neither the candidate nor its broker.
type costInputs struct {
	prefillPerToken float64 // ms to read one token at this broker
	prefillTokens   int     // tokens of the prompt that the broker has to read
	sharedTokens    int     // those of the tokens to read that other requests may have as well
	repeatedTokens  int     // those of the shared tokens that some broker was sent recently
	fetchedTokens   int     // tokens of the prompt that the broker has to fetch
	fetchPerToken   float64 // ms to fetch one token
	prefillWait     float64 // ms until the broker has read the prompts that were sent there earlier
	load            float64 // estimated number of requests at the broker
	slots           int     // requests that the broker can run at once; 0: not known
	isOwner         bool    // first in the rendezvous order, so it should cache the shared parts
	sameZone        bool    // in the zone of this proxy
	warmingUp       bool    // in slow start
	randomFraction  float64 // from 0 to 1
}

// cost returns the sum of all terms, in ms.
func (v *costInputs) cost() float64 {
	cost := v.prefillTime() + v.repeatedPrefillCost()
	if v.isOwner {
		cost -= v.ownerCredit()
	}
	cost += v.queueWait()
	cost += v.loadAndZoneCost()
	return v.applySlowStart(cost)
}

// prefillTime returns the time to fetch and read the prompt itself, in ms.
func (v *costInputs) prefillTime() float64 {
	prefill := v.prefillPerToken * float64(v.prefillTokens)
	if v.fetchedTokens > 0 {
		prefill += fixedFetchCost + v.fetchPerToken*float64(v.fetchedTokens)
	}
	return prefill
}

// repeatedPrefillCost returns the extra cost of reading tokens that another broker has read
// recently. Such work delays the requests of others, and repeated prefills are priced (RULES.md,
// "Prices").
func (v *costInputs) repeatedPrefillCost() float64 {
	return v.prefillPerToken * repeatedPrefillFactor * float64(v.repeatedTokens)
}

// ownerCredit returns what is subtracted at the owner, because the tokens it reads now will be of
// use to later requests. minOwnerCredit is subtracted in any case, so that all proxies choose the
// same broker where costs are nearly equal.
func (v *costInputs) ownerCredit() float64 {
	return minOwnerCredit + ownerPrefillDiscount*v.prefillPerToken*(float64(v.sharedTokens)+repeatedPrefillFactor*float64(v.repeatedTokens))
}

// queueWait returns the time until the broker begins to read this prompt, as it reads prompts one
// after the other.
func (v *costInputs) queueWait() float64 { return v.prefillWait }

// loadAndZoneCost returns the sum of the terms that don't depend on prefills: running requests, a
// random part, the zone, and whether a slot is free.
func (v *costInputs) loadAndZoneCost() float64 {
	cost := v.decodeCost() + v.randomCost()
	if !v.sameZone {
		cost += otherZoneCost
	}
	if v.allSlotsTaken() {
		cost += noFreeSlotCost
	}
	return cost
}

// decodeCost returns the cost of the requests that run at the broker: each of them makes every
// decode step longer.
func (v *costInputs) decodeCost() float64 { return costPerRequest * v.load }

// randomCost returns a random part, so that different proxies don't all choose the same one of
// several brokers with equal costs.
func (v *costInputs) randomCost() float64 { return maxRandomCost * v.randomFraction }

// allSlotsTaken reports whether the broker has no free slot. Then the request would wait for one or
// be refused.
func (v *costInputs) allSlotsTaken() bool { return v.slots > 0 && v.load >= float64(v.slots) }

// applySlowStart multiplies the cost of a broker in slow start, so that it gets fewer requests
// until it has warmed up.
func (v *costInputs) applySlowStart(cost float64) float64 {
	if v.warmingUp {
		return warmUpFactor * cost
	}
	return cost
}
