package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/placement"
	"kestrelspread/internal/node/routing/prompt"
)

const (
	// minNotifyTokens is the number of tokens that a broker must have to prefill for an attempt
	// before other proxies are notified of it.
	minNotifyTokens    = 500
	priorityPerUrgency = 3 // by which the header Priority grows with each level of urgency
	maxPriority        = 9 // of the header Priority
)

// priorityHeader returns the value of the header Priority: 0 to 9, where brokers run 0 first
// (PROTOCOL.md, "Requests").
func priorityHeader(urgency int) int {
	return min(max(urgency, 0)*priorityPerUrgency, maxPriority)
}

// send creates the attempt that sends the request to the chosen broker, and records it.
func (r *Router) send(now core.Time, req *request, found *candidate.Set, choice placement.Choice) Decision {
	chosen := choice.Candidate
	b := chosen.Broker
	if req.PossibleArrivals() > 0 {
		req.service.budget.RecordRetry(now)
	}
	call := &brokerstate.Call{
		Number:        len(req.Calls),
		Broker:        b,
		SentAt:        now,
		Load:          chosen.Load,
		Scale:         req.Class.Scale(now, req.Pool, req.TokensIn),
		Features:      chosen.Prediction.Features,
		PredictedFast: !chosen.PredictedSlow(),
		Arrived:       true,
	}
	b.Health.BeginProbe(call)
	attempt := &Attempt{
		Request:      req.ID,
		Number:       call.Number,
		Instance:     b.Instance,
		Priority:     priorityHeader(req.Urgency),
		ByPrediction: choice.PredictionUsed,
	}
	if req.ServedModel != "" {
		r.setModelHeaders(now, req, found, chosen, attempt)
		call.Salt, call.FetchFrom = attempt.Salt, attempt.FetchFrom
		r.countPromptTokens(req, chosen, attempt)
		r.enqueuePrompt(now, req, call, attempt, chosen.Plan.PrefillTokens)
	}
	req.Calls = append(req.Calls, call)
	b.AddCall(call)
	attempt.HedgeAt = r.hedgeAt(now, req)
	return Decision{Attempt: attempt}
}

// setModelHeaders sets the headers for a model broker: the version of the weights, the cache salt, and
// where the broker fetches cached parts from and saves them to.
func (r *Router) setModelHeaders(now core.Time, req *request, found *candidate.Set, chosen *candidate.Candidate, attempt *Attempt) {
	attempt.ExpectVersion = chosen.Version
	attempt.Salt = cachesalt.Text(req.ServedModel, chosen.Version, req.IsolatedTenant)
	attempt.IsolatedSalt = cachesalt.Text(req.ServedModel, chosen.Version, cachesalt.TenantName(req.Tenant))
	if attempt.FetchFrom = r.cache.FetchSource(now, &req.Request, found.Eligible, chosen); attempt.FetchFrom != "" {
		r.counters.Fetches++
	}
	if attempt.SaveTo = r.cache.SaveTarget(now, &req.Request, chosen); attempt.SaveTo != "" {
		r.counters.Saves++
	}
}

// enqueuePrompt adds the prompt of a call to the end of its broker's prefill backlog. prefillTokens is
// how many of its tokens the broker has to prefill; 0: all of them.
func (r *Router) enqueuePrompt(now core.Time, req *request, call *brokerstate.Call, attempt *Attempt, prefillTokens int) {
	if prefillTokens == 0 {
		prefillTokens = req.TokensIn
	}
	call.PrefillTokens = prefillTokens
	salt, parts := cachesalt.ID(attempt.Salt), prompt.SharedParts(req.Parts)
	enqueued := r.recordSentPrompt(now, req.Pool, call.Broker, salt, parts, prefillTokens)
	call.BacklogEnd, call.BacklogAhead = enqueued.End, enqueued.Ahead
	if prefillTokens >= minNotifyTokens {
		attempt.SentPrompt = &SentPrompt{Instance: attempt.Instance.ID, Salt: salt, Parts: parts, PrefillTokens: prefillTokens}
	}
}

// recordSentPrompt records that this proxy or another sent a prompt to a broker: in the broker's prefill
// backlog and in the view of what brokers cache.
func (r *Router) recordSentPrompt(
	now core.Time, p *brokerstate.Pool, b *brokerstate.Broker, salt uint64, parts []prompt.Part, prefillTokens int,
) brokerstate.QueuePosition {
	enqueued := p.Enqueue(now, b, prefillTokens)
	r.cache.RecordPrefill(now, enqueued.ReadyAt, b, salt, parts)
	return enqueued
}

// countPromptTokens counts the shared tokens of a prompt by the source that was expected for them when
// the prompt was sent.
func (r *Router) countPromptTokens(req *request, chosen *candidate.Candidate, attempt *Attempt) {
	shared := prompt.SharedTokens(req.Parts)
	cached := min(chosen.CachedTokens, shared)
	inPrefill := max(min(chosen.ExpectedTokens, shared)-cached, 0)
	missing := shared - cached - inPrefill
	fetched := max(missing-chosen.Plan.SharedTokens, 0)
	counts := &r.counters.Prompts
	counts.Shared += uint64(shared)
	counts.Cached += uint64(cached)
	counts.InPrefill += uint64(inPrefill)
	if attempt.FetchFrom != "" && r.cache.IsStore(attempt.FetchFrom) {
		counts.FromStore += uint64(fetched)
	} else {
		counts.FromBroker += uint64(fetched)
	}
	counts.Recomputed += uint64(chosen.Plan.RepeatedTokens)
	counts.FirstSeen += uint64(max(missing-fetched-chosen.Plan.RepeatedTokens, 0))
	if attempt.FetchFrom != "" && fetched == 0 {
		counts.BlindFetches++
	}
}
