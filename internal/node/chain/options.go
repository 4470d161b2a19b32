package chain

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// StateMachine is the control state that is replicated. It must be deterministic.
type StateMachine interface {
	// Check is asked at the head against the committed state. take tells that the command is to become an entry; else
	// the result is final: taken before, in conflict with what was taken, or invalid.
	Check(command *nodepb.Command) (result *nodepb.CommandResult, take bool)
	// Apply takes a committed entry.
	Apply(entry *nodepb.Entry) *nodepb.CommandResult
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by a snapshot.
	Restore(snapshot []byte) error
}

// Options of a Store.
type Options struct {
	// Self names this node's disk, internal address and life. A node without a disk id is no voter; it only takes part in the
	// agreement on the first view, where it is a founder.
	Self *nodepb.Voter
	// FounderAddresses are the internal addresses of the seeds, used only where Founding.
	FounderAddresses []string
	// Founding: this is the first start of the whole system, or the disk holds a record of one that did not end.
	Founding bool
	// Tolerance is faultTolerance.machines: how many may be lost at once.
	Tolerance int
	// StateMachine is the state that is replicated, as it is before the first entry.
	StateMachine StateMachine
}

// The times of replication and of agreement on views.
const (
	// ConfirmInterval is how old a confirmation may get before WantConfirmation asks for another.
	ConfirmInterval core.Time = 200 * time.Millisecond

	retransmitInterval     = 150 * time.Millisecond // the head repeats what isn't committed
	confirmationTimeout    = 300 * time.Millisecond // a barrier for a confirmation is given up
	commandTimeout         = 700 * time.Millisecond // a command waits at most this long at the head
	joinRequestInterval    = 200 * time.Millisecond // who is outside asks to join
	joinerGracePeriod      = 300 * time.Millisecond // the head takes nothing while a joiner catches up with a late entry
	catchUpInterval        = 150 * time.Millisecond // a joiner is sent the state at most this often
	proposerRankDelay      = 400 * time.Millisecond // lower places in the chain propose later
	proposalResendInterval = 150 * time.Millisecond // a proposer asks again who hasn't answered
	proposalTimeout        = 600 * time.Millisecond // a proposer begins another ballot
	minProposalBackoff     = 50 * time.Millisecond  // what a proposer that was beaten waits at least
	founderTimeout         = time.Second            // for founders that don't answer
	founderRankDelay       = 500 * time.Millisecond // later founders propose later
	leaveDuration          = 30 * time.Second       // how long a node that was told to stop stays out
	writeTimeout           = time.Second            // a write that takes longer means a disk in trouble
	writeRetryBackoff      = 500 * time.Millisecond // after a write that failed
	diskRecoveryPeriod     = time.Second            // without trouble, before a disk is called healthy again
	evaluationInterval     = 100 * time.Millisecond // how often a view that should change is looked at
	maxQueuedCommands      = 64                     // commands at the head
	maxCommandHops         = 3                      // of a command on its way to the head
	maxOutstandingBarriers = 32                     // started barriers whose end is awaited
	maxRecentEntries       = 256                    // committed entries kept for joiners
	maxRecentEntryBytes    = 1 << 20                // and their size together
	snapshotCacheTTL       = 2 * time.Second        // an encoded state is kept for joiners
)
