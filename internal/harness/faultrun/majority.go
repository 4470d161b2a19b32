package faultrun

import (
	"slices"
	"time"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// A set of core machines must acknowledge if it could do so alone: each runs, its disk works, each reaches each other directly, a
// majority of the voters of the newest view are among them, one holds all that was acknowledged, and there are as many as the
// shortest chain that acknowledges needs. That holds whatever has happened to other machines before, also beyond the tolerance.
// Source: RULES.md, "Configuration", ackMs.

// recordDisturbance records that something was done to the machine itself: its process or its disk.
func (m *machine) recordDisturbance() { m.disturbedAt = m.sim.now }

// undisturbedSince is since when the machine runs on a working disk; false: it doesn't now.
func (m *machine) undisturbedSince() (time.Duration, bool) {
	if !m.isUp() || m.journal == nil || m.diskImpaired() || m.disk.Refusal() != nil {
		return 0, false
	}
	return max(m.disturbedAt, m.startedAt), true
}

// connectedSince is since when two machines reach each other directly; false: they don't now.
func (n *network) connectedSince(a, b *machine) (time.Duration, bool) {
	if n.isPartitioned(a, b) || n.isPartitioned(b, a) {
		return 0, false
	}
	return max(n.linkChangedAt[link{a.address, b.address}], n.linkChangedAt[link{b.address, a.address}]), true
}

// noiseSince reports whether messages were lost, duplicated or late at any time since the moment.
func (n *network) noiseSince(moment time.Duration) bool {
	active := n.lossRate > 0 || n.duplicateRate > 0 || n.jitter > 0 || n.stragglerRate > 0
	return active || n.noiseEndedAt+maxStraggle > moment
}

// mustAcknowledge reports whether the machine has been part of a set that must acknowledge since the moment.
func (h *health) mustAcknowledge(m *machine, moment time.Duration) bool {
	h.updateNewestView()
	if h.newestView == nil || h.sim.network.noiseSince(moment) || !m.isCore || m.removed {
		return false
	}
	if since, ok := m.undisturbedSince(); !ok || since > moment {
		return false
	}
	return h.extendsToMajority([]*machine{m}, h.sim.coreMachines(), moment)
}

// extendsToMajority reports whether the members, which reach one another, with some of the candidates are a set that must
// acknowledge.
func (h *health) extendsToMajority(members, candidates []*machine, moment time.Duration) bool {
	if h.sufficesAlone(members) {
		return true
	}
	for i, candidate := range candidates {
		if h.joins(candidate, members, moment) && h.extendsToMajority(append(slices.Clone(members), candidate), candidates[i+1:], moment) {
			return true
		}
	}
	return false
}

// joins reports whether the candidate has run and reached each of the members since the moment.
func (h *health) joins(candidate *machine, members []*machine, moment time.Duration) bool {
	if since, ok := candidate.undisturbedSince(); !ok || since > moment {
		return false
	}
	for _, member := range members {
		if member == candidate {
			return false
		}
		if since, ok := h.sim.network.connectedSince(candidate, member); !ok || since > moment {
			return false
		}
	}
	return true
}

// sufficesAlone reports whether the machines can decide views and hold the acknowledged state without any other.
func (h *health) sufficesAlone(members []*machine) bool {
	voters, proposers := 0, 0
	for _, m := range members {
		diskID := m.journal.Identity()
		if view.IsVoter(h.newestView, diskID) {
			voters++
		}
		if slices.Contains(view.EligibleProposers(h.newestView), diskID) {
			proposers++
		}
	}
	total := len(h.newestView.GetVoters())
	return voters >= view.Majority(total) && proposers > 0 && len(members) >= min(h.sim.plan.Tolerance+1, total)
}

// updateNewestView keeps the view of the highest epoch that any node has known, also if none that runs now knows it.
func (h *health) updateNewestView() {
	if newest := h.sim.newestView(); newest.GetEpoch() > h.newestView.GetEpoch() {
		h.newestView = newest
	}
}

// newestView is the view of the highest epoch that a running node knows; nil: none.
func (sim *simulation) newestView() *nodepb.View {
	var newest *nodepb.View
	for _, m := range sim.runningMachines() {
		known := m.node.View()
		if status, ok := m.node.StoreStatus(); ok && status.View.GetEpoch() > known.GetEpoch() {
			known = status.View
		}
		if known.GetEpoch() > newest.GetEpoch() {
			newest = known
		}
	}
	return newest
}
