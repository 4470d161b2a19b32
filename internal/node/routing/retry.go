package routing

import "kestrelspread/internal/node/core"

// mostAttempts bounds the sends of one request, those included that brokers turned away.
const mostAttempts = 5

// another decides on a further attempt for a request of which nothing is out any more.
func (r *Router) another(now core.Time, req *request, outcome *Outcome) Decision {
	if !outcome.Verdict.MayRepeat(req.idempotent) || req.mayHaveRun() && !req.idempotent {
		return Decision{}
	}
	reason := r.obstacle(now, req)
	if reason == "" {
		f := r.gather(now, req)
		if len(f.sound) > 0 {
			chosen, byPrediction := r.pick(now, req, f)
			r.counters.Retries++
			return r.send(now, req, chosen, byPrediction)
		}
		reason = req.lacking(f)
	}
	return r.giveUp(now, req, reason)
}

// obstacle names what keeps the request from a further attempt, or is empty.
func (r *Router) obstacle(now core.Time, req *request) RefusalReason {
	switch {
	case req.Deadline-now < leastTime:
		return RefusedDeadline
	case req.runs() >= max(req.Route.MaxAttempts, 1), len(req.attempts) >= mostAttempts:
		return RefusedAttempts
	case req.turnedAway >= turnedAwayMost(req.Urgency):
		return RefusedFull
	case req.arrivals() > 0 && !r.limits.Affords(now, &req.pool.budget, retryShare(req.Urgency)):
		return RefusedBudget
	}
	return ""
}

// lacking tells why no sound broker is left.
func (q *request) lacking(f *field) RefusalReason {
	switch {
	case f.full > 0 || q.turnedAway > 0:
		return RefusedFull
	case q.unreachable > 0 || len(f.doubtful) > 0:
		return RefusedUnhealthy
	default:
		return RefusedNoBroker
	}
}

// giveUp refuses where the request can't have run; where it may have, the caller answers by what it has, as a refusal
// promises that it has not (verdict.MayPromise).
func (r *Router) giveUp(now core.Time, req *request, reason RefusalReason) Decision {
	if req.mayHaveRun() {
		return Decision{}
	}
	if req.turnedAway > 0 && reason == RefusedAttempts {
		reason = RefusedFull
	}
	return r.refuse(now, req, reason, core.Never)
}
