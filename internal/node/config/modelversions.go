package config

import (
	"cmp"

	"kestrelspread/internal/node/nodepb"
)

// firstModelVersion is the version of weights that every model has before one is named.
const firstModelVersion = 1

// NamedVersion is the newest version of a model's weights that was named.
type NamedVersion struct {
	Model   string
	Version uint64
	Index   uint64 // of the entry that named it
}

// ModelVersions returns the newest named version of each model, sorted by model.
func (s *State) ModelVersions() []NamedVersion {
	return sortedValues(s.modelVersions, compareModelVersions)
}

func compareModelVersions(a, b NamedVersion) int { return cmp.Compare(a.Model, b.Model) }

// checkModelVersion judges new weights. A version that is not above the newest is in force already,
// as all brokers are brought to the newest: it is taken without an effect, whether it was repeated
// or overtaken. Source: PROTOCOL.md, "The operator's API".
func (s *State) checkModelVersion(change *nodepb.ModelVersionChange) (*nodepb.CommandResult, bool) {
	if err := s.validateModelVersion(change); err != nil {
		return s.invalidResult(err), false
	}
	if change.GetVersion() <= s.newestModelVersion(change.GetModel()) {
		return s.takenResult(s.index, change.GetVersion()), false
	}
	return nil, true
}

func (s *State) validateModelVersion(change *nodepb.ModelVersionChange) error {
	if err := checkName("model", change.GetModel()); err != nil {
		return err
	}
	if change.GetVersion() < firstModelVersion {
		return invalid("version", "must be %d or more", firstModelVersion)
	}
	_, known := s.modelVersions[change.GetModel()]
	if !known && len(s.modelVersions) >= maxModels {
		return tooMany("model", maxModels)
	}
	return nil
}

func (s *State) newestModelVersion(model string) uint64 {
	if named, ok := s.modelVersions[model]; ok {
		return named.Version
	}
	return firstModelVersion
}

func (s *State) applyModelVersion(change *nodepb.ModelVersionChange) *nodepb.CommandResult {
	result, entryNeeded := s.checkModelVersion(change)
	if !entryNeeded {
		return result
	}
	model, version := change.GetModel(), change.GetVersion()
	s.modelVersions[model] = NamedVersion{Model: model, Version: version, Index: s.index}
	return s.takenResult(s.index, version)
}
