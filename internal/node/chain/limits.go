package chain

import (
	"time"

	"kestrelspread/internal/node/core"
)

// ConfirmInterval is the age of a confirmation or lease from which on RequestConfirmation asks for
// another.
const ConfirmInterval core.Time = 200 * time.Millisecond

// Intervals, timeouts and bounds of replication. Source: docs/design/system.md, "Control state".
const (
	// retransmitInterval: the head sends the pending entry and its outstanding barriers again.
	retransmitInterval = 150 * time.Millisecond
	// confirmationTimeout: a barrier for a confirmation or the lease is given up, and another one
	// requested.
	confirmationTimeout = 300 * time.Millisecond
	// commandTimeout is how long a command, or a barrier, waits at the head. It is below
	// submit.DefaultTimeout, after which nobody waits for the answer.
	commandTimeout = 700 * time.Millisecond
	// maxQueuedCommands bounds the command queue, and the deferred barriers, at the head.
	maxQueuedCommands = 64
	// maxCommandHops is how often a command is forwarded on its way to the head.
	maxCommandHops = 3
	// maxOutstandingBarriers bounds the started barriers at the head; beyond it the oldest is given
	// up.
	maxOutstandingBarriers = 32
)

// Intervals and bounds of catch-up.
const (
	// joinRequestInterval is the time between the join requests of a node outside the chain.
	joinRequestInterval = 200 * time.Millisecond
	// joinerGracePeriod is how long the head makes no entry, so that a joiner that lacks the last
	// one can catch up.
	joinerGracePeriod = 300 * time.Millisecond
	// catchUpInterval is the least time between two answers to join requests of one joiner.
	catchUpInterval = 150 * time.Millisecond
	// maxRecentEntries and maxRecentEntryBytes bound the committed entries that are kept for
	// joiners.
	maxRecentEntries    = 256
	maxRecentEntryBytes = 1 << 20
	// snapshotCacheTTL is how long an encoded state is kept after the last joiner asked for it.
	snapshotCacheTTL = 2 * time.Second
)

// Intervals and timeouts of the agreement on views.
const (
	// evaluationInterval is the time between two looks at a view that should change.
	evaluationInterval = 100 * time.Millisecond
	// proposerRankDelay is how much longer each next eligible proposer waits before it proposes.
	proposerRankDelay = 400 * time.Millisecond
	// proposalResendInterval: a proposer asks the acceptors again that have not answered.
	proposalResendInterval = 150 * time.Millisecond
	// proposalTimeout: a proposer gives a proposal up, and starts another one after a backoff.
	proposalTimeout = 600 * time.Millisecond
	// minProposalBackoff is the least backoff; up to maxProposalJitter is added at random.
	minProposalBackoff = 50 * time.Millisecond
	maxProposalJitter  = 3 * minProposalBackoff
	// founderTimeout is how long the first view waits for founders that are not present.
	founderTimeout = time.Second
	// founderRankDelay is how much longer each next founder waits before it proposes the first
	// view.
	founderRankDelay = 500 * time.Millisecond
	// leaveDuration is how long a node that hands over stays out of the chain, if its process does
	// not stop.
	leaveDuration = 30 * time.Second
)

// Timeouts of the disk.
const (
	// writeTimeout: a write that takes longer is a disk fault.
	writeTimeout = time.Second
	// writeRetryBackoff is the time after a failed write until it is retried.
	writeRetryBackoff = 500 * time.Millisecond
	// diskRecoveryPeriod is how long a disk must have been without a fault to count as healthy
	// again.
	diskRecoveryPeriod = time.Second
)
