package config

import (
	"maps"
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// noKnownChange is the text of the result of a command whose change this version doesn't know.
const noKnownChange = "no change that is known here"

// State is the replicated control state as of one entry: the configuration, the changes taken,
// versions of weights, grants of roles and drain intents. It is not safe for concurrent use.
type State struct {
	checker       Checker // nil: no schema is checked
	sizeLimit     int     // of a configuration and of the body of a change, in bytes; for Check alone
	index         uint64
	document      *document
	tenantsListed bool // document, or one before it, has a list of tenants
	takenChanges  *takenChanges
	modelVersions map[string]NamedVersion
	grants        map[string]*nodepb.LeaseChange
	drains        map[drainKey]*nodepb.DrainIntent

	prepared     *preparedChange // by Check, for the Apply that is likely next; nil: none
	lastCompiled *Compiled       // the last result of Compile; nil: none
	compiledFrom *document       // that lastCompiled was made from
}

// NewState returns the state before the first entry. Check has the checker check the schema of
// items; it may be nil on nodes that never call Check.
func NewState(checker Checker) *State {
	state := &State{checker: checker, sizeLimit: MaxBodyBytes}
	state.reset()
	return state
}

// SetLimit bounds, in bytes, the body of a change and the full configuration after it that Check
// accepts; more than MaxBodyBytes counts as MaxBodyBytes. Apply doesn't look at it, so that
// replicas with different limits never differ.
func (s *State) SetLimit(bytes int) { s.sizeLimit = min(bytes, MaxBodyBytes) }

func (s *State) reset() {
	s.index = 0
	s.document = emptyDocument
	s.tenantsListed = false
	s.takenChanges = newTakenChanges()
	s.modelVersions = map[string]NamedVersion{}
	s.grants = map[string]*nodepb.LeaseChange{}
	s.drains = map[drainKey]*nodepb.DrainIntent{}
	s.prepared = nil
}

// Index returns the index of the entry applied last.
func (s *State) Index() uint64 { return s.index }

// Version returns the version of the configuration; 0 before the first.
func (s *State) Version() uint64 { return s.document.version }

// Check judges a command against the state, in full, and leaves the state as it is. entryNeeded:
// the command is valid and must become the next entry; result is nil then. Otherwise result answers
// the command.
func (s *State) Check(command *nodepb.Command) (result *nodepb.CommandResult, entryNeeded bool) {
	switch change := command.GetChange().(type) {
	case *nodepb.Command_ConfigChange:
		return s.checkConfig(change.ConfigChange)
	case *nodepb.Command_ModelVersion:
		return s.checkModelVersion(change.ModelVersion)
	case *nodepb.Command_Lease:
		return s.checkGrant(change.Lease)
	case *nodepb.Command_Drain:
		return s.checkDrain(change.Drain)
	default:
		return s.rejection(nodepb.ResultCode_INVALID, noKnownChange), false
	}
}

// Apply carries out a committed entry and returns the result of its command, the same at every
// replica. Entries must come in order of index; one that is not the next changes nothing and has
// the result UNKNOWN. An entry without effect still advances the index.
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
	case *nodepb.Command_Lease:
		return s.applyGrant(change.Lease)
	case *nodepb.Command_Drain:
		return s.applyDrain(change.Drain)
	default:
		return s.rejection(nodepb.ResultCode_INVALID, noKnownChange)
	}
}

// setDocument puts a version of the configuration in force.
func (s *State) setDocument(next *document) {
	s.document = next
	s.tenantsListed = s.tenantsListed || next.tenants != nil
}

// Fetch returns the current configuration in full, as JSON; nil before the first.
func (s *State) Fetch() []byte {
	if s.document == emptyDocument {
		return nil
	}
	return s.document.render()
}

// sortedValues returns the values of a map, sorted by compare.
func sortedValues[K comparable, V any](values map[K]V, compare func(a, b V) int) []V {
	sorted := slices.AppendSeq(make([]V, 0, len(values)), maps.Values(values))
	slices.SortFunc(sorted, compare)
	return sorted
}
