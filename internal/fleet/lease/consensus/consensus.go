// Package consensus is one voter's part in the agreement on grants: go.etcd.io/raft as a pure core. Events go in (a message, a
// tick, a proposal, a question), effects come out (what to make durable, what to send, what was agreed); there is no network,
// disk or clock here, and no chance but the seed's.
//
// raft draws its own election times from the system's randomness, which would make no run repeat. So its timers are set out of
// reach, and this package lets a voter stand for election by times of its own.
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

// Config are times in ticks.
type Config struct {
	ElectionTicks   int // ticks without a leader after which a voter stands, and up to as many more by chance
	HeartbeatTicks  int
	RetainedEntries int // entries kept behind a snapshot, for who lags a little
}

// DefaultConfig rules, for ticks of 100 ms.
var DefaultConfig = Config{ElectionTicks: 10, HeartbeatTicks: 2, RetainedEntries: 500}

// DurableState is what a voter has made durable.
type DurableState struct {
	ID        uint64 // drawn anew with each new disk: a voter without its disk is another voter
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot
	Entries   []raftpb.Entry // from behind the snapshot on
}

// StateMachine is what is agreed on.
type StateMachine interface {
	Apply(index uint64, command []byte)
	Snapshot() []byte
	Restore([]byte) error
}

// Ready are what an event brought. The order is the contract: what is to be saved is durable, synced where Sync says so,
// before any message goes out; then it is told by Saved.
type Ready struct {
	HardState raftpb.HardState
	Entries   []raftpb.Entry
	Snapshot  *raftpb.Snapshot // replaces all before it
	Compact   uint64           // entries up to here may go once this is durable
	Sync      bool
	Messages  []raftpb.Message
}

// IsEmpty: nothing is to be saved or sent.
func (e *Ready) IsEmpty() bool {
	return len(e.Entries) == 0 && e.Snapshot == nil && len(e.Messages) == 0 && raft.IsEmptyHardState(e.HardState)
}

// Node is one voter, or one that learns.
type Node struct {
	ID               uint64
	config           Config
	rawNode          *raft.RawNode
	storage          *raft.MemoryStorage
	stateMachine     StateMachine
	rng              *rand.Rand
	ticksSinceLeader int // ticks since the leader was heard
	electionTimeout  int
	appliedIndex     uint64
	snapshotIndex    uint64
	confChanged      bool // who votes or learns, since the latest snapshot
	confState        raftpb.ConfState
	pendingReady     *raft.Ready
	unappliedReads   []raft.ReadState // confirmed, once all up to their index is applied
	lastReadID       uint64
	readCallbacks    map[uint64]func(ok bool) // questions by number
	readAgeTicks     map[uint64]int           // and for how many ticks they wait
	leaderID         uint64
	isLeader         bool
	ElectionsWon     int // how often this voter came to lead
}

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

const unreachableTicks = 1 << 30

// Bootstrap gives the disks of a new group: each of its voters begins with the same.
func Bootstrap(ids ...uint64) []DurableState {
	var list []DurableState
	for _, id := range ids {
		list = append(list, DurableState{ID: id, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1,
			ConfState: raftpb.ConfState{Voters: append([]uint64(nil), ids...)}}}, HardState: raftpb.HardState{Term: 1, Commit: 1}})
	}
	return list
}

// New starts a voter from its disk, an empty one to learn. The machine is restored from it.
func New(d DurableState, rules Config, machine StateMachine, seed uint64) (*Node, error) {
	if d.ID == 0 {
		return nil, errors.New("a voter without a number")
	}
	n := &Node{ID: d.ID, config: rules, storage: raft.NewMemoryStorage(), stateMachine: machine, rng: rand.New(rand.NewPCG(seed, d.ID)),
		readCallbacks: map[uint64]func(bool){}, readAgeTicks: map[uint64]int{}}
	if !raft.IsEmptySnap(d.Snapshot) {
		if err := n.storage.ApplySnapshot(d.Snapshot); err != nil {
			return nil, err
		}
		if len(d.Snapshot.Data) > 0 {
			if err := machine.Restore(d.Snapshot.Data); err != nil {
				return nil, err
			}
		}
		n.appliedIndex, n.snapshotIndex, n.confState = d.Snapshot.Metadata.Index, d.Snapshot.Metadata.Index, d.Snapshot.Metadata.ConfState
	}
	if err := n.storage.Append(d.Entries); err != nil {
		return nil, err
	}
	n.storage.SetHardState(d.HardState)
	var err error
	n.rawNode, err = raft.NewRawNode(&raft.Config{ID: d.ID, ElectionTick: unreachableTicks, HeartbeatTick: rules.HeartbeatTicks, Storage: n.storage, Applied: n.appliedIndex,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		Logger: discardLogger, DisableProposalForwarding: true})
	if err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	return n, nil
}

