package routing

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

const (
	// firstVersion is what a model without a named version is at (PROTOCOL.md, "The operator's API").
	firstVersion = 1
	// versionMargin is kept for what lies between an acknowledgement and this node's learning of it, and between sending a
	// request and its start.
	versionMargin = 1500 * time.Millisecond
	// startGraceShare is the part of the grace given to what was named before this node started, as it can't know when.
	startGraceShare = 4
	// preferNewestShare: in the last of so many parts of the grace, only the newest version is used where a broker has it.
	preferNewestShare = 3
	// namedMost bounds how many versions of a model are remembered.
	namedMost = 16
)

// versions knows which versions of a model's weights requests may start on (RULES.md, VERSION): the newest, and an older one
// until the grace since the one after it was learnt of is over.
type versions struct {
	grace   time.Duration
	started bool
	models  map[string]*modelVersions
}

type modelVersions struct {
	floor uint64         // versions below it are over for good
	named []namedVersion // rising
}

// namedVersion is a version, and until when those before it may be used.
type namedVersion struct {
	version uint64
	until   core.Time
}

func newVersions(bound time.Duration) versions {
	return versions{grace: max(bound-versionMargin, 0), models: make(map[string]*modelVersions)}
}

func (v *versions) learn(now core.Time, compiled *config.Compiled) {
	grace := v.grace
	if !v.started {
		grace /= startGraceShare
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
		m.named = append(m.named, namedVersion{version: version, until: now + grace})
		m.expire()
	}
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

// allowed reports whether a request may still start on the version.
func (v *versions) allowed(now core.Time, model string, version uint64) bool {
	m := v.models[model]
	if m == nil {
		return true
	}
	if version < m.floor {
		return false
	}
	for _, named := range m.named {
		if named.version > version {
			return now < named.until
		}
	}
	return true
}

// onlyNewest reports whether brokers with the newest version are to be preferred, as the grace of the one before is nearly
// over.
func (v *versions) onlyNewest(now core.Time, model string) bool {
	last, ok := v.last(model)
	return ok && now >= last.until-v.grace/preferNewestShare
}

// believed is the version that an instance has of a model: what it told, else the newest, which a new one has.
func (v *versions) believed(instance *registry.Instance, model string) uint64 {
	if version := instance.Versions[model]; version != 0 {
		return version
	}
	return v.newest(model)
}
