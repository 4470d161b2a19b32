package admission

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/inflight"
)

// Reason says why a request was refused, for logs and counters.
type Reason string

// The reasons for refusals.
const (
	ReasonNoBroker          Reason = "no broker known"
	ReasonBrokersFull       Reason = "all brokers full"
	ReasonBudgetExhausted   Reason = "retry budget spent"
	ReasonDeadline          Reason = "deadline too close"
	ReasonAttemptsExhausted Reason = "no attempt left"
	ReasonBrokersUnhealthy  Reason = "no broker in reach"
	ReasonPostponed         Reason = "too much waits"
)

const (
	// MinAdvice is the shortest advice.
	MinRetryAfter = 20 * time.Millisecond
	// ShortAdvice is the longest advice where another proxy may do better at once.
	MaxRetryAfterOtherProxy = 120 * time.Millisecond
	// StartingSpan is how long after its start this node may still have to learn of the brokers.
	StartupPeriod = 3 * time.Second
	// MinStartingAdvice is the shortest advice in that span, where no broker is known.
	MinStartupRetryAfter = 600 * time.Millisecond
	// MaxStartingAdvice is the longest advice in that span, where no broker is known.
	MaxStartupRetryAfter = time.Second

	maxRetryAfter     = 1200 * time.Millisecond
	retryAfterDivisor = 3 // clients follow advice of up to a third of the time they have left
)

// RetryAfter is when a refused client should come again (Retry-After): within a third of the time it
// has left, spread by chance so that those who were refused together don't come together.
// capacityAt is when a broker may have capacity; core.Never: not known.
func (g *Controller) RetryAfter(now core.Time, req *inflight.Request, reason Reason, capacityAt core.Time) core.Time {
	longest := min(max(req.Deadline-now, 0)/retryAfterDivisor, maxRetryAfter)
	if reason == ReasonBrokersUnhealthy || reason == ReasonAttemptsExhausted || reason == ReasonNoBroker {
		longest = min(longest, MaxRetryAfterOtherProxy)
	}
	shortest := min(MinRetryAfter, longest)
	if reason == ReasonNoBroker && now < g.startedAt+StartupPeriod {
		longest = min(max(req.Deadline-now, 0)/retryAfterDivisor, MaxStartupRetryAfter)
		shortest = min(MinStartupRetryAfter, longest)
	}
	draw := g.random.Float64()
	if capacityAt != core.Never && capacityAt > now {
		shortest = max(shortest, min(capacityAt-now, longest/2))
	}
	return shortest + core.Time(draw*float64(longest-shortest))
}
