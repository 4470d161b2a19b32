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
	defaultHedgeDelayFactor = 1.0  // multiple of the route's target latency, used while there are too few answers for a percentile
	minHedgeDelay           = 20.0 // ms, lower bound of the delay
	maxMedianShareOfDelay   = 0.67 // share of the delay that a median answer may take; above it, a hedged request rarely answers first
	minHedgeTimeShare       = 0.1  // share of the time to the deadline that must be left for a hedged request to be useful
)

// hedgeAt returns when the attempt that is sent now may be hedged unless its answer has begun; core.Never:
// it is not hedged. The delay is a high percentile (pX) of the latencies of the request's class.
func (r *Router) hedgeAt(now core.Time, req *request) core.Time {
	if !r.switches.On(mechanism.Hedging) || !req.Idempotent || req.Hedged || req.PossibleRuns() >= req.Route.MaxAttempts {
		return core.Never
	}
	delay, answers := req.Class.Quantile(now, req.Pool.HedgeQuantile(now))
	median, _ := req.Class.Quantile(now, 0.5)
	delay = max(delay, median/maxMedianShareOfDelay) * req.RelativeWork
	if answers < predict.MinSamples {
		delay = defaultHedgeDelayFactor * req.Route.TargetLatencyMs
	}
	at := now + units.FromMilliseconds(max(delay, minHedgeDelay))
	if at >= req.Deadline-core.Time(minHedgeTimeShare*float64(req.Deadline-now)) {
		return core.Never
	}
	return at
}

// Hedge may return a hedged attempt for a request that still waits for its first answer: at most one,
// to a broker that is predicted fast, within the route's MaxAttempts and the retry budget.
func (r *Router) Hedge(now core.Time, id RequestID) Decision {
	req := r.requests[id]
	if req == nil || !r.switches.On(mechanism.Hedging) {
		return Decision{}
	}
	awaiting := req.SoleUnanswered()
	if awaiting == nil || req.Hedged || !req.Idempotent || req.PossibleRuns() >= req.Route.MaxAttempts {
		return Decision{}
	}
	pool := req.Pool
	pool.Refresh(now)
	if r.ejector.LatencyMeasurable(awaiting) {
		pool.TrainOverdue(now, awaiting)
	}
	// While the whole service is slow, a hedged request would gain time only at the expense of other
	// requests.
	faulty := awaiting.Broker.Health.Ejected() || r.ejector.TimedOut(now, pool, awaiting.Broker)
	if pool.FleetSlow() && !faulty {
		return Decision{}
	}
	r.updateIsolation(req)
	found := r.finder.Find(now, &req.Request)
	if len(found.Eligible) == 0 {
		return Decision{}
	}
	choice := r.choose(now, req, found)
	if choice.Candidate.PredictedSlow() || choice.Candidate.Probe {
		return Decision{}
	}
	share := retrybudget.HedgeShare
	if faulty {
		share = admission.RetryBudgetShare(req.Urgency)
	}
	if !r.retryLimits.Allows(now, &req.service.budget, share) {
		return Decision{}
	}
	req.Hedged = true
	r.counters.Hedges++
	return r.send(now, req, found, choice)
}
