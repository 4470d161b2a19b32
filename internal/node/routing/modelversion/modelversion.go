// Package modelversion tells on which versions of a model's weights a request may start (RULES.md,
// VERSION): on the newest one, and on an older one until a deadline that is counted from when this
// node learnt of the next version.
//
// Invariant: once a version has expired, it is never permitted again.
package modelversion

import (
	"slices"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

const (
	// firstVersion is the version of a model for which the configuration names none (PROTOCOL.md,
	// "The operator's API").
	firstVersion = 1
	// PropagationMargin is subtracted from the bound of a single stable period, for the time
	// between the acknowledgement of a version and this node's learning of it.
	PropagationMargin = 700 * time.Millisecond
	// allPeriodsMargin is subtracted from the bound of all stable periods together, because they
	// are counted here without the gaps between them.
	allPeriodsMargin = 2 * time.Second
	// disturbanceMargin is subtracted from the time for which the core is unstable after a
	// disturbance, because the disturbance may have begun earlier than is known.
	disturbanceMargin = time.Second
	// startupGrace is how long after the start of this node older versions are permitted if a newer
	// one was configured before the start, as this node can't know when that was. A node isn't in
	// touch until it has run for contactMs (RULES.md, "In touch"), which is longer.
	startupGrace = 2500 * time.Millisecond
	// maxRemembered bounds the number of versions that are remembered for each model.
	maxRemembered = 16
)

// Bounds are a deployment's limits on the use of older weights (RULES.md, VERSION).
type Bounds struct {
	// SingleStablePeriod is the setting versionMs: the time since the acknowledgement of a new
	// version, within one period during which the core is stable.
	SingleStablePeriod time.Duration
	// AllStablePeriods is the setting versionAllMs: the time over all such periods; 0: same as
	// SingleStablePeriod.
	AllStablePeriods time.Duration
	// UnstableFor is the setting contactMs: how long the core is unstable after a fault (RULES.md,
	// "Stable"); 0: not known.
	UnstableFor time.Duration
}

// Tracker knows which versions of each model's weights requests may start on. NewTracker returns a
// usable one.
type Tracker struct {
	bounds     Bounds
	startedAt  core.Time
	configSeen bool // a configuration was observed, so any later version is configured while this node runs
	models     map[string]*modelVersions
}

// modelVersions holds the versions that were configured for one model.
type modelVersions struct {
	minVersion uint64              // versions below it have expired for good
	configured []configuredVersion // in ascending order
}

// configuredVersion is a version that a configuration named, and until when requests may start on
// the versions before it.
type configuredVersion struct {
	version uint64
	// olderUntil is when requests may no longer start on the previous version.
	olderUntil core.Time
	// maxOlderUntil bounds how far disturbances of the core extend olderUntil.
	maxOlderUntil core.Time
	// fixed is set if no disturbance changes olderUntil.
	fixed bool
	// lastDisturbedAt is when the last disturbance that extended maxOlderUntil occurred; 0: none
	// did.
	lastDisturbedAt core.Time
}

// NewTracker returns a tracker that has seen no configuration yet, for a node that starts now.
func NewTracker(now core.Time, bounds Bounds) Tracker {
	return Tracker{bounds: bounds, startedAt: now, models: make(map[string]*modelVersions)}
}

// Observe records the versions that a configuration names.
func (t *Tracker) Observe(now core.Time, compiled *config.Compiled) {
	until, limit := t.singlePeriodEnd(now), now+t.bounds.AllStablePeriods-allPeriodsMargin
	if !t.configSeen {
		until = min(until, t.startedAt+startupGrace)
		limit = until
		t.configSeen = compiled.Version > 0
	}
	for model, version := range compiled.ModelVersions {
		if version <= t.Newest(model) {
			continue
		}
		m := t.models[model]
		if m == nil {
			m = &modelVersions{}
			t.models[model] = m
		}
		m.configured = append(m.configured, configuredVersion{version: version, olderUntil: until, maxOlderUntil: limit, fixed: limit <= until})
		m.forgetOldest()
	}
}

// singlePeriodEnd returns when the bound of a single stable period that began at a time is reached.
func (t *Tracker) singlePeriodEnd(from core.Time) core.Time {
	return from + max(t.bounds.SingleStablePeriod-PropagationMargin, 0)
}

// RecordDisturbance records that the core was unstable at a time. The single stable period begins
// again at that time, for older versions that haven't expired yet.
func (t *Tracker) RecordDisturbance(now, at core.Time) {
	for _, m := range t.models {
		for i := range m.configured {
			if version := &m.configured[i]; now < version.olderUntil && !version.fixed {
				t.extendLimit(version, at)
				version.olderUntil = max(version.olderUntil, min(t.singlePeriodEnd(at), version.maxOlderUntil))
			}
		}
	}
}

// extendLimit adds the unstable time after a disturbance to the bound of all stable periods, as it
// doesn't count towards that bound. Disturbances that follow one another within that time count
// once.
func (t *Tracker) extendLimit(version *configuredVersion, at core.Time) {
	unstable := t.bounds.UnstableFor - disturbanceMargin
	if unstable <= 0 || version.lastDisturbedAt != 0 && at < version.lastDisturbedAt+t.bounds.UnstableFor {
		return
	}
	version.lastDisturbedAt = at
	version.maxOlderUntil += unstable
}

// forgetOldest removes the oldest version if too many are remembered. The versions before it have
// expired for good.
func (m *modelVersions) forgetOldest() {
	if len(m.configured) > maxRemembered {
		m.minVersion = m.configured[0].version
		m.configured = append(m.configured[:0], m.configured[1:]...)
	}
}

// lastConfigured returns the newest version that was configured for a model, if there is one.
func (t *Tracker) lastConfigured(model string) (configuredVersion, bool) {
	m := t.models[model]
	if m == nil {
		return configuredVersion{}, false
	}
	return m.configured[len(m.configured)-1], true
}

// Newest returns the version that all brokers of a model should have.
func (t *Tracker) Newest(model string) uint64 {
	if last, ok := t.lastConfigured(model); ok {
		return last.version
	}
	return firstVersion
}

// MayStart reports whether a request may start on the version at the time startsAt.
func (t *Tracker) MayStart(startsAt core.Time, model string, version uint64) bool {
	m := t.models[model]
	if m == nil {
		return true
	}
	if version < m.minVersion {
		return false
	}
	for _, newer := range m.configured {
		if newer.version > version {
			return startsAt < newer.olderUntil
		}
	}
	return true
}

// AnyExpiresWithin reports whether any older version of the model expires within span from now.
func (t *Tracker) AnyExpiresWithin(now core.Time, model string, span time.Duration) bool {
	m := t.models[model]
	return m != nil && slices.ContainsFunc(m.configured, func(v configuredVersion) bool {
		return now < v.olderUntil && v.olderUntil <= now+span
	})
}

// VersionOf returns the version that an instance has of a model: the reported one or, if there is
// none, the newest, as new instances start with it.
func (t *Tracker) VersionOf(instance *registry.Instance, model string) uint64 {
	if version := instance.Versions[model]; version != 0 {
		return version
	}
	return t.Newest(model)
}
