package forward

import (
	"context"

	"kestrelspread/internal/node/routing"
)

// maxParallelAttempts bounds the attempts of one request that are in progress at the same time.
const maxParallelAttempts = 4

// raceHedge runs a hedge in parallel to the first attempt. The first answer wins, and the other
// attempts are canceled. While one is in progress, failures of the others may add a further
// attempt.
func (c *call) raceHedge(first *attempt, planned *routing.Attempt) *attemptResult {
	if c.results == nil {
		c.results = make(chan *attemptResult, maxParallelAttempts)
	}
	c.inRace++
	go func() { c.results <- first.reportIfCanceled(first.receiveAll()) }()
	c.startHedge(planned)
	for {
		result := c.nextResult()
		if result.answer != nil && (!result.brokerFailed() || c.inRace == 0) {
			c.cancelOthers(result)
			return result
		}
		if c.inRace == 0 {
			return result
		}
		decision := c.reportResult(result, false)
		c.keepOrDiscard(result)
		if decision.Attempt != nil && c.inRace < maxParallelAttempts && c.mayRetry() {
			c.proxy.counters.retries.Add(1)
			c.startHedge(decision.Attempt)
		}
	}
}

// startHedge starts a further attempt in parallel to those in progress.
func (c *call) startHedge(planned *routing.Attempt) {
	a := c.newAttempt(planned, noEvent)
	a.isHedge = true
	a.context, a.cancel = context.WithCancel(c.request.Context())
	c.proxy.counters.hedges.Add(1)
	c.inRace++
	go func() {
		defer a.cancel()
		result := a.send()
		if result == nil {
			result = a.receiveAll()
		}
		c.results <- a.reportIfCanceled(result)
	}()
}

// nextResult waits for the next attempt of a race to end. Each ends: with an answer, a failure, at
// the deadline, or interrupted. finish waits for all of them, so that no goroutine outlives the
// request.
func (c *call) nextResult() *attemptResult {
	result := <-c.results
	c.inRace--
	return result
}

// cancelOthers interrupts all attempts but the winner's.
func (c *call) cancelOthers(result *attemptResult) {
	if result.attempt.isHedge {
		c.proxy.counters.hedgesWon.Add(1)
	}
	c.mutex.Lock()
	others := c.attempts
	c.mutex.Unlock()
	for _, a := range others {
		if a != result.attempt {
			a.interrupt()
		}
	}
}

// reportIfCanceled reports the end of a canceled loser to the router at once: the winner's stream
// may last long.
func (a *attempt) reportIfCanceled(result *attemptResult) *attemptResult {
	if result.answer == nil && a.wasCanceled() {
		result.reported = true
		c := a.call
		c.proxy.options.Router.AttemptEnded(c.now(), c.routingID, a.planned.Number, result.outcome, false)
	}
	return result
}

// reportLoser reports the end of an attempt that lost a race.
func (c *call) reportLoser(result *attemptResult) {
	if result.answer != nil && !result.isComplete() {
		result.attempt.closeConn()
	}
	result.release()
	result.outcome.Canceled = true
	c.reportResult(result, false)
}
