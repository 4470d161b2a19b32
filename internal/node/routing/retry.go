package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/candidate"
)

// maxSends bounds the attempts of one request, those included that brokers refused.
const maxTotalAttempts = 5

// retry decides on a further attempt for a request of which nothing is out any more.
func (r *Router) retry(now core.Time, req *request, outcome *Outcome) Decision {
	if !outcome.Verdict.MayRepeat(req.Idempotent) || req.MayHaveRun() && !req.Idempotent {
		return Decision{}
	}
	reason := r.retryObstacle(now, req)
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

// retryObstacle names what keeps the request from a further attempt, or is empty.
func (r *Router) retryObstacle(now core.Time, req *request) RefusalReason {
	switch {
	case req.Deadline-now < admission.MinTimeLeft:
		return admission.ReasonDeadline
	case req.Runs() >= max(req.Route.MaxAttempts, 1), len(req.Calls) >= maxTotalAttempts:
		return admission.ReasonAttemptsExhausted
	case req.Refused >= admission.MaxRefusals(req.Urgency):
		return admission.ReasonBrokersFull
	case req.Arrivals() > 0 && !r.retryLimits.Affords(now, &req.service.budget, admission.RetryBudgetShare(req.Urgency)):
		return admission.ReasonBudgetExhausted
	}
	return ""
}

// reasonWithoutEligible tells why no eligible broker is left.
func reasonWithoutEligible(req *request, found *candidate.Set) RefusalReason {
	switch {
	case found.BackingOff > 0 || req.Refused > 0:
		return admission.ReasonBrokersFull
	case req.Unreachable > 0 || len(found.Ejected) > 0:
		return admission.ReasonBrokersUnhealthy
	default:
		return admission.ReasonNoBroker
	}
}

// giveUp refuses where the request can't have run; where it may have, the caller answers by what it
// has, as a refusal promises that it has not (verdict.MayPromise).
func (r *Router) giveUp(now core.Time, req *request, reason RefusalReason) Decision {
	if req.MayHaveRun() {
		return Decision{}
	}
	if req.Refused > 0 && reason == admission.ReasonAttemptsExhausted {
		reason = admission.ReasonBrokersFull
	}
	return r.refuse(now, req, reason, core.Never)
}
