// Package invariants checks the six rules of a broker from outside: from what clients sent and received, and from what servers received
// and did. It knows nothing of the broker's internals. Its reports name the query and the time, in ms of one clock.
package invariants

import (
	"bytes"
	"fmt"
	"math"
	"sort"
)

// Effect is the effect of a second run.
type Effect uint8

// The effects of a second run of a shard request.
const (
	Idempotent Effect = iota
	IdempotentInWindow
	NonIdempotent
)

// Checker records what happened, and checks it. It is not safe for concurrent use.
type Checker struct {
	AnswerSlackMs       float64 // by which a final answer may be late, for its transit
	DrainGraceMs        float64 // in which a server may still receive attempts after the notification of its drain
	RetryBudgetBase     float64 // retries within the window,
	RetryBudgetRatio    float64 // and retries for each query and shard request
	RetryBudgetWindowMs float64 // 0: no budget
	MaxWarmUpRequests   int     // of a server in slow start, within the window; 0: not checked
	WarmUpWindowMs      float64
	IdempotencyWindowMs float64 // of IdempotentInWindow
	Strict              bool    // no attempt arrives after the end of its query: only without network faults

	queries        map[string]*query
	queryIDs       []string
	drainedAtMs    map[string]float64 // by server
	warmUps        map[string][2]float64
	warmUpRequests map[string][]float64
	retriedAtMs    []float64
	receivedAtMs   []float64
	violations     []string
}

// query is a query of a client.
type query struct {
	id           string
	effect       Effect
	deadlineMs   float64
	finalAnswers int
	abandoned    bool
	attempts     []*Attempt
	answers      [][]byte
}

// Attempt is one attempt as its server received it.
type Attempt struct {
	Shard           string
	Server          string
	ReceivedAtMs    float64
	NotExecuted     bool // the server proved to the broker that it has not run
	NotExecutedAtMs float64
}

// New returns a checker with default slacks.
func New() *Checker {
	return &Checker{AnswerSlackMs: 5, DrainGraceMs: 500, queries: map[string]*query{}, drainedAtMs: map[string]float64{},
		warmUps: map[string][2]float64{}, warmUpRequests: map[string][]float64{}}
}

// report adds a violation.
func (c *Checker) report(form string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(form, args...))
}

// Report adds a violation that was detected elsewhere.
func (c *Checker) Report(form string, args ...any) { c.report(form, args...) }

// RecordQuery records that a query was sent. Its client waits until the deadline.
func (c *Checker) RecordQuery(id string, effect Effect, nowMs, deadlineMs float64) {
	if c.queries[id] != nil {
		c.report("two searches %s", id)
	}
	c.queries[id] = &query{id: id, effect: effect, deadlineMs: deadlineMs}
	c.queryIDs = append(c.queryIDs, id)
	c.receivedAtMs = append(c.receivedAtMs, nowMs)
}

// RecordAbandoned records that the client of a query no longer waits.
func (c *Checker) RecordAbandoned(id string) { c.queries[id].abandoned = true }

// RecordAttempt records that a server received an attempt of a query's shard request.
func (c *Checker) RecordAttempt(id, shard, server string, nowMs float64) *Attempt {
	q := c.queries[id]
	attempt := &Attempt{Shard: shard, Server: server, ReceivedAtMs: nowMs}
	if q == nil {
		c.report("%s was sent %s, which nobody asked for, at %.1f", server, id, nowMs)
		return attempt
	}
	if drainedAtMs, drains := c.drainedAtMs[server]; drains && nowMs > drainedAtMs+c.DrainGraceMs {
		c.report("rule 3: %s was sent %s at %.1f, told to drain at %.1f", server, id, nowMs, drainedAtMs)
	}
	if c.Strict && q.finalAnswers > 0 && nowMs > q.deadlineMs {
		c.report("%s was sent %s at %.1f, after its end", server, id, nowMs)
	}
	if c.checkEarlierAttempts(q, attempt) {
		c.retriedAtMs = append(c.retriedAtMs, nowMs)
		c.checkRetryBudget(nowMs)
	}
	c.checkWarmUp(server, nowMs)
	q.attempts = append(q.attempts, attempt)
	return attempt
}

// checkEarlierAttempts checks that no earlier attempt of the shard request may have run, unless it may run again. It reports whether
// there was one.
func (c *Checker) checkEarlierAttempts(q *query, attempt *Attempt) (isRetry bool) {
	nowMs := attempt.ReceivedAtMs
	for _, earlier := range q.attempts {
		if earlier.Shard != attempt.Shard {
			continue
		}
		isRetry = true
		mayHaveRun := !(earlier.NotExecuted && earlier.NotExecutedAtMs <= nowMs)
		expired := q.effect == IdempotentInWindow && nowMs > earlier.ReceivedAtMs+c.IdempotencyWindowMs
		if mayHaveRun && (q.effect == NonIdempotent || expired) {
			c.report("rule 2: %s went to %s at %.1f while one at %s may have run", q.id, attempt.Server, nowMs, earlier.Server)
		}
	}
	return isRetry
}

