// Package consensus implements one member of the raft group that agrees on grants, on top of
// go.etcd.io/raft/v3. The caller passes in events: messages, ticks, proposals and reads. It gets
// back a Ready, which lists what to make durable and which messages to send. Committed entries are
// applied to a StateMachine. The package uses no network, disk or clock, and its only randomness
// is derived from the seed.
//
// The library draws its election timeouts from the system's random source, so no run could be
// reproduced. Its election timer is therefore set to a value that is never reached, and Node
// starts elections by timeouts of its own.
//
// Invariant: the messages of a Ready are sent only after the data of the same Ready is durable.
package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Config holds the election timing in ticks, and how much of the log is retained.
type Config struct {
	// ElectionTicks is the minimum number of ticks that a voter waits without a leader before it
	// campaigns. A random number between 0 and ElectionTicks is added each time.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats, in ticks.
	HeartbeatTicks int
	// RetainedEntries is the number of log entries kept before a snapshot, so that voters that lag
	// slightly can catch up without the snapshot.
	RetainedEntries int
}

// DefaultConfig is chosen for ticks of 100 ms.
var DefaultConfig = Config{ElectionTicks: 10, HeartbeatTicks: 2, RetainedEntries: 500}

// DurableState is the state that a voter has stored durably.
type DurableState struct {
	// ID is generated for each new disk. A voter that lost its disk gets a new id and thus becomes
	// another voter, so it can't vote twice in the same term.
	ID        uint64
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot
	Entries   []raftpb.Entry // the entries after the snapshot
}

// StateMachine is the state that the group replicates.
type StateMachine interface {
	// Apply applies a committed entry. The command is empty if the entry carries none, as after an
	// election or a change of members.
	Apply(index uint64, command []byte)
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Ready lists what the caller has to do for a node, in this order: make HardState, Entries and
// Snapshot durable, with a sync to disk if Sync is set; send Messages; call Node.Advance.
type Ready struct {
	HardState raftpb.HardState
	Entries   []raftpb.Entry
	Snapshot  *raftpb.Snapshot // replaces everything that was stored before it
	Sync      bool             // the data must be synced to disk before Messages are sent
	Messages  []raftpb.Message
}

// IsEmpty reports whether there is nothing to store and nothing to send.
func (r *Ready) IsEmpty() bool {
	return len(r.Entries) == 0 && r.Snapshot == nil && len(r.Messages) == 0 && raft.IsEmptyHardState(r.HardState)
}

// Bootstrap returns the initial durable state of each voter of a new group, in the order of ids.
// All voters start from the same snapshot.
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
