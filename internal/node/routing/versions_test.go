package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

const (
	msec      = time.Millisecond
	modelName = "m-large"
)

// configWith is a configuration that names versions of models.
func configWith(versions map[string]uint64) *config.Compiled {
	return &config.Compiled{Version: 1, ModelVersions: versions}
}

var testBounds = versionBounds{single: 10 * time.Second, all: 14 * time.Second}

// RULES.md VERSION: until when a request may start on older weights.
func TestVersionsAllowed(t *testing.T) {
	v := newVersions(0, testBounds)
	grace := testBounds.single - learnMargin
	v.learn(0, configWith(nil))
	assert.Equal(t, v.newest(modelName), uint64(1))
	v.learn(20*time.Second, configWith(map[string]uint64{modelName: 2}))
	v.learn(24*time.Second, configWith(map[string]uint64{modelName: 3}))
	v.learn(40*time.Second, configWith(map[string]uint64{modelName: 3}))
	assert.Equal(t, v.newest(modelName), uint64(3))
	for _, c := range []struct {
		at      time.Duration
		version uint64
		want    bool
	}{
		{21 * time.Second, 1, true},
		{20*time.Second + grace - msec, 1, true},
		{20*time.Second + grace, 1, false}, // judged by the naming of 2, not of 3
		{20*time.Second + grace, 2, true},
		{24*time.Second + grace, 2, false},
		{500 * time.Second, 3, true},
		{500 * time.Second, 4, true}, // named, but not yet known here
	} {
		assert.Equal(t, v.allowed(c.at, modelName, c.version), c.want, "version %d at %v", c.version, c.at)
	}
	assert.Assert(t, !v.anyEndsWithin(25*time.Second, modelName, time.Second))
	assert.Assert(t, v.anyEndsWithin(20*time.Second+grace-time.Second, modelName, time.Second))
	assert.Assert(t, v.anyEndsWithin(24*time.Second+grace-time.Second, modelName, time.Second))
	assert.Assert(t, !v.anyEndsWithin(24*time.Second+grace, modelName, time.Second))
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
		{"never", 14 * time.Second, 0, nil, 9300 * msec},
		{"once", 14 * time.Second, 0, []time.Duration{time.Second}, 10300 * msec},
		{"twice", 14 * time.Second, 0, []time.Duration{time.Second, 2 * time.Second}, 11300 * msec},
		{"again and again", 14 * time.Second, 0, []time.Duration{time.Second, 5 * time.Second, 9 * time.Second}, 12 * time.Second},
		{
			"what was not stable counts for none", 14 * time.Second, 3 * time.Second,
			[]time.Duration{time.Second, 5 * time.Second, 9 * time.Second}, 18 * time.Second,
		},
		{
			"troubles that overlap count once", 14 * time.Second, 3 * time.Second,
			[]time.Duration{5 * time.Second, 6 * time.Second, 7500 * msec}, 14 * time.Second,
		},
		{"too late", 14 * time.Second, 0, []time.Duration{9400 * msec}, 9300 * msec},
		{"all stretches are bounded as one", 10 * time.Second, 0, []time.Duration{2 * time.Second}, 9300 * msec},
		{"no bound of all is known", 0, 0, []time.Duration{2 * time.Second}, 9300 * msec},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newVersions(0, versionBounds{single: 10 * time.Second, all: c.all, contact: c.contact})
			v.learn(time.Second, configWith(nil))
			v.learn(named, configWith(map[string]uint64{modelName: 2}))
			for _, at := range c.disturbedAt {
				v.disturbed(named+at, named+at)
			}
			assert.Assert(t, v.allowed(named+c.want-msec, modelName, 1))
			assert.Assert(t, !v.allowed(named+c.want, modelName, 1))
			assert.Assert(t, v.allowed(named+time.Hour, modelName, 2))
		})
	}
}

// A disturbance that is learnt of late counts from when it may have been.
func TestDisturbanceInThePast(t *testing.T) {
	v := newVersions(0, testBounds)
	v.learn(time.Second, configWith(nil))
	v.learn(20*time.Second, configWith(map[string]uint64{modelName: 2}))
	v.disturbed(25*time.Second, 21*time.Second)
	assert.Assert(t, !v.allowed(30300*msec, modelName, 1))
	v.disturbed(26*time.Second, 15*time.Second)
	assert.Assert(t, v.allowed(30200*msec, modelName, 1), "an earlier one shortens nothing")
}

// A node that starts can't know when a version was named: the one before has its time only until the node is in touch, and no
// disturbance makes that longer.
func TestVersionsAtTheStart(t *testing.T) {
	v := newVersions(time.Second, testBounds)
	v.learn(2*time.Second, configWith(map[string]uint64{modelName: 5}))
	assert.Assert(t, v.allowed(3400*msec, modelName, 4))
	assert.Assert(t, !v.allowed(3500*msec, modelName, 4))
	v.disturbed(3*time.Second, 3*time.Second)
	assert.Assert(t, !v.allowed(3500*msec, modelName, 4))
}

func TestVersionOnceOverStaysOver(t *testing.T) {
	v := newVersions(0, testBounds)
	for i := range uint64(3 * namedMost) {
		v.learn(time.Duration(i)*time.Minute, configWith(map[string]uint64{modelName: i + 2}))
	}
	last := time.Duration(3*namedMost-1) * time.Minute
	for version := uint64(1); version <= 3*namedMost; version++ {
		assert.Equal(t, v.allowed(last, modelName, version), version >= 3*namedMost, "version %d", version)
	}
	assert.Assert(t, len(v.models[modelName].named) <= namedMost)
}
