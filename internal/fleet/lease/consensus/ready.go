package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// HasReady reports whether Ready would return anything. It returns false until Advance has been
// called for the previous Ready.
func (n *Node) HasReady() bool { return n.pendingReady == nil && n.rawNode.HasReady() }

// Ready returns what the caller has to do now. It returns an empty Ready until Advance has been
// called for the previous one.
func (n *Node) Ready() (ready Ready) {
	if !n.HasReady() {
		return ready
	}
	raw := n.rawNode.Ready()
	n.pendingReady = &raw
	ready.HardState, ready.Entries, ready.Messages = raw.HardState, raw.Entries, raw.Messages
	ready.Sync = raw.MustSync
	if !raft.IsEmptySnap(raw.Snapshot) {
		ready.Snapshot = &raw.Snapshot
		ready.Sync = true
	}
	return ready
}

// Advance tells the node that the data of the latest Ready is durable and its messages are sent,
// and applies the committed entries. An error means that this member's stored state does not match
// the group's log, so the node must not be used any more.
func (n *Node) Advance() error {
	ready := n.pendingReady
	if ready == nil {
		return nil
	}
	n.pendingReady = nil
	if err := n.storeReady(ready); err != nil {
		return err
	}
	for _, entry := range ready.CommittedEntries {
		if err := n.applyEntry(entry); err != nil {
			return err
		}
	}
	if ready.SoftState != nil {
		n.setSoftState(*ready.SoftState)
	}
	n.unappliedReads = append(n.unappliedReads, ready.ReadStates...)
	n.rawNode.Advance(*ready)
	n.completeReads()
	return nil
}

// storeReady copies the data of a Ready, which is durable now, to the library's in-memory storage.
// If it contains a snapshot, the state machine is restored from that.
func (n *Node) storeReady(ready *raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := n.stateMachine.Restore(ready.Snapshot.Data); err != nil {
			return err
		}
		n.setSnapshotApplied(ready.Snapshot.Metadata)
	}
	if err := n.storage.Append(ready.Entries); err != nil {
		return err
	}
	if raft.IsEmptyHardState(ready.HardState) {
		return nil
	}
	return n.storage.SetHardState(ready.HardState)
}

// applyEntry applies one committed entry, unless a restored snapshot already includes it.
func (n *Node) applyEntry(entry raftpb.Entry) error {
	if entry.Index <= n.appliedIndex {
		return nil
	}
	n.appliedIndex = entry.Index
	switch entry.Type {
	case raftpb.EntryNormal:
		n.stateMachine.Apply(entry.Index, entry.Data)
	case raftpb.EntryConfChange:
		var change raftpb.ConfChange
		if err := change.Unmarshal(entry.Data); err != nil {
			return err
		}
		n.applyConfChange(entry.Index, change)
	case raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := change.Unmarshal(entry.Data); err != nil {
			return err
		}
		n.applyConfChange(entry.Index, change)
	}
	return nil
}

// applyConfChange applies a change of the group's members. The state machine gets an empty command
// for its index.
func (n *Node) applyConfChange(index uint64, change raftpb.ConfChangeI) {
	n.confState, n.confChanged = *n.rawNode.ApplyConfChange(change), true
	n.stateMachine.Apply(index, nil)
}

// setSoftState records who the leader is. A node that is no longer the leader fails its reads.
func (n *Node) setSoftState(soft raft.SoftState) {
	n.leaderID = soft.Lead
	isLeader := soft.RaftState == raft.StateLeader
	if isLeader == n.isLeader {
		return
	}
	n.isLeader = isLeader
	if isLeader {
		n.ElectionsWon++
	} else {
		n.failReads()
	}
	n.resetElectionTimer()
}

// MaybeSnapshot creates a snapshot if the log has grown long or the group's members have changed
// since the latest one; otherwise it returns nil. The latter is needed because a new member rejects
// a snapshot that does not list it as a member. The caller must make the snapshot durable before it
// deletes the stored entries that the snapshot includes.
func (n *Node) MaybeSnapshot() (*raftpb.Snapshot, error) {
	retained := uint64(n.config.RetainedEntries)
	if n.appliedIndex < n.snapshotIndex+2*retained && !n.confChanged {
		return nil, nil
	}
	n.confChanged = false
	snapshot, err := n.storage.CreateSnapshot(n.appliedIndex, &n.confState, n.stateMachine.Snapshot())
	if err != nil {
		return nil, err
	}
	n.snapshotIndex = n.appliedIndex
	if err := n.compact(retained); err != nil {
		return nil, err
	}
	return &snapshot, nil
}

// compact drops the entries in memory except for the given number before the applied index.
func (n *Node) compact(retained uint64) error {
	first, err := n.storage.FirstIndex()
	if err != nil || n.appliedIndex <= retained || n.appliedIndex-retained < first {
		return nil
	}
	return n.storage.Compact(n.appliedIndex - retained)
}
