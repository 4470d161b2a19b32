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
	// MinAdvice is the shortest advice, and ShortAdvice the longest where another proxy may do better at once.
	MinAdvice   = 20 * time.Millisecond
	ShortAdvice = 120 * time.Millisecond
	// For StartingSpan after its start this node may still have to learn of the brokers. Then advice lies between
	// MinStartingAdvice and MaxStartingAdvice.
	StartingSpan      = 3 * time.Second
	MinStartingAdvice = 600 * time.Millisecond
	MaxStartingAdvice = time.Second

	maxAdvice    = 1200 * time.Millisecond
	adviceFactor = 3 // clients follow advice of up to a third of the time they have left
)

// Advice is when a refused client should come again (Retry-After): within a third of the time it has left, spread by
// chance so that those who were refused together don't come together. capacityAt is when a broker may have capacity;
// core.Never: not known.
func (g *Gate) Advice(now core.Time, req *inflight.Request, reason Reason, capacityAt core.Time) core.Time {
	most := min(max(req.Deadline-now, 0)/adviceFactor, maxAdvice)
	if reason == Unhealthy || reason == Attempts || reason == NoBroker {
		most = min(most, ShortAdvice)
	}
	least := min(MinAdvice, most)
	if reason == NoBroker && now < g.startedAt+StartingSpan {
		most = min(max(req.Deadline-now, 0)/adviceFactor, MaxStartingAdvice)
		least = min(MinStartingAdvice, most)
	}
	chance := g.random.Float64()
	if capacityAt != core.Never && capacityAt > now {
		least = max(least, min(capacityAt-now, most/2))
	}
	return least + core.Time(chance*float64(most-least))
}