// checkWarmUp counts an attempt at a server in slow start, and checks the number within the window.
func (c *Checker) checkWarmUp(server string, nowMs float64) {
	span, known := c.warmUps[server]
	if !known || nowMs < span[0] || nowMs >= span[1] {
		return
	}
	recent := append(c.warmUpRequests[server], nowMs)
	for len(recent) > 0 && recent[0] < nowMs-c.WarmUpWindowMs {
		recent = recent[1:]
	}
	c.warmUpRequests[server] = recent
	if c.MaxWarmUpRequests > 0 && len(recent) > c.MaxWarmUpRequests {
		c.report("rule 4: %s, cold, was sent %d in %.0f ms at %.1f", server, len(recent), c.WarmUpWindowMs, nowMs)
	}
}

// checkRetryBudget checks the retries within the window that ends now. Each query earns for itself and for its shard request.
func (c *Checker) checkRetryBudget(nowMs float64) {
	if c.RetryBudgetWindowMs == 0 {
		return
	}
	sinceMs := nowMs - c.RetryBudgetWindowMs
	retries := len(c.retriedAtMs) - sort.SearchFloat64s(c.retriedAtMs, sinceMs)
	queries := len(c.receivedAtMs) - sort.SearchFloat64s(c.receivedAtMs, sinceMs)
	if float64(retries) > c.RetryBudgetBase+c.RetryBudgetRatio*2*float64(queries)+1e-9 {
		c.report("rule 6: %d further sub-requests in %.0f ms for %d searches at %.1f", retries, c.RetryBudgetWindowMs, queries, nowMs)
	}
}

// RecordNotExecuted records that the server proved to the broker that the attempt has not run.
func (a *Attempt) RecordNotExecuted(nowMs float64) { a.NotExecuted, a.NotExecutedAtMs = true, nowMs }

// RecordServerAnswer records a complete result of a query, as servers gave it.
func (c *Checker) RecordServerAnswer(id string, value []byte) {
	if q := c.queries[id]; q != nil {
		q.answers = append(q.answers, append([]byte(nil), value...))
	}
}

// RecordFinalAnswer records the client's final answer. complete: it claims that value is the complete result. shed: it invites a retry.
func (c *Checker) RecordFinalAnswer(id string, nowMs float64, complete bool, value []byte, shed bool) {
	q := c.queries[id]
	if q == nil {
		c.report("an answer to %s, which nobody asked", id)
		return
	}
	if q.finalAnswers++; q.finalAnswers > 1 {
		c.report("rule 1: %d final answers to %s", q.finalAnswers, id)
	}
	if nowMs > q.deadlineMs+c.AnswerSlackMs {
		c.report("rule 1: %s answered at %.1f, its time was up at %.1f", id, nowMs, q.deadlineMs)
	}
	if complete {
		for _, answer := range q.answers {
			if bytes.Equal(answer, value) {
				return
			}
		}
		c.report("rule 5: %s is said to be whole with what no server gave: %q", id, value)
	}
	if shed && q.effect == NonIdempotent {
		for _, attempt := range q.attempts {
			if !attempt.NotExecuted {
				c.report("rule 2: %s is shed though it may have run at %s", id, attempt.Server)
			}
		}
	}
}

// RecordDrain records that discovery notified the broker that a server drains, or that it no longer does.
func (c *Checker) RecordDrain(server string, drains bool, nowMs float64) {
	if !drains {
		delete(c.drainedAtMs, server)
	} else if _, known := c.drainedAtMs[server]; !known {
		c.drainedAtMs[server] = nowMs
	}
}

// RecordWarmUp records that a server is in slow start for a time.
func (c *Checker) RecordWarmUp(server string, startMs, endMs float64) {
	c.warmUps[server] = [2]float64{startMs, endMs}
}

// Check returns the violations so far. A query without an answer after its deadline is one.
func (c *Checker) Check(nowMs float64) []string {
	for _, id := range c.queryIDs {
		q := c.queries[id]
		if q.finalAnswers == 0 && !q.abandoned && nowMs > q.deadlineMs+c.AnswerSlackMs {
			c.report("rule 1: %s has no answer at %.1f, its time was up at %.1f", id, nowMs, q.deadlineMs)
			q.abandoned = true // reported once
		}
	}
	if len(c.queryIDs) > 0 && math.IsInf(nowMs, 1) {
		c.queryIDs = nil
	}
	return c.violations
}
