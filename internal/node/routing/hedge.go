package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	defaultHedgeDelayFactor = 1.0  // of the route's target latency, where too few answers tell its percentile
	minHedgeDelay           = 20.0 // ms
	maxMedianShareOfDelay   = 0.67 // of the delay that a usual answer may take, or a hedged request hardly comes first
	minHedgeTimeShare       = 0.1  // share of the time left that a hedged request must have to be of use
)

// hedgeAt is when an attempt whose answer has not begun may be hedged: past pX of its class's
// latencies.
func (r *Router) hedgeAt(now core.Time, req *request) core.Time {
	if !r.switches.On(mechanism.Hedging) || !req.Idempotent || req.Hedged || req.Runs() >= req.Route.MaxAttempts {
		return core.Never
	}
	delay, answers := req.Class.Quantile(now, req.Pool.HedgeQuantile(now))
	usual, _ := req.Class.Quantile(now, 0.5)
	delay = max(delay, usual/maxMedianShareOfDelay) * req.Work
	if answers < predict.MinSamples {
		delay = defaultHedgeDelayFactor * req.Route.TargetLatencyMs
	}
	at := now + units.FromMilliseconds(max(delay, minHedgeDelay))
	if at >= req.Deadline-core.Time(minHedgeTimeShare*float64(req.Deadline-now)) {
		return core.Never
	}
	return at
}

// Hedge decides on the design's hedged request: one, to the next broker that looks fast, within
// maxAttempts and the retry budget.
func (r *Router) Hedge(now core.Time, id RequestID) Decision {
	req := r.requests[id]
	if req == nil || !r.switches.On(mechanism.Hedging) {
		return Decision{}
	}
	awaiting := req.OnlyAwaiting()
	if awaiting == nil || req.Hedged || !req.Idempotent || req.Runs() >= req.Route.MaxAttempts {
		return Decision{}
	}
	pool := req.Pool
	pool.Refresh(now)
	if r.ejector.Measurable(awaiting) {
		pool.TeachOverdue(now, awaiting)
	}
	// Where slowness is everywhere, a hedged request takes from another what it gives to its own.
	faulty := awaiting.Broker.Health.Ejected() || r.ejector.TimedOut(now, pool, awaiting.Broker)
	if pool.Crowded() && !faulty {
		return Decision{}
	}
	found := r.finder.Find(now, &req.Request)
	if len(found.Eligible) == 0 {
		return Decision{}
	}
	choice := r.choose(now, req, found)
	if choice.Candidate.Slow() || choice.Candidate.Probe {
		return Decision{}
	}
	share := retrybudget.HedgeShare
	if faulty {
		share = admission.RetryBudgetShare(req.Urgency)
	}
	if !r.retryLimits.Affords(now, &req.service.budget, share) {
		return Decision{}
	}
	req.Hedged = true
	r.counters.Hedges++
	return r.send(now, req, found, choice)
}
