package leasesim

import (
	"fmt"
	"strconv"

	"github.com/anishathalye/porcupine"

	"kestrelspread/internal/fleet/lease"
)

// checker is what has been seen of the agreed state, over all voters.
type checker struct {
	stateAt        map[uint64]string  // snapshots, by index
	grantOf        map[uint64]string  // by token: index, role and instance
	progress       map[string]int     // by role, at progressIndex
	progressToken  map[string]uint64  // by role, at progressIndex
	progressIndex  uint64             // the latest that has been seen
	revokedAt      map[string]float64 // by role: when it was last seen to be revoked
	recordedEvents map[uint64]bool    // by index
	operations     []porcupine.Operation
}

func newChecker() checker {
	return checker{
		stateAt:        map[uint64]string{},
		grantOf:        map[uint64]string{},
		progress:       map[string]int{},
		progressToken:  map[string]uint64{},
		revokedAt:      map[string]float64{},
		recordedEvents: map[uint64]bool{},
	}
}

// checkHolders checks that one instance at most may act for a role, over all processes at once.
// Where an operator revoked the role its former holder goes on until its lease ends: there the
// fence alone decides.
func (s *simulation) checkHolders() {
	for number := range s.Roles {
		name := roleName(number)
		holder := ""
		for _, n := range s.instances {
			if n.down {
				continue
			}
			if _, may := n.holder.MayAct(n.clock(s.now), name); !may {
				continue
			}
			if holder != "" && !s.recentlyRevoked(name) {
				s.violation("%s: %s and %s both may act", name, holder, n.name)
			}
			holder = n.name
		}
	}
}

// recentlyRevoked tells whether a lease of before the revocation may still run.
func (s *simulation) recentlyRevoked(role string) bool {
	revokedAt, revoked := s.checker.revokedAt[role]
	return revoked && s.now < revokedAt+s.Config.LeaseMs*(1+s.Config.MaxDrift)
}

// checkState checks a voter's state against what was seen of the others.
func (s *simulation) checkState(v *simVoter) {
	state := v.replica.State
	s.checkAgreement(v, state)
	s.checkProgress(state)
	s.recordEvents(state)
	s.checkTokens(state)
}

// checkAgreement checks that states at one index are equal. A state at index 0 is a learner's
// that knows nothing yet.
func (s *simulation) checkAgreement(v *simVoter, state *lease.State) {
	snapshot, index := string(state.Snapshot()), state.AppliedIndex
	if other, known := s.checker.stateAt[index]; known && other != snapshot && index > 0 {
		s.violation("%s differs at %d: %s and %s", v.party(), index, other, snapshot)
	}
	s.checker.stateAt[index] = snapshot
}

// checkProgress checks that neither a role's progress nor its token ever goes back.
func (s *simulation) checkProgress(state *lease.State) {
	c := &s.checker
	if state.AppliedIndex <= c.progressIndex {
		return
	}
	c.progressIndex = state.AppliedIndex
	for name, role := range state.Roles {
		progress, _ := strconv.Atoi(string(role.Progress))
		if progress < c.progress[name] || role.ProgressToken < c.progressToken[name] {
			s.violation("%s: went back from %d under token %d to %d under %d",
				name, c.progress[name], c.progressToken[name], progress, role.ProgressToken)
		}
		c.progress[name], c.progressToken[name] = progress, role.ProgressToken
	}
}

// checkTokens checks that no token is granted twice.
func (s *simulation) checkTokens(state *lease.State) {
	for _, event := range state.History {
		if event.Kind != eventGranted {
			continue
		}
		grant := fmt.Sprint(event.Index, event.Role, event.Instance)
		other, known := s.checker.grantOf[event.Token]
		if known && other != grant {
			s.violation("token %d was given twice: %s and %s", event.Token, other, grant)
		}
		if !known {
			s.result.Grants++
		}
		s.checker.grantOf[event.Token] = grant
	}
}
