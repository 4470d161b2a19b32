package forward

import (
	"context"

	"kestrelspread/internal/node/routing"
)

// maxRacing bounds the attempts of one request that are under way at the same time.
const maxRacing = 4

// race lets a copy run beside the first attempt. The first answer wins and the loser is called off.
func (c *call) race(first *attempt, copyAttempt *routing.Attempt) *attemptResult {
	if c.results == nil {
		c.results = make(chan *attemptResult, maxRacing)
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

// raceCopy starts a further attempt beside those under way.
func (c *call) raceCopy(planned *routing.Attempt) {
	a := c.launch(planned, noEvent)
	a.copy = true
	a.context, a.cancel = context.WithCancel(c.request.Context())
	c.proxy.counters.copies.Add(1)
	c.racing++
	go func() {
		defer a.cancel()
		result := a.send()
		if result == nil {
			result = a.receiveAll()
		}
		c.results <- a.endOf(result)
	}()
}

// nextResult waits for the next attempt of a race to end. Each ends: by an answer, a failure, the deadline or interruption.
func (c *call) nextResult() *attemptResult {
	result := <-c.results
	c.racing--
	return result
}

// winner calls the other attempts off.
func (c *call) winner(result *attemptResult) {
	if result.attempt.copy {
		c.proxy.counters.copiesWon.Add(1)
	}
	c.mu.Lock()
	others := c.attempts
	c.mu.Unlock()
	for _, a := range others {
		if a != result.attempt {
			a.interrupt()
		}
	}
}

// endOf tells the router at once of a loser that was called off: the winner's stream may last long.
func (a *attempt) endOf(result *attemptResult) *attemptResult {
	if result.answer == nil && a.wasCanceled() {
		result.concluded = true
		c := a.call
		c.proxy.options.Port.Finished(c.now(), c.id, a.planned.Number, result.outcome, false)
	}
	return result
}

// concludeLoser ends an attempt that another one has beaten.
func (c *call) concludeLoser(result *attemptResult) {
	if result.answer != nil && !result.whole() {
		result.attempt.drop()
	}
	result.release()
	result.outcome.Canceled = true
	c.conclude(result, false)
}
