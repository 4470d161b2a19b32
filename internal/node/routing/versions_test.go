package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

var testBounds = versionBounds{single: 10 * time.Second, all: 14 * time.Second}

// RULES.md VERSION: until when a request may start on older weights.
func TestVersionsAllowed(t *testing.T) {
	v := newVersions(0, testBounds)
	grace := testBounds.single - learnMargin
	v.learn(0, configOf(nil))
	assert.Equal(t, v.newest(model), uint64(1))
	v.learn(20*time.Second, configOf(map[string]uint64{model: 2}))
	v.learn(24*time.Second, configOf(map[string]uint64{model: 3}))
	v.learn(40*time.Second, configOf(map[string]uint64{model: 3}))
	assert.Equal(t, v.newest(model), uint64(3))
	for _, c := range []struct {
		at      time.Duration
		version uint64
		want    bool
	}{
		{21 * time.Second, 1, true},
		{20*time.Second + grace - ms, 1, true},
		{20*time.Second + grace, 1, false}, // judged by the naming of 2, not of 3
		{20*time.Second + grace, 2, true},
		{24*time.Second + grace, 2, false},
		{500 * time.Second, 3, true},
		{500 * time.Second, 4, true}, // named, but not yet known here
	} {
		assert.Equal(t, v.allowed(c.at, model, c.version), c.want, "version %d at %v", c.version, c.at)
	}
	assert.Assert(t, !v.anyEndsWithin(25*time.Second, model, time.Second))
	assert.Assert(t, v.anyEndsWithin(20*time.Second+grace-time.Second, model, time.Second))
	assert.Assert(t, v.anyEndsWithin(24*time.Second+grace-time.Second, model, time.Second))
	assert.Assert(t, !v.anyEndsWithin(24*time.Second+grace, model, time.Second))
}

// The time is counted within a single stretch during which the core was stable, and over all of them up to another bound: a
// disturbance begins it anew, but never once it was over, nor beyond the bound of all.
func TestVersionsWhileTheCoreIsDisturbed(t *testing.T) {
	const named = 20 * time.Second
	for _, c := range []struct {
		name        string
		all         time.Duration
		contact     time.Duration
		disturbedAt []time.Duration // since the naming
		want        time.Duration   // since the naming
	}{
		{"never", 14 * time.Second, 0, nil, 9300 * ms},
		{"once", 14 * time.Second, 0, []time.Duration{time.Second}, 10300 * ms},
		{"twice", 14 * time.Second, 0, []time.Duration{time.Second, 2 * time.Second}, 11300 * ms},
		{"again and again", 14 * time.Second, 0, []time.Duration{time.Second, 5 * time.Second, 9 * time.Second}, 12 * time.Second},
		{
			"what was not stable counts for none", 14 * time.Second, 3 * time.Second,
			[]time.Duration{time.Second, 5 * time.Second, 9 * time.Second}, 18 * time.Second,
		},
		{
			"troubles that overlap count once", 14 * time.Second, 3 * time.Second,
			[]time.Duration{5 * time.Second, 6 * time.Second, 7500 * ms}, 14 * time.Second,
		},
		{"too late", 14 * time.Second, 0, []time.Duration{9400 * ms}, 9300 * ms},
		{"all stretches are bounded as one", 10 * time.Second, 0, []time.Duration{2 * time.Second}, 9300 * ms},
		{"no bound of all is known", 0, 0, []time.Duration{2 * time.Second}, 9300 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newVersions(0, versionBounds{single: 10 * time.Second, all: c.all, contact: c.contact})
			v.learn(time.Second, configOf(nil))
			v.learn(named, configOf(map[string]uint64{model: 2}))
			for _, at := range c.disturbedAt {
				v.disturbed(named+at, named+at)
			}
			assert.Assert(t, v.allowed(named+c.want-ms, model, 1))
			assert.Assert(t, !v.allowed(named+c.want, model, 1))
			assert.Assert(t, v.allowed(named+time.Hour, model, 2))
		})
	}
}

// A disturbance that is learnt of late counts from when it may have been.
func TestDisturbanceInThePast(t *testing.T) {
	v := newVersions(0, testBounds)
	v.learn(time.Second, configOf(nil))
	v.learn(20*time.Second, configOf(map[string]uint64{model: 2}))
	v.disturbed(25*time.Second, 21*time.Second)
	assert.Assert(t, !v.allowed(30300*ms, model, 1))
	v.disturbed(26*time.Second, 15*time.Second)
	assert.Assert(t, v.allowed(30200*ms, model, 1), "an earlier one shortens nothing")
}

// A node that starts can't know when a version was named: the one before has its time only until the node is in touch, and no
// disturbance makes that longer.
func TestVersionsAtTheStart(t *testing.T) {
	v := newVersions(time.Second, testBounds)
	v.learn(2*time.Second, configOf(map[string]uint64{model: 5}))
	assert.Assert(t, v.allowed(3400*ms, model, 4))
	assert.Assert(t, !v.allowed(3500*ms, model, 4))
	v.disturbed(3*time.Second, 3*time.Second)
	assert.Assert(t, !v.allowed(3500*ms, model, 4))
}

