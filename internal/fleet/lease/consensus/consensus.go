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

// Rules are times in ticks.
type Rules struct {
	Election  int // ticks without a leader after which a voter stands, and up to as many more by chance
	Heartbeat int
	Keep      int // entries kept behind a snapshot, for who lags a little
}

// Usual rules, for ticks of 100 ms.
var Usual = Rules{Election: 10, Heartbeat: 2, Keep: 500}

// Disk is what a voter has made durable.
type Disk struct {
	ID       uint64 // drawn anew with each new disk: a voter without its disk is another voter
	Hard     raftpb.HardState
	Snapshot raftpb.Snapshot
	Entries  []raftpb.Entry // from behind the snapshot on
}

// Machine is what is agreed on.
type Machine interface {
	Apply(index uint64, command []byte)
	Snapshot() []byte
	Restore([]byte) error
}

// Effects are what an event brought. The order is the contract: what is to be saved is durable, synced where Sync says so,
// before any message goes out; then it is told by Saved.
type Effects struct {
	Hard     raftpb.HardState
	Entries  []raftpb.Entry
	Snapshot *raftpb.Snapshot // replaces all before it
	Compact  uint64           // entries up to here may go once this is durable
	Sync     bool
	Messages []raftpb.Message
}

// Empty: nothing is to be saved or sent.
func (e *Effects) Empty() bool {
	return len(e.Entries) == 0 && e.Snapshot == nil && len(e.Messages) == 0 && raft.IsEmptyHardState(e.Hard)
}

// Node is one voter, or one that learns.
type Node struct {
	ID       uint64
	rules    Rules
	raw      *raft.RawNode
	store    *raft.MemoryStorage
	machine  Machine
	rng      *rand.Rand
	quiet    int // ticks since the leader was heard
	patience int
	applied  uint64
	snapped  uint64
	changed  bool // who votes or learns, since the latest snapshot
	conf     raftpb.ConfState
	pending  *raft.Ready
	reads    []raft.ReadState // confirmed, once all up to their index is applied
	readNo   uint64
	waiting  map[uint64]func(ok bool) // questions by number
	asked    map[uint64]int           // and for how many ticks they wait
	lead     uint64
	leading  bool
	Elected  int // how often this voter came to lead
}

var quietLog = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

const never = 1 << 30

// Found gives the disks of a new group: each of its voters begins with the same.
func Found(ids ...uint64) []Disk {
	var list []Disk
	for _, id := range ids {
		list = append(list, Disk{ID: id, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1,
			ConfState: raftpb.ConfState{Voters: append([]uint64(nil), ids...)}}}, Hard: raftpb.HardState{Term: 1, Commit: 1}})
	}
	return list
}

// New starts a voter from its disk, an empty one to learn. The machine is restored from it.
func New(d Disk, rules Rules, machine Machine, seed uint64) (*Node, error) {
	if d.ID == 0 {
		return nil, errors.New("a voter without a number")
	}
	n := &Node{ID: d.ID, rules: rules, store: raft.NewMemoryStorage(), machine: machine, rng: rand.New(rand.NewPCG(seed, d.ID)),
		waiting: map[uint64]func(bool){}, asked: map[uint64]int{}}
	if !raft.IsEmptySnap(d.Snapshot) {
		if err := n.store.ApplySnapshot(d.Snapshot); err != nil {
			return nil, err
		}
		if len(d.Snapshot.Data) > 0 {
			if err := machine.Restore(d.Snapshot.Data); err != nil {
				return nil, err
			}
		}
		n.applied, n.snapped, n.conf = d.Snapshot.Metadata.Index, d.Snapshot.Metadata.Index, d.Snapshot.Metadata.ConfState
	}
	if err := n.store.Append(d.Entries); err != nil {
		return nil, err
	}
	n.store.SetHardState(d.Hard)
	var err error
	n.raw, err = raft.NewRawNode(&raft.Config{ID: d.ID, ElectionTick: never, HeartbeatTick: rules.Heartbeat, Storage: n.store, Applied: n.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		Logger: quietLog, DisableProposalForwarding: true})
	if err != nil {
		return nil, err
	}
	n.rest()
	return n, nil
}

