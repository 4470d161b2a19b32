package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// startFounding makes durable that this disk belongs to a system without a view, so that a founder
// that restarts before there is one remains a founder, and an empty disk never becomes one.
// recorded are the founders that the journal holds.
func (r *Replica) startFounding(recorded []string) {
	switch {
	case r.view != nil:
	case len(recorded) > 0:
		r.founders = recorded
	case r.options.Founding && len(r.options.FounderAddresses) > 0:
		r.founders = slices.Clone(r.options.FounderAddresses)
		r.persist(kindFounding, &nodepb.FoundingRecord{Founders: r.founders}, nil)
	}
}

// considerFirstView proposes the first view if this node is the first founder that is present. It
// waits for all founders, and after founderTimeout goes on with a majority of them. Later founders
// wait longer, by founderRankDelay each.
func (r *Replica) considerFirstView() {
	index := slices.Index(r.founders, r.address())
	if index < 0 || r.diskID() == "" || r.proposal != nil || r.now < r.proposalBackoffUntil || !r.records.healthy(r.now) {
		return
	}
	present, earlier := r.countFounders(index)
	if present < view.Majority(len(r.founders)) {
		return
	}
	waited := r.now - r.startedAt
	if present < len(r.founders) && waited < founderTimeout {
		return
	}
	if earlier > 0 && waited < founderTimeout+core.Time(earlier)*founderRankDelay {
		return
	}
	r.startProposal()
}

// countFounders counts the founders that are present, this one at the index included, and those of
// them before the index that could propose.
func (r *Replica) countFounders(index int) (present, earlier int) {
	for i, founder := range r.founders {
		if i == index {
			present++
			continue
		}
		report := r.detector.LastReport(founder)
		if report == nil {
			continue
		}
		present++
		if i < index && report.CountsForQuorum && report.DiskHealthy {
			earlier++
		}
	}
	return present, earlier
}

// firstView is the first view to propose: the founders that are present and count, in the order of
// the seeds.
func (r *Replica) firstView() *nodepb.View {
	var voters []*nodepb.Voter
	for _, founder := range r.founders {
		if voter := r.founderVoter(founder); voter != nil {
			voters = append(voters, voter)
		}
	}
	return view.FirstView(voters, r.options.Tolerance)
}

// founderVoter is the founder as a voter, nil if it is not present, doesn't count or has a disk
// fault.
func (r *Replica) founderVoter(founder string) *nodepb.Voter {
	if founder == r.address() {
		return r.options.Self
	}
	report := r.detector.LastReport(founder)
	if report == nil || !report.CountsForQuorum || !report.DiskHealthy {
		return nil
	}
	return report.Voter
}
