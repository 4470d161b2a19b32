package rollout

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// maxVersionsPerModel bounds how many versions of a model are remembered with the time they became
// known.
const maxVersionsPerModel = 32

// namedVersion is a version and when it became known here.
type namedVersion struct {
	version uint64
	knownAt core.Time
}

// targets remembers the named versions of each model, oldest first. Each version has a bound of its
// own, counted from its own acknowledgement (PROTOCOL.md, "The operator's API").
type targets struct {
	versions map[string][]namedVersion // by model
}

func (t *targets) observe(current []Target) {
	for _, target := range current {
		t.observeOne(target)
	}
}

func (t *targets) observeOne(target Target) {
	if t.versions == nil {
		t.versions = map[string][]namedVersion{}
	}
	versions := t.versions[target.Model]
	if len(versions) > 0 && versions[len(versions)-1].version >= target.Version {
		return
	}
	versions = append(versions, namedVersion{version: target.Version, knownAt: target.KnownAt})
	if len(versions) > maxVersionsPerModel {
		versions = append(versions[:0], versions[len(versions)-maxVersionsPerModel:]...)
	}
	t.versions[target.Model] = versions
}

// newest is the newest named version of a model; 0: none was named.
func (t *targets) newest(model string) uint64 {
	versions := t.versions[model]
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].version
}

// missingVersion is a version that a broker lacks.
type missingVersion struct {
	model   string
	version uint64
	// knownAt is when the first version above the broker's became known: its bound counts from
	// then.
	knownAt core.Time
}

// earliestMissing returns the version whose bound ends first among those that a broker lacks, and
// whether it lacks any.
func (t *targets) earliestMissing(b *broker) (missingVersion, bool) {
	var earliest missingVersion
	found := false
	for _, model := range b.instance.Models {
		missing, isMissing := t.missing(b, model)
		if isMissing && (!found || missing.knownAt < earliest.knownAt) {
			earliest, found = missing, true
		}
	}
	return earliest, found
}

func (t *targets) missing(b *broker, model *nodepb.ModelOnInstance) (missingVersion, bool) {
	present := b.versionOf(model)
	newest := t.newest(model.Name)
	if present >= newest {
		return missingVersion{}, false
	}
	for _, named := range t.versions[model.Name] {
		if named.version > present {
			return missingVersion{model: model.Name, version: newest, knownAt: named.knownAt}, true
		}
	}
	return missingVersion{}, false
}
