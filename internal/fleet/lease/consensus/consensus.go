// Package consensus is one voter's part in the raft group that agrees on grants:
// go.etcd.io/raft/v3 as a pure core. Events go in (a message, a tick, a proposal, a read), a
// Ready comes out (what to make durable, what to send); committed entries go to a StateMachine.
// There is no network, disk or clock here, and no randomness but the seed's.
//
// The library draws its election timeouts from the system's randomness, by which no run would
// repeat. So its own timer is set out of reach, and Node starts elections by timeouts of its own.
//
// Invariant: messages go out only after what the same Ready asks to save is durable.
package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Config has the times of elections in ticks, and how much log is kept.
type Config struct {
	// ElectionTicks is how long a voter waits without a leader before it campaigns; a random
	// number of up to as many ticks is added each time.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// RetainedEntries are kept behind a snapshot, for voters that lag a little.
	RetainedEntries int
}

// DefaultConfig fits ticks of 100 ms.
var DefaultConfig = Config{ElectionTicks: 10, HeartbeatTicks: 2, RetainedEntries: 500}

// DurableState is what a voter has made durable.
type DurableState struct {
	// ID is drawn anew with each new disk: a voter that lost its disk is another voter, which
	// can't vote twice in a term.
	ID        uint64
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot
	Entries   []raftpb.Entry // those after the snapshot
}

// StateMachine is what the group agrees on.
type StateMachine interface {
	// Apply applies a committed entry. The command is empty where the entry carried none.
	Apply(index uint64, command []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Ready is what a voter has to do after events. The order is the contract: first HardState,
// Entries and Snapshot become durable, synced where Sync says so; then Messages are sent; then
// Node.Advance is called.
type Ready struct {
	HardState raftpb.HardState
	Entries   []raftpb.Entry
	Snapshot  *raftpb.Snapshot // replaces all that was stored before it
	Sync      bool
	Messages  []raftpb.Message
}

// IsEmpty tells whether there is nothing to save and nothing to send.
func (r *Ready) IsEmpty() bool {
	return len(r.Entries) == 0 && r.Snapshot == nil && len(r.Messages) == 0 && raft.IsEmptyHardState(r.HardState)
}

// Bootstrap returns the durable state of each founder of a new group, in the order of ids. All
// of them begin with the same snapshot.
func Bootstrap(ids ...uint64) []DurableState {
	var states []DurableState
	for _, id := range ids {
		metadata := raftpb.SnapshotMetadata{
			Index:     1,
			Term:      1,
			ConfState: raftpb.ConfState{Voters: append([]uint64(nil), ids...)},
		}
		states = append(states, DurableState{
			ID:        id,
			HardState: raftpb.HardState{Term: 1, Commit: 1},
			Snapshot:  raftpb.Snapshot{Metadata: metadata},
		})
	}
	return states
}
