package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/admission"
)

// A broker that takes no connection has had no arrival: the next is the first.
func TestUnreachableBrokerCostsNoBudget(t *testing.T) {
	w := newWorld(t, instances(4))
	w.limits.Ratio, w.limits.Slack = 0, 0
	a := w.begin(w.request(onceRoute))
	d := w.Finished(w.now, a.Request, a.Number, outcomeUnreachable, false)
	assert.Assert(t, d.Attempt != nil)
	d = w.Finished(w.now, a.Request, d.Attempt.Number, outcomeFull, false)
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.Budget)
}
