package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/units"
)

// A proxy's share of the slack depends on the maximum number of proxies that was known within the
// last minute.
func TestProxyCountIsMaximumOfLastMinute(t *testing.T) {
	var p ProxyCount
	assert.Equal(t, p.Max(0), 0)
	p.Set(0, 10)
	p.Set(5*time.Second, 3)
	p.Set(10*time.Second, 4)
	assert.Equal(t, p.Max(20*time.Second), 10)
	assert.Equal(t, p.Max(5*time.Second+maxProxiesSpan), 10)
	assert.Equal(t, p.Max(5*time.Second+maxProxiesSpan+time.Millisecond), 4)
	assert.Equal(t, p.Max(time.Hour), 4)
	p.Set(time.Hour, 12)
	assert.Equal(t, p.Max(time.Hour), 12)
}

func TestAllowanceBySlackAndRequests(t *testing.T) {
	l := NewLimits(0, 0.2, 60, 10*time.Second)
	b := l.NewBudget()
	allowance := func(at time.Duration) float64 { return l.allowance(at, &b) }
	assert.Equal(t, allowance(15*time.Second), 0.0, "no slack while the number of proxies isn't known")
	l.Proxies.Set(0, 6)
	assert.Equal(t, allowance(9*time.Second), 0.0, "nor in the first window after the start")
	assert.Equal(t, allowance(15*time.Second), safetyMargin*10)
	alone := NewLimits(0, 0.2, 60, 10*time.Second)
	alone.Proxies.Set(0, 1)
	assert.Equal(t, alone.allowance(15*time.Second, &b), safetyMargin*60/minProxies)
	for range 100 {
		b.requests.Add(20000, 1)
	}
	assert.Equal(t, allowance(21*time.Second), safetyMargin*(10+0.2*100))
	assert.Equal(t, allowance(31*time.Second), safetyMargin*10)
}

// Hedged requests leave a part of the budget for retries.
func TestHedgesLeaveBudgetForRetries(t *testing.T) {
	l := NewLimits(0, 0.2, 60, 10*time.Second)
	l.Proxies.Set(0, 6)
	b := l.NewBudget()
	now := 20 * time.Second
	count := func(share float64) int {
		n := 0
		for l.Allows(now, &b, share) {
			b.retries.Add(units.Milliseconds(now), 1)
			n++
		}
		return n
	}
	assert.Equal(t, count(HedgeShare), 4)
	assert.Equal(t, count(1), 5)
}
