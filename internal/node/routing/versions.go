package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

const (
	// firstVersion is what a model without a named version is at (PROTOCOL.md, "The operator's API").
	firstVersion = 1
	// learnMargin is kept for what lies between an acknowledgement and this node's learning of the version.
	learnMargin = 700 * time.Millisecond
	// stretchesMargin is kept of the bound of all calm stretches together, as it is counted without their pauses.
	stretchesMargin = 2 * time.Second
	// disturbanceMargin is kept of the time after a disturbance in which the core was not stable, as that may have begun sooner than
	// is known.
	disturbanceMargin = time.Second
	// startGrace is given, from the start of this node, to what was named before it, as it can't know when. A node isn't in
	// touch before it has run for contactMs (RULES.md, "In touch"), which is longer.
	startGrace = 2500 * time.Millisecond
	// namedMost bounds how many versions of a model are remembered.
	namedMost = 16
)

// versionBounds are a deployment's versionMs and versionAllMs (RULES.md, VERSION).
type versionBounds struct {
	single time.Duration // since the acknowledgement, within one stretch during which the core was stable
	all    time.Duration // over all such stretches; 0: as single
	// contact is contactMs: how long the core is not stable after a trouble (RULES.md, "Stable"); 0: not known.
	contact time.Duration
}

// versions knows which versions of a model's weights requests may start on (RULES.md, VERSION): the newest, and an older one
// until the time since the one after it was learnt of is over.
type versions struct {
	bounds    versionBounds
	startedAt core.Time
	started   bool
	models    map[string]*modelVersions
}

type modelVersions struct {
	floor uint64         // versions below it are over for good
	named []namedVersion // rising
}

// namedVersion is a version, and until when requests may start on those before it.
type namedVersion struct {
	version uint64
	until   core.Time
	// limit is what no disturbance of the core puts until beyond.
	limit core.Time
	// fixed: no disturbance changes until.
	fixed bool
	// disturbedAt is the last disturbance that put off the limit.
	disturbedAt core.Time
}

func newVersions(now core.Time, bounds versionBounds) versions {
	return versions{bounds: bounds, startedAt: now, models: make(map[string]*modelVersions)}
}

func (v *versions) learn(now core.Time, compiled *config.Compiled) {
	until, limit := v.singleStretch(now), now+v.bounds.all-stretchesMargin
	if !v.started {
		until = min(until, v.startedAt+startGrace)
		limit = until
		v.started = compiled.Version > 0
	}
	for model, version := range compiled.ModelVersions {
		if version <= v.newest(model) {
			continue
		}
		m := v.models[model]
		if m == nil {
			m = &modelVersions{}
			v.models[model] = m
		}
		m.named = append(m.named, namedVersion{version: version, until: until, limit: limit, fixed: limit <= until})
		m.expire()
	}
}

// singleStretch is when a stretch that began at a time is over.
func (v *versions) singleStretch(from core.Time) core.Time {
	return from + max(v.bounds.single-learnMargin, 0)
}

// disturbed counts the single stretch anew for what isn't over yet, from a time at which the core wasn't stable.
func (v *versions) disturbed(now, at core.Time) {
	for _, m := range v.models {
		for i := range m.named {
			if named := &m.named[i]; now < named.until && !named.fixed {
				v.putOff(named, at)
				named.until = max(named.until, min(v.singleStretch(at), named.limit))
			}
		}
	}
}

// putOff takes the time after a disturbance, in which the core was not stable, out of the bound of all stretches. Disturbances that
// follow one another within that time count once.
func (v *versions) putOff(named *namedVersion, at core.Time) {
	unstable := v.bounds.contact - disturbanceMargin
	if unstable <= 0 || named.disturbedAt != 0 && at < named.disturbedAt+v.bounds.contact {
		return
	}
	named.disturbedAt = at
	named.limit += unstable
}

func (m *modelVersions) expire() {
	if len(m.named) > namedMost {
		m.floor = m.named[0].version
		m.named = append(m.named[:0], m.named[1:]...)
	}
}

func (v *versions) last(model string) (namedVersion, bool) {
	m := v.models[model]
	if m == nil {
		return namedVersion{}, false
	}
	return m.named[len(m.named)-1], true
}

// newest is the version that all brokers of a model are to have.
func (v *versions) newest(model string) uint64 {
	if last, ok := v.last(model); ok {
		return last.version
	}
	return firstVersion
}

// allowed reports whether a request may start on the version at a time.
func (v *versions) allowed(startsAt core.Time, model string, version uint64) bool {
	m := v.models[model]
	if m == nil {
		return true
	}
	if version < m.floor {
		return false
	}
	for _, named := range m.named {
		if named.version > version {
			return startsAt < named.until
		}
	}
	return true
}

// anyEndsWithin reports whether the time of some older version will be over within a span.
func (v *versions) anyEndsWithin(now core.Time, model string, span time.Duration) bool {
	m := v.models[model]
	return m != nil && slices.ContainsFunc(m.named, func(n namedVersion) bool { return now < n.until && n.until <= now+span })
}

// believed is the version that an instance has of a model: what it told, else the newest, which a new one has.
func (v *versions) believed(instance *registry.Instance, model string) uint64 {
	if version := instance.Versions[model]; version != 0 {
		return version
	}
	return v.newest(model)
}
