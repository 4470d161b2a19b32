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

// Node is one voter or learner. One goroutine owns it.
type Node struct {
	ID               uint64
	ElectionsWon     int // how often this voter became the leader
	config           Config
	rawNode          *raft.RawNode
	storage          *raft.MemoryStorage
	stateMachine     StateMachine
	rng              *rand.Rand // for election timeouts
	ticksSinceLeader int
	electionTimeout  int // ticks
	leaderID         uint64
	isLeader         bool
	appliedIndex     uint64
	snapshotIndex    uint64
	confState        raftpb.ConfState
	confChanged      bool // since the latest snapshot
	pendingReady     *raft.Ready
	unappliedReads   []raft.ReadState // confirmed by a quorum, waiting for their index to be applied
	lastReadID       uint64
	readCallbacks    map[uint64]func(ok bool) // by read id
	readAgeTicks     map[uint64]int           // by read id
}

const (
	// unreachableTicks puts the library's own election timer out of reach.
	unreachableTicks = 1 << 30

	maxMessageEntryBytes     = 256 << 10
	maxInflightMessages      = 64
	maxUncommittedEntryBytes = 4 << 20
)

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// ErrNotLeader says that the voter can't do what only a leader may.
var ErrNotLeader = errors.New("this voter does not lead")

// New starts a voter from its durable state, or a learner from an empty one, and restores the
// state machine. The seed determines the election timeouts.
func New(durable DurableState, config Config, stateMachine StateMachine, seed uint64) (*Node, error) {
	if durable.ID == 0 {
		return nil, errors.New("consensus: a voter without an id")
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

// load takes the durable state into memory.
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

func (n *Node) setSnapshotApplied(metadata raftpb.SnapshotMetadata) {
	n.appliedIndex, n.snapshotIndex = metadata.Index, metadata.Index
	n.confState = metadata.ConfState
}

// resetElectionTimer draws a new timeout, so that voters seldom campaign at the same time.
func (n *Node) resetElectionTimer() {
	n.ticksSinceLeader = 0
	n.electionTimeout = n.config.ElectionTicks + n.rng.IntN(n.config.ElectionTicks+1)
}

// Tick advances the voter's clock by one tick: reads time out, and a voter without a leader
// campaigns.
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

// isVoter tells whether this node's vote counts, also in the outgoing half of a joint change.
func (n *Node) isVoter() bool {
	return slices.Contains(n.confState.Voters, n.ID) || slices.Contains(n.confState.VotersOutgoing, n.ID)
}

// Step handles a message of another voter. The library drops unsound ones.
func (n *Node) Step(m raftpb.Message) {
	switch m.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= n.Term() {
			n.resetElectionTimer()
		}
	}
	n.rawNode.Step(m)
	// Having granted its vote, a voter gives the candidate time to win.
	if m.Type == raftpb.MsgVote && n.rawNode.Status().Vote == m.From {
		n.resetElectionTimer()
	}
}

// IsLeader tells whether this voter leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.isLeader }

// LeaderID is the leader that this voter knows of; 0: none.
func (n *Node) LeaderID() uint64 { return n.leaderID }

// Term is the latest term that this voter knows of.
func (n *Node) Term() uint64 { return n.rawNode.Status().Term }

// AppliedIndex is the index of the latest entry that the state machine has applied.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// ConfState has the group's voters and learners.
func (n *Node) ConfState() raftpb.ConfState { return n.confState }

// MatchIndex is the index up to which a voter is known to have the log; only a leader knows.
func (n *Node) MatchIndex(id uint64) uint64 { return n.rawNode.Status().Progress[id].Match }

// CaughtUp tells whether a learner has nearly the whole log; only a leader knows. A match of 0
// is a learner that has nothing yet, however short the log is.
func (n *Node) CaughtUp(id uint64) bool {
	progress, known := n.rawNode.Status().Progress[id]
	slack := uint64(n.config.RetainedEntries) / 10
	return known && progress.Match > 0 && progress.Match+slack >= n.rawNode.Status().Commit
}

// ReportUnreachable tells the library that a message to a voter failed.
func (n *Node) ReportUnreachable(id uint64) { n.rawNode.ReportUnreachable(id) }
