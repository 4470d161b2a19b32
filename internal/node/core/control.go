package core

import "kestrelspread/internal/node/nodepb"

// Outputs of the replicated control state and of the membership.

// Reply answers a request that came from this node's own API.
type Reply struct {
	Request uint64
	Result  *nodepb.CommandResult
	State   *nodepb.StateSnapshot // for reads
}

// Committed reports that an entry of the control state is committed and applied. Entries come in
// the order of their index.
type Committed struct {
	Entry  *nodepb.Entry
	Result *nodepb.CommandResult
}

// Installed reports that a newer committed snapshot has replaced the complete control state.
type Installed struct {
	Snapshot *nodepb.StateSnapshot
}

// StateChanged reports that the control state distributed to this node has a higher index than
// before.
type StateChanged struct{}

// RequestBarrier asks the tail's shell for a barrier through the chain, whose completion the shell
// reports by distribution.LocalConfirmed.
type RequestBarrier struct{}

// SubmitCommand asks for a change of the control state.
type SubmitCommand struct{ Command *nodepb.Command }

// MembersChanged reports the nodes that are alive or suspected, this one included.
type MembersChanged struct{ Members []*nodepb.Member }

// QuorumMemberLost reports that the agreed view has dropped a failed node of the quorum. It failed
// at LostBy at the latest.
type QuorumMemberLost struct{ LostBy Time }

func (Reply) isOutput()            {}
func (Committed) isOutput()        {}
func (Installed) isOutput()        {}
func (StateChanged) isOutput()     {}
func (RequestBarrier) isOutput()   {}
func (SubmitCommand) isOutput()    {}
func (MembersChanged) isOutput()   {}
func (QuorumMemberLost) isOutput() {}
