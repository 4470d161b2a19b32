package distribution

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/coretest"
	"kestrelspread/internal/node/nodepb"
)

// world is a fleet of nodes with a distribution each. Its core is played by the test: entries are committed at all machines of
// the chain that run, and confirmations take a round through it.
type world struct {
	t       *testing.T
	network *coretest.Network
	nodes   []*worldNode
	chain   []*worldNode // head first
	epoch   uint64
	// counting is the number of machines of the core, the first nodes.
	counting int
	// committedAt is the true time at which the tail committed each entry; the first has index 1.
	committedAt []time.Duration
	coreDown    bool
}

type worldNode struct {
	*coretest.Node
	world        *world
	distribution *Distribution
	state        *testState
	member       *nodepb.Member
	changes      int
	lastTrouble  time.Duration
}

const barrierDelay = 5 * time.Millisecond

// newWorld starts nodes in zones, the first `counting` of which are the core and its chain.
func newWorld(t *testing.T, seed uint64, nodes, counting int, zones ...string) *world {
	t.Helper()
	w := &world{t: t, network: coretest.NewNetwork(seed), counting: counting}
	for number := range nodes {
		w.add(number, zones[number%len(zones)], number < counting)
	}
	w.chain = append(w.chain, w.nodes[:counting]...)
	w.announce()
	w.agree()
	return w
}

func (w *world) add(number int, zone string, counts bool) *worldNode {
	member := &nodepb.Member{
		NodeId: fmt.Sprintf("node-%d", number), Address: fmt.Sprintf("10.0.0.%d:7000", number), Zone: zone,
		ServesFront: true, CountsForQuorum: counts,
	}
	if counts {
		member.DiskId = fmt.Sprintf("disk-%d", number)
	}
	node := &worldNode{world: w, state: &testState{}, member: member, lastTrouble: -time.Hour}
	node.distribution = New(0, Options{
		SelfID: member.NodeId, SelfAddress: member.Address, SelfDiskID: member.DiskId, Zone: zone, Counts: counts,
		State: node.state, Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
	}, rand.New(rand.NewPCG(w.network.Random.Uint64(), 0)))
	node.Node = w.network.Add(member.NodeId, member.Address, checked{node}, node.output)
	w.nodes = append(w.nodes, node)
	return node
}

// checked checks after each step that the node's state is as fresh as it says.
type checked struct{ node *worldNode }

func (c checked) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	defer c.node.check()
	return c.node.distribution.Receive(now, from, message)
}

func (c checked) Tick(now core.Time) []core.Output {
	defer c.node.check()
	return c.node.distribution.Tick(now)
}

func (c checked) Deadline() core.Time { return c.node.distribution.Deadline() }

// check fails the test if the node takes its state for fresher than it is: all that was committed before the moment of
// its confirmation must be in it.
func (n *worldNode) check() {
	at, ok := n.distribution.ConfirmedAt()
	if !ok {
		return
	}
	for index, committed := range n.world.committedAt {
		if committed < n.TrueTime(at) && n.state.index < uint64(index+1) {
			n.world.t.Fatalf("%s holds %d and takes it for confirmed at %v, but %d was committed at %v",
				n.ID, n.state.index, n.TrueTime(at), index+1, committed)
		}
	}
}

func (n *worldNode) output(_ core.Time, output core.Output) {
	switch output.(type) {
	case core.StateChanged:
		n.changes++
	case core.RequestBarrier:
		n.world.barrier(n)
	}
}

// barrier answers a wish for a confirmation, if the node is the tail and the core works.
func (w *world) barrier(node *worldNode) {
	asked := node.Now()
	w.network.After(barrierDelay, func() {
		if node == w.tail() && node.Running() && !w.coreDown {
			node.Do(func(now core.Time) []core.Output {
				node.distribution.LocalConfirmed(now, asked)
				return nil
			})
		}
	})
}

func (w *world) tail() *worldNode { return w.chain[len(w.chain)-1] }

// commit commits the next entry at the machines of the chain that run, at the tail first.
func (w *world) commit() uint64 {
	w.committedAt = append(w.committedAt, w.network.Now())
	index := uint64(len(w.committedAt))
	entry := testEntry(index)
	w.tail().committed(entry)
	w.network.After(2*time.Millisecond, func() {
		for _, node := range w.chain {
			if node.Running() {
				node.committed(entry)
			}
		}
	})
	return index
}

