package placement

// A model broker's answer begins when it has read the prompts that were sent there before, and then
// the request's own. So the cost of a candidate is the expected time until the first token, ms, as
// far as candidates differ in it. Counts of requests tell little of it, as one prompt may be a
// hundred times another.
//
// To add a term: give costInputs what it looks at, fill that in in Placer.assess, write the term as a
// method of costInputs with a comment that says why it counts, and add it in costInputs.cost. The order and
// grouping of the sums there decide on the last digits, so keep those of the terms that exist.
const (
	repeatedPrefillFactor = 3.0  // what a token counts more that was read recently elsewhere
	ownerPrefillDiscount  = 0.5  // of the shared prefill is taken off at the owner
	minOwnerCredit        = 4.0  // ms that are taken off there at least
	fixedFetchCost        = 3.0  // ms for any fetch
	costPerRequest        = 0.3  // ms for each request
	maxRandomCost         = 1.0  // ms
	otherZoneCost         = 2.0  // ms
	noFreeSlotCost        = 200. // ms
	warmUpFactor          = 2.0  // times all
)

// costInputs is all that the cost terms of one candidate may look at. It holds copies, so a term can
// change neither the candidate nor its broker.
type costInputs struct {
	prefillPerToken float64 // ms to read a token there
	prefillTokens   int     // of the prompt, to be read there
	sharedTokens    int     // of these, such as others cache too
	repeatedTokens  int     // of the shared ones, such as some broker was sent recently
	fetchedTokens   int     // of the prompt, to be fetched
	fetchPerToken   float64 // ms to fetch a token
	prefillWait     float64 // ms until the broker has read what was sent there before
	load            float64 // estimated requests there
	slots           int     // 0: not known
	isOwner         bool    // by the rendezvous order it should cache the shared parts
	sameZone        bool    // as this proxy
	warmingUp       bool    // slow start
	randomFraction  float64 // from 0 to 1
}

// cost is the sum of the terms, ms.
func (v *costInputs) cost() float64 {
	cost := v.prefillTime() + v.repeatedPrefillCost()
	if v.isOwner {
		cost -= v.ownerCredit()
	}
	cost += v.queueWait()
	cost += v.loadAndZoneCost()
	return v.applySlowStart(cost)
}

// prefillTime is the time to read and fetch the prompt itself.
func (v *costInputs) prefillTime() float64 {
	prefill := v.prefillPerToken * float64(v.prefillTokens)
	if v.fetchedTokens > 0 {
		prefill += fixedFetchCost + v.fetchPerToken*float64(v.fetchedTokens)
	}
	return prefill
}

// repeatedPrefillCost is what reading tokens costs that were read recently elsewhere: it holds up others'
// requests, and repeated prefills are priced (RULES.md, "Prices").
func (v *costInputs) repeatedPrefillCost() float64 {
	return v.prefillPerToken * repeatedPrefillFactor * float64(v.repeatedTokens)
}

// ownerCredit is taken off at the broker that should cache the shared parts: what it reads now is
// of use to later requests. A part is taken off always, so that proxies agree where costs are
// nearly equal.
func (v *costInputs) ownerCredit() float64 {
	return minOwnerCredit + ownerPrefillDiscount*v.prefillPerToken*(float64(v.sharedTokens)+repeatedPrefillFactor*float64(v.repeatedTokens))
}

// queueWait is the time until the request's turn, as brokers read prompts one after the other.
func (v *costInputs) queueWait() float64 { return v.prefillWait }

// loadAndZoneCost are what counts besides the work of prefills.
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

// decodeCost is for the requests that run there: each makes every decode step longer.
func (v *costInputs) decodeCost() float64 { return costPerRequest * v.load }

// randomCost is chance, so that proxies don't all send to the same one of several brokers with equal
// costs.
func (v *costInputs) randomCost() float64 { return maxRandomCost * v.randomFraction }

// allSlotsTaken reports whether all slots are taken: then the request waits for one to be free, or is
// refused.
func (v *costInputs) allSlotsTaken() bool { return v.slots > 0 && v.load >= float64(v.slots) }

// applySlowStart multiplies the whole for a broker in slow start, which takes fewer requests until it is
// warm.
func (v *costInputs) applySlowStart(cost float64) float64 {
	if v.warmingUp {
		return warmUpFactor * cost
	}
	return cost
}
