package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// MemberRole is a node's role in the chain.
type MemberRole uint8

// The roles in the chain.
const (
	OutsideChain MemberRole = iota // no member, or no view known
	SoleMember                     // head and tail at once
	Head                           // accepts commands
	Middle                         // forwards
	Tail                           // commits and answers
)

// String is the role as status pages show it.
func (m MemberRole) String() string {
	return [...]string{"none", "only", "head", "middle", "tail"}[m]
}

// Status is what the rest of the node needs to know of a Replica.
type Status struct {
	Epoch      uint64
	View       *nodepb.View // nil: none known
	Role       MemberRole
	Wedged     bool   // this node has proposed a successor of View, and forwards nothing
	Committed  uint64 // index of the committed state
	HasPending bool   // an entry is not committed
	// ConfirmedAt is the time, by this node's clock, as of which the committed state was the
	// newest, if EverConfirmed. Only a tail learns it.
	ConfirmedAt   core.Time
	EverConfirmed bool
	DiskHealthy   bool
	// LeaseStart is when, at the head, the newest barrier that passed every member was started;
	// HasLease: there was one in this epoch.
	LeaseStart core.Time
	HasLease   bool
}

// Status returns the present status.
func (r *Replica) Status() Status {
	return Status{
		Epoch:         view.Epoch(r.view),
		View:          r.view,
		Role:          r.role(),
		Wedged:        r.wedged,
		Committed:     r.committed.index,
		HasPending:    r.pending != nil,
		ConfirmedAt:   r.tail.confirmedAt,
		EverConfirmed: r.tail.everConfirmed,
		DiskHealthy:   r.records.healthy(r.now),
		LeaseStart:    r.head.leaseStart,
		HasLease:      r.head.hasLease,
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
