package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// Grant is the newest grant of a duty, released or not; nil where there was none. The caller does not change it.
func (s *State) Grant(name string) *nodepb.DutyChange { return s.grants[name] }

// Grants are the newest grants, in order of duty. The caller does not change them.
func (s *State) Grants() []*nodepb.DutyChange { return sortedValues(s.grants, compareGrants) }

// checkGrant judges a grant: a fence never goes down, and no two holders share one (RULES.md, "ONE").
func (s *State) checkGrant(change *nodepb.DutyChange) (*nodepb.CommandResult, bool) {
	if err := s.validateGrant(change); err != nil {
		return s.invalidResult(err), false
	}
	current := s.grants[change.GetDuty()]
	if current == nil {
		return nil, true
	}
	if proto.Equal(current, change) {
		return s.takenResult(s.index, s.document.version), false
	}
	if change.GetFence() < current.GetFence() {
		return s.rejection(nodepb.ResultCode_CONFLICT, "a higher fence was granted"), false
	}
	if change.GetFence() == current.GetFence() && change.GetHolder() != current.GetHolder() {
		return s.rejection(nodepb.ResultCode_CONFLICT, "the fence was granted to another holder"), false
	}
	if change.GetFence() == current.GetFence() && !change.GetReleased() && !containsAll(change.GetTargets(), current.GetTargets()) {
		return s.rejection(nodepb.ResultCode_CONFLICT, "more was granted under the fence"), false
	}
	return nil, true
}

func (s *State) validateGrant(change *nodepb.DutyChange) error {
	if err := checkName("duty", change.GetDuty()); err != nil {
		return err
	}
	if err := checkName("holder", change.GetHolder()); err != nil {
		return err
	}
	if len(change.GetTargets()) > maxGrantTargets || len(change.GetFormer()) > maxGrantTargets {
		return tooMany("target of a duty", maxGrantTargets)
	}
	for _, target := range slices.Concat(change.GetTargets(), change.GetFormer()) {
		if err := checkName("target", target); err != nil {
			return err
		}
	}
	if s.grants[change.GetDuty()] == nil && len(s.grants) >= maxRoles {
		return tooMany("duty", maxRoles)
	}
	return nil
}

// containsAll reports whether all of the names are in the list.
func containsAll(list, names []string) bool {
	in := make(map[string]bool, len(list))
	for _, name := range list {
		in[name] = true
	}
	return !slices.ContainsFunc(names, func(name string) bool { return !in[name] })
}

func (s *State) applyGrant(change *nodepb.DutyChange) *nodepb.CommandResult {
	result, entryNeeded := s.checkGrant(change)
	if !entryNeeded {
		return result
	}
	s.grants[change.GetDuty()] = &nodepb.DutyChange{
		Duty: change.GetDuty(), Holder: change.GetHolder(), Fence: change.GetFence(), Released: change.GetReleased(),
		Targets: slices.Clone(change.GetTargets()), Former: slices.Clone(change.GetFormer()),
	}
	return s.takenResult(s.index, s.document.version)
}
