package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// NextView is the view to propose, nil if there is none at present. Its chain has only replicas
// that hold all that was acknowledged, and joiners that have caught up; a majority of its voters is
// reachable.
func (r *Reconfiguration) NextView() *nodepb.View {
	chain := r.nextChain()
	if len(chain) == 0 {
		return nil
	}
	retained := r.retainedReplicas(chain)
	voters := r.nextVoters(append(slices.Clone(chain), retained...))
	next := &nodepb.View{
		Epoch:             r.View.GetEpoch() + 1,
		Voters:            voters,
		Chain:             chain,
		RemovedVoters:     r.removedVoters(voters),
		MinChainLength:    uint32(requiredChainLength(len(voters), r.Tolerance)),
		MemberUnreachable: r.leavesOutUnreachable(chain),
	}
	if !CanAcknowledge(next) {
		next.OffChainReplicas = slices.DeleteFunc(retained, func(diskID string) bool { return !IsVoter(next, diskID) })
	}
	if !Valid(next) || !r.reachesMajority(voters) || r.tooShort(next) {
		return nil
	}
	return next
}

// leavesOutUnreachable reports whether a member of the chain in force is left out of the next one
// as it is unreachable.
func (r *Reconfiguration) leavesOutUnreachable(next []string) bool {
	return slices.ContainsFunc(r.View.GetChain(), func(diskID string) bool {
		return diskID != r.Self && !slices.Contains(next, diskID) && r.Detector.Unreachable(diskID)
	})
}

// retainedReplicas lists the replicas outside the chain that hold all that was acknowledged, if the
// chain may be too short to acknowledge: they stay voters then.
func (r *Reconfiguration) retainedReplicas(chain []string) []string {
	if len(chain) > r.Tolerance {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(EligibleProposers(r.View)), func(diskID string) bool {
		return slices.Contains(chain, diskID)
	})
}

// tooShort reports whether the chain would be too short to acknowledge while replicas that it
// leaves out may soon return. A short chain gains nothing then, and a loss of its disks would lose
// the state.
func (r *Reconfiguration) tooShort(next *nodepb.View) bool {
	if CanAcknowledge(next) {
		return false
	}
	for _, diskID := range EligibleProposers(r.View) {
		if !slices.Contains(next.GetChain(), diskID) && !r.failedForLong(diskID) {
			return true
		}
	}
	return false
}

// nextChain is this node as the head, the reachable eligible proposers in their order, and the
// joiners. A leaving node adds no joiners, and becomes the tail, or leaves the chain if that is
// long enough without it.
func (r *Reconfiguration) nextChain() []string {
	var others []string
	for _, diskID := range EligibleProposers(r.View) {
		if diskID != r.Self && r.condition(diskID) == Reachable {
			others = append(others, diskID)
		}
	}
	others = r.withoutBrokenLinks(others)
	if r.Leaving && len(others) > 0 {
		if len(others) >= requiredChainLength(len(r.View.GetVoters()), r.Tolerance) {
			return others
		}
		return append(others, r.Self)
	}
	chain := append([]string{r.Self}, others...)
	for _, joiner := range r.Joiners {
		if !slices.Contains(chain, joiner.GetDiskId()) {
			chain = append(chain, joiner.GetDiskId())
		}
	}
	return chain
}

// withoutBrokenLinks removes the member with the most broken links, the later one of two, until
// there is none.
func (r *Reconfiguration) withoutBrokenLinks(members []string) []string {
	for {
		worst, maxBroken := -1, 0
		for i, member := range members {
			if broken := r.brokenLinks(member, members); broken >= maxBroken && broken > 0 {
				worst, maxBroken = i, broken
			}
		}
		if worst < 0 {
			return members
		}
		members = slices.Delete(members, worst, worst+1)
	}
}

// brokenLinks counts the broken links of a member to this node and to the other members.
func (r *Reconfiguration) brokenLinks(member string, members []string) int {
	broken := 0
	if r.Detector.LinkBroken(member, r.Self) {
		broken++
	}
	for _, other := range members {
		if other != member && r.Detector.LinkBroken(member, other) {
			broken++
		}
	}
	return broken
}
