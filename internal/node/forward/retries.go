package forward

import (
	"log/slog"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

// obtain makes the attempts that the router asks for until one has an answer for the client; nil: none will, and the
// decision is the router's last. after is the last event that the client has of a stream that is taken up again.
func (c *call) obtain(decision routing.Decision, after eventID) (*attemptResult, routing.Decision) {
	for decision.Attempt != nil {
		result := c.try(decision.Attempt, after)
		if c.final(result) {
			return result, routing.Decision{}
		}
		decision = c.conclude(result, after.set)
		if result.answer != nil {
			c.keepFallback(result)
		}
		if !c.mayTryAgain() {
			return nil, routing.Decision{Refusal: decision.Refusal}
		}
		if decision.Attempt != nil {
			c.proxy.counters.retries.Add(1)
		}
	}
	return nil, decision
}

// final reports whether the result goes to the client without asking for another attempt. A broker's failure on an
// idempotent route is kept until the router has decided.
func (c *call) final(result *attemptResult) bool {
	return result.answer != nil && !(result.brokerFailed() && result.whole() && c.intake.route.Idempotent())
}

// mayTryAgain guards what the router decides (RULES.md, TWICE): what may have run goes out again only where it may run
// more than once, and nothing is sent for a client that has left or whose time is over.
func (c *call) mayTryAgain() bool {
	if c.sent && !c.intake.route.Idempotent() {
		return false
	}
	return !c.clientHasLeft() && c.now() < c.intake.deadline
}

// keepOrDrop keeps a failure that a broker answered, if it is here in full.
func (c *call) keepOrDrop(result *attemptResult) {
	switch {
	case result.answer == nil:
	case result.whole():
		c.keepFallback(result)
	default:
		result.attempt.drop()
		result.release()
	}
}

func (c *call) keepFallback(result *attemptResult) {
	if c.fallback != nil {
		c.fallback.release()
	}
	c.fallback = result
}

// conclude tells the router how an attempt ended, and gives what it decides. resumes: the client has the start of a stream.
func (c *call) conclude(result *attemptResult, resumes bool) routing.Decision {
	if !result.noted {
		result.noted = true
		c.noteVerdict(result.outcome.Verdict)
	}
	if result.concluded {
		return routing.Decision{}
	}
	result.concluded = true
	c.logFailure(result)
	return c.proxy.options.Port.Finished(c.now(), c.id, result.attempt.planned.Number, result.outcome, resumes)
}

// logFailure notes an attempt that failed, for whoever looks into one request.
func (c *call) logFailure(result *attemptResult) {
	log, ctx := c.proxy.options.Log, c.request.Context()
	if result.err == nil || !log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	log.LogAttrs(ctx, slog.LevelDebug, "attempt failed",
		slog.String("request", c.intake.id),
		slog.String("instance", result.attempt.planned.Instance.ID),
		slog.String("verdict", result.outcome.Verdict.String()),
		slog.Any("error", result.err))
}

// concludeAnswered tells the router that an answer was whole and goes to the client.
func (c *call) concludeAnswered(result *attemptResult) {
	result.outcome.Answered = true
	c.conclude(result, false)
	c.proxy.counters.answered.Add(1)
}

// try makes one attempt, and a copy of it where it is late and the router wants one.
func (c *call) try(planned *routing.Attempt, after eventID) *attemptResult {
	a := c.launch(planned, after)
	if failed := a.send(); failed != nil {
		return failed
	}
	if planned.CopyAt == core.Never || after.set || !c.intake.route.Idempotent() {
		return a.receiveAll()
	}
	result, pending := a.receive(c.wall(planned.CopyAt))
	if !pending {
		return result
	}
	decision := c.proxy.options.Port.Copy(c.now(), c.id)
	if decision.Attempt == nil {
		return a.receiveAll()
	}
	return c.race(a, decision.Attempt)
}

// receiveAll waits for the answer as long as the request lasts.
func (a *attempt) receiveAll() *attemptResult {
	result, _ := a.receive(a.call.holdUntil())
	return result
}
