package routing

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
)

// statusGatewayTimeout is the status of a broker that reached the deadline of the request.
const statusGatewayTimeout = 504

// AnswerStarted records the head of an answer; for streams, the first event. The latency until then is what
// the predictor learns from.
func (r *Router) AnswerStarted(now core.Time, id RequestID, number int, load *Load) {
	req := r.requests[id]
	if req == nil {
		return
	}
	c := req.Call(number)
	if c == nil || c.Ended || c.Started {
		return
	}
	req.AnswerStarted = true
	c.Start(now)
	b := c.Broker
	b.RecordLoadReport(now, load)
	b.ClearRefusals(c.SentAt)
	r.ejector.RecordAnswer(now, req.Pool, b)
	if c.Salt != "" {
		b.PrefillCompleted(c)
		r.cache.RecordPrefill(now, now, b, cachesalt.ID(c.Salt), prompt.SharedParts(req.Parts))
	}
	if req.Route.Kind == config.KindStreaming {
		r.recordLateFirstEvent(now, req, c)
		r.learnLatency(now, req, c) // a stream with an event is no fast error answer
	}
}

// learnLatency adds the latency of an answer to the statistics, once it is known that the request was
// executed. It does so once a call.
func (r *Router) learnLatency(now core.Time, req *request, c *brokerstate.Call) {
	if c.LatencyRecorded() || !c.Started || !r.ejector.LatencyMeasurable(c) {
		return
	}
	pool := req.Pool
	pool.RecordLatency(now, c)
	if c.Salt != "" && pool.MedianKnown() {
		r.cache.RecordFetch(now, c, pool.Median())
	}
	if target := req.Route.TargetLatencyMs; target > 0 {
		req.service.overload.RecordLatencyRatio(now, units.Milliseconds(now-req.Received)/target)
	}
	req.Class.RecordLatency(now, c.Latency*c.Scale/req.RelativeWork)
	if c.Salt != "" {
		r.cache.RecordAnswer(&req.Request, c)
	}
}

// AttemptEnded records the end of an attempt and decides on a further one.
func (r *Router) AttemptEnded(now core.Time, id RequestID, number int, outcome Outcome, resumable bool) Decision {
	req := r.requests[id]
	if req == nil {
		return Decision{}
	}
	c := req.Call(number)
	if c == nil || c.Ended {
		return Decision{}
	}
	req.Pool.Refresh(now)
	r.recordCallEnd(now, req, c, &outcome)
	decision := r.decideAfterAttempt(now, req, &outcome, resumable)
	r.recordLateGap(now, req, c, outcome.Gaps)
	decision.StepTimeReport = r.learnStepTime(req, c, outcome.Gaps)
	return decision
}

// decideAfterAttempt decides whether another attempt follows one that has ended.
func (r *Router) decideAfterAttempt(now core.Time, req *request, outcome *Outcome, resumable bool) Decision {
	if outcome.Answered || outcome.Canceled || req.HasOutstanding() {
		return Decision{}
	}
	if req.AnswerStarted && !resumable && !outcome.serverError() {
		return Decision{}
	}
	return r.retry(now, req, outcome)
}

// recordCallEnd updates the state of a broker by how a call to it ended.
func (r *Router) recordCallEnd(now core.Time, req *request, c *brokerstate.Call, outcome *Outcome) {
	b, pool := c.Broker, req.Pool
	if !c.Started && r.ejector.TimedOut(now, pool, b) {
		r.ejector.Eject(now, b, brokerstate.Unresponsive) // checked before RemoveCall, as TimedOut looks only at calls that wait
	}
	if outcome.endedWithoutAnswer() && !c.Started && r.ejector.LatencyMeasurable(c) {
		pool.TrainOverdue(now, c)
		b.ObserveUnanswered(now, c, pool.Median())
	}
	c.Ended = true
	c.Verdict = outcome.Verdict
	c.Arrived = outcome.mayHaveArrived()
	b.RemoveCall(c)
	b.RecordLoadReport(now, outcome.Load)
	if outcome.Canceled {
		r.ejector.RecordCancellation(now, c)
	}
	switch {
	case outcome.ConnectFailed:
		req.Unreachable++
	case outcome.NotExecuted && !outcome.Misdirected:
		r.recordCallRefusal(now, req, b, outcome)
	}
	switch fault, faulty := outcome.brokerFault(c); {
	case faulty:
		b.DiscardLatency(c)
		r.ejector.RecordFailure(now, c, fault)
	case outcome.Verdict == verdict.Ran && !outcome.Canceled:
		r.learnLatency(now, req, c)
		b.Health.RecordSuccess(now)
	}
}

// recordCallRefusal records that a broker refused a call with X-Kestrelspread-Not-Executed.
func (r *Router) recordCallRefusal(now core.Time, req *request, b *brokerstate.Broker, outcome *Outcome) {
	req.Refused++
	switch {
	case r.refusedForRollout(req, b, outcome):
		b.RecordRolloutRefusal(now)
	case !req.Oversized:
		b.RecordRefusal(now, outcome.RetryAfter, outcome.Load)
	}
	if outcome.Status != 0 {
		r.ejector.RecordAnswer(now, req.Pool, b)
	}
}

// refusedForRollout reports whether a broker refused a request because of a rollout of new weights and
// not for lack of capacity: it doesn't have the newest version that the configuration names, and by its
// load report, if it sent one, fewer requests wait there than it has slots.
func (r *Router) refusedForRollout(req *request, b *brokerstate.Broker, outcome *Outcome) bool {
	if req.ServedModel == "" || r.versions.VersionOf(b.Instance, req.ServedModel) >= r.versions.Newest(req.ServedModel) {
		return false
	}
	load := outcome.Load
	return load == nil || load.Waiting < load.Slots
}

// serverError reports whether the broker answered with a status of 500 or above.
func (o *Outcome) serverError() bool { return o.Status >= 500 }

// mayHaveArrived reports whether the request may have reached the broker. It hasn't if no connection
// could be established, or if this proxy had no connection left for it.
func (o *Outcome) mayHaveArrived() bool {
	return !o.ConnectFailed && !(o.NotExecuted && o.Status == 0)
}

// endedWithoutAnswer reports whether the attempt ended without an answer or a refusal from the broker, although
// a connection was established.
func (o *Outcome) endedWithoutAnswer() bool {
	return !o.NotExecuted && !o.ConnectFailed && !o.Misdirected && o.Status == 0
}

// brokerFault returns the fault that the end of a call shows in its broker, if any. A timeout is no fault
// if the broker answered other calls meanwhile: it is only overloaded.
func (o *Outcome) brokerFault(c *brokerstate.Call) (brokerFault brokerstate.Fault, faulty bool) {
	switch {
	case o.Misdirected:
		return brokerstate.FaultMisdirected, true
	case o.ConnectFailed:
		return brokerstate.FaultConnect, true
	case o.Canceled, o.NotExecuted, o.Status == statusGatewayTimeout:
		return 0, false
	case o.TimedOut:
		return brokerstate.FaultFailure, !c.Broker.Health.AnsweredAfter(c.SentAt)
	case o.serverError():
		return brokerstate.FaultFailure, true
	}
	return brokerstate.FaultFailure, o.Verdict == verdict.MayHaveRun && !o.Answered
}