func TestVersionOnceOverStaysOver(t *testing.T) {
	v := newVersions(0, testBounds)
	for i := range uint64(3 * namedMost) {
		v.learn(time.Duration(i)*time.Minute, configOf(map[string]uint64{model: i + 2}))
	}
	last := time.Duration(3*namedMost-1) * time.Minute
	for version := uint64(1); version <= 3*namedMost; version++ {
		assert.Equal(t, v.allowed(last, model, version), version >= 3*namedMost, "version %d", version)
	}
	assert.Assert(t, len(v.models[model].named) <= namedMost)
}

func withVersion(i *registry.Instance, version uint64) *registry.Instance {
	i.Versions = map[string]uint64{model: version}
	return i
}

// During a rollout, each attempt expects the version that its broker has, and the salt holds that very version.
func TestAttemptNamesItsBrokersVersion(t *testing.T) {
	list := instances(6)
	for i, instance := range list {
		withVersion(instance, uint64(1+i%2))
	}
	w := newWorld(t, list)
	w.SetConfig(w.now, configOf(map[string]uint64{model: 2}))
	seen := map[uint64]bool{}
	for part := range uint64(40) {
		a := w.begin(w.prompt(flowRoute, part+10))
		assert.Equal(t, a.ExpectVersion, a.Instance.Versions[model])
		assert.Equal(t, a.Salt, cacheSalt(model, a.ExpectVersion, ""))
		seen[a.ExpectVersion] = true
		w.serve(a, ms)
	}
	assert.Assert(t, seen[1] && seen[2])
	w.now += 10 * time.Second
	for part := range uint64(40) {
		a := w.begin(w.prompt(flowRoute, part+10))
		assert.Equal(t, a.ExpectVersion, uint64(2))
		w.serve(a, ms)
	}
}

// Brokers with older weights are used to the last while those with new ones are few; where these are enough for all, they get
// what would be sent shortly before.
func TestOlderWeightsAreUsedToTheLast(t *testing.T) {
	for _, c := range []struct {
		renewed int // of nine brokers
		older   bool
	}{{0, true}, {3, true}, {5, true}, {6, false}, {8, false}} {
		list := instances(9)
		for i := range c.renewed {
			withVersion(list[i], 2)
		}
		w := newWorld(t, list)
		w.SetConfig(w.now, configOf(map[string]uint64{model: 2}))
		until := w.now + 8*time.Second - learnMargin
		older := func() int {
			n := 0
			for part := range uint64(60) {
				a := w.begin(w.prompt(flowRoute, part*7))
				if a.ExpectVersion < 2 {
					n++
				}
				w.answer(a)
			}
			return n
		}
		w.now = until - newestFirstSpan - ms
		assert.Assert(t, older() > 0, "%d renewed", c.renewed)
		w.now = until - time.Second
		assert.Equal(t, older() > 0, c.older, "%d renewed", c.renewed)
	}
}

// What is sent to a broker with older weights must have its first token before their time is over.
func TestStartsBeforeTheVersionsEnd(t *testing.T) {
	for _, latency := range []core.Time{10 * ms, 900 * ms, 5 * time.Second} {
		w := newWorld(t, instances(4))
		var sent []*Attempt
		for range 40 {
			sent = append(sent, w.begin(w.prompt(flowRoute, 7)))
		}
		w.now += latency
		for _, a := range sent {
			w.answer(a)
		}
		w.SetConfig(w.now, configOf(map[string]uint64{model: 2}))
		until := w.now + 8*time.Second - learnMargin
		lead := min(max(core.Time(startLeadFactor*float64(latency)), startLeadLeast), startLeadMost)
		w.now = until - lead*12/10 - 100*ms
		assert.Equal(t, w.begin(w.prompt(flowRoute, 8)).ExpectVersion, uint64(1))
		w.now = until - lead*8/10
		_, d := w.Begin(w.now, w.prompt(flowRoute, 8))
		assert.Assert(t, d.Refusal != nil, "latency %v", latency)
	}
}

// Nobody is left for older weights: no attempt, rather than a broken rule.
func TestNoBrokerWithAllowedWeights(t *testing.T) {
	w := newWorld(t, instances(3))
	w.SetConfig(w.now, configOf(map[string]uint64{model: 2}))
	w.now += 20 * time.Second
	_, d := w.Begin(w.now, w.prompt(flowRoute, 4))
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, RefusedNoBroker)
}

// A service without an engine runs no models, whatever its requests name.
func TestServiceWithoutEngine(t *testing.T) {
	w := newWorld(t, instances(3))
	compiled := configOf(map[string]uint64{model: 2})
	compiled.Services[service].Engine = nil
	w.SetConfig(w.now, compiled)
	w.now += 20 * time.Second
	a := w.begin(w.prompt(flowRoute, 4))
	assert.Equal(t, a.Salt, "")
	assert.Equal(t, a.ExpectVersion, uint64(0))
	assert.Equal(t, a.FetchFrom+a.SaveTo, "")
}
