package view

import (
	"slices"

	"kestrelspread/internal/node/core"
)

// Condition is the condition of a voter as another node sees it: whether the voter can be reached
// and whether its disk works.
type Condition uint8

// Conditions of a voter.
const (
	// Unknown means that no recent round trip is proven, but that the voter has not been observed for
	// longer than FailureTimeout either.
	Unknown Condition = iota
	// Reachable means that a round trip within FailureTimeout is proven and that the disk is healthy.
	Reachable
	// Failed means that there was no round trip within FailureTimeout, that the disk has a fault, or
	// that the node at the voter's address has another disk.
	Failed
)

// FailureDetector provides what Reconfiguration needs to know of the other voters, which are
// identified by their disk ids. Detector implements it.
type FailureDetector interface {
	// Condition returns the condition of the voter.
	Condition(diskID string) Condition
	// FailedFor returns for how long the voter has failed, or 0 if it has not failed.
	FailedFor(diskID string) core.Time
	// Unreachable reports whether there is no recent round trip to the voter. A disk fault doesn't
	// count.
	Unreachable(diskID string) bool
	// LinkBroken reports whether one of the two voters has reported the other as unreachable.
	LinkBroken(a, b string) bool
	// Stalled reports whether the voter has been wedged in its current epoch for longer than a
	// proposal should take (stalledTimeout).
	Stalled(diskID string) bool
}

// LastReport returns the last report of the node at the address, or nil if the last contact with the
// node is older than FailureTimeout.
func (d *Detector) LastReport(address string) *Report {
	p := d.peers[address]
	if p == nil || p.lastReport == nil || d.now-p.lastContact > FailureTimeout {
		return nil
	}
	return p.lastReport
}

// voterPeer returns the peer at the address of the voter with the disk id, or nil if there is none.
func (d *Detector) voterPeer(diskID string) *peer { return d.peers[d.voterAddresses[diskID]] }

// Condition implements FailureDetector.
func (d *Detector) Condition(diskID string) Condition {
	p := d.voterPeer(diskID)
	switch {
	case p == nil:
		return Failed
	case p.diskReplaced(diskID) || p.diskFaultSince != core.Never:
		return Failed
	case p.hasRecentRoundTrip(d.now):
		return Reachable
	case d.now-p.observedSince <= FailureTimeout:
		return Unknown
	default:
		return Failed
	}
}

// FailedFor implements FailureDetector. It returns core.Never, the longest time, for a voter whose
// disk was replaced, as that voter can't return.
func (d *Detector) FailedFor(diskID string) core.Time {
	p := d.voterPeer(diskID)
	if p == nil || d.Condition(diskID) != Failed {
		return 0
	}
	if p.diskReplaced(diskID) {
		return core.Never
	}
	failedFor := d.now - max(p.lastRoundTrip, p.observedSince)
	if p.diskFaultSince != core.Never {
		failedFor = max(failedFor, d.now-p.diskFaultSince)
	}
	return failedFor
}

// LinkBroken implements FailureDetector.
func (d *Detector) LinkBroken(a, b string) bool {
	return d.reportsUnreachable(a, b) || d.reportsUnreachable(b, a)
}

// reportsUnreachable reports whether the last report of the voter lists the other voter as
// unreachable. It returns false if the voter hasn't been in contact within FailureTimeout.
func (d *Detector) reportsUnreachable(diskID, other string) bool {
	report := d.LastReport(d.voterAddresses[diskID])
	if report == nil || report.Voter.GetDiskId() != diskID {
		return false
	}
	return slices.Contains(report.UnreachableVoters, other)
}

// Stalled implements FailureDetector.
func (d *Detector) Stalled(diskID string) bool {
	p := d.voterPeer(diskID)
	return p != nil && p.wedgedSince != core.Never && d.now-p.wedgedSince > stalledTimeout
}

// UnreachableVoters returns the sorted disk ids of the voters without a round trip for longer than
// FailureTimeout. It doesn't include voters that merely have a disk fault or whose disk was replaced.
func (d *Detector) UnreachableVoters() []string {
	var unreachable []string
	for diskID, address := range d.voterAddresses {
		p := d.peers[address]
		if p == nil || p.diskReplaced(diskID) || p.hasRecentRoundTrip(d.now) || d.now-p.observedSince <= FailureTimeout {
			continue
		}
		unreachable = append(unreachable, diskID)
	}
	slices.Sort(unreachable)
	return unreachable
}

// Unreachable implements FailureDetector.
func (d *Detector) Unreachable(diskID string) bool {
	return slices.Contains(d.UnreachableVoters(), diskID)
}

// ReachableVoters returns the sorted disk ids of the voters whose condition is Reachable.
func (d *Detector) ReachableVoters() []string {
	var reachable []string
	for diskID := range d.voterAddresses {
		if d.Condition(diskID) == Reachable {
			reachable = append(reachable, diskID)
		}
	}
	slices.Sort(reachable)
	return reachable
}
