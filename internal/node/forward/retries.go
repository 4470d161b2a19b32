package forward

import (
	"log/slog"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

// obtainAnswer makes the attempts that the router asks for until one has an answer for the client.
// nil: none will, and the decision is the router's last. resumeAfter is the last event that the
// client has of a stream that is resumed.
func (c *call) obtainAnswer(decision routing.Decision, resumeAfter eventID) (*attemptResult, routing.Decision) {
	for decision.Attempt != nil {
		result := c.tryBroker(decision.Attempt, resumeAfter)
		if c.isFinal(result) {
			return result, routing.Decision{}
		}
		decision = c.reportResult(result, resumeAfter.set)
		if result.answer != nil {
			c.keepFallback(result)
		}
		if !c.mayRetry() {
			return nil, routing.Decision{Refusal: decision.Refusal}
		}
		if decision.Attempt != nil {
			c.proxy.counters.retries.Add(1)
		}
	}
	return nil, decision
}

// isFinal reports whether the result goes to the client without asking for another attempt. A
// broker's failure on an idempotent route is kept until the router has decided.
func (c *call) isFinal(result *attemptResult) bool {
	return result.answer != nil && !(result.brokerFailed() && result.isComplete() && c.intake.route.Idempotent())
}

// mayRetry guards the router's decisions (RULES.md, TWICE): a request that may have run is sent
// again only if it is idempotent, and nothing is sent for a client that has disconnected or after
// the deadline.
func (c *call) mayRetry() bool {
	if c.mayHaveRun && !c.intake.route.Idempotent() {
		return false
	}
	return !c.clientGone() && c.now() < c.intake.deadline
}

// keepOrDiscard keeps a broker's own failure as fallback, if it was read completely.
func (c *call) keepOrDiscard(result *attemptResult) {
	switch {
	case result.answer == nil:
	case result.isComplete():
		c.keepFallback(result)
	default:
		result.attempt.closeConn()
		result.release()
	}
}

// keepFallback makes the result the fallback, in place of an earlier one.
func (c *call) keepFallback(result *attemptResult) {
	if c.fallback != nil {
		c.fallback.release()
	}
	c.fallback = result
}

// reportResult reports the end of an attempt to the router, and returns what it decides. resumes:
// the client has the start of a stream.
func (c *call) reportResult(result *attemptResult, resumes bool) routing.Decision {
	if !result.verdictRecorded {
		result.verdictRecorded = true
		c.recordVerdict(result.outcome.Verdict)
	}
	if result.reported {
		return routing.Decision{}
	}
	result.reported = true
	c.logFailure(result)
	return c.proxy.options.Router.AttemptEnded(c.now(), c.routingID, result.attempt.planned.Number, result.outcome, resumes)
}

// logFailure logs a failed attempt at level debug.
func (c *call) logFailure(result *attemptResult) {
	log, ctx := c.proxy.options.Log, c.request.Context()
	if result.err == nil || !log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	log.LogAttrs(ctx, slog.LevelDebug, "forward: attempt failed",
		slog.String("request", c.intake.id),
		slog.String("instance", result.attempt.planned.Instance.ID),
		slog.String("verdict", result.outcome.Verdict.String()),
		slog.Any("error", result.err))
}

// reportAnswered reports to the router that the answer was complete and goes to the client.
func (c *call) reportAnswered(result *attemptResult) {
	result.outcome.Answered = true
	c.reportResult(result, false)
	c.proxy.counters.answered.Add(1)
}

// tryBroker makes one attempt, and a hedge of it if it is late and the router wants one.
func (c *call) tryBroker(planned *routing.Attempt, resumeAfter eventID) *attemptResult {
	a := c.newAttempt(planned, resumeAfter)
	if failed := a.send(); failed != nil {
		return failed
	}
	if planned.HedgeAt == core.Never || resumeAfter.set || !c.intake.route.Idempotent() {
		return a.receiveAll()
	}
	result, pending := a.receive(c.wallTime(planned.HedgeAt))
	if !pending {
		return result
	}
	decision := c.proxy.options.Router.Hedge(c.now(), c.routingID)
	if decision.Attempt == nil {
		return a.receiveAll()
	}
	return c.raceHedge(a, decision.Attempt)
}

// receiveAll receives the answer, for as long as the request lasts.
func (a *attempt) receiveAll() *attemptResult {
	result, _ := a.receive(a.call.answerDeadline())
	return result
}
