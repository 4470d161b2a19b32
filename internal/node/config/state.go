package config

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// State is the control state as of one entry: the configuration, the changes taken, versions of weights, duty grants
// and drain intentions. It belongs to one goroutine.
type State struct {
	checker       Checker // nil: no schema is checked
	sizeLimit     int     // of a configuration and of the body of a change, in bytes; for Check alone
	index         uint64
	document      *document
	takenChanges  *takenChanges
	modelVersions map[string]NamedVersion
	grants        map[string]*nodepb.DutyChange
	drains        map[drainKey]*nodepb.DrainIntent

	prepared     *preparedChange // what Check read last, for Apply
	lastCompiled *Compiled       // the last result of Compile
	compiledFrom *document       // what compiled was made from
}

// NewState is the state before the first entry. The checker is asked by Check about the schema of items; it may be nil on
// nodes that never call Check.
func NewState(checker Checker) *State {
	state := &State{checker: checker, sizeLimit: MaxBodyBytes}
	state.reset()
	return state
}

// SetLimit bounds what Check lets in: the body of a change and the whole configuration after it, in bytes. Entries that others
// took are applied whatever their size, so that replicas never differ.
func (s *State) SetLimit(bytes int) { s.sizeLimit = min(bytes, MaxBodyBytes) }

func (s *State) reset() {
	s.index = 0
	s.document = emptyDocument
	s.takenChanges = newTakenChanges()
	s.modelVersions = map[string]NamedVersion{}
	s.grants = map[string]*nodepb.DutyChange{}
	s.drains = map[drainKey]*nodepb.DrainIntent{}
	s.prepared = nil
}

// Index is the index of the entry applied last.
func (s *State) Index() uint64 { return s.index }

// Version is the version of the configuration; 0 before the first.
func (s *State) Version() uint64 { return s.document.version }

// Check judges a command against the state. entryNeeded: it is to be taken, and has to become the next entry; the
// result is nil then. Otherwise the result is the answer, and the state stays as it is.
func (s *State) Check(command *nodepb.Command) (result *nodepb.CommandResult, entryNeeded bool) {
	switch change := command.GetChange().(type) {
	case *nodepb.Command_ConfigChange:
		return s.checkConfig(change.ConfigChange)
	case *nodepb.Command_ModelVersion:
		return s.checkModelVersion(change.ModelVersion)
	case *nodepb.Command_Duty:
		return s.checkGrant(change.Duty)
	case *nodepb.Command_Drain:
		return s.checkDrain(change.Drain)
	default:
		return s.rejection(nodepb.ResultCode_INVALID, "no change that is known here"), false
	}
}

// Apply carries an entry out and returns the answer to its command, the same at every replica. Entries come in order of
// index; one that is not the next changes nothing and has the result UNKNOWN.
func (s *State) Apply(entry *nodepb.Entry) *nodepb.CommandResult {
	if entry.GetIndex() != s.index+1 {
		return s.rejection(nodepb.ResultCode_UNKNOWN, "not the next entry")
	}
	s.index = entry.GetIndex()
	prepared := s.prepared
	s.prepared = nil
	switch change := entry.GetCommand().GetChange().(type) {
	case *nodepb.Command_ConfigChange:
		return s.applyConfig(change.ConfigChange, prepared)
	case *nodepb.Command_ModelVersion:
		return s.applyModelVersion(change.ModelVersion)
	case *nodepb.Command_Duty:
		return s.applyGrant(change.Duty)
	case *nodepb.Command_Drain:
		return s.applyDrain(change.Drain)
	default:
		return s.rejection(nodepb.ResultCode_INVALID, "no change that is known here")
	}
}

// Fetch is the newest configuration in full, as JSON; nil before the first.
func (s *State) Fetch() []byte {
	if s.document == emptyDocument {
		return nil
	}
	return s.document.render()
}

func (s *State) rejection(code nodepb.ResultCode, text string) *nodepb.CommandResult {
	return &nodepb.CommandResult{Code: code, Text: text, Index: s.index, Version: s.document.version}
}

// takenResult is the answer to a command that is in force, taken by the entry at index.
func (s *State) takenResult(index, version uint64) *nodepb.CommandResult {
	return &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN, Index: index, Version: version}
}

// sortedValues are the values of a map in the order that compare gives.
func sortedValues[K comparable, V any](values map[K]V, compare func(a, b V) int) []V {
	list := make([]V, 0, len(values))
	for _, value := range values {
		list = append(list, value)
	}
	slices.SortFunc(list, compare)
	return list
}

func compareModelVersions(a, b NamedVersion) int { return cmp.Compare(a.Model, b.Model) }

func compareGrants(a, b *nodepb.DutyChange) int { return cmp.Compare(a.GetDuty(), b.GetDuty()) }

func compareDrains(a, b *nodepb.DrainIntent) int {
	return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetSubject(), b.GetSubject()))
}
