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
	// Founders are the internal addresses of the seeds, used only where Founding.
	Founders []string
	// Founding: this is the first start of the whole system, or the disk holds a record of one that did not end.
	Founding bool
	// Tolerance is faultTolerance.machines: how many may be lost at once.
	Tolerance int
	// Machine is the state that is replicated, as it is before the first entry.
	Machine StateMachine
}

// The times of replication and of agreement on views.
const (
	// ConfirmEvery is how old a confirmation may get before WantConfirmation asks for another.
	ConfirmEvery core.Time = 200 * time.Millisecond

	retransmitEvery  = 150 * time.Millisecond // the head repeats what isn't committed
	confirmTimeout   = 300 * time.Millisecond // a barrier for a confirmation is given up
	queueWait        = 700 * time.Millisecond // a command waits at most this long at the head
	joinEvery        = 200 * time.Millisecond // who is outside asks to join
	holdForJoiner    = 300 * time.Millisecond // the head takes nothing while a joiner catches up with a late entry
	catchUpEvery     = 150 * time.Millisecond // a joiner is sent the state at most this often
	rankDelay        = 400 * time.Millisecond // lower places in the chain propose later
	resendEvery      = 150 * time.Millisecond // a proposer asks again who hasn't answered
	roundTimeout     = 600 * time.Millisecond // a proposer begins another ballot
	backoffBase      = 50 * time.Millisecond  // what a proposer that was beaten waits at least
	foundersWait     = time.Second            // for founders that don't answer
	foundingRank     = 500 * time.Millisecond // later founders propose later
	leaveFor         = 30 * time.Second       // how long a node that was told to stop stays out
	writeTimeout     = time.Second            // a write that takes longer means a disk in trouble
	writeRetry       = 500 * time.Millisecond // after a write that failed
	healthyAfter     = time.Second            // without trouble, before a disk is called healthy again
	evaluateEvery    = 100 * time.Millisecond // how often a view that should change is looked at
	queueLimit       = 64                     // commands at the head
	maxHops          = 3                      // of a command on its way to the head
	barriersKept     = 32                     // started barriers whose end is awaited
	recentEntries    = 256                    // committed entries kept for joiners
	recentEntryBytes = 1 << 20                // and their size together
	catchUpKept      = 2 * time.Second        // an encoded state is kept for joiners
)
