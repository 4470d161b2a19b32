package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// NextView returns the view to propose, or nil if no view can be proposed at present. The chain of
// the view contains only replicas that hold all acknowledged entries, and joiners that have caught
// up. A majority of its voters is reachable.
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
		MemberUnreachable: r.omitsUnreachableMember(chain),
	}
	if !CanAcknowledge(next) {
		next.OffChainReplicas = slices.DeleteFunc(retained, func(diskID string) bool { return !IsVoter(next, diskID) })
	}
	if !Valid(next) || !r.canReachMajority(voters) || r.omitsReturningReplica(next) {
		return nil
	}
	return next
}

// omitsUnreachableMember reports whether the next chain omits a member of the current chain, other
// than this node, that is unreachable.
func (r *Reconfiguration) omitsUnreachableMember(next []string) bool {
	return slices.ContainsFunc(r.View.GetChain(), func(diskID string) bool {
		return diskID != r.Self && !slices.Contains(next, diskID) && r.Detector.Unreachable(diskID)
	})
}

// retainedReplicas returns the replicas outside the next chain that hold all acknowledged entries
// and must therefore remain voters. It returns none if the chain is longer than Tolerance and so is
// long enough to acknowledge.
func (r *Reconfiguration) retainedReplicas(chain []string) []string {
	if len(chain) > r.Tolerance {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(EligibleProposers(r.View)), func(diskID string) bool {
		return slices.Contains(chain, diskID)
	})
}

// omitsReturningReplica reports whether the chain of the next view is too short to acknowledge and
// omits an eligible proposer that may soon return, because it has not reached RemovalTimeout. Such a
// view would gain nothing, and a loss of the disks of its chain would lose the state.
func (r *Reconfiguration) omitsReturningReplica(next *nodepb.View) bool {
	if CanAcknowledge(next) {
		return false
	}
	for _, diskID := range EligibleProposers(r.View) {
		if !slices.Contains(next.GetChain(), diskID) && !r.removalTimeoutReached(diskID) {
			return true
		}
	}
	return false
}

// nextChain returns the chain of the next view: this node as the head, then the other reachable
// eligible proposers in their present order, then the joiners. A node that is leaving adds no
// joiners: it leaves the chain if the others suffice to acknowledge, and becomes the tail if not.
func (r *Reconfiguration) nextChain() []string {
	var others []string
	for _, diskID := range EligibleProposers(r.View) {
		if diskID != r.Self && r.condition(diskID) == Reachable {
			others = append(others, diskID)
		}
	}
	others = r.removeBrokenLinks(others)
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

// removeBrokenLinks removes members until no link between the remaining ones, or from one of them to
// this node, is broken. Each step removes the member with the most broken links, and the last of
// these if several have equally many. It modifies the slice.
func (r *Reconfiguration) removeBrokenLinks(members []string) []string {
	for {
		worst, maxBroken := -1, 0
		for i, member := range members {
			if broken := r.countBrokenLinks(member, members); broken >= maxBroken && broken > 0 {
				worst, maxBroken = i, broken
			}
		}
		if worst < 0 {
			return members
		}
		members = slices.Delete(members, worst, worst+1)
	}
}

// countBrokenLinks returns the number of broken links from a member to this node and to the other
// members.
func (r *Reconfiguration) countBrokenLinks(member string, members []string) int {
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
