package config

import (
	"cmp"

	"kestrelspread/internal/node/nodepb"
)

// drainKey identifies what is to be drained.
type drainKey struct{ kind, subject string }

func keyOfDrain(intent *nodepb.DrainIntent) drainKey {
	return drainKey{kind: intent.GetKind(), subject: intent.GetSubject()}
}

// DrainIntents returns the requested drains that were not cancelled, sorted by kind and subject.
// The caller must not change them.
func (s *State) DrainIntents() []*nodepb.DrainIntent { return sortedValues(s.drains, compareDrains) }

func compareDrains(a, b *nodepb.DrainIntent) int {
	return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetSubject(), b.GetSubject()))
}

// checkDrain judges a drain intent, or its cancellation. One that changes nothing is taken without
// an entry.
func (s *State) checkDrain(intent *nodepb.DrainIntent) (*nodepb.CommandResult, bool) {
	if err := s.validateDrain(intent); err != nil {
		return s.invalidResult(err), false
	}
	current := s.drains[keyOfDrain(intent)]
	unchanged := current != nil && current.GetDeadlineMs() == intent.GetDeadlineMs()
	if intent.GetCancelled() {
		unchanged = current == nil
	}
	if unchanged {
		return s.takenResult(s.index, s.document.version), false
	}
	return nil, true
}

// validateDrain checks a drain intent by itself, and that one more can be kept.
func (s *State) validateDrain(intent *nodepb.DrainIntent) error {
	if err := checkName("subject", intent.GetSubject()); err != nil {
		return err
	}
	if len(intent.GetKind()) > maxNameBytes {
		return invalid("kind", "longer than %d bytes", maxNameBytes)
	}
	if s.drains[keyOfDrain(intent)] == nil && !intent.GetCancelled() && len(s.drains) >= maxDrains {
		return tooMany("subject", maxDrains)
	}
	return nil
}

func (s *State) applyDrain(intent *nodepb.DrainIntent) *nodepb.CommandResult {
	result, entryNeeded := s.checkDrain(intent)
	if !entryNeeded {
		return result
	}
	if intent.GetCancelled() {
		delete(s.drains, keyOfDrain(intent))
	} else {
		s.drains[keyOfDrain(intent)] = &nodepb.DrainIntent{
			Subject: intent.GetSubject(), Kind: intent.GetKind(), DeadlineMs: intent.GetDeadlineMs(),
		}
	}
	return s.takenResult(s.index, s.document.version)
}
