package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// Duty is the newest grant of a duty, released or not; nil where there was none. The caller does not change it.
func (s *State) Duty(name string) *nodepb.DutyChange { return s.duties[name] }

// Duties are the newest grants, in order of duty. The caller does not change them.
func (s *State) Duties() []*nodepb.DutyChange { return sortedValues(s.duties, compareDuties) }

// checkDuty judges a grant: a fence never goes down, and no two holders share one (RULES.md, "ONE").
func (s *State) checkDuty(change *nodepb.DutyChange) (*nodepb.CommandResult, bool) {
	if err := s.checkNewDuty(change); err != nil {
		return s.invalidResult(err), false
	}
	current := s.duties[change.GetDuty()]
	if current == nil {
		return nil, true
	}
	if proto.Equal(current, change) {
		return s.accepted(s.index, s.document.version), false
	}
	if change.GetFence() < current.GetFence() {
		return s.refusal(nodepb.ResultCode_CONFLICT, "a higher fence was granted"), false
	}
	if change.GetFence() == current.GetFence() && change.GetHolder() != current.GetHolder() {
		return s.refusal(nodepb.ResultCode_CONFLICT, "the fence was granted to another holder"), false
	}
	if change.GetFence() == current.GetFence() && !change.GetReleased() && !containsAll(change.GetTargets(), current.GetTargets()) {
		return s.refusal(nodepb.ResultCode_CONFLICT, "more was granted under the fence"), false
	}
	return nil, true
}

func (s *State) checkNewDuty(change *nodepb.DutyChange) error {
	if err := checkName("duty", change.GetDuty()); err != nil {
		return err
	}
	if err := checkName("holder", change.GetHolder()); err != nil {
		return err
	}
	if len(change.GetTargets()) > maxDutyTargets || len(change.GetFormer()) > maxDutyTargets {
		return tooMany("target of a duty", maxDutyTargets)
	}
	for _, target := range slices.Concat(change.GetTargets(), change.GetFormer()) {
		if err := checkName("target", target); err != nil {
			return err
		}
	}
	if s.duties[change.GetDuty()] == nil && len(s.duties) >= maxDuties {
		return tooMany("duty", maxDuties)
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

func (s *State) applyDuty(change *nodepb.DutyChange) *nodepb.CommandResult {
	result, entryNeeded := s.checkDuty(change)
	if !entryNeeded {
		return result
	}
	s.duties[change.GetDuty()] = &nodepb.DutyChange{
		Duty: change.GetDuty(), Holder: change.GetHolder(), Fence: change.GetFence(), Released: change.GetReleased(),
		Targets: slices.Clone(change.GetTargets()), Former: slices.Clone(change.GetFormer()),
	}
	return s.accepted(s.index, s.document.version)
}
