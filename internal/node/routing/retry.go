package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/candidate"
)

// maxTotalAttempts bounds the attempts of one request, including those that brokers refused.
const maxTotalAttempts = 5

// retry decides on a further attempt for a request all of whose attempts have ended.
func (r *Router) retry(now core.Time, req *request, outcome *Outcome) Decision {
	if !outcome.Verdict.MayRetry(req.Idempotent) || req.MayHaveRun() && !req.Idempotent {
		return Decision{}
	}
	reason := r.retryObstacle(now, req)
	if reason == "" {
		r.updateIsolation(req)
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

// retryObstacle returns the reason against a further attempt of the request; empty: none.
func (r *Router) retryObstacle(now core.Time, req *request) RefusalReason {
	switch {
	case req.Deadline-now < admission.MinTimeLeft:
		return admission.ReasonDeadline
	case req.PossibleRuns() >= max(req.Route.MaxAttempts, 1), len(req.Calls) >= maxTotalAttempts:
		return admission.ReasonAttemptsExhausted
	case req.Refused >= admission.MaxRefusals(req.Urgency):
		return admission.ReasonBrokersFull
	case req.PossibleArrivals() > 0 && !r.retryLimits.Allows(now, &req.service.budget, admission.RetryBudgetShare(req.Urgency)):
		return admission.ReasonBudgetExhausted
	}
	return ""
}

// reasonWithoutEligible returns the reason for which no broker is eligible for the request.
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

// giveUp ends a request that gets no further attempt. It refuses the request only if that can't have
// run, because a refusal promises this to the client (verdict.MayReportNotRun). Otherwise the caller
// answers with what it has.
func (r *Router) giveUp(now core.Time, req *request, reason RefusalReason) Decision {
	if req.MayHaveRun() {
		return Decision{}
	}
	if req.Refused > 0 && reason == admission.ReasonAttemptsExhausted {
		reason = admission.ReasonBrokersFull
	}
	return r.refuse(now, req, reason, core.Never)
}