func (n *Node) resetElectionTimer() {
	n.ticksSinceLeader, n.electionTimeout = 0, n.config.ElectionTicks+n.rng.IntN(n.config.ElectionTicks+1)
}

// Tick is one beat of the voter's own clock.
func (n *Node) Tick() {
	n.rawNode.Tick()
	for _, no := range n.pendingReads() {
		if n.readAgeTicks[no]++; n.readAgeTicks[no] > 2*n.config.ElectionTicks {
			n.completeRead(no, false)
		}
	}
	if n.isLeader {
		n.ticksSinceLeader = 0
		return
	}
	if n.ticksSinceLeader++; n.ticksSinceLeader >= n.electionTimeout && n.isVoter() {
		n.resetElectionTimer()
		n.rawNode.Campaign()
	}
}

func (n *Node) isVoter() bool {
	for _, list := range [][]uint64{n.confState.Voters, n.confState.VotersOutgoing} {
		for _, id := range list {
			if id == n.ID {
				return true
			}
		}
	}
	return false
}

// Step takes a message of another voter. One of nobody's kind is dropped.
func (n *Node) Step(m raftpb.Message) {
	switch m.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= n.rawNode.Status().Term {
			n.resetElectionTimer()
		}
	case raftpb.MsgVote:
		// Whoever stands is heard; a vote that is given is a reason to wait.
		defer func() {
			if n.rawNode.Status().Vote == m.From {
				n.resetElectionTimer()
			}
		}()
	}
	n.rawNode.Step(m)
}

// IsLeader tells whether this voter leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.isLeader }

// LeaderID is who leads, as far as this voter knows; 0: nobody.
func (n *Node) LeaderID() uint64 { return n.leaderID }

// Term is the latest that this voter knows.
func (n *Node) Term() uint64 { return n.rawNode.Status().Term }

// AppliedIndex is the index of the latest command that the machine has.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// ConfState is who votes and who learns.
func (n *Node) ConfState() raftpb.ConfState { return n.confState }

// ErrNotLeader says that somebody else is to be asked.
var ErrNotLeader = errors.New("this voter does not lead")

// Propose gives a command to be agreed on. Whether it is shows in the machine.
func (n *Node) Propose(command []byte) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.Propose(command)
}

// ConfirmLeadership asks a quorum whether this voter still leads, from now on; then tells. Nothing is written for it.
func (n *Node) ConfirmLeadership(then func(ok bool)) {
	if !n.isLeader {
		then(false)
		return
	}
	n.lastReadID++
	n.readCallbacks[n.lastReadID], n.readAgeTicks[n.lastReadID] = then, 0
	n.rawNode.ReadIndex(fmt.Appendf(nil, "%d", n.lastReadID))
}

// pendingReads gives those that wait, in order.
func (n *Node) pendingReads() (list []uint64) {
	for no := range n.readCallbacks {
		list = append(list, no)
	}
	slices.Sort(list)
	return list
}

func (n *Node) completeRead(no uint64, ok bool) {
	if then := n.readCallbacks[no]; then != nil {
		delete(n.readCallbacks, no)
		delete(n.readAgeTicks, no)
		then(ok)
	}
}

// ProposeConfChange adds a learner, makes it a voter, or removes one. One at a time, by the library's joint changes.
func (n *Node) ProposeConfChange(kind raftpb.ConfChangeType, id uint64) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: kind, NodeID: id}}})
}

// ProposeReplacement makes one that has learnt a voter in another's place, in one joint change.
func (n *Node) ProposeReplacement(learner, gone uint64) error {
	if !n.isLeader {
		return ErrNotLeader
	}
	return n.rawNode.ProposeConfChange(raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto, Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: learner}, {Type: raftpb.ConfChangeRemoveNode, NodeID: gone}}})
}

// CaughtUp tells whether one that learns has nearly all there is.
func (n *Node) CaughtUp(id uint64) bool {
	p, known := n.rawNode.Status().Progress[id]
	return known && p.Match > 0 && p.Match+uint64(n.config.RetainedEntries)/10 >= n.rawNode.Status().Commit
}

// MatchIndex is the index up to which a voter is known to have the log, for who leads.
func (n *Node) MatchIndex(id uint64) uint64 { return n.rawNode.Status().Progress[id].Match }

