package modelversion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

const (
	ms    = time.Millisecond
	model = "m-large"
)

// configWith returns a configuration that names the given versions of models.
func configWith(versions map[string]uint64) *config.Compiled {
	return &config.Compiled{Version: 1, ModelVersions: versions}
}

var testBounds = Bounds{SingleStablePeriod: 10 * time.Second, AllStablePeriods: 14 * time.Second}

// TestVersionsAllowed checks until when a request may start on older weights (RULES.md VERSION).
func TestVersionsAllowed(t *testing.T) {
	v := NewTracker(0, testBounds)
	grace := testBounds.SingleStablePeriod - PropagationMargin
	v.Observe(0, configWith(nil))
	assert.Equal(t, v.Newest(model), uint64(1))
	v.Observe(20*time.Second, configWith(map[string]uint64{model: 2}))
	v.Observe(24*time.Second, configWith(map[string]uint64{model: 3}))
	v.Observe(40*time.Second, configWith(map[string]uint64{model: 3}))
	assert.Equal(t, v.Newest(model), uint64(3))
	for _, c := range []struct {
		at      time.Duration
		version uint64
		want    bool
	}{
		{21 * time.Second, 1, true},
		{20*time.Second + grace - ms, 1, true},
		{20*time.Second + grace, 1, false}, // counts from when version 2 was configured, not 3
		{20*time.Second + grace, 2, true},
		{24*time.Second + grace, 2, false},
		{500 * time.Second, 3, true},
		{500 * time.Second, 4, true}, // configured, but not yet known here
	} {
		assert.Equal(t, v.MayStart(c.at, model, c.version), c.want, "version %d at %v", c.version, c.at)
	}
	assert.Assert(t, !v.AnyExpiresWithin(25*time.Second, model, time.Second))
	assert.Assert(t, v.AnyExpiresWithin(20*time.Second+grace-time.Second, model, time.Second))
	assert.Assert(t, v.AnyExpiresWithin(24*time.Second+grace-time.Second, model, time.Second))
	assert.Assert(t, !v.AnyExpiresWithin(24*time.Second+grace, model, time.Second))
}

// The time for older versions is counted within a single period during which the core is stable,
// and over all such periods up to another bound. A disturbance begins the single period again, but
// never once the version has expired, and never beyond the bound of all periods.
func TestDisturbancesExtendTheDeadline(t *testing.T) {
	const configuredAt = 20 * time.Second
	for _, c := range []struct {
		name        string
		all         time.Duration
		contact     time.Duration
		disturbedAt []time.Duration // since version 2 was configured
		want        time.Duration   // since version 2 was configured
	}{
		{"never", 14 * time.Second, 0, nil, 9300 * ms},
		{"once", 14 * time.Second, 0, []time.Duration{time.Second}, 10300 * ms},
		{"twice", 14 * time.Second, 0, []time.Duration{time.Second, 2 * time.Second}, 11300 * ms},
		{"three times", 14 * time.Second, 0, []time.Duration{time.Second, 5 * time.Second, 9 * time.Second}, 12 * time.Second},
		{
			"unstable time doesn't count", 14 * time.Second, 3 * time.Second,
			[]time.Duration{time.Second, 5 * time.Second, 9 * time.Second}, 18 * time.Second,
		},
		{
			"overlapping disturbances count once", 14 * time.Second, 3 * time.Second,
			[]time.Duration{5 * time.Second, 6 * time.Second, 7500 * ms}, 14 * time.Second,
		},
		{"too late", 14 * time.Second, 0, []time.Duration{9400 * ms}, 9300 * ms},
		{"both bounds are equal", 10 * time.Second, 0, []time.Duration{2 * time.Second}, 9300 * ms},
		{"no bound of all periods", 0, 0, []time.Duration{2 * time.Second}, 9300 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewTracker(0, Bounds{SingleStablePeriod: 10 * time.Second, AllStablePeriods: c.all, UnstableFor: c.contact})
			v.Observe(time.Second, configWith(nil))
			v.Observe(configuredAt, configWith(map[string]uint64{model: 2}))
			for _, at := range c.disturbedAt {
				v.RecordDisturbance(configuredAt+at, configuredAt+at)
			}
			assert.Assert(t, v.MayStart(configuredAt+c.want-ms, model, 1))
			assert.Assert(t, !v.MayStart(configuredAt+c.want, model, 1))
			assert.Assert(t, v.MayStart(configuredAt+time.Hour, model, 2))
		})
	}
}

// A disturbance that this node learns of late counts from when it may have occurred.
func TestDisturbanceInThePast(t *testing.T) {
	v := NewTracker(0, testBounds)
	v.Observe(time.Second, configWith(nil))
	v.Observe(20*time.Second, configWith(map[string]uint64{model: 2}))
	v.RecordDisturbance(25*time.Second, 21*time.Second)
	assert.Assert(t, !v.MayStart(30300*ms, model, 1))
	v.RecordDisturbance(26*time.Second, 15*time.Second)
	assert.Assert(t, v.MayStart(30200*ms, model, 1), "an earlier disturbance doesn't shorten the time")
}

// A node that has just started can't know when a version was configured. The previous version is
// permitted only until the node is in touch, and no disturbance extends that time.
func TestVersionsAtTheStart(t *testing.T) {
	v := NewTracker(time.Second, testBounds)
	v.Observe(2*time.Second, configWith(map[string]uint64{model: 5}))
	assert.Assert(t, v.MayStart(3400*ms, model, 4))
	assert.Assert(t, !v.MayStart(3500*ms, model, 4))
	v.RecordDisturbance(3*time.Second, 3*time.Second)
	assert.Assert(t, !v.MayStart(3500*ms, model, 4))
}

func TestExpiredVersionStaysExpired(t *testing.T) {
	v := NewTracker(0, testBounds)
	for i := range uint64(3 * maxRemembered) {
		v.Observe(time.Duration(i)*time.Minute, configWith(map[string]uint64{model: i + 2}))
	}
	last := time.Duration(3*maxRemembered-1) * time.Minute
	for version := uint64(1); version <= 3*maxRemembered; version++ {
		assert.Equal(t, v.MayStart(last, model, version), version >= 3*maxRemembered, "version %d", version)
	}
	assert.Assert(t, len(v.models[model].configured) <= maxRemembered)
}
