package policy

import (
	"math"
	"testing"
)

// Clients shed at one time must not all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	b, _ := newTestPolicy(2, func(b *Policy) { b.MaxRetryAfter(1e6) })
	latencyTarget, seen := b.queryTypes[0].latencyTarget, map[float64]bool{}
	for range 20 {
		retryAfter := b.RetryAfter(0)
		failIf(t, retryAfter < 0.5*retryAfterShare*latencyTarget || retryAfter > 1.5*retryAfterShare*latencyTarget, "retry after %.0f ms", retryAfter)
		seen[math.Round(retryAfter)] = true
	}
	failIf(t, len(seen) < 10, "only %d different times", len(seen))
}

func TestShedGivesRetryAfter(t *testing.T) {
	b, n := newTestPolicy(1, func(b *Policy) { b.MaxRetryAfter(200) })
	now := runAnsweredSearches(b, 1000, 30)
	b.servers[0].meanLatency = 5000
	runSearch(b, now, 0, 1)
	wantInts(t, "shed", n.shed, 0)
	failIf(t, n.retryAfter > 200 || n.retryAfter < 0.5*retryAfterShare*b.queryTypes[0].latencyTarget, "retry after %.0f ms, the maximum is 200", n.retryAfter)
}
