package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// RemovalTimeout is the time for which a voter must have failed before it may be removed from the
// voters without a replacement.
const RemovalTimeout core.Time = 3 * time.Second

// Reconfiguration decides whether the current view should change, which node should propose the
// next view, and what that view is. It holds what an eligible proposer knows at one moment, and
// keeps no state between decisions.
type Reconfiguration struct {
	View      *nodepb.View    // current view
	Self      string          // disk id of this node, which is one of EligibleProposers(View)
	Tolerance int             // number of machines that may be lost at once: setting faultTolerance.machines
	Detector  FailureDetector // conditions of the other voters
	// Joiners are the nodes to be added to the chain. They have caught up: the complete state of this
	// node, the head, is durable on their disks.
	Joiners []*nodepb.Voter
	// Leaving is whether this node is about to stop.
	Leaving bool
	// Wedged is whether this node has wedged itself by proposing a view in this epoch. A wedged member
	// neither forwards nor acknowledges anything, so the view must change.
	Wedged bool
}

// Needed reports whether the view should change, as far as this node may change it.
func (r *Reconfiguration) Needed() bool {
	switch {
	case r.Wedged || r.chainBroken():
		return true
	case !CanAcknowledge(r.View) && r.canRestoreAcknowledgement():
		return true
	case r.Leaving && len(r.View.GetChain()) > 1:
		return !slices.Equal(r.nextChain(), r.View.GetChain())
	case ChainIndex(r.View, r.Self) != 0:
		return false // only the head adds joiners and removes voters
	default:
		return len(r.Joiners) > 0 || len(r.removableVoters(r.View.GetVoters())) > 0
	}
}

// canRestoreAcknowledgement reports whether this node could propose a view that can acknowledge. It
// is called when the current view can't, so that replicas that hold the state form a longer chain.
func (r *Reconfiguration) canRestoreAcknowledgement() bool {
	next := r.NextView()
	return next != nil && CanAcknowledge(next)
}

// MajorityReachable reports whether a majority of the current voters is reachable. These are the
// acceptors of the next view, so a proposal can't succeed without them.
func (r *Reconfiguration) MajorityReachable() bool { return r.canReachMajority(r.View.GetVoters()) }

// ProposersKnown reports whether the condition of every eligible proposer is known, that is, not
// Unknown.
func (r *Reconfiguration) ProposersKnown() bool {
	for _, diskID := range EligibleProposers(r.View) {
		if r.condition(diskID) == Unknown {
			return false
		}
	}
	return true
}

// ProposerRank returns the number of eligible proposers ahead of this node that are able to propose
// in its place, being reachable and not stalled. A node waits longer to propose the higher its rank
// is. The rank of a leaving node is 0, because it proposes its own departure and waits for nobody.
func (r *Reconfiguration) ProposerRank() int {
	if r.Leaving {
		return 0
	}
	rank := 0
	for _, diskID := range EligibleProposers(r.View) {
		if diskID == r.Self {
			break
		}
		if r.condition(diskID) == Reachable && !r.Detector.Stalled(diskID) {
			rank++
		}
	}
	return rank
}

// condition returns the condition of a voter. This node itself is always Reachable.
func (r *Reconfiguration) condition(diskID string) Condition {
	if diskID == r.Self {
		return Reachable
	}
	return r.Detector.Condition(diskID)
}

// chainBroken reports whether a member of the chain has failed, another member than this node has
// stalled, or a link between two members is broken.
func (r *Reconfiguration) chainBroken() bool {
	chain := r.View.GetChain()
	for i, diskID := range chain {
		if r.condition(diskID) == Failed {
			return true
		}
		if diskID != r.Self && r.Detector.Stalled(diskID) {
			return true
		}
		for _, other := range chain[:i] {
			if r.Detector.LinkBroken(diskID, other) {
				return true
			}
		}
	}
	return false
}
