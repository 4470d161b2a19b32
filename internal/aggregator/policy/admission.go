package policy

import "math"

// Limits of admission. Shares are of the latency target, first for the least valued search, then
// for the most valued; the limit of each other lies between, by its value.
const (
	admitMinShare      = 0.52 // latency that a search may be expected to have, least valued
	admitMaxShare      = 0.88 // and most valued
	tailMinShare       = 0.65 // latency that its slowest shard may be expected to have, least valued
	tailMaxShare       = 1.0  // and most valued
	tailPower          = 3.0  // past the tail's limit, the probability of admission falls by this power
	tailSpan           = 3000.
	overloadTightening = 0.8   // of the limit in an overload: a full server does no more for a longer queue, only later
	pendingShare       = 0.85  // of the limit on pending work: beyond, only the most valued are admitted
	quotaSpan          = 4000. // a customer's quota share is watched over so many ms
	quotaTolerance     = 1.25  // times the quota share: aggregators see unequal parts of a customer's traffic

	weightTolerance = 1e-4 // shares of a search's weight are sums of rounded numbers
	minValue        = 1e-9 // keeps a division sound where no query type has a value
)

// admit sheds a search on arrival: later, work is lost with it. What it will take is estimated from
// what servers took recently for each of their batches; a queue that nobody reports shows there,
// whatever caused it.
func (p *Policy) admit(placement *placement) stageResult {
	search, qt := placement.search, placement.search.queryType
	if search.admitted {
		return proceed
	}
	p.estimateTarget(search)
	if qt == nil || search.expectedRequests <= 0 || p.now >= search.deadline-answerMargin ||
		p.reachableWeight(search) < qt.minimumShare-weightTolerance {
		p.giveUp(search, p.earlyRefusalReason(search))
		return finished
	}
	target := min(qt.latencyTarget, search.deadline-p.now)
	worst := p.estimateRequests(search, target)
	enough := p.skipSlowRequests(search, target, worst) >= qt.minimumShare-weightTolerance
	slow := p.rejectForTailLatency(search, target)
	full := p.rejectForCapacity(search)
	if !enough || slow || full || p.rejectForPendingWork(search) {
		why := p.refusalReason(search, enough, slow, full)
		p.log("shed: %v, expected %.0f ms against a target of %.0f, %d held", why, worst, target, p.limits.pending)
		p.giveUp(search, why)
		return finished
	}
	search.admitted = true
	return proceed
}

// estimateTarget sets when the search should be answered. The time that is missing to what its type
// usually has tells how long it waited, at a client that retries or at this aggregator while it
// stood still.
func (p *Policy) estimateTarget(search *searchState) {
	qt := search.queryType
	if qt == nil {
		return
	}
	qt.longestClientTime = max(qt.longestClientTime, search.deadline-p.now)
	search.targetAt = search.deadline - qt.longestClientTime + qt.latencyTarget
}

// reachableWeight is the weight of the shard requests whose shard some listed server holds.
func (p *Policy) reachableWeight(search *searchState) float64 {
	sum := 0.0
	for _, req := range search.requests {
		if req.answered || len(p.replicasOf(req.shard)) > 0 {
			sum += req.weight
		}
	}
	return sum
}

// estimateRequests sets the expected latency of each shard request, infinite where no server may
// take it, and returns the highest finite one.
func (p *Policy) estimateRequests(search *searchState, target float64) (worst float64) {
	for _, req := range search.requests {
		req.expectedLatency = p.estimateRequest(req, target)
		if !math.IsInf(req.expectedLatency, 1) {
			worst = max(worst, req.expectedLatency)
		}
	}
	return worst
}

