package policy

import "math"

// Limits of admission, as shares of the latency target. The limit of a search lies between that for
// the least valuable search (min) and that for the most valuable one (max), in proportion to its
// value.
const (
	admitMinShare      = 0.52  // expected latency of a shard request: limit for the least valuable search
	admitMaxShare      = 0.88  // and for the most valuable
	tailMinShare       = 0.65  // recent latency of the slowest of its shard requests: limit for the least valuable search
	tailMaxShare       = 1.0   // and for the most valuable
	tailPower          = 3.0   // beyond the tail limit, the probability of admission is limit/latency to this power
	tailSpan           = 3000. // ms over which recent latencies are measured
	overloadTightening = 0.8   // factor on limits in an overload: a longer queue at a full server adds no throughput, only delay
	pendingShare       = 0.85  // of the limit on pending work; beyond it only the most valuable searches are admitted
	quotaSpan          = 4000. // ms over which a customer's rate is compared with its quota
	quotaTolerance     = 1.25  // factor on the quota, as a customer's traffic is spread unevenly over aggregators

	weightTolerance = 1e-4 // shares of a search's weight are sums of rounded numbers
	minValue        = 1e-9 // avoids a division by 0 where no query type has a value
)

// admit decides on arrival whether a search is admitted or shed; shedding it later would waste the
// work done until then. Its latency is estimated from the recent latency of batches at each server,
// which includes queues that no load report mentions, whatever their cause.
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
	enoughWeight := p.skipSlowRequests(search, target, worst) >= qt.minimumShare-weightTolerance
	slowTail := p.rejectForTailLatency(search, target)
	overCapacity := p.rejectForCapacity(search)
	if !enoughWeight || slowTail || overCapacity || p.rejectForPendingWork(search) {
		reason := p.refusalReason(search, enoughWeight, slowTail, overCapacity)
		p.log("shed: %v, expected %.0f ms against a target of %.0f, %d held", reason, worst, target, p.limits.pending)
		p.giveUp(search, reason)
		return finished
	}
	search.admitted = true
	return proceed
}

// estimateTarget sets when the search should be answered. If less time is left until its deadline
// than searches of its type had at most, the search spent the difference waiting, at a client that
// retries or at this aggregator during a stall, and that is subtracted from its latency target.
func (p *Policy) estimateTarget(search *searchState) {
	qt := search.queryType
	if qt == nil {
		return
	}
	qt.longestClientTime = max(qt.longestClientTime, search.deadline-p.now)
	search.targetAt = search.deadline - qt.longestClientTime + qt.latencyTarget
}

// reachableWeight returns the weight of the shard requests that are answered or whose shard has a
// ready replica in the server list.
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

// estimateRequest returns the expected latency of a shard request: that of the shard's fastest
// replica, scaled by the growth of the replicas' queues, which is the ratio of the batches in
// flight now to those when the latest answers were requested.
func (p *Policy) estimateRequest(req *shardRequest, target float64) float64 {
	best, batches, pastBatches, expected := math.Inf(1), 0.0, 0.0, math.Inf(1)
	replicas := p.replicasOf(req.shard)
	for _, id := range replicas {
		server := p.servers[id]
		if p.unavailableWithin(server, target) || !p.hasCapacity(server, replicas, req) {
			continue
		}
		expected = 0
		if !server.ejected {
			best = min(best, p.expectedLatency(server))
			batches = batches + 2 + float64(server.batches-server.clientBoundBatches)
			pastBatches = pastBatches + 2 + server.meanBatches
		}
	}
	if pastBatches > 0 {
		expected = best * batches / pastBatches
	}
	return expected
}

// unavailableWithin reports whether a server cannot be expected to answer within the target. An
// ejected server that fails only some attempts still answers others, and one that has just become
// unresponsive may recover in time.
func (p *Policy) unavailableWithin(server *serverState, target float64) bool {
	return server.ejected && server.unresponsive && !p.trialDue(server) &&
		(server.connectFailed || server.trialBackoff > admitMinShare*target)
}

// skipSlowRequests abandons the shard requests that are expected to be too slow, which leaves the
// busy replicas of their shards to the searches that cannot do without them. It returns the weight
// of the other shard requests; if that suffices, the search gets a partial answer.
func (p *Policy) skipSlowRequests(search *searchState, target, worst float64) (usable float64) {
	limit := admitMinShare + (admitMaxShare-admitMinShare)*p.value(search)/max(p.maxValue, minValue)
	limit *= target
	if p.predictor.overloaded() {
		limit *= overloadTightening
	}
	// A search that has waited may miss its latency target; it then counts with its value when
	// late.
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

// rejectForTailLatency reports whether the search is refused because the slowest of its shard
// requests is expected to be too late. A search waits for all its shard requests, so the more there
// are the slower it is, and an overload of the fleet shows in the tail first. Beyond the limit
// refusal is random, as aggregators that shed everything at once also admit everything at once
// again. Where the value that servers have capacity for is known, rejectForCapacity decides
// instead.
func (p *Policy) rejectForTailLatency(search *searchState, target float64) bool {
	// The median of the maximum of n latencies is their quantile at the n-th root of 0.5.
	median := math.Pow(0.5, 1/float64(search.expectedRequests))
	tail, samples := p.predictor.recentLatencies.Quantile(p.now, median)
	limit := target * (tailMinShare + (tailMaxShare-tailMinShare)*p.value(search)/max(p.maxValue, minValue))
	return p.capacityFloor.value == 0 && samples >= minSamples && tail > limit &&
		p.random.next() > math.Pow(limit/tail, tailPower)
}

// rejectForCapacity reports whether the search is worth less than servers have capacity for, so
// that the least valuable searches are refused first. The capacity is inferred from the overload
// that was observed.
func (p *Policy) rejectForCapacity(search *searchState) bool {
	missing := p.capacityFloor.value - p.value(search)
	return missing > 0 ||
		missing == 0 && p.capacityFloor.value > 0 && p.random.next() < p.capacityFloor.excess
}

// rejectForPendingWork reports whether the search is refused because pending work is close to its
// limit, where only the most valuable searches are admitted.
func (p *Policy) rejectForPendingWork(search *searchState) bool {
	top := p.value(search) >= p.maxValue
	return p.limits.maxPending > 0 && !top && float64(p.limits.pending) > pendingShare*float64(p.limits.maxPending)
}

// value returns the search's value per unit of work, reduced if the client retries or its customer
// exceeds the quota.
func (p *Policy) value(search *searchState) float64 {
	customer := getAt(p.customers, search.customer)
	if customer != nil && customer.quota > 0 &&
		customer.arrivals.Sum(p.now, quotaSpan)*float64(p.aggregators) > quotaTolerance*customer.quota*quotaSpan/1000 {
		return search.queryType.value * search.valueWeight * customer.overQuotaWeight
	}
	return search.queryType.value * search.valueWeight
}

// SearchValue returns the value of a search; 0 if it is unknown.
func (p *Policy) SearchValue(id int) float64 {
	if search := getAt(p.searches, id); search != nil && search.queryType != nil {
		return p.value(search)
	}
	return 0
}