func testEntry(index uint64) *nodepb.Entry {
	return &nodepb.Entry{Index: index, Epoch: 1, Command: &nodepb.Command{Id: fmt.Sprintf("command-%d", index)}}
}

func (n *worldNode) committed(entry *nodepb.Entry) {
	n.Do(func(now core.Time) []core.Output { return n.distribution.Committed(now, entry) })
}

// agree tells the chain's machines the next view, in which the chain is w.chain.
func (w *world) agree() {
	w.epoch++
	view := &nodepb.View{Epoch: w.epoch}
	for _, node := range w.nodes {
		if node.member.CountsForQuorum {
			voter := &nodepb.Voter{DiskId: node.member.DiskId, Address: node.Address, NodeId: node.ID}
			view.Voters = append(view.Voters, voter)
		}
	}
	for _, node := range w.chain {
		view.Chain = append(view.Chain, node.member.DiskId)
	}
	for _, node := range w.chain {
		if node.Running() {
			node.Do(func(now core.Time) []core.Output { return node.distribution.SetView(now, view) })
		}
	}
}

// install brings a machine's own store to an index.
func (n *worldNode) install(index uint64) {
	snapshot := &nodepb.StateSnapshot{Index: index, State: (&testState{index: index}).Snapshot()}
	n.Do(func(now core.Time) []core.Output { return n.distribution.Installed(now, snapshot) })
}

// announce tells all running nodes the running nodes.
func (w *world) announce() { w.announceWithout(nil) }

func (w *world) announceWithout(out *worldNode) {
	var members []*nodepb.Member
	for _, node := range w.nodes {
		if node.Running() && node != out {
			members = append(members, node.member)
		}
	}
	for _, node := range w.nodes {
		if node.Running() {
			node.Do(func(now core.Time) []core.Output { return node.distribution.SetMembers(now, members) })
		}
	}
}

// zoneHome is the home of the configuration in a zone, by the members that any of its nodes knows.
func (w *world) zoneHome(zone string) *worldNode {
	for _, node := range w.nodes {
		if node.member.Zone == zone && node.Running() {
			return w.byAddress(node.distribution.zoneRanking()[0])
		}
	}
	return nil
}

func (w *world) byAddress(address string) *worldNode {
	for _, node := range w.nodes {
		if node.Address == address {
			return node
		}
	}
	return nil
}

// reached reports whether all running nodes other than the exceptions hold an index.
func (w *world) reached(index uint64, except ...*worldNode) func() bool {
	return func() bool {
		for _, node := range w.nodes {
			excepted := !node.Running()
			for _, out := range except {
				excepted = excepted || out == node
			}
			if !excepted && node.state.index < index {
				return false
			}
		}
		return true
	}
}

func (w *world) within(span time.Duration, what string, condition func() bool) {
	w.t.Helper()
	assert.Assert(w.t, w.network.RunUntil(span, condition), "not within %v: %s", span, what)
}

func (n *worldNode) age() time.Duration {
	at, ok := n.distribution.ConfirmedAt()
	if !ok {
		return core.Never
	}
	return n.Now() - at
}

// testState counts entries.
type testState struct {
	index    uint64
	restored int
	// padding makes snapshots large.
	padding int
}

func (s *testState) Index() uint64 { return s.index }

func (s *testState) Apply(entry *nodepb.Entry) *nodepb.CommandResult {
	if entry.Index != s.index+1 {
		panic(fmt.Sprintf("entry %d applied to %d", entry.Index, s.index))
	}
	s.index = entry.Index
	return &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN, Index: entry.Index}
}

func (s *testState) Snapshot() []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, 8+s.padding), s.index)
}

func (s *testState) Restore(snapshot []byte) error {
	if len(snapshot) < 8 {
		return errors.New("snapshot cut short")
	}
	restored := binary.BigEndian.Uint64(snapshot)
	if restored < s.index {
		panic(fmt.Sprintf("state taken back from %d to %d", s.index, restored))
	}
	s.index = restored
	s.restored++
	return nil
}
