package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// Role is a node's place in the chain.
type Role uint8

// The places in the chain.
const (
	None   Role = iota // outside the chain, or no view known
	Only               // head and tail at once
	HeadOf             // takes commands
	Middle
	TailOf // answers
)

func (r Role) String() string {
	return [...]string{"none", "only", "head", "middle", "tail"}[r]
}

// Status is what other planes need to know.
type Status struct {
	Epoch     uint64
	View      *nodepb.View // nil: none known
	Role      Role
	Wedged    bool   // the view is being changed by this node
	Committed uint64 // index
	Pending   bool
	// ConfirmedAt is when, by this node's clock, the committed state was known to be the newest; only a tail learns it.
	ConfirmedAt   core.Time
	ConfirmedOnce bool
	DiskHealthy   bool
	// LeaseFrom is when, at the head, the newest barrier that passed every member was started; Leased: there was one in
	// this epoch.
	LeaseFrom core.Time
	Leased    bool
}

// Status tells how things stand.
func (s *Store) Status() Status {
	return Status{
		Epoch:         view.Epoch(s.view),
		View:          s.view,
		Role:          s.role(),
		Wedged:        s.wedged,
		Committed:     s.committed.index,
		Pending:       s.pending != nil,
		ConfirmedAt:   s.confirm.at,
		ConfirmedOnce: s.confirm.once,
		DiskHealthy:   s.writer.healthy(s.now),
		LeaseFrom:     s.leaseFrom,
		Leased:        s.leased,
	}
}

func (s *Store) role() Role {
	switch {
	case !s.inChain():
		return None
	case s.isHead() && s.isTail():
		return Only
	case s.isHead():
		return HeadOf
	case s.isTail():
		return TailOf
	default:
		return Middle
	}
}
