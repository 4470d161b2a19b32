package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// nextVoters adds the joiners, and then removes the voters that may be removed. Voters to be
// retained are neither removed nor replaced by another machine.
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

// addVoter adds a joiner in place of the voter with its disk, else of the one at its address, whose
// disk is gone, else of a voter that has failed, else as one more.
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
			return r.replaceable(voter.GetDiskId()) && !slices.Contains(retained, voter.GetDiskId())
		})
	}
	if index < 0 {
		return append(voters, joiner)
	}
	voters[index] = joiner
	return voters
}

// replaceable reports whether a joiner on another machine may replace the voter.
func (r *Reconfiguration) replaceable(diskID string) bool {
	return r.condition(diskID) == Failed && !r.isJoiner(diskID)
}

// failedForLong reports whether the voter has failed for so long that it may be removed.
func (r *Reconfiguration) failedForLong(diskID string) bool {
	return diskID != r.Self && r.Detector.FailedFor(diskID) >= RemovalTimeout
}

// removableVoters lists the voters that have failed for RemovalTimeout, if all others are reachable
// and enough of them remain: 2 x tolerance + 1, so that a majority outlives the loss of as many
// machines as may be lost.
func (r *Reconfiguration) removableVoters(voters []*nodepb.Voter) []string {
	var removable []string
	for _, voter := range voters {
		diskID := voter.GetDiskId()
		switch {
		case r.isJoiner(diskID):
		case r.failedForLong(diskID):
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

func (r *Reconfiguration) isJoiner(diskID string) bool {
	return slices.ContainsFunc(r.Joiners, func(joiner *nodepb.Voter) bool { return joiner.GetDiskId() == diskID })
}

// reachesMajority reports whether a majority of the voters is reachable; joiners have just
// answered.
func (r *Reconfiguration) reachesMajority(voters []*nodepb.Voter) bool {
	reached := 0
	for _, voter := range voters {
		if r.condition(voter.GetDiskId()) == Reachable || r.isJoiner(voter.GetDiskId()) {
			reached++
		}
	}
	return reached >= Majority(len(voters))
}

// removedVoters lists the voters that were removed last, those of the next view at the end.
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
