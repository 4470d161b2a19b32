package config

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// A grant is the record of a singleton role's lease (nodepb.DutyChange): the role, its holder, the
// fence (the fencing token of the holder's orders) and the claimed instances. Targets are the
// instances that the holder may order; Former are those of them that a previous holder may have
// ordered.

// Grant returns the newest grant of a role, released or not; nil: there was none. The caller must
// not change it.
func (s *State) Grant(role string) *nodepb.LeaseChange { return s.grants[role] }

// Grants returns the newest grant of each role, sorted by role. The caller must not change them.
func (s *State) Grants() []*nodepb.LeaseChange { return sortedValues(s.grants, compareGrants) }

func compareGrants(a, b *nodepb.LeaseChange) int { return cmp.Compare(a.GetRole(), b.GetRole()) }

// checkGrant judges a grant: a role's fence never falls, no two holders share one, and within a
// fence claims are only added, so that a change that is committed late takes none back. Source:
// RULES.md, "ONE".
func (s *State) checkGrant(change *nodepb.LeaseChange) (*nodepb.CommandResult, bool) {
	if err := s.validateGrant(change); err != nil {
		return s.invalidResult(err), false
	}
	current := s.grants[change.GetRole()]
	if current == nil {
		return nil, true
	}
	if proto.Equal(current, change) {
		return s.takenResult(s.index, s.document.version), false
	}
	if reason := grantConflict(current, change); reason != "" {
		return s.rejection(nodepb.ResultCode_CONFLICT, reason), false
	}
	return nil, true
}

// grantConflict says why a grant can't follow the current one of its role; empty: it can.
func grantConflict(current, change *nodepb.LeaseChange) string {
	switch {
	case change.GetFencingToken() < current.GetFencingToken():
		return "a higher fence was granted"
	case change.GetFencingToken() > current.GetFencingToken():
		return ""
	case change.GetHolder() != current.GetHolder():
		return "the fence was granted to another holder"
	case !change.GetReleased() && !containsAll(change.GetClaims(), current.GetClaims()):
		return "more was granted under the fence"
	default:
		return ""
	}
}

// validateGrant checks a grant by itself, and that one role more can be kept.
func (s *State) validateGrant(change *nodepb.LeaseChange) error {
	if err := checkName("duty", change.GetRole()); err != nil {
		return err
	}
	if err := checkName("holder", change.GetHolder()); err != nil {
		return err
	}
	if len(change.GetClaims()) > maxGrantTargets || len(change.GetInheritedClaims()) > maxGrantTargets {
		return tooMany("target of a duty", maxGrantTargets)
	}
	for _, target := range slices.Concat(change.GetClaims(), change.GetInheritedClaims()) {
		if err := checkName("target", target); err != nil {
			return err
		}
	}
	if s.grants[change.GetRole()] == nil && len(s.grants) >= maxRoles {
		return tooMany("duty", maxRoles)
	}
	return nil
}

// containsAll reports whether all names are in the list.
func containsAll(list, names []string) bool {
	listed := make(map[string]bool, len(list))
	for _, name := range list {
		listed[name] = true
	}
	return !slices.ContainsFunc(names, func(name string) bool { return !listed[name] })
}

func (s *State) applyGrant(change *nodepb.LeaseChange) *nodepb.CommandResult {
	result, entryNeeded := s.checkGrant(change)
	if !entryNeeded {
		return result
	}
	s.grants[change.GetRole()] = &nodepb.LeaseChange{
		Role:            change.GetRole(),
		Holder:          change.GetHolder(),
		FencingToken:    change.GetFencingToken(),
		Released:        change.GetReleased(),
		Claims:          slices.Clone(change.GetClaims()),
		InheritedClaims: slices.Clone(change.GetInheritedClaims()),
	}
	return s.takenResult(s.index, s.document.version)
}
