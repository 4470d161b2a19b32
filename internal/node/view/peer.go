package view

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Report is the status of a node as the node itself reports it in its pings and pongs.
type Report struct {
	Voter     *nodepb.Voter // disk id, address and incarnation (node id) of the node
	Epoch     uint64        // epoch of the newest decided view that the node has installed; 0 if none
	Committed uint64        // index up to which the node's state is committed
	// DiskHealthy is whether the node's journal completes writes in time.
	DiskHealthy bool
	// CountsForQuorum is whether the node has a disk, so that it may become a voter.
	CountsForQuorum bool
	// Founding is whether the node takes part in the agreement on the first view.
	Founding bool
	// Wedged is whether the node has proposed a successor of the view of Epoch. It no longer forwards
	// or acknowledges anything in that view.
	Wedged bool
	// UnreachableVoters holds the disk ids of the voters to which the node has no recent round trip.
	UnreachableVoters []string
}

// reportMessage is implemented by the messages that carry a Report: pings and pongs.
type reportMessage interface {
	GetSelf() *nodepb.Voter
	GetEpoch() uint64
	GetCommitted() uint64
	GetDiskHealthy() bool
	GetCountsForQuorum() bool
	GetFounding() bool
	GetWedged() bool
	GetUnreachableVoters() []string
}

// reportOf returns the Report that a ping or a pong carries.
func reportOf(message reportMessage) Report {
	return Report{
		Voter:             message.GetSelf(),
		Epoch:             message.GetEpoch(),
		Committed:         message.GetCommitted(),
		DiskHealthy:       message.GetDiskHealthy(),
		CountsForQuorum:   message.GetCountsForQuorum(),
		Founding:          message.GetFounding(),
		Wedged:            message.GetWedged(),
		UnreachableVoters: message.GetUnreachableVoters(),
	}
}

// Target is a node for a Detector to watch.
type Target struct {
	Address string // internal address of the node
	DiskID  string // disk id of the node; empty if not known
}

// sentMessage records a ping or pong that was sent, so that its acknowledgement can prove a round
// trip.
type sentMessage struct {
	sequence uint64
	sentAt   core.Time
	via      string // address of the relay; empty if sent directly
}

// peer is what a Detector knows of the node at one address.
type peer struct {
	watched        bool    // whether the node is among the targets of the last call of Watch
	expectedDiskID string  // disk id of the Target at this address; empty if not known
	lastReport     *Report // newest report received; nil if none

	observedSince core.Time // when the observation of this incarnation of the peer began
	lastContact   core.Time // when the newest message from the peer was received
	// lastDirectContact is when the newest message that did not come through a relay was received.
	lastDirectContact core.Time
	// roundTripProven is whether this incarnation of the peer has answered a message.
	roundTripProven bool
	// lastRoundTrip is when the newest answered message was sent.
	lastRoundTrip core.Time

	paths             paths
	nextRelayedPingAt core.Time // earliest time of the next relayed pings
	nextPingAt        core.Time // earliest time of the next direct ping
	pingSequence      uint64    // sequence number of the newest ping to the peer
	// sentPings is a ring buffer of the newest pings to the peer, indexed by this node's sequence
	// numbers. sentPongs holds the newest pongs to the peer, indexed by the sequence numbers of the
	// peer's pings.
	sentPings [sentHistorySize]sentMessage
	sentPongs [sentHistorySize]sentMessage
	// lastPongSequence is the sequence number of the newest ping that the peer has answered.
	lastPongSequence uint64

	diskFaultSince core.Time // when the disk fault was first reported; core.Never if the disk is healthy
	wedgedSince    core.Time // when the wedge was first reported; core.Never if the peer is not wedged
}

// diskReplaced reports whether the node at this address has reported another disk than the voter's.
func (p *peer) diskReplaced(diskID string) bool {
	return p.lastReport != nil && p.lastReport.Voter.GetDiskId() != diskID
}

// hasRecentRoundTrip reports whether the newest round trip with the peer began within FailureTimeout.
func (p *peer) hasRecentRoundTrip(now core.Time) bool {
	return p.roundTripProven && now-p.lastRoundTrip <= FailureTimeout
}

// restartObservation discards the round trips and paths that an earlier incarnation of the peer has
// proven.
func (p *peer) restartObservation(now core.Time) {
	p.sentPongs = [sentHistorySize]sentMessage{}
	p.roundTripProven = false
	p.observedSince = now
	p.lastPongSequence = 0
	p.paths = paths{directProvenAt: max(p.paths.directProvenAt, now-relayTimeout)}
}

// recordDiskState sets diskFaultSince by the disk state that the peer reported at the time now.
func (p *peer) recordDiskState(now core.Time, healthy bool) {
	if healthy {
		p.diskFaultSince = core.Never
		return
	}
	p.diskFaultSince = min(p.diskFaultSince, now)
}

// recordWedge sets wedgedSince by the given report. The time starts again when the peer is wedged in
// another epoch than in its last report, so recordWedge must be called before lastReport is replaced.
func (p *peer) recordWedge(now core.Time, report *Report) {
	if !report.Wedged || p.lastReport == nil || p.lastReport.Epoch != report.Epoch {
		p.wedgedSince = core.Never
	}
	if report.Wedged {
		p.wedgedSince = min(p.wedgedSince, now)
	}
}
