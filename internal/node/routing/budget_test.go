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
	assert.Equal(t, p.most(5*time.Second+peersMemory+ms), 4)
	assert.Equal(t, p.most(time.Hour), 4)
	p.set(time.Hour, 12)
	assert.Equal(t, p.most(time.Hour), 12)
}

func TestAllowance(t *testing.T) {
	r := New(0, Options{RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second})
	b := newBudget(10 * time.Second)
	allowance := func(at time.Duration) float64 { return r.allowance(at, &b) }
	assert.Equal(t, allowance(15*time.Second), 0.0, "no slack while the number of proxies isn't known")
	r.SetPeers(0, 6)
	assert.Equal(t, allowance(9*time.Second), 0.0, "nor in the first window after the start")
	assert.Equal(t, allowance(15*time.Second), budgetMargin*10)
	alone := New(0, Options{RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second})
	alone.SetPeers(0, 1)
	assert.Equal(t, alone.allowance(15*time.Second, &b), budgetMargin*60/peersLeast)
	for range 100 {
		b.requests.Add(20000, 1)
	}
	assert.Equal(t, allowance(21*time.Second), budgetMargin*(10+0.2*100))
	assert.Equal(t, allowance(31*time.Second), budgetMargin*10)
}

// Copies leave a part of the budget to what failed.
func TestCopiesLeaveBudget(t *testing.T) {
	r := New(0, Options{RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second})
	r.SetPeers(0, 6)
	b := newBudget(10 * time.Second)
	now := 20 * time.Second
	count := func(share float64) int {
		n := 0
		for r.affords(now, &b, share) {
			b.further.Add(milliseconds(now), 1)
			n++
		}
		return n
	}
	assert.Equal(t, count(copyReserve), 4)
	assert.Equal(t, count(1), 5)
}

// A broker that takes no connection has had no arrival: the next is the first.
func TestUnreachableBrokerCostsNoBudget(t *testing.T) {
	w := newWorld(t, instances(4))
	w.options.RetryBudgetSlack, w.options.RetryBudgetRatio = 0, 0
	a := w.begin(w.request(onceRoute))
	d := w.Finished(w.now, a.Request, a.Number, outcomeUnreachable, false)
	assert.Assert(t, d.Attempt != nil)
	d = w.Finished(w.now, a.Request, d.Attempt.Number, outcomeFull, false)
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, RefusedBudget)
}
