package forward

import (
	"context"
	"log/slog"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

// obtain makes the attempts that the router asks for until one has an answer for the client; nil: none will, and the
// decision is the router's last. after is the last event that the client has of a stream that is taken up again.
func (c *call) obtain(decision routing.Decision, after eventID) (*arrival, routing.Decision) {
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
func (c *call) final(result *arrival) bool {
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
func (c *call) keepOrDrop(result *arrival) {
	switch {
	case result.answer == nil:
	case result.whole():
		c.keepFallback(result)
	default:
		result.flight.drop()
		result.release()
	}
}

func (c *call) keepFallback(result *arrival) {
	if c.fallback != nil {
		c.fallback.release()
	}
	c.fallback = result
}

// conclude tells the router how an attempt ended, and gives what it decides. resumes: the client has the start of a stream.
func (c *call) conclude(result *arrival, resumes bool) routing.Decision {
	if !result.noted {
		result.noted = true
		c.noteVerdict(result.outcome.Verdict)
	}
	if result.concluded {
		return routing.Decision{}
	}
	result.concluded = true
	c.logFailure(result)
	return c.proxy.options.Port.Finished(c.now(), c.id, result.flight.attempt.Number, result.outcome, resumes)
}

// logFailure notes an attempt that failed, for whoever looks into one request.
func (c *call) logFailure(result *arrival) {
	log, ctx := c.proxy.options.Log, c.request.Context()
	if result.err == nil || !log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	log.LogAttrs(ctx, slog.LevelDebug, "attempt failed",
		slog.String("request", c.intake.id),
		slog.String("instance", result.flight.attempt.Instance.ID),
		slog.String("verdict", result.outcome.Verdict.String()),
		slog.Any("error", result.err))
}

// concludeAnswered tells the router that an answer was whole and goes to the client.
func (c *call) concludeAnswered(result *arrival) {
	result.outcome.Answered = true
	c.conclude(result, false)
	c.proxy.counters.answered.Add(1)
}

// try makes one attempt, and a copy of it where it is late and the router wants one.
func (c *call) try(attempt *routing.Attempt, after eventID) *arrival {
	f := c.launch(attempt, after)
	if failed := f.send(); failed != nil {
		return failed
	}
	if attempt.CopyAt == core.Never || after.set || !c.intake.route.Idempotent() {
		return f.receiveAll()
	}
	result, pending := f.receive(c.wall(attempt.CopyAt))
	if !pending {
		return result
	}
	decision := c.proxy.options.Port.Copy(c.now(), c.id)
	if decision.Attempt == nil {
		return f.receiveAll()
	}
	return c.race(f, decision.Attempt)
}

// receiveAll waits for the answer as long as the request lasts.
func (f *flight) receiveAll() *arrival {
	result, _ := f.receive(f.call.holdUntil())
	return result
}

// maxRacing bounds the flights of one request that are under way at the same time.
const maxRacing = 4

// race lets a copy run beside the first flight. The first answer wins and the loser is called off.
func (c *call) race(first *flight, copyAttempt *routing.Attempt) *arrival {
	if c.results == nil {
		c.results = make(chan *arrival, maxRacing)
	}
	c.racing++
	go func() { c.results <- first.endOf(first.receiveAll()) }()
	c.raceCopy(copyAttempt)
	for {
		result := c.nextResult()
		if result.answer != nil && (!result.brokerFailed() || c.racing == 0) {
			c.winner(result)
			return result
		}
		if c.racing == 0 {
			return result
		}
		decision := c.conclude(result, false)
		c.keepOrDrop(result)
		if decision.Attempt != nil && c.racing < maxRacing && c.mayTryAgain() {
			c.proxy.counters.retries.Add(1)
			c.raceCopy(decision.Attempt)
		}
	}
}

// raceCopy starts a further flight beside those under way.
func (c *call) raceCopy(attempt *routing.Attempt) {
	f := c.launch(attempt, noEvent)
	f.copy = true
	f.context, f.cancel = context.WithCancel(c.request.Context())
	c.proxy.counters.copies.Add(1)
	c.racing++
	go func() {
		defer f.cancel()
		result := f.send()
		if result == nil {
			result = f.receiveAll()
		}
		c.results <- f.endOf(result)
	}()
}

// nextResult waits for the next flight of a race to end. Each ends: by an answer, a failure, the deadline or interruption.
func (c *call) nextResult() *arrival {
	result := <-c.results
	c.racing--
	return result
}

// winner calls the other flights off.
func (c *call) winner(result *arrival) {
	if result.flight.copy {
		c.proxy.counters.copiesWon.Add(1)
	}
	c.mu.Lock()
	others := c.flights
	c.mu.Unlock()
	for _, f := range others {
		if f != result.flight {
			f.interrupt()
		}
	}
}

// endOf tells the router at once of a loser that was called off: the winner's stream may last long.
func (f *flight) endOf(result *arrival) *arrival {
	if result.answer == nil && f.wasCanceled() {
		result.concluded = true
		c := f.call
		c.proxy.options.Port.Finished(c.now(), c.id, f.attempt.Number, result.outcome, false)
	}
	return result
}

// concludeLoser ends a flight that another one has beaten.
func (c *call) concludeLoser(result *arrival) {
	if result.answer != nil && !result.whole() {
		result.flight.drop()
	}
	result.release()
	result.outcome.Canceled = true
	c.conclude(result, false)
}
