package view

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Report is what a node reports of itself in its pings and pongs.
type Report struct {
	Voter     *nodepb.Voter
	Epoch     uint64 // of the newest decided view it has installed, 0 for none
	Committed uint64 // index of its committed state
	// DiskHealthy: its journal takes writes in time.
	DiskHealthy bool
	// CountsForQuorum: it has a disk and may become a voter.
	CountsForQuorum bool
	// Founding: it takes part in the agreement on the first view.
	Founding bool
	// Wedged: it has proposed a successor of the view of Epoch, and neither forwards nor
	// acknowledges anything in it.
	Wedged bool
	// UnreachableVoters are the disk ids of the voters that it has no round trip with.
	UnreachableVoters []string
}

// reportMessage is a message that carries a Report: a ping or a pong.
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

// Target is a node to watch; DiskID is empty where it isn't known.
type Target struct {
	Address string
	DiskID  string
}

// sentMessage is a numbered ping or pong that was sent.
type sentMessage struct {
	sequence uint64
	sentAt   core.Time
	via      string // address of the relay; empty: directly
}

// peer is the detector's state of the node at one address.
type peer struct {
	watched        bool
	expectedDiskID string // disk id that the view has at this address, empty for none
	lastReport     *Report

	observedSince core.Time // when the observation of this incarnation of the peer began
	lastContact   core.Time // when its newest message was received
	// lastDirectContact is when the newest message was received that no relay brought.
	lastDirectContact core.Time
	// roundTripProven: this incarnation of the peer has answered a message, the newest of which was
	// sent at lastRoundTrip.
	roundTripProven bool
	lastRoundTrip   core.Time

	paths             paths
	nextRelayedPingAt core.Time
	nextPingAt        core.Time // of direct pings
	pingSequence      uint64    // of the newest ping to it
	// sentPings and sentPongs are rings by sequence number, of this node's pings and of the peer's.
	sentPings        [sentHistory]sentMessage
	sentPongs        [sentHistory]sentMessage
	lastPongSequence uint64 // of the newest ping that it has answered

	diskFaultSince core.Time // core.Never: its disk is healthy
	wedgedSince    core.Time // core.Never: it isn't wedged
}

// diskReplaced reports whether another disk than the voter's is at its address.
func (p *peer) diskReplaced(diskID string) bool {
	return p.lastReport != nil && p.lastReport.Voter.GetDiskId() != diskID
}

// hasRoundTrip reports whether a round trip within FailureTimeout is proven.
func (p *peer) hasRoundTrip(now core.Time) bool {
	return p.roundTripProven && now-p.lastRoundTrip <= FailureTimeout
}

// restartObservation discards what an earlier incarnation of the peer has proven.
func (p *peer) restartObservation(now core.Time) {
	p.sentPongs = [sentHistory]sentMessage{}
	p.roundTripProven = false
	p.observedSince = now
	p.lastPongSequence = 0
	p.paths = paths{directProvenAt: max(p.paths.directProvenAt, now-relayTimeout)}
}

func (p *peer) recordDiskState(now core.Time, healthy bool) {
	if healthy {
		p.diskFaultSince = core.Never
		return
	}
	p.diskFaultSince = min(p.diskFaultSince, now)
}

// recordWedge keeps the time since when the peer has been wedged in one epoch. It must be called
// before the report replaces the last one.
func (p *peer) recordWedge(now core.Time, report *Report) {
	if !report.Wedged || p.lastReport == nil || p.lastReport.Epoch != report.Epoch {
		p.wedgedSince = core.Never
	}
	if report.Wedged {
		p.wedgedSince = min(p.wedgedSince, now)
	}
}
