package policy

import (
	"math"
	"testing"
)

// All who were shed in one moment were told the same time, and came back as one.
func TestRetryAfterIsSpread(t *testing.T) {
	b, _ := newTestPolicy(2, func(b *Policy) { b.MaxRetryAfter(1e6) })
	aim, seen := b.queryTypes[0].latencyTarget, map[float64]bool{}
	for range 20 {
		back := b.RetryAfter(0)
		failIf(t, back < 0.5*retryAfterShare*aim || back > 1.5*retryAfterShare*aim, "back in %.0f", back)
		seen[math.Round(back)] = true
	}
	failIf(t, len(seen) < 10, "only %d different times", len(seen))
}

func TestShedGivesRetryAfter(t *testing.T) {
	b, n := newTestPolicy(1, func(b *Policy) { b.MaxRetryAfter(200) })
	now := runAnsweredSearches(b, 1000, 30)
	b.servers[0].meanLatency = 5000
	runSearch(b, now, 0, 1)
	wantInts(t, "shed", n.shed, 0)
	failIf(t, n.retryAfter > 200 || n.retryAfter < 0.5*retryAfterShare*b.queryTypes[0].latencyTarget, "come back in %.0f ms, the longest advice is 200", n.retryAfter)
}
