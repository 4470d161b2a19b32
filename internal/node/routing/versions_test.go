package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
)

// RULES.md VERSION: until when a request may be sent to a broker with older weights.
func TestVersionsAllowed(t *testing.T) {
	v := newVersions(10 * time.Second)
	grace := 10*time.Second - versionMargin
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
	assert.Assert(t, !v.onlyNewest(25*time.Second, model))
	assert.Assert(t, v.onlyNewest(24*time.Second+grace-time.Second, model))
}

// A node that starts can't know when a version was named: it gives the one before only a short time.
func TestVersionsAtTheStart(t *testing.T) {
	v := newVersions(10 * time.Second)
	v.learn(time.Second, configOf(map[string]uint64{model: 5}))
	assert.Assert(t, v.allowed(2*time.Second, model, 4))
	assert.Assert(t, !v.allowed(4*time.Second, model, 4))
}

func TestVersionOnceOverStaysOver(t *testing.T) {
	v := newVersions(10 * time.Second)
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
