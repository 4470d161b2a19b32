package config

import "kestrelspread/internal/node/nodepb"

// drainKey names what is to be drained.
type drainKey struct{ kind, subject string }

func keyOfDrain(intent *nodepb.DrainIntent) drainKey {
	return drainKey{kind: intent.GetKind(), subject: intent.GetSubject()}
}

// DrainIntents are the drains that were asked for and not cancelled, in order of kind and subject. The caller does not
// change them.
func (s *State) DrainIntents() []*nodepb.DrainIntent { return sortedValues(s.drains, compareDrains) }

func (s *State) checkDrain(intent *nodepb.DrainIntent) (*nodepb.CommandResult, bool) {
	if err := s.validateDrain(intent); err != nil {
		return s.invalidResult(err), false
	}
	current := s.drains[keyOfDrain(intent)]
	unchanged := current != nil && current.GetByMs() == intent.GetByMs()
	if intent.GetCancelled() {
		unchanged = current == nil
	}
	if unchanged {
		return s.takenResult(s.index, s.document.version), false
	}
	return nil, true
}

func (s *State) validateDrain(intent *nodepb.DrainIntent) error {
	if err := checkName("subject", intent.GetSubject()); err != nil {
		return err
	}
	if len(intent.GetKind()) > maxNameLength {
		return invalid("kind", "longer than %d bytes", maxNameLength)
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
			Subject: intent.GetSubject(), Kind: intent.GetKind(), ByMs: intent.GetByMs(),
		}
	}
	return s.takenResult(s.index, s.document.version)
}
