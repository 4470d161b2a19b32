package view

import (
	"slices"

	"kestrelspread/internal/node/core"
)

// Condition is what a node knows of the round trip to a voter and of the voter's disk.
type Condition uint8

// The conditions of a voter.
const (
	// Unknown: neither proven, nor watched for FailureTimeout yet.
	Unknown Condition = iota
	// Reachable: a round trip within FailureTimeout, and a healthy disk.
	Reachable
	// Failed: no round trip within FailureTimeout, or a disk fault, or another disk at the voter's
	// address.
	Failed
)

// FailureDetector is what the choice of the next view needs to know of the other voters, each named
// by its disk id. Detector implements it.
type FailureDetector interface {
	Condition(diskID string) Condition
	// FailedFor is how long the voter has failed, 0 if it has not.
	FailedFor(diskID string) core.Time
	// Unreachable reports whether there is no round trip to the voter, whatever the health of its
	// disk.
	Unreachable(diskID string) bool
	// LinkBroken reports whether one of the two reported that the other is unreachable.
	LinkBroken(a, b string) bool
	// Stalled reports whether the voter has been wedged in the current epoch for longer than a
	// proposal takes.
	Stalled(diskID string) bool
}

// LastReport returns the last report of the node at the address, nil if none came within
// FailureTimeout.
func (d *Detector) LastReport(address string) *Report {
	p := d.peers[address]
	if p == nil || p.lastReport == nil || d.now-p.lastContact > FailureTimeout {
		return nil
	}
	return p.lastReport
}

func (d *Detector) voterPeer(diskID string) *peer { return d.peers[d.voterAddresses[diskID]] }

// Condition implements FailureDetector.
func (d *Detector) Condition(diskID string) Condition {
	p := d.voterPeer(diskID)
	switch {
	case p == nil:
		return Failed
	case p.diskReplaced(diskID) || p.diskFaultSince != core.Never:
		return Failed
	case p.hasRoundTrip(d.now):
		return Reachable
	case d.now-p.observedSince <= FailureTimeout:
		return Unknown
	default:
		return Failed
	}
}

// FailedFor implements FailureDetector. A voter whose disk was replaced has failed for ever.
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

// reportsUnreachable reports whether the last report of the voter names the other as unreachable.
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

// UnreachableVoters lists the disk ids of the voters without a round trip, sorted; those with a
// disk fault alone are not among them.
func (d *Detector) UnreachableVoters() []string {
	var unreachable []string
	for diskID, address := range d.voterAddresses {
		p := d.peers[address]
		if p == nil || p.diskReplaced(diskID) || p.hasRoundTrip(d.now) || d.now-p.observedSince <= FailureTimeout {
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

// ReachableVoters lists the disk ids of the voters that are Reachable, sorted.
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
