package view

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Report is what a node says of itself in its pings.
type Report struct {
	Voter             *nodepb.Voter
	Epoch             uint64
	Committed         uint64
	DiskHealthy       bool
	CountsForQuorum   bool
	Founding          bool
	Wedged            bool
	UnreachableVoters []string
}

// Target is a node to be watched; DiskID is empty where it isn't known.
type Target struct {
	Address string
	DiskID  string
}

// sentMessage remembers when a numbered message left.
type sentMessage struct {
	sequence uint64
	sentAt   core.Time
	via      string // address of the relay; empty: directly
}

// peer is what is known of the node at one address.
type peer struct {
	watched        bool
	expectedDiskID string // disk id that the view has at this address, empty if any
	lastReport     *Report

	observedSince core.Time // when watching began, or began anew
	lastContact   core.Time // when its newest message came
	// lastDirectContact is when the newest one came that no relay brought.
	lastDirectContact core.Time
	roundTripProven   bool
	lastRoundTrip     core.Time // when the newest message to it left that is known to have arrived

	paths             paths
	nextRelayedPingAt core.Time // pings by relays
	nextPingAt        core.Time // direct ones
	pingSequence      uint64
	sentPings         [sentHistory]sentMessage
	sentPongs         [sentHistory]sentMessage
	lastPongSequence  uint64 // sequence of its newest pong

	diskFaultSince core.Time
	wedgedSince    core.Time
}
