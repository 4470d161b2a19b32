package view

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Told is what a node says of itself in its pings.
type Told struct {
	Voter       *nodepb.Voter
	Epoch       uint64
	Committed   uint64
	DiskHealthy bool
	Counts      bool
	Founding    bool
	Wedged      bool
	Missing     []string
}

// Target is a node to be watched; DiskID is empty where it isn't known.
type Target struct {
	Address string
	DiskID  string
}

// sent remembers when a numbered message left.
type sent struct {
	sequence uint64
	at       core.Time
	via      string // address of the relay; empty: directly
}

// peer is what is known of the node at one address.
type peer struct {
	target  bool
	expects string // disk id that the view has at this address, empty if any
	told    *Told

	since core.Time // when watching began, or began anew
	heard core.Time // when its newest message came
	// heardDirect is when the newest one came that no relay brought.
	heardDirect core.Time
	proven      bool
	confirmed   core.Time // when the newest message to it left that is known to have arrived

	paths        paths
	nextRelayed  core.Time // pings by relays
	nextPing     core.Time // direct ones
	sequence     uint64
	pings        [sentKept]sent
	pongs        [sentKept]sent
	acknowledged uint64 // sequence of its newest pong

	unhealthySince core.Time
	wedgedSince    core.Time
}
