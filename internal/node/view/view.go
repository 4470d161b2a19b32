// Package view agrees on who keeps the control state: the voters, and the chain among them.
//
// Every epoch has one View. The view of epoch e+1 is the value of one single-decree Paxos whose acceptors are the voters
// of view e (for epoch 1: the founders). This package holds the parts of it that need no control state: the rules for an
// Acceptor and a Round, the Detector that finds out by pings who is in reach, and Next, which names the view to propose.
// Package chain runs them together and makes durable what must be durable before it is said.
//
// Source: docs/design/system.md, "Control state".
package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// maxRemovedVoters bounds the list of voters that were dropped lately.
const maxRemovedVoters = 16

// Majority is the smallest number of members of which any two sets of that size share one.
func Majority(members int) int { return members/2 + 1 }

// Epoch of a view, 0 for none.
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

// ChainIndex is the place of the disk id in the chain, 0 for the head, -1 for none.
func ChainIndex(v *nodepb.View, diskID string) int { return slices.Index(v.GetChain(), diskID) }

// Head is the voter at the start of the chain, nil where there is no view.
func Head(v *nodepb.View) *nodepb.Voter {
	if len(v.GetChain()) == 0 {
		return nil
	}
	return FindVoter(v, v.GetChain()[0])
}

// Tail is the voter at the end of the chain, nil where there is no view.
func Tail(v *nodepb.View) *nodepb.Voter {
	if len(v.GetChain()) == 0 {
		return nil
	}
	return FindVoter(v, v.GetChain()[len(v.GetChain())-1])
}

// Successor is the voter after the disk id in the chain, nil for the tail and for those outside.
func Successor(v *nodepb.View, diskID string) *nodepb.Voter {
	index := ChainIndex(v, diskID)
	if index < 0 || index+1 >= len(v.GetChain()) {
		return nil
	}
	return FindVoter(v, v.GetChain()[index+1])
}

// DiskIDs lists the voters' disk ids in their order.
func DiskIDs(v *nodepb.View) []string {
	ids := make([]string, 0, len(v.GetVoters()))
	for _, voter := range v.GetVoters() {
		ids = append(ids, voter.GetDiskId())
	}
	return ids
}

// Valid reports whether the view can be one that was decided: numbered, with voters that differ, and a chain of voters
// that differ.
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

// requiredChainLength is how many members a chain must have before it acknowledges anything: one more than may be lost at once, or all
// voters where there are fewer.
func requiredChainLength(voters, tolerance int) int { return min(tolerance+1, voters) }

// CanAcknowledge reports whether the chain of the view is long enough to acknowledge and to answer.
func CanAcknowledge(v *nodepb.View) bool {
	return len(v.GetChain()) >= max(1, int(v.GetMinChainLength()))
}

// EligibleProposers lists who may propose the next view, as they hold all that was acknowledged: the members of the chain; where
// the view acknowledges nothing, its holders as well.
func EligibleProposers(v *nodepb.View) []string {
	if CanAcknowledge(v) {
		return v.GetChain()
	}
	return append(slices.Clone(v.GetChain()), v.GetOffChainReplicas()...)
}

// FirstView is the view of epoch 1: all founders that count, in their order.
func FirstView(founders []*nodepb.Voter, tolerance int) *nodepb.View {
	first := &nodepb.View{Epoch: 1, Voters: founders, MinChainLength: uint32(requiredChainLength(len(founders), tolerance))}
	first.Chain = DiskIDs(first)
	return first
}
