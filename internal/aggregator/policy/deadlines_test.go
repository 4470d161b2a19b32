package policy

import (
	"math"
	"testing"
)

// Clients shed at one time must not all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	p, _ := newTestPolicy(2, func(p *Policy) { p.SetMaxRetryAfter(1e6) })
	mean, seen := retryAfterShare*p.queryTypes[0].latencyTarget, map[float64]bool{}
	for range 20 {
		retryAfter := p.RetryAfter(0)
		failIf(t, retryAfter < 0.5*mean || retryAfter > 1.5*mean, "retry after %.0f ms, want within half of %.0f", retryAfter, mean)
		seen[math.Round(retryAfter)] = true
	}
	failIf(t, len(seen) < 10, "only %d different retry-after times in 20", len(seen))
}

func TestShedGivesRetryAfter(t *testing.T) {
	p, out := newTestPolicy(1, func(p *Policy) { p.SetMaxRetryAfter(200) })
	now := runAnsweredSearches(p, 1000, 30)
	p.servers[0].meanLatency = 5000
	runSearch(p, now, 0, 1)
	wantInts(t, "shed searches", out.shed, 0)
	failIf(t, out.retryAfter > 200 || out.retryAfter < 0.5*retryAfterShare*p.queryTypes[0].latencyTarget,
		"retry after %.0f ms, the maximum is 200", out.retryAfter)
}
