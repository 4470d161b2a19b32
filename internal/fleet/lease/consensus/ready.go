package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// HasReady tells whether Ready would return anything.
func (n *Node) HasReady() bool { return n.pendingReady == nil && n.rawNode.HasReady() }

// Ready returns what has to be done now. Advance has to follow before the next call.
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

// Advance says that what the latest Ready asked for is durable and sent, and applies what was
// committed. After an error this voter's disk and the group's log don't fit: it must not go on.
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

// storeReady takes what was made durable into the library's storage in memory.
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

// applyEntry applies one committed entry, unless a snapshot contained it already.
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

func (n *Node) applyConfChange(index uint64, change raftpb.ConfChangeI) {
	n.confState, n.confChanged = *n.rawNode.ApplyConfChange(change), true
	n.stateMachine.Apply(index, nil)
}

// setSoftState takes up who leads. A leader that lost the lead fails its reads.
func (n *Node) setSoftState(soft raft.SoftState) {
	n.leaderID = soft.Lead
	leads := soft.RaftState == raft.StateLeader
	if leads == n.isLeader {
		return
	}
	n.isLeader = leads
	if leads {
		n.ElectionsWon++
	} else {
		n.failReads()
	}
	n.resetElectionTimer()
}

// MaybeSnapshot makes a snapshot where the log has grown long, or since the group's members have
// changed: a new member refuses a snapshot that doesn't name it. It returns nil where none is
// due. The caller makes the snapshot durable before it drops the entries up to it.
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

// compact drops the entries in memory but for those retained behind the applied index.
func (n *Node) compact(retained uint64) error {
	first, err := n.storage.FirstIndex()
	if err != nil || n.appliedIndex <= retained || n.appliedIndex-retained < first {
		return nil
	}
	return n.storage.Compact(n.appliedIndex - retained)
}
