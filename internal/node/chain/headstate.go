package chain

import "kestrelspread/internal/node/core"

// headState is what a node knows and has pending as the head. stepDown ends what belongs to the
// epoch, and hands pending requests on; the cached snapshot and the numbering of barriers continue.
type headState struct {
	// pendingInherited: the pending entry is of an earlier epoch or incarnation, and may have been
	// acknowledged.
	pendingInherited bool
	retransmitAt     core.Time // of the pending entry

	commandQueue []queuedCommand // oldest first
	lastProposed queuedCommand   // the command of the newest entry that this head made

	deferredBarriers    []headBarrier // not started: see startBarrier
	outstandingBarriers []headBarrier // started and not completed, oldest first
	lastBarrierNumber   uint64

	// hasLease: a barrier has passed every member in this epoch; leaseStart is when the newest such
	// one was started.
	hasLease   bool
	leaseStart core.Time

	joiners            map[string]*joiner // by disk id
	entriesPausedUntil core.Time          // no new entry before, so that a joiner can catch up
	snapshot           snapshotCache
}

// snapshotCache keeps the encoded committed state for joiners that ask for it shortly after one
// another.
type snapshotCache struct {
	data      []byte // nil: none
	committed position
	expiresAt core.Time
}

// get returns the encoded state at the position; encode makes it where it isn't cached.
func (c *snapshotCache) get(now core.Time, committed position, encode func() []byte) []byte {
	if c.data == nil || c.committed != committed {
		c.data, c.committed = encode(), committed
	}
	c.expiresAt = now + snapshotCacheTTL
	return c.data
}

// evictExpired drops a state that no joiner has asked for within snapshotCacheTTL.
func (c *snapshotCache) evictExpired(now core.Time) {
	if now >= c.expiresAt {
		c.data = nil
	}
}
