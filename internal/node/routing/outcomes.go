package routing

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
	"kestrelspread/internal/predict"
)

// latencyLeast keeps latencies above 0, which stands for none; ms.
const latencyLeast = 0.1

// Started takes the head of an answer, for streams its first event: what the predictor learns from.
func (r *Router) Started(now core.Time, id RequestID, number int, load *Load) {
	req := r.requests[id]
	if req == nil {
		return
	}
	a := req.attempt(number)
	if a == nil || a.ended || a.started {
		return
	}
	a.started, req.answering = true, true
	a.latency = max(a.age(now), latencyLeast)
	b, p := a.broker, req.pool
	b.begun(a)
	b.told(now, load)
	b.health.answered(now)
	if a.sentAt > b.fullAt {
		b.fullUntil, b.refusals = 0, 0 // it took a request after it had turned one away
	}
	if a.sentAt > b.orderedUntil-orderPause {
		b.orderedUntil = 0
	}
	p.answeredAt = now
	if a.salt != "" {
		b.backlog.passed(a.queueEnd)
		r.reads.note(now, now, b, cachesalt.ID(a.salt), prompt.SharedParts(req.Parts))
	}
	if req.Route.Kind == config.KindStreaming {
		r.noteFirst(now, req, a)
		r.learn(now, req, a) // an event is no quick error
	}
}

// learn takes an answer's latency into the measures, once it is known to be one that was worked for.
func (r *Router) learn(now core.Time, req *request, a *attempt) {
	if a.learnt || !a.started || a.sentAt < r.awakeAt {
		return
	}
	a.learnt = true
	b, p := a.broker, req.pool
	p.refresh(now)
	slow := a.latency > p.lineOf(now, b)
	p.teach(now, a, slow)
	if a.fetchFrom != "" {
		b.moves.done(now, slow)
	}
	if a.salt != "" {
		p.pace.learn(a.ahead, a.latency*a.scale/p.slowness(b))
		if p.seen >= predict.Few {
			r.noteStore(now, a, p.median)
		}
	}
	b.learnLatency(now, a)
	p.latencies.Add(units.Milliseconds(now), a.latency)
	if target := req.Route.TargetLatencyMs; target > 0 {
		p.overload.ratios.Add(units.Milliseconds(now), units.Milliseconds(now-req.Received)/target)
	}
	req.class.latencies.Add(units.Milliseconds(now), a.latency*a.scale/req.work)
	if observer, ok := r.options.Index.(Observer); ok && a.salt != "" {
		observer.Observed(b.instance.ID, cachesalt.ID(a.salt), req.Parts)
	}
}

// teachOverdue tells the predictor of an attempt that has been out for longer than the line already.
func (r *Router) teachOverdue(now core.Time, p *pool, a *attempt) {
	if a.started || a.sentAt < r.awakeAt {
		return
	}
	if age := a.age(now); age > p.lineOf(now, a.broker) {
		p.teach(now, a, true)
	}
}

// Finished takes the end of an attempt and decides on a further one.
func (r *Router) Finished(now core.Time, id RequestID, number int, outcome Outcome, resumable bool) Decision {
	req := r.requests[id]
	if req == nil {
		return Decision{}
	}
	a := req.attempt(number)
	if a == nil || a.ended {
		return Decision{}
	}
	req.pool.refresh(now)
	r.settle(now, req, a, &outcome)
	decision := r.afterwards(now, req, &outcome, resumable)
	r.notePauses(now, req, a, outcome.Pauses)
	decision.StepSeen = r.learnStep(req, a, outcome.Pauses)
	return decision
}

// afterwards decides on a further attempt once one has ended.
func (r *Router) afterwards(now core.Time, req *request, outcome *Outcome, resumable bool) Decision {
	if outcome.Answered || outcome.Canceled || req.outstanding() {
		return Decision{}
	}
	if req.answering && !resumable && !outcome.failure() {
		return Decision{}
	}
	return r.another(now, req, outcome)
}

// failure reports whether the broker answered that it failed.
func (o *Outcome) failure() bool { return o.Status >= 500 }

// settle books what an attempt's end tells of its broker.
func (r *Router) settle(now core.Time, req *request, a *attempt, outcome *Outcome) {
	b, p := a.broker, req.pool
	if !a.started && r.hangs(now, p, b) {
		r.setAside(now, b, hanging) // nothing that waits there shows it any more
	}
	if outcome.unanswered() {
		r.teachOverdue(now, p, a)
		if age := a.age(now); !a.started && a.sentAt >= r.awakeAt && age > b.expected(now, p.median) {
			b.tookLatency(now, age)
		}
	}
	a.ended = true
	a.verdict = outcome.Verdict
	a.arrived = outcome.arrived()
	b.ended(a)
	b.told(now, outcome.Load)
	if b.health.trial == a && outcome.Canceled {
		b.health.calledOff(now + r.spread(b.health.backoff))
	}
	switch {
	case outcome.ConnectFailed:
		req.unreachable++
	case outcome.NotExecuted && !outcome.Misdirected:
		req.turnedAway++
		switch {
		case r.byOrder(req, b, outcome):
			b.ordered(now)
		case !req.oversized:
			b.turnedAway(now, outcome)
		}
		if outcome.Status != 0 {
			b.health.answered(now)
			p.answeredAt = now
		}
	}
	switch {
	case outcome.speaksAgainst(a):
		b.unlearn(a)
		r.failed(now, b, a, outcome)
	case outcome.Verdict == verdict.Ran && !outcome.Canceled:
		r.learn(now, req, a)
		b.health.succeeded(now)
	}
}

// arrived reports whether the request may have reached the broker: not where no connection came up, nor where this proxy had
// none to spare.
func (o *Outcome) arrived() bool {
	return !o.ConnectFailed && !(o.NotExecuted && o.Status == 0)
}

// unanswered reports whether nothing that the broker said ended the attempt.
func (o *Outcome) unanswered() bool {
	return !o.NotExecuted && !o.ConnectFailed && !o.Misdirected && o.Status == 0
}
