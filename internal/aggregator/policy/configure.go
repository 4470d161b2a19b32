package policy

// This file stores the settings, which are passed before the first round; it makes no decisions.

// AddQueryType adds the next query type. Until its shares are set, only a complete answer counts.
func (p *Policy) AddQueryType(latencyTarget, value, lateValue float64, effect RepeatEffect, tokenWindow float64) {
	p.queryTypes = append(p.queryTypes, &queryType{
		latencyTarget: latencyTarget,
		value:         value,
		lateValue:     lateValue,
		tokenWindow:   tokenWindow,
		effect:        effectiveEffect(effect, tokenWindow),
		completeShare: 1,
		minimumShare:  1,
		latencies:     newHistogram(latencySpan),
	})
	p.maxValue = max(p.maxValue, value)
	if latencyTarget > 0 {
		p.shortestTarget = min(p.shortestTarget, latencyTarget)
	}
}

// SetAnswerShares sets which shares of a search's weight a complete answer and any answer of the query type
// need, what a partial answer is worth, and the number of follow-up shard requests.
func (p *Policy) SetAnswerShares(queryType int, completeShare, minimumShare, partialValue float64, followUpRequests int) {
	qt := p.queryTypes[queryType]
	qt.completeShare, qt.minimumShare, qt.partialValue, qt.followUpRequests =
		completeShare, min(minimumShare, completeShare), partialValue, followUpRequests
}

// AddCustomer adds the next customer with its quota in searches per second.
func (p *Policy) AddCustomer(quota, overQuotaWeight float64) {
	p.customers = append(p.customers, &customer{
		quota: quota, overQuotaWeight: overQuotaWeight, weight: 1, arrivals: newCounts(quotaSpan)})
}

// SetFleet sets how shards are placed on servers and what a batch costs. Whether servers keep keys
// warm is ignored, as no decision depends on a key.
func (p *Policy) SetFleet(positions, replicas, maxBatch int, batchWork float64, _ bool) {
	p.fleet = fleetShape{max(positions, 1), max(replicas, 1), max(maxBatch, 1), batchWork}
}

// SetLimits sets the limits on attempts and on pending work, and whether attempts may be cancelled and
// hedged.
func (p *Policy) SetLimits(maxAttempts, maxPending int, mayCancel, mayHedge bool) {
	p.limits = limits{maxAttempts: maxAttempts, maxPending: maxPending, mayCancel: mayCancel, mayHedge: mayHedge}
}

// SetMaxRetryAfter sets the longest retry-after time in milliseconds.
func (p *Policy) SetMaxRetryAfter(longest float64) { p.maxRetryAfter = longest }

// SetWarmUp limits the load on a server that has just started; durations are in milliseconds.
func (p *Policy) SetWarmUp(initialShare, duration, multiple, window float64) {
	p.warmUp = warmUpLimit{
		initialShare: initialShare, duration: duration, multiple: multiple, window: max(window, 1),
		warmWork: newCounts(rateSpan)}
}

// SetRetryBudget limits the retries and hedges in a window by the searches and shard requests in it.
func (p *Policy) SetRetryBudget(allowance, ratio, window float64) {
	window = max(window, 1)
	p.budget = retryBudget{allowance, ratio, window, newCounts(window), newCounts(window)}
}

// SetLoadReports sets whether answers carry load reports, and the fields of a load report.
func (p *Policy) SetLoadReports(onAnswers bool, fields []ReportField) {
	p.reports.onAnswers, p.reports.fields = onAnswers, fields
}

// AllowProbes allows health checks.
func (p *Policy) AllowProbes() { p.reports.mayProbe = true }

// SetDiscovery sets whether the server list must be subscribed to; if so, the first round does it.
func (p *Policy) SetDiscovery(subscribe bool) {
	p.discovery = discovery{enabled: subscribe, due: subscribe}
}

// SetPriority replaces the value of a query type by the operator's priority, so that refusals follow
// the operator's order.
func (p *Policy) SetPriority(queryType int, priority float64) {
	p.queryTypes[queryType].value, p.maxValue = priority, 0
	for _, qt := range p.queryTypes {
		p.maxValue = max(p.maxValue, qt.value)
	}
}

// SetCustomerWeight sets the factor on the value of a customer's searches.
func (p *Policy) SetCustomerWeight(customer int, weight float64) {
	p.customers[customer].weight = weight
}

// SetRetryWeight sets the factor on the value of a search that the client marked as a retry.
func (p *Policy) SetRetryWeight(weight float64) { p.retryWeight = weight }

// SetCapacityFloor sets the lowest value that servers have capacity for. It applies from the next
// search on.
func (p *Policy) SetCapacityFloor(value, excess float64) {
	p.capacityFloor = capacityFloor{value, excess}
}
