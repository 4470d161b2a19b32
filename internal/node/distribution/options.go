package distribution

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// State is the control state of this node. It belongs to the distribution alone: nobody else applies entries to it.
type State interface {
	// Apply takes the entry that follows Index.
	Apply(entry *nodepb.Entry) *nodepb.CommandResult
	// Index is that of the last entry applied.
	Index() uint64
	// Snapshot returns the whole state, Restore replaces it.
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Options are what a distribution is told at its start.
type Options struct {
	SelfID      string
	SelfAddress string // internal address
	// SelfDiskID names this node in the chain; empty for a node without a disk. Where it is not given, the chain's members are
	// known by their addresses.
	SelfDiskID      string
	Zone            string
	CountsForQuorum bool // this node is a machine of the core
	State           State
	// Seeds are internal addresses to ask while no member is known.
	Seeds []string
	// PollInterval is the time between two polls of the upstream; 0: half a second.
	PollInterval time.Duration
	// ConfirmationAge is the age of the tail's own confirmation from which on it wants another; 0: 300 ms. Where no bound
	// on the age of a key's revocation is in force, a longer one saves barriers.
	ConfirmationAge time.Duration
}

// Ages of the tail's own confirmation at which it asks for another.
const (
	// ConfirmationAgeForRevocation keeps the age of every node's state far below the bound of a key's revocation.
	ConfirmationAgeForRevocation = 300 * time.Millisecond
	// ConfirmationAgeForChanges is for fleets without that bound. A tail that was cut off from the chain takes itself to be in touch
	// for that time and tailSlack, and so do those who poll it; a change that others take meanwhile must reach these within
	// configApplyMs of its acknowledgement, which is 2 s at the least.
	ConfirmationAgeForChanges = 700 * time.Millisecond
)

const (
	defaultPollInterval = 500 * time.Millisecond
	// initialPollInterval is the time between polls of a node that has no confirmed state yet, for startPolls polls.
	initialPollInterval = 150 * time.Millisecond
	maxInitialPolls     = 60
	// hedgeDelay is how long an upstream may take to answer before the next one is asked as well.
	hedgeDelay = 200 * time.Millisecond
	// minProbeBackoff and longestRetest are when an upstream that owes an answer, and so is passed over, is asked again.
	minProbeBackoff = time.Second
	maxProbeBackoff = 8 * time.Second
	// staleTolerance is by how much the age of an upstream's confirmation may exceed ConfirmationAge before it is taken to
	// have lost touch with the core, and staleFor is how long others go first then.
	staleTolerance = 2200 * time.Millisecond
	staleBackoff   = time.Second
	// tailTolerance is by how much the age of the tail's own confirmation may exceed ConfirmationAge before it is taken to have
	// lost touch with the chain.
	tailTolerance = time.Second
	// attachmentTimeout is how long after the last answer of an upstream a node takes itself to be in touch with the core; it is
	// more than the time between two polls.
	attachmentTimeout = 800 * time.Millisecond
	// subscriptionTimeout is how long after a poll changes are pushed to who polled.
	subscriptionTimeout    = 2 * time.Second
	defaultConfirmationAge = ConfirmationAgeForRevocation
	// confirmationRetryInterval bounds how often it asks for one.
	confirmationRetryInterval = 150 * time.Millisecond
	// treeFanOut is how many nodes of a zone poll the same one.
	treeFanOut = 8

	// maxRingEntries and ringBytes bound the entries kept for who lags; who lags more is given a snapshot.
	maxRingEntries = 128
	maxRingBytes   = 512 << 10
	// maxEntriesInReply is from how many missing entries on a snapshot takes less work.
	maxEntriesInReply = 32
	// snapshotRetention is how long an encoded snapshot is kept for others that ask for it.
	snapshotRetention = 2 * time.Second
)

// rendezvousKey ranks the nodes of a zone as home of the configuration.
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

// milliseconds rounds a time span up, so that no age is understated.
func milliseconds(span core.Time) uint32 {
	if span <= 0 {
		return 0
	}
	const most = 1<<32 - 1
	return uint32(min((span+time.Millisecond-1)/time.Millisecond, most))
}
