package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Propose appends a command to the leader's log. A nil error does not mean that the command is
// committed: that is known only once the state machine applies it.
func (n *Node) Propose(command []byte) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.Propose(command)
}

// ProposeConfChange proposes to add a learner, promote a learner to a voter, or remove a member.
// The library makes one such change at a time.
func (n *Node) ProposeConfChange(kind raftpb.ConfChangeType, id uint64) error {
	return n.proposeConfChange(raftpb.ConfChangeV2{
		Changes: []raftpb.ConfChangeSingle{{Type: kind, NodeID: id}},
	})
}

// ProposeReplacement proposes to replace a voter with a learner in one joint change, so that the
// number of voters never differs from before.
func (n *Node) ProposeReplacement(learnerID, replacedID uint64) error {
	return n.proposeConfChange(raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionAuto,
		Changes: []raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddNode, NodeID: learnerID},
			{Type: raftpb.ConfChangeRemoveNode, NodeID: replacedID},
		},
	})
}

// proposeConfChange appends a membership change to the leader's log.
func (n *Node) proposeConfChange(change raftpb.ConfChangeV2) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.ProposeConfChange(change)
}

// ConfirmLeadership asks a quorum to confirm that this node is the leader. It uses a raft read
// index request, which writes nothing to the log. It calls done(true) once a quorum has answered
// after this call and everything committed before it is applied, and done(false) if this node is
// not or no longer the leader or if 2*Config.ElectionTicks pass without an answer.
func (n *Node) ConfirmLeadership(done func(ok bool)) {
	if !n.isLeader {
		done(false)
		return
	}
	n.lastReadID++
	n.readCallbacks[n.lastReadID], n.readAgeTicks[n.lastReadID] = done, 0
	n.rawNode.ReadIndex(fmt.Appendf(nil, "%d", n.lastReadID))
}

// expireReads fails the reads that have been pending for more than 2*Config.ElectionTicks.
func (n *Node) expireReads() {
	for _, id := range n.pendingReads() {
		n.readAgeTicks[id]++
		if n.readAgeTicks[id] > 2*n.config.ElectionTicks {
			n.completeRead(id, false)
		}
	}
}

// failReads fails all pending reads, because this node is no longer the leader.
func (n *Node) failReads() {
	for _, id := range n.pendingReads() {
		n.completeRead(id, false)
	}
}

// completeReads completes the reads that a quorum has confirmed and whose index has been applied.
func (n *Node) completeReads() {
	unapplied := n.unappliedReads[:0]
	for _, read := range n.unappliedReads {
		if read.Index > n.appliedIndex {
			unapplied = append(unapplied, read)
			continue
		}
		id := uint64(0)
		fmt.Sscan(string(read.RequestCtx), &id)
		n.completeRead(id, n.isLeader)
	}
	n.unappliedReads = unapplied
}

// pendingReads returns the ids of the reads that are not completed, oldest first.
func (n *Node) pendingReads() []uint64 { return slices.Sorted(maps.Keys(n.readCallbacks)) }

// completeRead calls the callback of a pending read with its outcome, and forgets the read.
func (n *Node) completeRead(id uint64, ok bool) {
	done := n.readCallbacks[id]
	if done == nil {
		return
	}
	delete(n.readCallbacks, id)
	delete(n.readAgeTicks, id)
	done(ok)
}
