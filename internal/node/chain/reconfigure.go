package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// reconfiguration is what this node knows at present for the choice of the next view.
func (r *Replica) reconfiguration() *view.Reconfiguration {
	return &view.Reconfiguration{
		View:      r.view,
		Self:      r.diskID(),
		Tolerance: r.options.Tolerance,
		Detector:  r.detector,
		Joiners:   r.readyJoiners(),
		Leaving:   r.now < r.leavingUntil,
		Wedged:    r.wedged,
	}
}

// evaluateView starts a proposal if the view in force should change and this node is the one to
// propose.
func (r *Replica) evaluateView() {
	if r.view == nil {
		r.considerFirstView()
		return
	}
	if r.proposal != nil || !r.isEligibleProposer() || !r.viewDurable || r.now < r.nextEvaluationAt {
		return
	}
	r.nextEvaluationAt = r.now + evaluationInterval
	reconfiguration := r.reconfiguration()
	if !reconfiguration.Needed() {
		r.changeNeededSince = core.Never
		return
	}
	r.changeNeededSince = min(r.changeNeededSince, r.now)
	if r.mayPropose(reconfiguration) {
		r.startProposal()
	}
}

// isEligibleProposer reports whether this node may propose the next view, as it holds all that was
// acknowledged.
func (r *Replica) isEligibleProposer() bool {
	return slices.Contains(view.EligibleProposers(r.view), r.diskID())
}

// mayPropose reports whether this node should propose now: a majority is reachable, and the
// eligible proposers before this one have had their time. After its wedge a node proposes even
// while others are Unknown, as its epoch has ended here.
func (r *Replica) mayPropose(reconfiguration *view.Reconfiguration) bool {
	switch {
	case r.now < r.proposalBackoffUntil || !r.records.healthy(r.now):
		return false
	case !reconfiguration.MajorityReachable():
		return false
	case !r.wedged && !reconfiguration.ProposersKnown():
		return false
	case r.now < r.changeNeededSince+core.Time(reconfiguration.ProposerRank())*proposerRankDelay:
		return false
	default:
		return reconfiguration.NextView() != nil
	}
}

// chooseView is the view of this node's own choice, nil if there is none at present. A member of
// the chain wedges itself with it: from here on it neither forwards nor acknowledges anything of
// the epoch, so that its last entry stays the last one that can have been acknowledged.
func (r *Replica) chooseView() *nodepb.View {
	if r.view == nil {
		return r.firstView()
	}
	reconfiguration := r.reconfiguration()
	if !reconfiguration.Needed() || !reconfiguration.MajorityReachable() {
		return nil
	}
	next := reconfiguration.NextView()
	if next != nil && !r.wedged && r.inChain() {
		r.wedged = true
		r.persist(kindWedge, &nodepb.WedgeRecord{Epoch: r.view.GetEpoch()}, nil)
	}
	return next
}
