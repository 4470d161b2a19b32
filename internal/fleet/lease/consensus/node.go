package consensus

import (
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Node is one member of the group, a voter or a learner. It is not safe for concurrent use.
type Node struct {
	ID               uint64
	ElectionsWon     int // how often this voter has become the leader
	config           Config
	rawNode          *raft.RawNode
	storage          *raft.MemoryStorage
	stateMachine     StateMachine
	rng              *rand.Rand // draws election timeouts
	ticksSinceLeader int        // ticks since the election timer was reset
	electionTimeout  int        // in ticks
	leaderID         uint64     // 0: unknown
	isLeader         bool
	appliedIndex     uint64
	snapshotIndex    uint64 // index of the latest snapshot
	confState        raftpb.ConfState
	confChanged      bool             // the members have changed since the latest snapshot
	pendingReady     *raft.Ready      // returned by Ready, waiting for Advance
	unappliedReads   []raft.ReadState // confirmed by a quorum, waiting for their index to be applied
	lastReadID       uint64
	readCallbacks    map[uint64]func(ok bool) // by id of a pending read
	readAgeTicks     map[uint64]int           // by id of a pending read: ticks since it started
}

const (
	// unreachableTicks is an election timeout of the library that is never reached.
	unreachableTicks = 1 << 30

	maxMessageEntryBytes     = 256 << 10
	maxInflightMessages      = 64
	maxUncommittedEntryBytes = 4 << 20
)

// discardLogger drops the log output of the library.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// ErrNotLeader reports that an operation of the leader was called on another member.
var ErrNotLeader = errors.New("this voter does not lead")

// New starts a voter from its durable state, or a learner from a state with nothing but an ID, and
// restores the state machine. The seed determines the election timeouts.
func New(durable DurableState, config Config, stateMachine StateMachine, seed uint64) (*Node, error) {
	if durable.ID == 0 {
		return nil, errors.New("consensus: start voter: the durable state has no id")
	}
	n := &Node{
		ID:            durable.ID,
		config:        config,
		storage:       raft.NewMemoryStorage(),
		stateMachine:  stateMachine,
		rng:           rand.New(rand.NewPCG(seed, durable.ID)),
		readCallbacks: map[uint64]func(bool){},
		readAgeTicks:  map[uint64]int{},
	}
	if err := n.load(durable); err != nil {
		return nil, fmt.Errorf("consensus: start voter %x: %w", durable.ID, err)
	}
	var err error
	n.rawNode, err = raft.NewRawNode(&raft.Config{
		ID:                        durable.ID,
		ElectionTick:              unreachableTicks,
		HeartbeatTick:             config.HeartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageEntryBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedEntryBytes,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    discardLogger,
		DisableProposalForwarding: true,
	})
	if err != nil {
		return nil, fmt.Errorf("consensus: start voter %x: %w", durable.ID, err)
	}
	n.resetElectionTimer()
	return n, nil
}

// load copies the durable state to the library's in-memory storage, and restores the state machine
// from its snapshot.
func (n *Node) load(durable DurableState) error {
	if !raft.IsEmptySnap(durable.Snapshot) {
		if err := n.storage.ApplySnapshot(durable.Snapshot); err != nil {
			return err
		}
		if len(durable.Snapshot.Data) > 0 {
			if err := n.stateMachine.Restore(durable.Snapshot.Data); err != nil {
				return err
			}
		}
		n.setSnapshotApplied(durable.Snapshot.Metadata)
	}
	if err := n.storage.Append(durable.Entries); err != nil {
		return err
	}
	return n.storage.SetHardState(durable.HardState)
}

// setSnapshotApplied records that the state machine was restored from a snapshot.
func (n *Node) setSnapshotApplied(metadata raftpb.SnapshotMetadata) {
	n.appliedIndex, n.snapshotIndex = metadata.Index, metadata.Index
	n.confState = metadata.ConfState
}

// resetElectionTimer restarts the election timer with a new random timeout, so that voters rarely
// campaign at the same time.
func (n *Node) resetElectionTimer() {
	n.ticksSinceLeader = 0
	n.electionTimeout = n.config.ElectionTicks + n.rng.IntN(n.config.ElectionTicks+1)
}

// Tick advances the node's clock by one tick. Pending reads may time out, and a voter that has had
// no leader for its election timeout campaigns.
func (n *Node) Tick() {
	n.rawNode.Tick()
	n.expireReads()
	if n.isLeader {
		n.ticksSinceLeader = 0
		return
	}
	n.ticksSinceLeader++
	if n.ticksSinceLeader >= n.electionTimeout && n.isVoter() {
		n.resetElectionTimer()
		n.rawNode.Campaign()
	}
}

// isVoter reports whether this node may vote. During a joint membership change that includes the
// outgoing voters.
func (n *Node) isVoter() bool {
	return slices.Contains(n.confState.Voters, n.ID) || slices.Contains(n.confState.VotersOutgoing, n.ID)
}

// Step handles a message from another member. The library drops invalid messages.
func (n *Node) Step(m raftpb.Message) {
	switch m.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= n.Term() {
			n.resetElectionTimer()
		}
	}
	n.rawNode.Step(m)
	// After voting for a candidate, give it time to win before campaigning.
	if m.Type == raftpb.MsgVote && n.rawNode.Status().Vote == m.From {
		n.resetElectionTimer()
	}
}

// IsLeader reports whether this node is the leader, as far as it knows. Another leader may have
// been elected meanwhile; ConfirmLeadership asks a quorum.
func (n *Node) IsLeader() bool { return n.isLeader }

// LeaderID returns the id of the leader that this node knows of, or 0 if it knows none.
func (n *Node) LeaderID() uint64 { return n.leaderID }

// Term returns the latest term that this node knows of.
func (n *Node) Term() uint64 { return n.rawNode.Status().Term }

// AppliedIndex returns the index of the latest entry that the state machine has applied.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// ConfState returns the group's voters and learners.
func (n *Node) ConfState() raftpb.ConfState { return n.confState }

// MatchIndex returns the index up to which a member is known to have the log. Only the leader knows
// it; other nodes return 0.
func (n *Node) MatchIndex(id uint64) uint64 { return n.rawNode.Status().Progress[id].Match }

// CaughtUp reports whether a learner has nearly the whole log. Only the leader knows; other nodes
// return false. A learner whose match index is 0 has nothing yet and is not caught up, however
// short the log is.
func (n *Node) CaughtUp(id uint64) bool {
	progress, known := n.rawNode.Status().Progress[id]
	slack := uint64(n.config.RetainedEntries) / 10
	return known && progress.Match > 0 && progress.Match+slack >= n.rawNode.Status().Commit
}

// ReportUnreachable tells the library that a message could not be sent to a member.
func (n *Node) ReportUnreachable(id uint64) { n.rawNode.ReportUnreachable(id) }
