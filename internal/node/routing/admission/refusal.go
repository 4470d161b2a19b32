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
	NoBroker  Reason = "no broker known"
	Full      Reason = "all brokers full"
	Budget    Reason = "retry budget spent"
	Deadline  Reason = "deadline too close"
	Attempts  Reason = "no attempt left"
	Unhealthy Reason = "no broker in reach"
	Late      Reason = "too much waits"
)

const (
	// MinAdvice is the shortest advice.
	MinAdvice = 20 * time.Millisecond
	// ShortAdvice is the longest advice where another proxy may do better at once.
	ShortAdvice = 120 * time.Millisecond
	// StartingSpan is how long after its start this node may still have to learn of the brokers.
	StartingSpan = 3 * time.Second
	// MinStartingAdvice is the shortest advice in that span, where no broker is known.
	MinStartingAdvice = 600 * time.Millisecond
	// MaxStartingAdvice is the longest advice in that span, where no broker is known.
	MaxStartingAdvice = time.Second

	maxAdvice    = 1200 * time.Millisecond
	adviceFactor = 3 // clients follow advice of up to a third of the time they have left
)

// Advice is when a refused client should come again (Retry-After): within a third of the time it
// has left, spread by chance so that those who were refused together don't come together.
// capacityAt is when a broker may have capacity; core.Never: not known.
func (g *Gate) Advice(now core.Time, req *inflight.Request, reason Reason, capacityAt core.Time) core.Time {
	longest := min(max(req.Deadline-now, 0)/adviceFactor, maxAdvice)
	if reason == Unhealthy || reason == Attempts || reason == NoBroker {
		longest = min(longest, ShortAdvice)
	}
	shortest := min(MinAdvice, longest)
	if reason == NoBroker && now < g.startedAt+StartingSpan {
		longest = min(max(req.Deadline-now, 0)/adviceFactor, MaxStartingAdvice)
		shortest = min(MinStartingAdvice, longest)
	}
	draw := g.random.Float64()
	if capacityAt != core.Never && capacityAt > now {
		shortest = max(shortest, min(capacityAt-now, longest/2))
	}
	return shortest + core.Time(draw*float64(longest-shortest))
}
