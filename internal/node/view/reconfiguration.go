package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// RemovalTimeout is how long a voter must have failed before it may be removed without a
// replacement.
const RemovalTimeout core.Time = 3 * time.Second

// Reconfiguration decides whether the view in force should change, who proposes the next one, and
// what it is. It holds what an eligible proposer knows at one moment, and has no state of its own.
type Reconfiguration struct {
	View      *nodepb.View // in force
	Self      string       // disk id of this node, one of EligibleProposers
	Tolerance int          // how many machines may be lost at once: faultTolerance.machines
	Detector  FailureDetector
	// Joiners have caught up: they have made the complete state of this node, the head, durable.
	Joiners []*nodepb.Voter
	// Leaving: this node is about to stop.
	Leaving bool
	// Wedged: this node has proposed in this epoch before and wedged itself, so that the view must
	// change.
	Wedged bool
}

// Needed reports whether the view should change.
func (r *Reconfiguration) Needed() bool {
	switch {
	case r.Wedged || r.chainBroken():
		return true
	case !CanAcknowledge(r.View) && r.restoresAcknowledgement():
		return true
	case r.Leaving && len(r.View.GetChain()) > 1:
		return !slices.Equal(r.nextChain(), r.View.GetChain())
	case ChainIndex(r.View, r.Self) != 0:
		return false // only the head adds joiners and removes voters
	default:
		return len(r.Joiners) > 0 || len(r.removableVoters(r.View.GetVoters())) > 0
	}
}

// restoresAcknowledgement reports whether a view that can't acknowledge could be followed by one
// that can, made of replicas that hold the state already.
func (r *Reconfiguration) restoresAcknowledgement() bool {
	next := r.NextView()
	return next != nil && CanAcknowledge(next)
}

// MajorityReachable reports whether a majority of the acceptors is reachable, so that a proposal
// can succeed.
func (r *Reconfiguration) MajorityReachable() bool { return r.reachesMajority(r.View.GetVoters()) }

// ProposersKnown reports whether no eligible proposer is Unknown.
func (r *Reconfiguration) ProposersKnown() bool {
	for _, diskID := range EligibleProposers(r.View) {
		if r.condition(diskID) == Unknown {
			return false
		}
	}
	return true
}

// ProposerRank is the number of eligible proposers before this one that could propose in its place:
// the higher it is, the longer this node waits. A leaving node proposes for itself and waits for
// nobody.
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

// condition of a voter; this node itself is reachable.
func (r *Reconfiguration) condition(diskID string) Condition {
	if diskID == r.Self {
		return Reachable
	}
	return r.Detector.Condition(diskID)
}

// chainBroken reports whether a member of the chain has failed or stalled, or a link between two
// members is broken.
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