// estimateRequest is the latency of the shard's quickest holder, scaled by the growth of its
// holders' queues: with more in flight than when the latest answers were asked for, a queue grows.
func (p *Policy) estimateRequest(req *shardRequest, target float64) float64 {
	best, batches, batchesThen, expected := math.Inf(1), 0.0, 0.0, math.Inf(1)
	holders := p.replicasOf(req.shard)
	for _, id := range holders {
		server := p.servers[id]
		if p.unavailableWithin(server, target) || !p.hasCapacity(server, holders, req) {
			continue
		}
		expected = 0
		if !server.ejected {
			best = min(best, p.expectedLatency(server))
			batches = batches + 2 + float64(server.batches-server.clientBoundBatches)
			batchesThen = batchesThen + 2 + server.meanBatches
		}
	}
	if batchesThen > 0 {
		expected = best * batches / batchesThen
	}
	return expected
}

// outOfReach: one that fails some shard requests still answers others, and one that has just become
// unresponsive may be back in time.
func (p *Policy) unavailableWithin(server *serverState, target float64) bool {
	return server.ejected && server.unresponsive && !p.trialDue(server) &&
		(server.connectFailed || server.trialBackoff > admitMinShare*target)
}

// skipSlowRequests leaves out what is not worth waiting for where a partial answer will do: a shard
// whose holders are all busy is left to the searches that need it. It returns the weight of the
// others.
func (p *Policy) skipSlowRequests(search *searchState, target, worst float64) (usable float64) {
	limit := admitMinShare + (admitMaxShare-admitMinShare)*p.value(search)/max(p.maxValue, minValue)
	limit *= target
	if p.predictor.overloaded() {
		limit *= overloadTightening
	}
	// One that waited may be too late for its target: it is worth less.
	if left := search.targetAt - p.now; worst > admitMaxShare*left {
		limit *= search.queryType.lateValue
	}
	for _, req := range search.requests {
		req.abandoned = req.expectedLatency > limit
		if !req.abandoned {
			usable += req.weight
		}
	}
	return usable
}

// tailTooSlow: a search waits for its slowest shard, and the more it has the slower that is; a
// fleet's overload shows there first. Past the limit the refusal is random, as aggregators that
// shed all at once admit all at once again. Where it is known what servers can take, that decides
// (overCapacity).
func (p *Policy) rejectForTailLatency(search *searchState, target float64) bool {
	median := math.Pow(0.5, 1/float64(search.expectedRequests)) // of the slowest of so many
	tail, n := p.predictor.recentLatencies.Quantile(p.now, median)
	limit := target * (tailMinShare + (tailMaxShare-tailMinShare)*p.value(search)/max(p.maxValue, minValue))
	return p.capacityFloor.value == 0 && n >= minSamples && tail > limit &&
		p.random.next() > math.Pow(limit/tail, tailPower)
}

// overCapacity: what servers can take is known by the harm done, and the least valued are refused
// first.
func (p *Policy) rejectForCapacity(search *searchState) bool {
	missing := p.capacityFloor.value - p.value(search)
	return missing > 0 ||
		missing == 0 && p.capacityFloor.value > 0 && p.random.next() < p.capacityFloor.excess
}

// overPending: close to the limit on pending work, only the most valued are admitted.
func (p *Policy) rejectForPendingWork(search *searchState) bool {
	top := p.value(search) >= p.maxValue
	return p.limits.maxPending > 0 && !top && float64(p.limits.pending) > pendingShare*float64(p.limits.maxPending)
}

// value is the search's worth per unit of work, as the goal counts it.
func (p *Policy) value(search *searchState) float64 {
	customer := getAt(p.customers, search.customer)
	if customer != nil && customer.quota > 0 &&
		customer.arrivals.Sum(p.now, quotaSpan)*float64(p.aggregators) > quotaTolerance*customer.quota*quotaSpan/1000 {
		return search.queryType.value * search.valueWeight * customer.overQuotaWeight
	}
	return search.queryType.value * search.valueWeight
}

// SearchValue implements Port; 0 for a search that is not known.
func (p *Policy) SearchValue(id int) float64 {
	if search := getAt(p.searches, id); search != nil && search.queryType != nil {
		return p.value(search)
	}
	return 0
}