func (n *Node) rest() {
	n.quiet, n.patience = 0, n.rules.Election+n.rng.IntN(n.rules.Election+1)
}

// Tick is one beat of the voter's own clock.
func (n *Node) Tick() {
	n.raw.Tick()
	for _, no := range n.questions() {
		if n.asked[no]++; n.asked[no] > 2*n.rules.Election {
			n.answer(no, false)
		}
	}
	if n.leading {
		n.quiet = 0
		return
	}
	if n.quiet++; n.quiet >= n.patience && n.voter() {
		n.rest()
		n.raw.Campaign()
	}
}

func (n *Node) voter() bool {
	for _, list := range [][]uint64{n.conf.Voters, n.conf.VotersOutgoing} {
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
		if m.Term >= n.raw.Status().Term {
			n.rest()
		}
	case raftpb.MsgVote:
		// Whoever stands is heard; a vote that is given is a reason to wait.
		defer func() {
			if n.raw.Status().Vote == m.From {
				n.rest()
			}
		}()
	}
	n.raw.Step(m)
}

// Leading tells whether this voter leads, as far as it knows.
func (n *Node) Leading() bool { return n.leading }

// Leader is who leads, as far as this voter knows; 0: nobody.
func (n *Node) Leader() uint64 { return n.lead }

// Term is the latest that this voter knows.
func (n *Node) Term() uint64 { return n.raw.Status().Term }

// Applied is the index of the latest command that the machine has.
func (n *Node) Applied() uint64 { return n.applied }

// Conf is who votes and who learns.
func (n *Node) Conf() raftpb.ConfState { return n.conf }

// ErrNotLeading says that somebody else is to be asked.
var ErrNotLeading = errors.New("this voter does not lead")

// Propose gives a command to be agreed on. Whether it is shows in the machine.
func (n *Node) Propose(command []byte) error {
	if !n.leading {
		return ErrNotLeading
	}
	return n.raw.Propose(command)
}

// Confirm asks a quorum whether this voter still leads, from now on; then tells. Nothing is written for it.
func (n *Node) Confirm(then func(ok bool)) {
	if !n.leading {
		then(false)
		return
	}
	n.readNo++
	n.waiting[n.readNo], n.asked[n.readNo] = then, 0
	n.raw.ReadIndex(fmt.Appendf(nil, "%d", n.readNo))
}

// questions gives those that wait, in order.
func (n *Node) questions() (list []uint64) {
	for no := range n.waiting {
		list = append(list, no)
	}
	slices.Sort(list)
	return list
}

func (n *Node) answer(no uint64, ok bool) {
	if then := n.waiting[no]; then != nil {
		delete(n.waiting, no)
		delete(n.asked, no)
		then(ok)
	}
}

// Change adds a learner, makes it a voter, or removes one. One at a time, by the library's joint changes.
func (n *Node) Change(kind raftpb.ConfChangeType, id uint64) error {
	if !n.leading {
		return ErrNotLeading
	}
	return n.raw.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: kind, NodeID: id}}})
}

// Replace makes one that has learnt a voter in another's place, in one joint change.
func (n *Node) Replace(learner, gone uint64) error {
	if !n.leading {
		return ErrNotLeading
	}
	return n.raw.ProposeConfChange(raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto, Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: learner}, {Type: raftpb.ConfChangeRemoveNode, NodeID: gone}}})
}

// Caught tells whether one that learns has nearly all there is.
func (n *Node) Caught(id uint64) bool {
	p, known := n.raw.Status().Progress[id]
	return known && p.Match > 0 && p.Match+uint64(n.rules.Keep)/10 >= n.raw.Status().Commit
}

// Match is the index up to which a voter is known to have the log, for who leads.
func (n *Node) Match(id uint64) uint64 { return n.raw.Status().Progress[id].Match }

