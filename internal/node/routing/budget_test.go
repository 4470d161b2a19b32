package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The share of the slack goes by the most proxies known within the last minute.
func TestPeersOfTheLastMinute(t *testing.T) {
	var p peers
	assert.Equal(t, p.most(0), 0)
	p.set(0, 10)
	p.set(5*time.Second, 3)
	p.set(10*time.Second, 4)
	assert.Equal(t, p.most(20*time.Second), 10)
	assert.Equal(t, p.most(5*time.Second+peersMemory), 10)
	assert.Equal(t, p.most(5*time.Second+peersMemory+time.Millisecond), 4)
	assert.Equal(t, p.most(time.Hour), 4)
	p.set(time.Hour, 12)
	assert.Equal(t, p.most(time.Hour), 12)
}

func TestAllowance(t *testing.T) {
	l := newLimits(0, 0.2, 60, 10*time.Second)
	b := l.newBudget()
	allowance := func(at time.Duration) float64 { return l.allowance(at, &b) }
	assert.Equal(t, allowance(15*time.Second), 0.0, "no slack while the number of proxies isn't known")
	l.proxies.set(0, 6)
	assert.Equal(t, allowance(9*time.Second), 0.0, "nor in the first window after the start")
	assert.Equal(t, allowance(15*time.Second), budgetMargin*10)
	alone := newLimits(0, 0.2, 60, 10*time.Second)
	alone.proxies.set(0, 1)
	assert.Equal(t, alone.allowance(15*time.Second, &b), budgetMargin*60/peersLeast)
	for range 100 {
		b.requests.Add(20000, 1)
	}
	assert.Equal(t, allowance(21*time.Second), budgetMargin*(10+0.2*100))
	assert.Equal(t, allowance(31*time.Second), budgetMargin*10)
}

// Copies leave a part of the budget to what failed.
func TestCopiesLeaveBudget(t *testing.T) {
	l := newLimits(0, 0.2, 60, 10*time.Second)
	l.proxies.set(0, 6)
	b := l.newBudget()
	now := 20 * time.Second
	count := func(share float64) int {
		n := 0
		for l.affords(now, &b, share) {
			b.further.Add(milliseconds(now), 1)
			n++
		}
		return n
	}
	assert.Equal(t, count(hedgeShare), 4)
	assert.Equal(t, count(1), 5)
}
