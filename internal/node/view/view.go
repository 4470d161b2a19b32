// Package view implements the rules by which the core machines agree on the view, which consists of
// the voters and of the chain of replicas among the voters.
//
// Each epoch has exactly one view, as in Vertical Paxos. The view of epoch e+1 is the value decided
// by one instance of single-decree Paxos whose acceptors are the voters of view e. For epoch 1 the
// acceptors are the founders, the seed nodes listed at the first start of the system. This package
// holds the parts that don't depend on the replicated control state:
//
//   - Acceptor and Proposal implement the two roles of Paxos.
//   - Detector is the failure detector. It measures round trips to the voters by pings, and finds
//     relays for peers whose direct path is broken.
//   - Reconfiguration decides whether the view should change and which view to propose.
//
// The package does no I/O and reads no clock. Package chain connects the parts, sends the messages,
// and makes state durable before it sends an answer that depends on the state.
//
// Invariants:
//
//   - A view that a majority may have accepted is proposed again.
//   - The chain of a proposed view contains only replicas that hold all acknowledged entries.
//   - A majority of the voters of a proposed view is reachable.
//
// Source: docs/design/system.md, "Control state".
package view

import (
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// maxRemovedVoters is the maximum number of recently removed voters that a view lists.
const maxRemovedVoters = 16

// Majority returns the smallest size at which any two subsets of the members intersect.
func Majority(members int) int { return members/2 + 1 }

// Epoch returns the epoch of the view, or 0 for a nil view.
func Epoch(v *nodepb.View) uint64 { return v.GetEpoch() }

// FindVoter returns the voter with the given disk id, or nil if the view has no such voter.
func FindVoter(v *nodepb.View, diskID string) *nodepb.Voter {
	for _, voter := range v.GetVoters() {
		if voter.GetDiskId() == diskID {
			return voter
		}
	}
	return nil
}

// IsVoter reports whether the view has a voter with the given disk id.
func IsVoter(v *nodepb.View, diskID string) bool { return FindVoter(v, diskID) != nil }

// ChainIndex returns the position of the disk id in the chain: 0 for the head, and -1 if the chain
// doesn't contain the disk id.
func ChainIndex(v *nodepb.View, diskID string) int { return slices.Index(v.GetChain(), diskID) }

// Head returns the first member of the chain, or nil if the view is nil.
func Head(v *nodepb.View) *nodepb.Voter {
	if len(v.GetChain()) == 0 {
		return nil
	}
	return FindVoter(v, v.GetChain()[0])
}

// Tail returns the last member of the chain, or nil if the view is nil.
func Tail(v *nodepb.View) *nodepb.Voter {
	if len(v.GetChain()) == 0 {
		return nil
	}
	return FindVoter(v, v.GetChain()[len(v.GetChain())-1])
}

// Successor returns the chain member that follows the given disk id. It returns nil for the tail
// and for a disk id that is not in the chain.
func Successor(v *nodepb.View, diskID string) *nodepb.Voter {
	index := ChainIndex(v, diskID)
	if index < 0 || index+1 >= len(v.GetChain()) {
		return nil
	}
	return FindVoter(v, v.GetChain()[index+1])
}

// DiskIDs returns the disk ids of the voters, in the order in which the view lists the voters.
func DiskIDs(v *nodepb.View) []string {
	ids := make([]string, 0, len(v.GetVoters()))
	for _, voter := range v.GetVoters() {
		ids = append(ids, voter.GetDiskId())
	}
	return ids
}

// Valid reports whether the view is well-formed: it has an epoch, at least one voter, voters with
// distinct disk ids and an address each, and a nonempty chain of distinct voters. Only such views
// are ever decided.
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

// requiredChainLength returns the minimum length of a chain that may acknowledge entries: one more
// than the number of machines that may be lost at once (tolerance), but at most the number of
// voters.
func requiredChainLength(voters, tolerance int) int { return min(tolerance+1, voters) }

// CanAcknowledge reports whether the chain of the view is long enough to acknowledge entries and
// answer requests.
func CanAcknowledge(v *nodepb.View) bool {
	return len(v.GetChain()) >= max(1, int(v.GetMinChainLength()))
}

// EligibleProposers returns the disk ids of the replicas that may propose the next view because
// they hold all acknowledged entries: the members of the chain and, if the chain is too short to
// acknowledge, the off-chain replicas of the view.
func EligibleProposers(v *nodepb.View) []string {
	if CanAcknowledge(v) {
		return v.GetChain()
	}
	return append(slices.Clone(v.GetChain()), v.GetOffChainReplicas()...)
}

// FirstView returns the view of epoch 1. Its voters and its chain are the given founders, in the
// given order; the caller passes those that are present. tolerance is the number of machines that may
// be lost at once.
func FirstView(founders []*nodepb.Voter, tolerance int) *nodepb.View {
	first := &nodepb.View{Epoch: 1, Voters: founders, MinChainLength: uint32(requiredChainLength(len(founders), tolerance))}
	first.Chain = DiskIDs(first)
	return first
}