// ReportUnreachable: a message to a voter did not arrive.
func (n *Node) ReportUnreachable(id uint64) { n.rawNode.ReportUnreachable(id) }

// Ready gives what is to be done now. Saved has to follow before the next call.
func (n *Node) Ready() (e Ready) {
	if n.pendingReady != nil || !n.rawNode.HasReady() {
		return e
	}
	rd := n.rawNode.Ready()
	n.pendingReady = &rd
	e.HardState, e.Entries, e.Messages, e.Sync = rd.HardState, rd.Entries, rd.Messages, rd.MustSync
	if !raft.IsEmptySnap(rd.Snapshot) {
		e.Snapshot = &rd.Snapshot
		e.Sync = true
	}
	return e
}

// HasReady tells whether there are effects.
func (n *Node) HasReady() bool { return n.pendingReady == nil && n.rawNode.HasReady() }

// Advance: what the effects asked for is durable. What was agreed on is applied. An error means that this voter's disk and the
// group's log do not fit: it must not go on.
func (n *Node) Advance() error {
	rd := n.pendingReady
	if rd == nil {
		return nil
	}
	n.pendingReady = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := n.stateMachine.Restore(rd.Snapshot.Data); err != nil {
			return err
		}
		n.appliedIndex, n.snapshotIndex, n.confState = rd.Snapshot.Metadata.Index, rd.Snapshot.Metadata.Index, rd.Snapshot.Metadata.ConfState
	}
	if err := n.storage.Append(rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		n.storage.SetHardState(rd.HardState)
	}
	for _, entry := range rd.CommittedEntries {
		if entry.Index <= n.appliedIndex {
			continue
		}
		n.appliedIndex = entry.Index
		switch entry.Type {
		case raftpb.EntryNormal:
			n.stateMachine.Apply(entry.Index, entry.Data)
		case raftpb.EntryConfChange:
			var c raftpb.ConfChange
			if err := c.Unmarshal(entry.Data); err != nil {
				return err
			}
			n.confState, n.confChanged = *n.rawNode.ApplyConfChange(c), true
			n.stateMachine.Apply(entry.Index, nil)
		case raftpb.EntryConfChangeV2:
			var c raftpb.ConfChangeV2
			if err := c.Unmarshal(entry.Data); err != nil {
				return err
			}
			n.confState, n.confChanged = *n.rawNode.ApplyConfChange(c), true
			n.stateMachine.Apply(entry.Index, nil)
		}
	}
	if s := rd.SoftState; s != nil {
		n.leaderID = s.Lead
		if leads := s.RaftState == raft.StateLeader; leads != n.isLeader {
			if n.isLeader = leads; leads {
				n.ElectionsWon++
			} else {
				for _, no := range n.pendingReads() {
					n.completeRead(no, false)
				}
			}
			n.resetElectionTimer()
		}
	}
	n.unappliedReads = append(n.unappliedReads, rd.ReadStates...)
	n.rawNode.Advance(*rd)
	kept := n.unappliedReads[:0]
	for _, r := range n.unappliedReads {
		if r.Index > n.appliedIndex {
			kept = append(kept, r)
			continue
		}
		no := uint64(0)
		fmt.Sscan(string(r.RequestCtx), &no)
		n.completeRead(no, n.isLeader)
	}
	n.unappliedReads = kept
	return nil
}

// MaybeSnapshot makes a snapshot where the log has grown long, and gives it with the index up to which entries may go. The caller makes the
// snapshot durable before it lets them go.
func (n *Node) MaybeSnapshot() (snap *raftpb.Snapshot, upTo uint64, err error) {
	if n.appliedIndex < n.snapshotIndex+2*uint64(n.config.RetainedEntries) && !n.confChanged {
		return nil, 0, nil
	}
	// Who is new refuses a snapshot that does not know of it: after each change of who votes or learns there is one that does.
	n.confChanged = false
	s, err := n.storage.CreateSnapshot(n.appliedIndex, &n.confState, n.stateMachine.Snapshot())
	if err != nil {
		return nil, 0, err
	}
	n.snapshotIndex = n.appliedIndex
	if first, err := n.storage.FirstIndex(); err == nil && n.appliedIndex > uint64(n.config.RetainedEntries) && n.appliedIndex-uint64(n.config.RetainedEntries) >= first {
		upTo = n.appliedIndex - uint64(n.config.RetainedEntries)
		if err := n.storage.Compact(upTo); err != nil {
			return nil, 0, err
		}
	}
	return &s, upTo, nil
}
