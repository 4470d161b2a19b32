package policy

// The settings, as Port takes them before the first round. Nothing is decided here.

// QueryType implements Port; it adds the next type.
func (p *Policy) QueryType(latencyTarget, value, lateValue float64, effect Effect, tokenWindow float64) {
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

// Shares implements Port; it sets which share of its weight a search of the type needs, and what
// less is worth.
func (p *Policy) Shares(kind int, need, floor, partialValue float64, followUp int) {
	qt := p.queryTypes[kind]
	qt.completeShare, qt.minimumShare, qt.partialValue, qt.followUpRequests = need, min(floor, need), partialValue, followUp
}

// Customer implements Port; it adds the next customer, by its quota a second.
func (p *Policy) Customer(quota, overQuotaWeight float64) {
	p.customers = append(p.customers, &customer{
		quota: quota, overQuotaWeight: overQuotaWeight, weight: 1, arrivals: newCounts(quotaSpan)})
}

// Fleet implements Port; it sets how shards are placed on servers and what a batch costs. Whether servers keep warm keys is
// not used: nothing is decided by a key.
func (p *Policy) Fleet(positions, replicas, maxBatch int, batchWork float64, _ bool) {
	p.fleet = fleetShape{max(positions, 1), max(replicas, 1), max(maxBatch, 1), batchWork}
}

// Limits implements Port; it sets how many attempts a shard request may have and how much may be
// pending.
func (p *Policy) Limits(maxAttempts, maxPending int, mayCancel, mayHedge bool) {
	p.limits = limits{maxAttempts: maxAttempts, maxPending: maxPending, mayCancel: mayCancel, mayHedge: mayHedge}
}

// MaxRetryAfter implements Port; it sets the longest time, in ms, after which a client is asked to
// come back.
func (p *Policy) MaxRetryAfter(longest float64) { p.maxRetryAfter = longest }

// WarmUp implements Port; it sets what a server can take that has just started.
func (p *Policy) WarmUp(initialShare, duration, multiple, window float64) {
	p.warmUp = warmUpLimit{
		initialShare: initialShare, duration: duration, multiple: multiple, window: max(window, 1),
		warmWork: newCounts(rateSpan)}
}

// Budget implements Port; it sets how many retries there may be for the requests in a window.
func (p *Policy) Budget(allowance, ratio, window float64) {
	window = max(window, 1)
	p.budget = retryBudget{allowance, ratio, window, newCounts(window), newCounts(window)}
}

// Reports implements Port; it sets which load reports come, and their fields.
func (p *Policy) Reports(onAnswers bool, fields []Field) {
	p.reports.onAnswers, p.reports.fields = onAnswers, fields
}

// Probes implements Port; health checks of servers are allowed from now on.
func (p *Policy) Probes() { p.reports.mayProbe = true }

// Discovery implements Port; where ask is set, the list has to be subscribed to.
func (p *Policy) Discovery(ask bool) { p.discovery = discovery{enabled: ask, due: ask} }

// Priority implements Port. It stands for the operator's own order of refusals: types count with
// it, not with their values.
func (p *Policy) Priority(kind int, priority float64) {
	p.queryTypes[kind].value, p.maxValue = priority, 0
	for _, qt := range p.queryTypes {
		p.maxValue = max(p.maxValue, qt.value)
	}
}

// CustomerWeight implements Port; it sets the share of a type's value with which a customer's
// searches count.
func (p *Policy) CustomerWeight(customer int, weight float64) { p.customers[customer].weight = weight }

// RetryWeight implements Port; it sets the share with which a search counts whose client retries.
func (p *Policy) RetryWeight(weight float64) { p.retryWeight = weight }

// CapacityFloor implements Port; it holds from the next search on.
func (p *Policy) CapacityFloor(value, excess float64) { p.capacityFloor = capacityFloor{value, excess} }
