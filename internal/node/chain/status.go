package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// MemberRole is a node's place in the chain.
type MemberRole uint8

// The places in the chain.
const (
	OutsideChain MemberRole = iota // outside the chain, or no view known
	SoleMember                     // head and tail at once
	Head                           // takes commands
	Middle
	Tail // answers
)

func (r MemberRole) String() string {
	return [...]string{"none", "only", "head", "middle", "tail"}[r]
}

// Status is what other planes need to know.
type Status struct {
	Epoch      uint64
	View       *nodepb.View // nil: none known
	Role       MemberRole
	Wedged     bool   // the view is being changed by this node
	Committed  uint64 // index
	HasPending bool
	// ConfirmedAt is when, by this node's clock, the committed state was known to be the newest; only a tail learns it.
	ConfirmedAt   core.Time
	EverConfirmed bool
	DiskHealthy   bool
	// LeaseStart is when, at the head, the newest barrier that passed every member was started; Leased: there was one in
	// this epoch.
	LeaseStart core.Time
	HasLease   bool
}

// Status tells how things stand.
func (r *Replica) Status() Status {
	return Status{
		Epoch:         view.Epoch(r.view),
		View:          r.view,
		Role:          r.role(),
		Wedged:        r.wedged,
		Committed:     r.committed.index,
		HasPending:    r.pending != nil,
		ConfirmedAt:   r.confirmation.confirmedAt,
		EverConfirmed: r.confirmation.everConfirmed,
		DiskHealthy:   r.writer.healthy(r.now),
		LeaseStart:    r.leaseStart,
		HasLease:      r.hasLease,
	}
}

func (r *Replica) role() MemberRole {
	switch {
	case !r.inChain():
		return OutsideChain
	case r.isHead() && r.isTail():
		return SoleMember
	case r.isHead():
		return Head
	case r.isTail():
		return Tail
	default:
		return Middle
	}
}
