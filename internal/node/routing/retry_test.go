package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/admission"
)

// A request doesn't arrive at a broker that accepts no connection. The arrival at the next broker is the
// first one, which costs no retry budget.
func TestUnreachableBrokerCostsNoBudget(t *testing.T) {
	f := newFixture(t, instances(4))
	f.retryLimits.Ratio, f.retryLimits.Slack = 0, 0
	a := f.mustBegin(f.request(unsafeRoute))
	d := f.AttemptEnded(f.now, a.Request, a.Number, outcomeUnreachable, false)
	assert.Assert(t, d.Attempt != nil)
	d = f.AttemptEnded(f.now, a.Request, d.Attempt.Number, outcomeFull, false)
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.ReasonBudgetExhausted)
}

// A request is retried after a configuration that removes its service, or the engine of its service. Such
// a configuration must not crash the process either.
func TestRetryOutlivesItsServicesRemoval(t *testing.T) {
	withoutEngine := configOf(nil)
	withoutEngine.Services[service] = &config.Service{Name: service}
	withoutService := configOf(nil)
	withoutService.Services = map[string]*config.Service{}
	for name, changed := range map[string]*config.Compiled{"engine": withoutEngine, "service": withoutService} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, instances(3))
			first := f.mustBegin(f.prompt(streamRoute, 10))
			f.SetConfig(f.now, changed)
			decision := f.AttemptEnded(f.now, first.Request, first.Number, outcomeFull, false)
			assert.Assert(t, decision.Attempt != nil)
			assert.Assert(t, decision.Attempt.Instance.ID != first.Instance.ID)
		})
	}
}
