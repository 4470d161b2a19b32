package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

// firstVersion is what a model without a named version is at (PROTOCOL.md, "The operator's API").
const firstVersion = 1

// startGraceShare is the part of the grace that is given to versions which were already named when this node started, as
// it can't know when that was.
const startGraceShare = 4

// preferNewestShare: in the last of so many parts of the grace, the newest version is preferred wherever a broker has it.
const preferNewestShare = 3

// versions knows which versions of a model's weights requests may start on (RULES.md, VERSION): the newest, and an older one
// until the grace since the one after it was learnt of is over.
type versions struct {
	grace   time.Duration
	started bool
	models  map[string][]namedVersion
}

// namedVersion is a version and when this node learnt of it. They are kept in rising order.
type namedVersion struct {
	version uint64
	until   core.Time // until then, the versions before it may be used
}

func newVersions(grace time.Duration) versions {
	return versions{grace: grace, models: make(map[string][]namedVersion)}
}

func (v *versions) learn(now core.Time, compiled *config.Compiled) {
	grace := v.grace
	if !v.started {
		grace /= startGraceShare
		v.started = true
	}
	for model, version := range compiled.ModelVersions {
		if version > v.newest(model) {
			named := v.models[model]
			named = slices.DeleteFunc(named, func(old namedVersion) bool { return old.until < now-time.Minute })
			v.models[model] = append(named, namedVersion{version: version, until: now + grace})
		}
	}
}

// newest is the version that all brokers of a model are to have.
func (v *versions) newest(model string) uint64 {
	named := v.models[model]
	if len(named) == 0 {
		return firstVersion
	}
	return named[len(named)-1].version
}

// allowed reports whether a request may still start on the version.
func (v *versions) allowed(now core.Time, model string, version uint64) bool {
	for _, named := range v.models[model] {
		if named.version > version {
			return now < named.until
		}
	}
	return true
}

// preferNewest reports whether the grace of the version before is nearly over.
func (v *versions) preferNewest(now core.Time, model string) bool {
	named := v.models[model]
	if len(named) == 0 {
		return true
	}
	return now >= named[len(named)-1].until-v.grace/preferNewestShare
}

// believed is the version that an instance has of a model: what it told, else the newest, which a new one has.
func (v *versions) believed(instance *registry.Instance, model string) uint64 {
	if version := instance.Versions[model]; version != 0 {
		return version
	}
	return v.newest(model)
}
