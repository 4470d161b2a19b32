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
	// minNotifyTokens is how many tokens a broker must have to read for an attempt for other
	// proxies to be notified.
	minNotifyTokens    = 500
	priorityPerUrgency = 3
	maxPriority        = 9
)

// priorityHeader is the Priority header: 0 to 9, 0 first (PROTOCOL.md, "Requests").
func priorityHeader(urgency int) int {
	return min(max(urgency, 0)*priorityPerUrgency, maxPriority)
}

// send makes the attempt.
func (r *Router) send(now core.Time, req *request, found *candidate.Set, choice placement.Choice) Decision {
	chosen := choice.Candidate
	b := chosen.Broker
	if req.Arrivals() > 0 {
		req.service.budget.Spend(now)
	}
	call := &brokerstate.Call{
		Number:        len(req.Calls),
		Broker:        b,
		SentAt:        now,
		Load:          chosen.Load,
		Scale:         req.Class.Scale(now, req.Pool, req.TokensIn),
		Features:      chosen.Prediction.Features,
		PredictedFast: !chosen.Slow(),
		Arrived:       true,
	}
	b.Health.BeginProbe(call)
	out := &Attempt{
		Request:      req.ID,
		Number:       call.Number,
		Instance:     b.Instance,
		Priority:     priorityHeader(req.Urgency),
		ByPrediction: choice.Predicted,
	}
	if req.ServedModel != "" {
		r.setModelHeaders(now, req, found, chosen, out)
		call.Salt, call.FetchFrom = out.Salt, out.FetchFrom
		r.countPromptTokens(req, chosen, out)
		r.enqueuePrompt(now, req, call, out, chosen.Plan.PrefillTokens)
	}
	req.Calls = append(req.Calls, call)
	b.CallSent(call)
	out.HedgeAt = r.hedgeAt(now, req)
	return Decision{Attempt: out}
}

// setModelHeaders fills in the headers for a model broker: its version, the salt, and where cached
// parts come from and go.
func (r *Router) setModelHeaders(now core.Time, req *request, found *candidate.Set, chosen *candidate.Candidate, out *Attempt) {
	out.ExpectVersion = chosen.Version
	out.Salt = cachesalt.Text(req.ServedModel, chosen.Version, req.IsolatedTenant)
	if out.FetchFrom = r.cache.FetchSource(now, &req.Request, found.Eligible, chosen); out.FetchFrom != "" {
		r.counters.Fetches++
	}
	if out.SaveTo = r.cache.SaveTarget(now, &req.Request, chosen); out.SaveTo != "" {
		r.counters.Saves++
	}
}

// enqueuePrompt puts the prompt of a call at the end of its broker's backlog.
func (r *Router) enqueuePrompt(now core.Time, req *request, call *brokerstate.Call, out *Attempt, prefillTokens int) {
	if prefillTokens == 0 {
		prefillTokens = req.TokensIn
	}
	call.PrefillTokens = prefillTokens
	salt, parts := cachesalt.ID(out.Salt), prompt.SharedParts(req.Parts)
	enqueued := r.recordSentPrompt(now, req.Pool, call.Broker, salt, parts, prefillTokens)
	call.BacklogEnd, call.BacklogAhead = enqueued.End, enqueued.Ahead
	if prefillTokens >= minNotifyTokens {
		out.SentPrompt = &SentPrompt{Instance: out.Instance.ID, Salt: salt, Parts: parts, PrefillTokens: prefillTokens}
	}
}

// recordSentPrompt takes in that a broker was sent a prompt, by this proxy or another.
func (r *Router) recordSentPrompt(now core.Time, p *brokerstate.Pool, b *brokerstate.Broker, salt uint64, parts []prompt.Part, prefillTokens int) brokerstate.Enqueued {
	enqueued := p.Enqueue(now, b, prefillTokens)
	r.cache.RecordPrefill(now, enqueued.ReadyAt, b, salt, parts)
	return enqueued
}

// countPromptTokens counts the shared tokens of a prompt by where they were expected to come from when it
// was sent.
func (r *Router) countPromptTokens(req *request, chosen *candidate.Candidate, out *Attempt) {
	shared := prompt.SharedTokens(req.Parts)
	cached := min(chosen.Cached, shared)
	arriving := max(min(chosen.Arriving, shared)-cached, 0)
	missing := shared - cached - arriving
	fetched := max(missing-chosen.Plan.SharedTokens, 0)
	counts := &r.counters.Prompts
	counts.Shared += uint64(shared)
	counts.Cached += uint64(cached)
	counts.Arriving += uint64(arriving)
	if out.FetchFrom != "" && r.cache.IsStore(out.FetchFrom) {
		counts.FromStore += uint64(fetched)
	} else {
		counts.FromBroker += uint64(fetched)
	}
	counts.Repeated += uint64(chosen.Plan.RepeatedTokens)
	counts.FirstSeen += uint64(max(missing-fetched-chosen.Plan.RepeatedTokens, 0))
	if out.FetchFrom != "" && fetched == 0 {
		counts.BlindFetches++
	}
}
