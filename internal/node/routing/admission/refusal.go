package admission

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/inflight"
)

// Reason is why a request was refused. Logs, counters and the node's status show it.
type Reason string

// The reasons for refusals. Their texts are part of the node's status and stay as they are.
const (
	ReasonNoBroker          Reason = "no broker known"
	ReasonBrokersFull       Reason = "all brokers full"
	ReasonBudgetExhausted   Reason = "retry budget spent"
	ReasonDeadline          Reason = "deadline too close"
	ReasonAttemptsExhausted Reason = "no attempt left"
	ReasonBrokersUnhealthy  Reason = "no broker in reach" // all are ejected or unreachable
	ReasonPostponed         Reason = "too much waits"     // a first try that was postponed, see Controller.ShouldPostpone
)

const (
	// MinRetryAfter is the shortest Retry-After, unless a third of the time left is shorter still.
	MinRetryAfter = 20 * time.Millisecond
	// MaxRetryAfterOtherProxy is the longest Retry-After for refusals after which another proxy may
	// serve the request at once.
	MaxRetryAfterOtherProxy = 120 * time.Millisecond
	// StartupPeriod is how long after its start a node may not know all brokers yet.
	StartupPeriod = 3 * time.Second
	// MinStartupRetryAfter is the shortest Retry-After within StartupPeriod while no broker is known.
	MinStartupRetryAfter = 600 * time.Millisecond
	// MaxStartupRetryAfter is the longest Retry-After within StartupPeriod while no broker is known.
	MaxStartupRetryAfter = time.Second

	maxRetryAfter     = 1200 * time.Millisecond
	retryAfterDivisor = 3 // clients follow a Retry-After of at most 1/retryAfterDivisor of the time they have left
)

// RetryAfter returns after which time a refused client should try again (header Retry-After): within
// a third of the time it has left, and at random, so that clients that were refused together don't
// come back together. capacityAt is when a broker may have capacity; core.Never: not known.
func (c *Controller) RetryAfter(now core.Time, req *inflight.Request, reason Reason, capacityAt core.Time) core.Time {
	longest := min(max(req.Deadline-now, 0)/retryAfterDivisor, maxRetryAfter)
	if reason == ReasonBrokersUnhealthy || reason == ReasonAttemptsExhausted || reason == ReasonNoBroker {
		longest = min(longest, MaxRetryAfterOtherProxy)
	}
	shortest := min(MinRetryAfter, longest)
	if reason == ReasonNoBroker && now < c.startedAt+StartupPeriod {
		longest = min(max(req.Deadline-now, 0)/retryAfterDivisor, MaxStartupRetryAfter)
		shortest = min(MinStartupRetryAfter, longest)
	}
	fraction := c.random.Float64()
	if capacityAt != core.Never && capacityAt > now {
		shortest = max(shortest, min(capacityAt-now, longest/2))
	}
	return shortest + core.Time(fraction*float64(longest-shortest))
}
