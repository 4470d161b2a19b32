package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/placement"
	"kestrelspread/internal/node/verdict"
)

// request is a request that this proxy holds.
type request struct {
	inflight.Request
	service *serviceState
}

// Begin adds a request and returns an attempt or a refusal for it.
func (r *Router) Begin(now core.Time, received Request) (RequestID, Decision) {
	req := r.register(now, received)
	req.Pool.Refresh(now)
	if req.Deadline-now < admission.MinTimeLeft {
		return req.ID, r.refuse(now, req, admission.ReasonDeadline, core.Never)
	}
	found := r.finder.Find(now, &req.Request)
	if len(found.Eligible) == 0 {
		return req.ID, r.decideWithoutEligible(now, req, found)
	}
	choice := r.choose(now, req, found)
	overload := &req.service.overload
	overload.UpdateShedShare(now, req.Pool)
	if r.admissionControl.ShouldShed(&req.Request, overload) {
		return req.ID, r.refuse(now, req, admission.ReasonBrokersFull, core.Never)
	}
	if after, ok := r.admissionControl.ShouldPostpone(now, &req.Request, found, choice.Candidate); ok {
		r.counters.Refusals[admission.ReasonPostponed]++
		return req.ID, Decision{Refusal: &Refusal{Reason: admission.ReasonPostponed, RetryAfter: after}}
	}
	if r.admissionControl.CannotMeetDeadline(now, &req.Request, choice.Candidate.Broker) {
		return req.ID, r.refuse(now, req, admission.ReasonDeadline, core.Never)
	}
	return req.ID, r.send(now, req, found, choice)
}

// register adds a request to those that the router holds, and to the statistics of its service and
// route.
func (r *Router) register(now core.Time, received Request) *request {
	r.lastID++
	r.counters.Requests++
	s := r.service(received.Service)
	req := &request{
		Request: inflight.Request{
			ClientRequest: received,
			ID:            r.lastID,
			Pool:          s.pool,
			Class:         r.routeClasses.Get(now, received.Route.Name),
			Idempotent:    received.Route.Idempotent(),
		},
		service: s,
	}
	if r.runsModels(received.Service) && received.Model != "" {
		req.ServedModel = received.Model
		req.Oversized = r.oversized(&received)
		r.updateIsolation(req)
	}
	req.Class.RecordPromptTokens(req.TokensIn)
	req.FirstTry = req.Class.FirstTry(now, req.TimeLeft())
	req.RelativeWork = req.Class.Work(req.TokensIn)
	s.budget.RecordRequest(now)
	s.overload.RecordArrival(now, req.Urgency)
	r.requests[req.ID] = req
	return req
}

// updateIsolation determines whether the request may share cached prefixes by what is known now. A
// configuration that came since the last attempt may have isolated its tenant.
func (r *Router) updateIsolation(req *request) {
	if req.ServedModel != "" {
		req.IsolatedTenant = r.isolatedTenants.SaltTenant(req.Tenant, req.Unconfirmed)
	}
}

// runsModels reports whether the brokers of a service run models, so that they have versions of
// weights and cached prompts.
func (r *Router) runsModels(service string) bool {
	if r.compiled == nil {
		return false
	}
	s := r.compiled.Services[service]
	return s != nil && s.Engine != nil
}

// oversized reports whether a request needs more KV memory than a broker has. A broker refuses such a
// request in the same way as a full broker does.
func (r *Router) oversized(received *Request) bool {
	capacity := r.compiled.Services[received.Service].Engine.KVCapacityTokens
	return capacity > 0 && float64(received.TokensIn+received.TokensOut) > capacity
}

// choose chooses one of the eligible candidates and counts the reason of the choice.
func (r *Router) choose(now core.Time, req *request, found *candidate.Set) placement.Choice {
	choice := r.placer.Choose(now, &req.Request, found)
	switch choice.Reason {
	case placement.ByProbe:
		r.counters.Probes++
	case placement.ByAffinity:
		r.counters.ByAffinity++
	case placement.ByLoad:
		r.counters.ByLoad++
	case placement.ByPrediction:
		r.counters.ByPrediction++
	case placement.AllSlow:
		r.counters.AllSlow++
	}
	return choice
}

// decideWithoutEligible decides on a request that was not sent yet and for which no broker is eligible:
// it is refused, or sent to an ejected broker.
func (r *Router) decideWithoutEligible(now core.Time, req *request, found *candidate.Set) Decision {
	switch {
	case found.BackingOff > 0:
		return r.refuse(now, req, admission.ReasonBrokersFull, found.CapacityAt)
	case len(found.Ejected) == 0:
		return r.refuse(now, req, admission.ReasonNoBroker, core.Never)
	}
	ejected := found.EarliestProbe()
	if !req.Idempotent && ejected.Broker.Health.Reason() == brokerstate.Unresponsive {
		return r.refuse(now, req, admission.ReasonBrokersUnhealthy, core.Never) // it would be lost there, and another proxy may serve it
	}
	r.counters.Fallback++
	r.placer.Predict(now, &req.Request, found, ejected)
	return r.send(now, req, found, placement.Choice{Candidate: ejected})
}

// refuse returns the refusal of a request that has not run, and counts it. capacityAt is when a broker
// may have capacity; core.Never: not known.
func (r *Router) refuse(now core.Time, req *request, reason RefusalReason, capacityAt core.Time) Decision {
	r.counters.Refusals[reason]++
	return Decision{Refusal: &Refusal{Reason: reason, RetryAfter: r.admissionControl.RetryAfter(now, &req.Request, reason, capacityAt)}}
}

// End removes a request. Its attempts that haven't ended count as canceled.
func (r *Router) End(now core.Time, id RequestID) {
	req := r.requests[id]
	if req == nil {
		return
	}
	for _, c := range req.Calls {
		if !c.Ended {
			r.recordCallEnd(now, req, c, &Outcome{Verdict: verdict.MayHaveRun, Canceled: true})
		}
	}
	delete(r.requests, id)
}
