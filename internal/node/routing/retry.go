package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/candidate"
)

// maxSends bounds the attempts of one request, those included that brokers refused.
const maxSends = 5

// retry decides on a further attempt for a request of which nothing is out any more.
func (r *Router) retry(now core.Time, req *request, outcome *Outcome) Decision {
	if !outcome.Verdict.MayRepeat(req.Idempotent) || req.MayHaveRun() && !req.Idempotent {
		return Decision{}
	}
	reason := r.obstacle(now, req)
	if reason == "" {
		found := r.finder.Find(now, &req.Request)
		if len(found.Eligible) > 0 {
			choice := r.choose(now, req, found)
			r.counters.Retries++
			return r.send(now, req, found, choice)
		}
		reason = reasonWithoutEligible(req, found)
	}
	return r.giveUp(now, req, reason)
}

// obstacle names what keeps the request from a further attempt, or is empty.
func (r *Router) obstacle(now core.Time, req *request) RefusalReason {
	switch {
	case req.Deadline-now < admission.MinTimeLeft:
		return admission.Deadline
	case req.Runs() >= max(req.Route.MaxAttempts, 1), len(req.Calls) >= maxSends:
		return admission.Attempts
	case req.Refused >= admission.MaxRefusals(req.Urgency):
		return admission.Full
	case req.Arrivals() > 0 && !r.limits.Affords(now, &req.service.budget, admission.RetryShare(req.Urgency)):
		return admission.Budget
	}
	return ""
}

// reasonWithoutEligible tells why no eligible broker is left.
func reasonWithoutEligible(req *request, found *candidate.Set) RefusalReason {
	switch {
	case found.BackingOff > 0 || req.Refused > 0:
		return admission.Full
	case req.Unreachable > 0 || len(found.Ejected) > 0:
		return admission.Unhealthy
	default:
		return admission.NoBroker
	}
}

// giveUp refuses where the request can't have run; where it may have, the caller answers by what it
// has, as a refusal promises that it has not (verdict.MayPromise).
func (r *Router) giveUp(now core.Time, req *request, reason RefusalReason) Decision {
	if req.MayHaveRun() {
		return Decision{}
	}
	if req.Refused > 0 && reason == admission.Attempts {
		reason = admission.Full
	}
	return r.refuse(now, req, reason, core.Never)
}
