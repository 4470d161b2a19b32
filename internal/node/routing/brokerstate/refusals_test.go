package brokerstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

// The backoff doubles with consecutive refusals, follows the delay that the broker asks for within
// bounds, and ends with an answer.
func TestBackoffAfterRefusals(t *testing.T) {
	const now = 20 * time.Second
	newBroker := func() *Broker { return NewBroker(0, &registry.Instance{ID: "i00"}, false) }
	for _, c := range []struct {
		name       string
		refusals   int
		retryAfter core.Time
		load       *Load
		want       time.Duration
	}{
		{"one refusal", 1, 0, nil, RefusalBackoff},
		{"two consecutive refusals", 2, 0, nil, 2 * RefusalBackoff},
		{"many consecutive refusals", 9, 0, nil, maxRefusalBackoff},
		{"delay asked for", 1, 600 * ms, nil, 600 * ms},
		{"short delay asked for", 1, ms, nil, RefusalBackoff / 2},
		{"long delay asked for", 1, time.Minute, nil, maxRefusalBackoff},
		{"slots are free", 1, 0, &Load{Running: 3, Slots: 64}, RefusalBackoff / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBroker()
			for range c.refusals {
				b.RecordRefusal(now, c.retryAfter, c.load)
			}
			assert.Equal(t, b.BackoffUntil(), now+c.want)
			assert.Assert(t, b.BackingOff(now+c.want-1, 1))
			assert.Assert(t, !b.BackingOff(now+c.want, 1))
			assert.Assert(t, !b.BackingOff(now+c.want/2, 0), "the backoff of the most urgent requests is shorter")
			b.ClearRefusals(now)
			assert.Assert(t, b.BackingOff(now+1, 1), "the answer to an earlier request doesn't end the backoff")
			b.ClearRefusals(now + 1)
			assert.Assert(t, !b.BackingOff(now+1, 1))
		})
	}
	b := newBroker()
	b.RecordRolloutRefusal(now)
	assert.Assert(t, b.BackingOff(now+RolloutBackoff-1, 0), "applies to the most urgent requests too")
	assert.Assert(t, !b.BackingOff(now+RolloutBackoff, 0))
}
