package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
)

// Less urgent requests give up after fewer refusals, and may use less of the retry budget.
func TestUrgentRequestsTryLonger(t *testing.T) {
	for urgency, want := range []struct {
		refusals int
		share    float64
	}{{4, 1}, {3, 0.9}, {2, 0.8}, {2, 0.7}, {2, 0.7}} {
		assert.Equal(t, MaxRefusals(urgency), want.refusals)
		difference := RetryBudgetShare(urgency) - want.share
		assert.Assert(t, difference > -1e-9 && difference < 1e-9, "urgency %d: %v", urgency, RetryBudgetShare(urgency))
	}
}

// Retry-After is at most a third of the time left, and within that bound not before a broker may have
// capacity.
func TestRetryAfterIsWithinAThirdOfTheTimeLeft(t *testing.T) {
	const now = 20 * time.Second
	g := New(0, mechanism.NewSwitches(0), rand.New(rand.NewPCG(1, 2)))
	for _, c := range []struct {
		name             string
		left             core.Time
		reason           Reason
		capacityAt       core.Time
		minimum, maximum core.Time
	}{
		{"much time left", 9 * time.Second, ReasonBrokersFull, core.Never, MinRetryAfter, maxRetryAfter},
		{"little time left", 300 * time.Millisecond, ReasonBrokersFull, core.Never, MinRetryAfter, 100 * time.Millisecond},
		{"deadline over", -time.Second, ReasonDeadline, core.Never, 0, 0},
		{"capacity soon", 3 * time.Second, ReasonBrokersFull, now + 200*time.Millisecond, 200 * time.Millisecond, time.Second},
		{"capacity late", 3 * time.Second, ReasonBrokersFull, now + 5*time.Second, 500 * time.Millisecond, time.Second},
		{"another proxy may serve it", 3 * time.Second, ReasonBrokersUnhealthy, core.Never, MinRetryAfter, MaxRetryAfterOtherProxy},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 100 {
				req := &inflight.Request{ClientRequest: inflight.ClientRequest{Deadline: now + c.left}}
				retryAfter := g.RetryAfter(now, req, c.reason, c.capacityAt)
				assert.Assert(t, retryAfter >= c.minimum && retryAfter <= c.maximum, "%v", retryAfter)
			}
		})
	}
}

// The most urgent requests are shed only once half of the less urgent are.
func TestUrgentRequestsAreShedLast(t *testing.T) {
	for _, c := range []struct{ shed, urgentShed, otherShed float64 }{{0, 0, 0}, {0.3, 0, 0.3}, {0.5, 0, 0.5}, {0.75, 0.5, 0.75}} {
		o := NewOverloadDetector()
		o.RecordArrival(time.Second, 0)
		o.RecordArrival(time.Second, 2)
		o.shedShare = c.shed
		assert.Equal(t, o.ShedProbability(0), c.urgentShed)
		assert.Equal(t, o.ShedProbability(1), c.otherShed)
		assert.Equal(t, o.ShedProbability(2), c.otherShed)
	}
}
