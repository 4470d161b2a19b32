// Package modelversion tells on which versions of a model's weights a request may start (RULES.md,
// VERSION): on the newest, and on an older one until the time since this node learnt of the next
// one is over.
//
// Invariant: the time of a version that is over never begins again.
package modelversion

import (
	"slices"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

const (
	// firstVersion is what a model without a named version is at (PROTOCOL.md, "The operator's
	// API").
	firstVersion = 1
	// LearnMargin is subtracted for the time between the acknowledgement of a version and this
	// node's learning of it.
	LearnMargin = 700 * time.Millisecond
	// stretchesMargin is subtracted from the bound of all stable stretches together, which are
	// counted here without the gaps between them.
	allPeriodsMargin = 2 * time.Second
	// disturbanceMargin is subtracted from the time for which the core is unstable after a
	// disturbance, as that may have begun sooner than is known.
	disturbanceMargin = time.Second
	// startGrace, from the start of this node, is the time of versions before those that were named
	// earlier, as it can't know when. A node isn't in touch before it has run for contactMs
	// (RULES.md, "In touch"), which is longer.
	startupGrace = 2500 * time.Millisecond
	// maxRemembered bounds how many versions of a model are remembered.
	maxRemembered = 16
)

// Bounds are a deployment's bounds on the use of older weights (RULES.md, VERSION).
type Bounds struct {
	// SingleStretch is versionMs: since the acknowledgement, within one stretch during which the
	// core is stable.
	SingleStretch time.Duration
	// AllStretches is versionAllMs, over all such stretches; 0: as SingleStretch.
	AllStretches time.Duration
	// UnstableFor is contactMs: how long the core is unstable after a fault (RULES.md, "Stable");
	// 0: not known.
	UnstableFor time.Duration
}

// Tracker knows which versions of each model's weights requests may start on. Make one with
// NewTracker.
type Tracker struct {
	bounds     Bounds
	startedAt  core.Time
	configSeen bool // a configuration was observed, so later versions are named during this node's life
	models     map[string]*modelVersions
}

// modelVersions are the versions that were named for one model.
type modelVersions struct {
	minVersion uint64              // the time of versions below it is over for good
	configured []configuredVersion // rising
}

// configuredVersion is a version, and until when requests may start on those before it.
type configuredVersion struct {
	version uint64
	// startsUntil is when requests may no longer start on the version before.
	olderUntil core.Time
	// maxStartsUntil bounds how far disturbances of the core extend startsUntil.
	maxOlderUntil core.Time
	// fixed: no disturbance changes startsUntil.
	fixed bool
	// disturbedAt is the last disturbance that extended maxStartsUntil.
	lastDisturbedAt core.Time
}

// NewTracker makes a tracker that knows no configuration, for a node that starts now.
func NewTracker(now core.Time, bounds Bounds) Tracker {
	return Tracker{bounds: bounds, startedAt: now, models: make(map[string]*modelVersions)}
}

// Observe takes in the versions that a configuration names.
func (t *Tracker) Observe(now core.Time, compiled *config.Compiled) {
	until, limit := t.singlePeriodEnd(now), now+t.bounds.AllStretches-allPeriodsMargin
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

// singlePeriodEnd is when the bound of a single stretch that began at a time is over.
func (t *Tracker) singlePeriodEnd(from core.Time) core.Time {
	return from + max(t.bounds.SingleStretch-LearnMargin, 0)
}

// CoreDisturbed takes in that the core was unstable at a time: the single stretch counts anew from
// there, for versions whose time isn't over yet.
func (t *Tracker) CoreDisturbed(now, at core.Time) {
	for _, m := range t.models {
		for i := range m.configured {
			if named := &m.configured[i]; now < named.olderUntil && !named.fixed {
				t.extendLimit(named, at)
				named.olderUntil = max(named.olderUntil, min(t.singlePeriodEnd(at), named.maxOlderUntil))
			}
		}
	}
}

// extendLimit takes the time after a disturbance, in which the core was unstable, out of the bound
// of all stretches. Disturbances that follow one another within that time count once.
func (t *Tracker) extendLimit(named *configuredVersion, at core.Time) {
	unstable := t.bounds.UnstableFor - disturbanceMargin
	if unstable <= 0 || named.lastDisturbedAt != 0 && at < named.lastDisturbedAt+t.bounds.UnstableFor {
		return
	}
	named.lastDisturbedAt = at
	named.maxOlderUntil += unstable
}

// forgetOldest forgets the oldest version where too many are remembered: its time is over for good.
func (m *modelVersions) forgetOldest() {
	if len(m.configured) > maxRemembered {
		m.minVersion = m.configured[0].version
		m.configured = append(m.configured[:0], m.configured[1:]...)
	}
}

// lastConfigured is the newest version that was named of a model, if any was.
func (t *Tracker) lastConfigured(model string) (configuredVersion, bool) {
	m := t.models[model]
	if m == nil {
		return configuredVersion{}, false
	}
	return m.configured[len(m.configured)-1], true
}

// Newest is the version that all brokers of a model are to have.
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
	for _, named := range m.configured {
		if named.version > version {
			return startsAt < named.olderUntil
		}
	}
	return true
}

// AnyExpiresWithin reports whether the time of some older version ends within a span from now.
func (t *Tracker) AnyExpiresWithin(now core.Time, model string, span time.Duration) bool {
	m := t.models[model]
	return m != nil && slices.ContainsFunc(m.configured, func(n configuredVersion) bool { return now < n.olderUntil && n.olderUntil <= now+span })
}

// VersionOf is the version that an instance has of a model: the reported one, else the newest, with
// which new instances start.
func (t *Tracker) VersionOf(instance *registry.Instance, model string) uint64 {
	if version := instance.Versions[model]; version != 0 {
		return version
	}
	return t.Newest(model)
}
