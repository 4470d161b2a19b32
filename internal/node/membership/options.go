// Package membership keeps the list of the nodes that are there, by SWIM: every node probes one other a period, asks
// others to probe where that one does not answer, and spreads what it learns on the probes and their answers. What a
// node sends in a second does not depend on the number of nodes.
//
// A node that does not answer is first a suspect. It stays a member meanwhile, and refutes the suspicion by raising its
// incarnation; only where it doesn't is it held dead. A node that was held dead by mistake, as after a cut, comes back
// in the same way. The package is a state machine without I/O: see package core.
//
// Where SWIM leaves room, the package follows Lifeguard: a node whose own probes fail in a row, or that was stopped,
// doubts itself before it blames others.
package membership

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// Defaults of Options.
const (
	DefaultPeriod            = time.Second
	DefaultProbeTimeout      = 300 * time.Millisecond
	DefaultIndirectProbes    = 3
	DefaultMinSuspicion      = 2500 * time.Millisecond
	DefaultDeadRetention     = 60 * time.Second
	DefaultUpdatesPerMessage = 8
	DefaultSyncInterval      = 30 * time.Second
)

// Options of a Membership. Zero values stand for the defaults.
type Options struct {
	// Self describes this node. Its node id is unique for each life of the process.
	Self *nodepb.Member
	// Seeds are the internal addresses of nodes to join by; the node's own address may be among them.
	Seeds []string

	// Period is the time between two probes.
	Period time.Duration
	// ProbeTimeout is how long a probe may stay without an answer until others are asked to probe.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// MinSuspicion is the least time that a suspect has to refute the suspicion.
	MinSuspicion time.Duration
	// DeadRetention is how long a dead node is remembered, and tried now and then.
	DeadRetention time.Duration
	// UpdatesPerMessage bounds the news that a probe or its answer usually carries.
	UpdatesPerMessage int
	// SyncInterval is the mean time between two exchanges of the whole list with a random member, as long as there
	// are no more than syncMembers members; with more it grows with them.
	SyncInterval time.Duration
}

// Figures that are no options.
const (
	// joinInterval is the pause between calls to seeds that have not answered, for joinSpan after the start; then it is
	// joinRetryLate, as long as none has answered.
	joinInterval     = 200 * time.Millisecond
	lateJoinInterval = time.Second
	joinTime         = 3 * time.Second

	// A node whose list has grown by growthShare hundredths, and growthLeast members at least, asks others for their
	// lists, settleRounds times, the first time after settleDelay and up to settleJitter more: many came at the same
	// moment, at the start or as a cut healed, so that one may have been missed.
	growthShare      = 15
	minGrowth        = 4
	convergeRounds   = 2
	convergeDelay    = 600 * time.Millisecond
	convergeJitter   = 400 * time.Millisecond
	convergeInterval = 2 * time.Second
	// startupTime after its start, a node takes answers to its own questions without passing them on.
	startupTime = 5 * time.Second

	// deadProbeInterval is the time between two probes of members that are held dead.
	deadProbeInterval = 2 * time.Second
	// fastDeadProbeInterval is that time for quickSpan after a dead member has come back, as a cut may have healed.
	fastDeadProbeInterval = 200 * time.Millisecond
	fastRetryTime         = 2 * time.Second
	// seedCallInterval is the time between two calls to seeds that aren't members.
	seedCallInterval = 3 * time.Second

	// News is pushed in rounds, pushPause apart: each item in pushRounds of them, to pushFanout members a round, one of
	// which is the successor by node id. So it reaches all, even those whom chance would leave out.
	pushInterval   = 100 * time.Millisecond
	pushRounds     = 2
	pushFanout     = 3
	maxPushMembers = 32
	// pushAllowance and pushRefill bound the rounds of suspicions and refutations alone.
	pushAllowance      = 10
	pushRefillInterval = 2 * time.Second
	// leaveFanout is the number of members that a leaving node tells.
	leaveFanout = 8

	// burstFactor is how many times UpdatesPerMessage a message may hold while many updates wait.
	burstFactor = 4

	// stallAfter is how late an input may be until the node takes itself to have been stopped.
	stallAfter = 500 * time.Millisecond
	// stallRequests is the number of members that a node asks for the list after it was stopped.
	stallRequests = 3
	// requestInterval is the least time between two questions for the list out of such an occasion.
	requestInterval = time.Second

	// finalProbeShare is the share of the time of a suspicion, in hundredths, that is left when the suspect is probed once
	// more by each node that holds it suspected.
	finalProbeShare = 40

	// unscaledSyncMembers is the number of members up to which SyncInterval is not stretched.
	unscaledSyncMembers = 100
	// maxEntries bounds the nodes that are remembered, dead ones too.
	maxEntries = 8192
	// maxRelays bounds the probes that run for others.
	maxRelays = 64
)

func (o Options) withDefaults() Options {
	setDuration(&o.Period, DefaultPeriod)
	setDuration(&o.ProbeTimeout, DefaultProbeTimeout)
	setInt(&o.IndirectProbes, DefaultIndirectProbes)
	setDuration(&o.MinSuspicion, DefaultMinSuspicion)
	setDuration(&o.DeadRetention, DefaultDeadRetention)
	setInt(&o.UpdatesPerMessage, DefaultUpdatesPerMessage)
	setDuration(&o.SyncInterval, DefaultSyncInterval)
	return o
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
