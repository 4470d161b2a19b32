package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prompt"
)

// tellLeast is how many tokens a broker must have to read for an attempt for other proxies to be told.
const tellLeast = 500

// send makes the attempt.
func (r *Router) send(now core.Time, req *request, chosen *candidate, byPrediction bool) Decision {
	b := chosen.broker
	if req.arrivals() > 0 {
		req.pool.budget.Spend(now)
	}
	a := &attempt{
		number:        len(req.attempts),
		broker:        b,
		sentAt:        now,
		load:          chosen.load,
		scale:         req.class.scale(now, req.pool, req.TokensIn),
		features:      chosen.features,
		predictedFast: !chosen.slow,
		arrived:       true,
	}
	if b.health.aside() && b.health.trial == nil {
		b.health.trial = a
	}
	out := &Attempt{
		Request:      req.id,
		Number:       a.number,
		Instance:     b.instance,
		Priority:     enginePriority(req.Urgency),
		ByPrediction: byPrediction,
	}
	if req.model != "" {
		r.describeModel(now, req, chosen, out)
		a.salt, a.fetchFrom = out.Salt, out.FetchFrom
		r.countPrompt(req, chosen, out)
		r.queue(now, req, a, out, chosen.unread)
	}
	req.attempts = append(req.attempts, a)
	b.sent(a)
	out.CopyAt = r.copyAt(now, req)
	return Decision{Attempt: out}
}

// describeModel fills in what a model broker is told: its version, the salt, and where kept parts come from and go.
func (r *Router) describeModel(now core.Time, req *request, chosen *candidate, out *Attempt) {
	out.ExpectVersion = chosen.version
	out.Salt = cachesalt.Text(req.model, chosen.version, req.wall)
	if out.FetchFrom = r.fetchSource(now, req, chosen); out.FetchFrom != "" {
		r.counters.Fetches++
	}
	if out.SaveTo = r.saveTarget(now, req, chosen); out.SaveTo != "" {
		r.counters.Saves++
	}
}

// queue puts the prompt of an attempt at the end of what its broker has to read.
func (r *Router) queue(now core.Time, req *request, a *attempt, out *Attempt, unread int) {
	if unread == 0 {
		unread = req.TokensIn
	}
	a.unread = unread
	salt, parts := cachesalt.ID(out.Salt), prompt.SharedParts(req.Parts)
	a.queueEnd = r.noteSent(now, req.pool, a.broker, salt, parts, unread)
	a.ahead = a.broker.backlog.tokens()
	if unread >= tellLeast {
		out.Sent = &Sent{Instance: out.Instance.ID, Salt: salt, Parts: parts, Unread: unread}
	}
}
