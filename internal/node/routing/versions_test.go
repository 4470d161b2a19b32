package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/modelversion"
)

// withVersion sets the version of the weights that an instance has, and returns the instance.
func withVersion(i *registry.Instance, version uint64) *registry.Instance {
	i.Versions = map[string]uint64{model: version}
	return i
}

// During a rollout, each attempt names the version that its broker has, both in Expect-Version and in the
// salt.
func TestAttemptNamesItsBrokersVersion(t *testing.T) {
	list := instances(6)
	for i, instance := range list {
		withVersion(instance, uint64(1+i%2))
	}
	f := newFixture(t, list)
	f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
	seen := map[uint64]bool{}
	for part := range uint64(40) {
		a := f.mustBegin(f.prompt(streamRoute, part+10))
		assert.Equal(t, a.ExpectVersion, a.Instance.Versions[model])
		assert.Equal(t, a.Salt, cachesalt.Text(model, a.ExpectVersion, ""))
		seen[a.ExpectVersion] = true
		f.answerAfter(a, ms)
	}
	assert.Assert(t, seen[1] && seen[2])
	f.now += 10 * time.Second
	for part := range uint64(40) {
		a := f.mustBegin(f.prompt(streamRoute, part+10))
		assert.Equal(t, a.ExpectVersion, uint64(2))
		f.answerAfter(a, ms)
	}
}

// While few brokers have the new weights, those with older ones are used until their grace period ends.
// Once enough have them, the older ones get no request shortly before that time.
func TestOlderWeightsAreUsedWhileNewOnesAreScarce(t *testing.T) {
	for _, c := range []struct {
		updated int  // of nine brokers
		older   bool // older weights are used in the last second
	}{{0, true}, {3, true}, {5, true}, {6, false}, {8, false}} {
		list := instances(9)
		for i := range c.updated {
			withVersion(list[i], 2)
		}
		f := newFixture(t, list)
		f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
		until := f.now + 8*time.Second - modelversion.PropagationMargin
		older := func() int {
			n := 0
			for part := range uint64(60) {
				a := f.mustBegin(f.prompt(streamRoute, part*7))
				if a.ExpectVersion < 2 {
					n++
				}
				f.answerNow(a)
			}
			return n
		}
		f.now = until - candidate.NewestFirstSpan - ms
		assert.Assert(t, older() > 0, "%d brokers updated", c.updated)
		f.now = until - time.Second
		assert.Equal(t, older() > 0, c.older, "%d brokers updated", c.updated)
	}
}

// A request to a broker with older weights must get its first token before their grace period ends.
func TestStartsBeforeTheGracePeriodEnds(t *testing.T) {
	for _, latency := range []core.Time{10 * ms, 900 * ms, 5 * time.Second} {
		f := newFixture(t, instances(4))
		var sent []*Attempt
		for range 40 {
			sent = append(sent, f.mustBegin(f.prompt(streamRoute, 7)))
		}
		f.now += latency
		for _, a := range sent {
			f.answerNow(a)
		}
		f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
		until := f.now + 8*time.Second - modelversion.PropagationMargin
		lead := min(max(core.Time(candidate.FirstTokenFactor*float64(latency)), candidate.MinFirstToken), candidate.MaxFirstToken)
		f.now = until - lead*12/10 - 100*ms
		assert.Equal(t, f.mustBegin(f.prompt(streamRoute, 8)).ExpectVersion, uint64(1))
		f.now = until - lead*8/10
		_, d := f.Begin(f.now, f.prompt(streamRoute, 8))
		assert.Assert(t, d.Refusal != nil, "latency %v", latency)
	}
}

// After the grace period, no attempt is made if only brokers with older weights are left.
func TestNoBrokerWithAllowedWeights(t *testing.T) {
	f := newFixture(t, instances(3))
	f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
	f.now += 20 * time.Second
	_, d := f.Begin(f.now, f.prompt(streamRoute, 4))
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, admission.ReasonNoBroker)
}

// A service without an engine runs no models, even if its requests name one.
func TestServiceWithoutEngine(t *testing.T) {
	f := newFixture(t, instances(3))
	compiled := configOf(map[string]uint64{model: 2})
	compiled.Services[service].Engine = nil
	f.SetConfig(f.now, compiled)
	f.now += 20 * time.Second
	a := f.mustBegin(f.prompt(streamRoute, 4))
	assert.Equal(t, a.Salt, "")
	assert.Equal(t, a.ExpectVersion, uint64(0))
	assert.Equal(t, a.FetchFrom+a.SaveTo, "")
}
