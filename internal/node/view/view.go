// Package view has the rules by which the core machines agree on the view: the voters, and the
// chain of replicas among them.
//
// Every epoch has one View, as in Vertical Paxos. The view of epoch e+1 is the value of one
// single-decree Paxos whose acceptors are the voters of view e (for epoch 1: the founders). This
// package holds the parts that need no control state:
//
//   - Acceptor and Proposal, the two roles of Paxos;
//   - Detector, the failure detector: round trips to the voters, proven by pings, and relays
//     where the direct path is broken;
//   - Reconfiguration, which decides whether the view should change and which one to propose.
//
// It sends nothing, writes nothing and reads no clock. Package chain runs the parts together, and
// makes durable what must be durable before an answer is sent.
//
// Invariants: a view that a majority may have accepted is proposed again; the chain of a view that
// is proposed has only replicas that hold all that was acknowledged; a majority of its voters is
// reachable.
//
// Source: docs/design/system.md, "Control state".
package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// maxRemovedVoters bounds the list of the voters that were removed last.
const maxRemovedVoters = 16

// Majority is the smallest size at which any two sets of members intersect.
func Majority(members int) int { return members/2 + 1 }

// Epoch of a view, 0 for nil.
func Epoch(v *nodepb.View) uint64 { return v.GetEpoch() }

// FindVoter returns the voter with the disk id, or nil.
func FindVoter(v *nodepb.View, diskID string) *nodepb.Voter {
	for _, voter := range v.GetVoters() {
		if voter.GetDiskId() == diskID {
			return voter
		}
	}
	return nil
}

// IsVoter reports whether the disk id is one of the view's voters.
func IsVoter(v *nodepb.View, diskID string) bool { return FindVoter(v, diskID) != nil }

// ChainIndex is the index of the disk id in the chain: 0 for the head, -1 for one that is no
// member.
func ChainIndex(v *nodepb.View, diskID string) int { return slices.Index(v.GetChain(), diskID) }

// Head is the first member of the chain, nil where there is no view.
func Head(v *nodepb.View) *nodepb.Voter {
	if len(v.GetChain()) == 0 {
		return nil
	}
	return FindVoter(v, v.GetChain()[0])
}

// Tail is the last member of the chain, nil where there is no view.
func Tail(v *nodepb.View) *nodepb.Voter {
	if len(v.GetChain()) == 0 {
		return nil
	}
	return FindVoter(v, v.GetChain()[len(v.GetChain())-1])
}

// Successor is the member after the disk id in the chain, nil for the tail and for those outside
// the chain.
func Successor(v *nodepb.View, diskID string) *nodepb.Voter {
	index := ChainIndex(v, diskID)
	if index < 0 || index+1 >= len(v.GetChain()) {
		return nil
	}
	return FindVoter(v, v.GetChain()[index+1])
}

// DiskIDs lists the disk ids of the voters in their order.
func DiskIDs(v *nodepb.View) []string {
	ids := make([]string, 0, len(v.GetVoters()))
	for _, voter := range v.GetVoters() {
		ids = append(ids, voter.GetDiskId())
	}
	return ids
}

// Valid reports whether the view can have been decided: it has an epoch, distinct voters, and a
// chain of distinct voters.
func Valid(v *nodepb.View) bool {
	if v.GetEpoch() == 0 || len(v.GetVoters()) == 0 || len(v.GetChain()) == 0 {
		return false
	}
	seen := make(map[string]bool, len(v.GetVoters()))
	for _, voter := range v.GetVoters() {
		if voter.GetDiskId() == "" || voter.GetAddress() == "" || seen[voter.GetDiskId()] {
			return false
		}
		seen[voter.GetDiskId()] = true
	}
	for _, diskID := range v.GetChain() {
		if !seen[diskID] {
			return false
		}
		seen[diskID] = false
	}
	return true
}

// requiredChainLength is the minimum length of a chain that acknowledges: one more than the
// machines that may be lost at once, or all voters where there are fewer.
func requiredChainLength(voters, tolerance int) int { return min(tolerance+1, voters) }

// CanAcknowledge reports whether the chain of the view is long enough to acknowledge entries and to
// answer.
func CanAcknowledge(v *nodepb.View) bool {
	return len(v.GetChain()) >= max(1, int(v.GetMinChainLength()))
}

// EligibleProposers lists the disk ids of those who may propose the next view, as they hold all
// that was acknowledged: the members of the chain and, where the view can't acknowledge, its
// off-chain replicas.
func EligibleProposers(v *nodepb.View) []string {
	if CanAcknowledge(v) {
		return v.GetChain()
	}
	return append(slices.Clone(v.GetChain()), v.GetOffChainReplicas()...)
}

// FirstView is the view of epoch 1: all founders that are present, in their order.
func FirstView(founders []*nodepb.Voter, tolerance int) *nodepb.View {
	first := &nodepb.View{Epoch: 1, Voters: founders, MinChainLength: uint32(requiredChainLength(len(founders), tolerance))}
	first.Chain = DiskIDs(first)
	return first
}
