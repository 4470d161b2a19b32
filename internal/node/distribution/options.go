package distribution

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// State is the control state of this node. The distribution owns it: nothing else applies entries.
type State interface {
	// Apply applies the entry that follows Index.
	Apply(entry *nodepb.Entry) *nodepb.CommandResult
	// Index is that of the last entry applied.
	Index() uint64
	// Snapshot encodes the complete state.
	Snapshot() []byte
	// Restore replaces the state by an encoded one.
	Restore(snapshot []byte) error
}

// Options configure a distribution.
type Options struct {
	SelfID      string // node id
	SelfAddress string // internal address, IP:port
	// SelfDiskID identifies this node in the chain; empty for a node without a disk. As long as it is
	// empty, the node id and the address identify it.
	SelfDiskID      string
	Zone            string
	CountsForQuorum bool // this node is a machine of the core
	State           State
	// Seeds are internal addresses to poll while no member is known.
	Seeds []string
	// PollInterval is the time between two polls of the upstream; 0 or less: half a second.
	PollInterval time.Duration
	// ConfirmationAge is the age of the tail's own confirmation beyond which it requests another; 0 or
	// less: ConfirmationAgeForRevocation. A longer one costs fewer barriers through the chain.
	ConfirmationAge time.Duration
}

// Values of Options.ConfirmationAge.
const (
	// ConfirmationAgeForRevocation keeps the age of every node's state far below the bound on the
	// revocation of a key.
	ConfirmationAgeForRevocation = 300 * time.Millisecond
	// ConfirmationAgeForChanges is for fleets without that bound. A tail that is partitioned from the
	// chain takes itself to be attached for this time and tailTolerance, and so do the nodes that
	// poll it. A change that the other machines commit meanwhile must reach these nodes within
	// configApplyMs, at least 2 s, of its acknowledgement.
	ConfirmationAgeForChanges = 700 * time.Millisecond
)

const (
	defaultPollInterval = 500 * time.Millisecond
	// initialPollInterval is the longest time between the first maxInitialPolls polls of a node that
	// has no confirmed state yet.
	initialPollInterval = 150 * time.Millisecond
	maxInitialPolls     = 60
	// hedgeDelay is how long an upstream may take to answer before the next one is polled as well.
	hedgeDelay = 200 * time.Millisecond
	// minProbeBackoff is when an upstream that was demoted for a missing answer is probed first; the
	// time doubles with each further one up to maxProbeBackoff.
	minProbeBackoff = time.Second
	maxProbeBackoff = 8 * time.Second
	// staleTolerance is by how much the age of an upstream's confirmation may exceed ConfirmationAge
	// before it counts as detached from the core; it is then demoted for staleBackoff.
	staleTolerance = 2200 * time.Millisecond
	staleBackoff   = time.Second
	// tailTolerance is by how much the age of the tail's own confirmation may exceed ConfirmationAge
	// before it counts as detached from the chain.
	tailTolerance = time.Second
	// attachmentTimeout is how long after the last answer of an attached upstream a node counts as
	// attached to the core. It is more than the time between two polls.
	attachmentTimeout = 800 * time.Millisecond
	// subscriptionTimeout is how long after a poll changes are pushed to the node that polled.
	subscriptionTimeout    = 2 * time.Second
	defaultConfirmationAge = ConfirmationAgeForRevocation
	// confirmationRetryInterval bounds how often the tail requests a confirmation.
	confirmationRetryInterval = 150 * time.Millisecond
	// treeFanOut is how many nodes of a zone have the same parent.
	treeFanOut = 8

	// maxRingEntries and maxRingBytes bound the entries retained for nodes that lag; one that lags
	// further is sent a snapshot.
	maxRingEntries = 128
	maxRingBytes   = 512 << 10
	// maxEntriesInReply is the number of missing entries beyond which a snapshot takes less work.
	maxEntriesInReply = 32
	// snapshotRetention is how long an encoded snapshot is kept for further nodes that need it.
	snapshotRetention = 2 * time.Second
)

// rendezvousKey ranks the nodes of a zone as home of the configuration. All nodes must use the same.
const rendezvousKey = "config"

func (o Options) pollInterval() time.Duration {
	if o.PollInterval <= 0 {
		return defaultPollInterval
	}
	return o.PollInterval
}

func (o Options) confirmationAge() time.Duration {
	if o.ConfirmationAge <= 0 {
		return defaultConfirmationAge
	}
	return o.ConfirmationAge
}
