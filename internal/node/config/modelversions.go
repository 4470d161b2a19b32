package config

import "kestrelspread/internal/node/nodepb"

// Bounds of what is kept beside the configuration.
const (
	maxModels = 4096
	maxRoles  = 256
	// maxGrantTargets bounds what one grant names: the brokers of a service.
	maxGrantTargets = 8192
	maxDrains       = 4096
	maxNameLength   = 512 // of a model, duty, holder, subject or kind, in bytes
)

// firstModelVersion is the version of weights that every model has before one is named.
const firstModelVersion = 1

// NamedVersion is the newest version of a model's weights that was named.
type NamedVersion struct {
	Model   string
	Version uint64
	Index   uint64 // of the entry that named it
}

// ModelVersions are the newest named versions, in order of model.
func (s *State) ModelVersions() []NamedVersion {
	return sortedValues(s.modelVersions, compareModelVersions)
}

// checkModelVersion judges new weights. A version that is not above the newest is in force already, as all brokers are
// brought to the newest: it is acknowledged, without an effect, whether it comes again or was overtaken.
// Source: PROTOCOL.md, "The operator's API".
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
	s.modelVersions[change.GetModel()] = NamedVersion{Model: change.GetModel(), Version: change.GetVersion(), Index: s.index}
	return s.takenResult(s.index, change.GetVersion())
}

func checkName(field, name string) error {
	if name == "" {
		return invalid(field, "must not be empty")
	}
	if len(name) > maxNameLength {
		return invalid(field, "longer than %d bytes", maxNameLength)
	}
	return nil
}

func tooMany(field string, limit int) error {
	return invalid(field, "more than %d of them", limit)
}
