package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// nextVoters returns the voters of the next view: the current voters and the joiners, without the
// voters that may be removed. It neither removes a retained voter nor replaces it by another machine.
// A node that is leaving changes no voters.
func (r *Reconfiguration) nextVoters(retained []string) []*nodepb.Voter {
	voters := slices.Clone(r.View.GetVoters())
	if r.Leaving {
		return voters
	}
	for _, joiner := range r.Joiners {
		voters = r.addVoter(voters, joiner, retained)
	}
	removed := slices.DeleteFunc(r.removableVoters(voters), func(diskID string) bool { return slices.Contains(retained, diskID) })
	return slices.DeleteFunc(voters, func(voter *nodepb.Voter) bool {
		return slices.Contains(removed, voter.GetDiskId())
	})
}

// addVoter adds a joiner to the voters. The joiner replaces the first voter found by these rules:
//
//  1. the voter with the same disk id;
//  2. the voter at the same address, whose disk is gone;
//  3. a voter that isReplaceable and is not retained.
//
// If there is no such voter, the joiner is appended.
func (r *Reconfiguration) addVoter(voters []*nodepb.Voter, joiner *nodepb.Voter, retained []string) []*nodepb.Voter {
	index := slices.IndexFunc(voters, func(voter *nodepb.Voter) bool {
		return voter.GetDiskId() == joiner.GetDiskId()
	})
	if index < 0 {
		index = slices.IndexFunc(voters, func(voter *nodepb.Voter) bool {
			return voter.GetAddress() == joiner.GetAddress()
		})
	}
	if index < 0 {
		index = slices.IndexFunc(voters, func(voter *nodepb.Voter) bool {
			return r.isReplaceable(voter.GetDiskId()) && !slices.Contains(retained, voter.GetDiskId())
		})
	}
	if index < 0 {
		return append(voters, joiner)
	}
	voters[index] = joiner
	return voters
}

// isReplaceable reports whether a joiner on another machine may replace the voter, which is the case
// if the voter has failed and isn't a joiner itself.
func (r *Reconfiguration) isReplaceable(diskID string) bool {
	return r.condition(diskID) == Failed && !r.isJoiner(diskID)
}

// removalTimeoutReached reports whether the voter has failed for at least RemovalTimeout, so that it
// may be removed. It returns false for this node itself.
func (r *Reconfiguration) removalTimeoutReached(diskID string) bool {
	return diskID != r.Self && r.Detector.FailedFor(diskID) >= RemovalTimeout
}

// removableVoters returns the voters that have failed for at least RemovalTimeout. It returns none
// unless all other voters are reachable and at least 2*Tolerance+1 voters remain, so that a majority
// survives the loss of as many machines as are tolerated.
func (r *Reconfiguration) removableVoters(voters []*nodepb.Voter) []string {
	var removable []string
	for _, voter := range voters {
		diskID := voter.GetDiskId()
		switch {
		case r.isJoiner(diskID): // never removed, and counts as reachable
		case r.removalTimeoutReached(diskID):
			removable = append(removable, diskID)
		case r.condition(diskID) != Reachable:
			return nil
		}
	}
	if len(voters)-len(removable) < 2*r.Tolerance+1 {
		return nil
	}
	return removable
}

// isJoiner reports whether the disk id is that of a joiner.
func (r *Reconfiguration) isJoiner(diskID string) bool {
	return slices.ContainsFunc(r.Joiners, func(joiner *nodepb.Voter) bool { return joiner.GetDiskId() == diskID })
}

// canReachMajority reports whether a majority of the given voters is reachable. Joiners count as
// reachable because they have just answered.
func (r *Reconfiguration) canReachMajority(voters []*nodepb.Voter) bool {
	reached := 0
	for _, voter := range voters {
		if r.condition(voter.GetDiskId()) == Reachable || r.isJoiner(voter.GetDiskId()) {
			reached++
		}
	}
	return reached >= Majority(len(voters))
}

// removedVoters returns the disk ids of the voters that were removed most recently, oldest first and
// at most maxRemovedVoters. The voters that the next view removes are at the end.
func (r *Reconfiguration) removedVoters(voters []*nodepb.Voter) []string {
	isVoter := func(diskID string) bool {
		return slices.ContainsFunc(voters, func(voter *nodepb.Voter) bool { return voter.GetDiskId() == diskID })
	}
	removed := slices.DeleteFunc(slices.Clone(r.View.GetRemovedVoters()), isVoter)
	for _, voter := range r.View.GetVoters() {
		if !isVoter(voter.GetDiskId()) {
			removed = append(removed, voter.GetDiskId())
		}
	}
	return removed[max(0, len(removed)-maxRemovedVoters):]
}