// Unreachable: a message to a voter did not arrive.
func (n *Node) Unreachable(id uint64) { n.raw.ReportUnreachable(id) }

// Effects gives what is to be done now. Saved has to follow before the next call.
func (n *Node) Effects() (e Effects) {
	if n.pending != nil || !n.raw.HasReady() {
		return e
	}
	rd := n.raw.Ready()
	n.pending = &rd
	e.Hard, e.Entries, e.Messages, e.Sync = rd.HardState, rd.Entries, rd.Messages, rd.MustSync
	if !raft.IsEmptySnap(rd.Snapshot) {
		e.Snapshot = &rd.Snapshot
		e.Sync = true
	}
	return e
}

// Ready tells whether there are effects.
func (n *Node) Ready() bool { return n.pending == nil && n.raw.HasReady() }

// Saved: what the effects asked for is durable. What was agreed on is applied. An error means that this voter's disk and the
// group's log do not fit: it must not go on.
func (n *Node) Saved() error {
	rd := n.pending
	if rd == nil {
		return nil
	}
	n.pending = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.store.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := n.machine.Restore(rd.Snapshot.Data); err != nil {
			return err
		}
		n.applied, n.snapped, n.conf = rd.Snapshot.Metadata.Index, rd.Snapshot.Metadata.Index, rd.Snapshot.Metadata.ConfState
	}
	if err := n.store.Append(rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		n.store.SetHardState(rd.HardState)
	}
	for _, entry := range rd.CommittedEntries {
		if entry.Index <= n.applied {
			continue
		}
		n.applied = entry.Index
		switch entry.Type {
		case raftpb.EntryNormal:
			n.machine.Apply(entry.Index, entry.Data)
		case raftpb.EntryConfChange:
			var c raftpb.ConfChange
			if err := c.Unmarshal(entry.Data); err != nil {
				return err
			}
			n.conf, n.changed = *n.raw.ApplyConfChange(c), true
			n.machine.Apply(entry.Index, nil)
		case raftpb.EntryConfChangeV2:
			var c raftpb.ConfChangeV2
			if err := c.Unmarshal(entry.Data); err != nil {
				return err
			}
			n.conf, n.changed = *n.raw.ApplyConfChange(c), true
			n.machine.Apply(entry.Index, nil)
		}
	}
	if s := rd.SoftState; s != nil {
		n.lead = s.Lead
		if leads := s.RaftState == raft.StateLeader; leads != n.leading {
			if n.leading = leads; leads {
				n.Elected++
			} else {
				for _, no := range n.questions() {
					n.answer(no, false)
				}
			}
			n.rest()
		}
	}
	n.reads = append(n.reads, rd.ReadStates...)
	n.raw.Advance(*rd)
	kept := n.reads[:0]
	for _, r := range n.reads {
		if r.Index > n.applied {
			kept = append(kept, r)
			continue
		}
		no := uint64(0)
		fmt.Sscan(string(r.RequestCtx), &no)
		n.answer(no, n.leading)
	}
	n.reads = kept
	return nil
}

// Cut makes a snapshot where the log has grown long, and gives it with the index up to which entries may go. The caller makes the
// snapshot durable before it lets them go.
func (n *Node) Cut() (snap *raftpb.Snapshot, upTo uint64, err error) {
	if n.applied < n.snapped+2*uint64(n.rules.Keep) && !n.changed {
		return nil, 0, nil
	}
	// Who is new refuses a snapshot that does not know of it: after each change of who votes or learns there is one that does.
	n.changed = false
	s, err := n.store.CreateSnapshot(n.applied, &n.conf, n.machine.Snapshot())
	if err != nil {
		return nil, 0, err
	}
	n.snapped = n.applied
	if first, err := n.store.FirstIndex(); err == nil && n.applied > uint64(n.rules.Keep) && n.applied-uint64(n.rules.Keep) >= first {
		upTo = n.applied - uint64(n.rules.Keep)
		if err := n.store.Compact(upTo); err != nil {
			return nil, 0, err
		}
	}
	return &s, upTo, nil
}
