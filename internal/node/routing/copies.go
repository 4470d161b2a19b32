package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	copyBlind    = 1.0  // of the route's target latency, where too few answers tell its percentile
	copyLeast    = 20.0 // ms
	copyGain     = 0.67 // what is usual must be at most so much of what was waited, or a copy hardly comes first
	copyLeftover = 0.1  // share of the time left that a copy must have to be of use
)

// copyAt is when an attempt whose answer has not begun may have a copy: past pX of its class's latencies.
func (r *Router) copyAt(now core.Time, req *request) core.Time {
	if !r.switches.On(mechanism.Hedging) || !req.idempotent || req.copied || req.runs() >= req.Route.MaxAttempts {
		return core.Never
	}
	at := units.Milliseconds(now)
	limit, n := req.class.latencies.Quantile(at, req.pool.submits.CopyShare(at))
	usual, _ := req.class.latencies.Quantile(at, 0.5)
	limit = max(limit, usual/copyGain) * req.work
	if n < predict.Few {
		limit = copyBlind * req.Route.TargetLatencyMs
	}
	due := now + units.FromMilliseconds(max(limit, copyLeast))
	if due >= req.Deadline-core.Time(copyLeftover*float64(req.Deadline-now)) {
		return core.Never
	}
	return due
}

// Copy decides on the design's copy: one, to the next broker that looks fast, within maxAttempts and the retry budget.
func (r *Router) Copy(now core.Time, id RequestID) Decision {
	req := r.requests[id]
	if req == nil || !r.switches.On(mechanism.Hedging) {
		return Decision{}
	}
	waiting := req.onlyWaiting()
	if waiting == nil || req.copied || !req.idempotent || req.runs() >= req.Route.MaxAttempts {
		return Decision{}
	}
	p := req.pool
	p.refresh(now)
	r.teachOverdue(now, p, waiting)
	// Where slowness is everywhere, a copy takes from another request what it gives to its own.
	inTrouble := waiting.broker.health.aside() || r.hangs(now, p, waiting.broker)
	if p.crowded() && !inTrouble {
		return Decision{}
	}
	f := r.gather(now, req)
	if len(f.sound) == 0 {
		return Decision{}
	}
	chosen, byPrediction := r.pick(now, req, f)
	if chosen.slow || chosen.trial {
		return Decision{}
	}
	share := retrybudget.HedgeShare
	if inTrouble {
		share = retryShare(req.Urgency)
	}
	if !r.limits.Affords(now, &p.budget, share) {
		return Decision{}
	}
	req.copied = true
	r.counters.Copies++
	return r.send(now, req, chosen, byPrediction)
}
