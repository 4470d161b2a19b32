package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/brokerstate"
)

// tableWithLoading returns a table of ten brokers of which the first n are marked as loading new weights.
func tableWithLoading(n int) *registry.Table {
	list := instances(10)
	for i := range n {
		list[i].Loading = true
	}
	return tableOf(list...)
}

// A lost lease holder may leave marks of loading weights behind. While they make brokers scarce, they are
// trusted only for a time.
func TestStaleLoadingMarks(t *testing.T) {
	for _, c := range []struct {
		name   string
		marked int       // brokers
		after  core.Time // since the marks were first seen
		used   bool      // the marked brokers get requests
	}{
		{"few", 4, time.Minute, false},
		{"many, recently marked", 5, brokerstate.LoadingMarkExpiry - ms, false},
		{"many, marked for long", 5, brokerstate.LoadingMarkExpiry, true},
		{"all, marked for long", 10, brokerstate.LoadingMarkExpiry, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(10))
			f.SetTable(f.now, tableWithLoading(c.marked))
			f.now += c.after / 2
			f.SetTable(f.now, tableWithLoading(c.marked))
			f.now += c.after - c.after/2
			used := 0
			for range 40 {
				_, d := f.Begin(f.now, f.request(safeRoute))
				if d.Attempt == nil {
					continue
				}
				if d.Attempt.Instance.Loading {
					used++
				}
				f.answerNow(d.Attempt)
			}
			assert.Equal(t, used > 0, c.used)
		})
	}
}

// A draining broker gets no request however scarce brokers are (RULES.md, DRAIN).
func TestDrainingBrokersStayUnused(t *testing.T) {
	f := newFixture(t, instances(10))
	table := tableWithLoading(8)
	for _, instance := range table.ByService[service][2:4] {
		instance.State = registry.Draining
	}
	f.SetTable(f.now, table)
	f.now += time.Minute
	for range 60 {
		a := f.mustBegin(f.request(safeRoute))
		assert.Equal(t, a.Instance.State, registry.Ready)
		f.answerNow(a)
	}
}

// A broker that refuses requests while it doesn't have the newest version gets none for RolloutBackoff, unless
// its new version becomes known or it accepts a request before. That is longer than the backoff of a full
// broker, and also holds for the most urgent requests.
func TestBackoffDuringRollout(t *testing.T) {
	for _, c := range []struct {
		name    string
		version uint64 // that the configuration names
		load    *Load  // that the broker reports
		rollout bool   // the refusal counts as one for a rollout
	}{
		{"no newer version", 1, nil, false},
		{"a newer version", 2, nil, true},
		{"a newer version, slots free", 2, &Load{Running: 9, Waiting: 3, Slots: 64}, true},
		{"a newer version, the queue is long", 2, &Load{Running: 64, Waiting: 190, Slots: 64}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(1))
			f.SetConfig(f.now, configOf(map[string]uint64{model: c.version}))
			a := f.mustBegin(f.prompt(streamRoute, 3))
			outcome := outcomeFull
			outcome.Load = c.load
			f.AttemptEnded(f.now, a.Request, a.Number, outcome, false)
			f.End(f.now, a.Request)
			f.now += brokerstate.RolloutBackoff - ms
			_, d := f.Begin(f.now, f.prompt(streamRoute, 3))
			assert.Equal(t, d.Attempt == nil, c.rollout)
			if c.rollout {
				assert.Equal(t, d.Refusal.Reason, admission.ReasonBrokersFull)
				f.now += ms
				assert.Assert(t, f.mustBegin(f.prompt(streamRoute, 3)) != nil)
			}
		})
	}
}

// The backoff ends as soon as the broker is known to have the new weights.
func TestNewWeightsEndTheBackoff(t *testing.T) {
	f := newFixture(t, instances(1))
	f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
	a := f.mustBegin(f.prompt(streamRoute, 3))
	f.AttemptEnded(f.now, a.Request, a.Number, outcomeFull, false)
	f.End(f.now, a.Request)
	f.SetTable(f.now, tableOf(withVersion(instances(1)[0], 2)))
	assert.Equal(t, f.mustBegin(f.prompt(streamRoute, 3)).ExpectVersion, uint64(2))
}

// A node that has just started asks clients to come back when it knows the brokers. Later, another node may
// serve them at once, so Retry-After is short.
func TestRetryAfterWithoutBrokers(t *testing.T) {
	for _, c := range []struct {
		sinceStart, minimum, maximum core.Time
	}{
		{time.Second, admission.MinStartupRetryAfter, admission.MaxStartupRetryAfter},
		{admission.StartupPeriod, admission.MinRetryAfter, admission.MaxRetryAfterOtherProxy},
	} {
		f := newFixture(t, nil)
		f.admissionControl = admission.New(f.now-c.sinceStart, f.switches, f.options.Random)
		for range 30 {
			_, d := f.Begin(f.now, f.request(safeRoute))
			assert.Equal(t, d.Refusal.Reason, admission.ReasonNoBroker)
			assert.Assert(t, d.Refusal.RetryAfter >= c.minimum && d.Refusal.RetryAfter <= c.maximum, "%v", d.Refusal.RetryAfter)
		}
		short := f.request(safeRoute)
		short.Deadline = f.now + 900*ms
		_, d := f.Begin(f.now, short)
		assert.Assert(t, d.Refusal.RetryAfter <= 300*ms)
	}
}
