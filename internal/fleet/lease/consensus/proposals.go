package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Propose appends a command to the leader's log. That it is committed shows only when the state
// machine applies it.
func (n *Node) Propose(command []byte) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.Propose(command)
}

// ProposeConfChange adds a learner, promotes it to a voter, or removes a voter. The library makes
// one change at a time.
func (n *Node) ProposeConfChange(kind raftpb.ConfChangeType, id uint64) error {
	return n.proposeConfChange(raftpb.ConfChangeV2{
		Changes: []raftpb.ConfChangeSingle{{Type: kind, NodeID: id}},
	})
}

// ProposeReplacement promotes a learner in the place of a voter, in one joint change: at no time
// does the group have a voter more or less than before.
func (n *Node) ProposeReplacement(learnerID, replacedID uint64) error {
	return n.proposeConfChange(raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionAuto,
		Changes: []raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddNode, NodeID: learnerID},
			{Type: raftpb.ConfChangeRemoveNode, NodeID: replacedID},
		},
	})
}

func (n *Node) proposeConfChange(change raftpb.ConfChangeV2) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.ProposeConfChange(change)
}

// ConfirmLeadership asks a quorum whether this voter leads, by a read index: nothing is written.
// done is called once a quorum has answered after this call and all that was committed before
// is applied; with false when the lead is lost or two election timeouts have passed.
func (n *Node) ConfirmLeadership(done func(ok bool)) {
	if !n.isLeader {
		done(false)
		return
	}
	n.lastReadID++
	n.readCallbacks[n.lastReadID], n.readAgeTicks[n.lastReadID] = done, 0
	n.rawNode.ReadIndex(fmt.Appendf(nil, "%d", n.lastReadID))
}

// expireReads fails the reads that have waited for two election timeouts.
func (n *Node) expireReads() {
	for _, id := range n.pendingReads() {
		n.readAgeTicks[id]++
		if n.readAgeTicks[id] > 2*n.config.ElectionTicks {
			n.completeRead(id, false)
		}
	}
}

// failReads fails all reads, as the lead is lost.
func (n *Node) failReads() {
	for _, id := range n.pendingReads() {
		n.completeRead(id, false)
	}
}

// completeReads completes the confirmed reads whose index has been applied.
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

// pendingReads returns the ids of reads without an answer, oldest first.
func (n *Node) pendingReads() []uint64 { return slices.Sorted(maps.Keys(n.readCallbacks)) }

func (n *Node) completeRead(id uint64, ok bool) {
	done := n.readCallbacks[id]
	if done == nil {
		return
	}
	delete(n.readCallbacks, id)
	delete(n.readAgeTicks, id)
	done(ok)
}
