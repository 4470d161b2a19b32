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

// cluster is a fleet of nodes with a distribution each, on a simulated network. The test stands in for
// the core: entries are committed at all running machines of the chain, and a confirmation takes a
// round trip through it.
type cluster struct {
	t       *testing.T
	network *coretest.Network
	nodes   []*clusterNode
	chain   []*clusterNode // head first
	epoch   uint64
	// coreSize is the number of machines of the core: the first nodes.
	coreSize int
	// committedAt is the true time at which the tail committed each entry; the first has index 1.
	committedAt []time.Duration
	coreDown    bool
}

type clusterNode struct {
	*coretest.Node
	cluster      *cluster
	distribution *Distribution
	state        *testState
	member       *nodepb.Member
	changes      int
	lastFaultAt  time.Duration
}

const barrierDelay = 5 * time.Millisecond

// newCluster starts nodes in zones, the first coreSize of which are the core and its chain.
func newCluster(t *testing.T, seed uint64, nodes, coreSize int, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, network: coretest.NewNetwork(seed), coreSize: coreSize}
	for number := range nodes {
		c.add(number, zones[number%len(zones)], number < coreSize)
	}
	c.chain = append(c.chain, c.nodes[:coreSize]...)
	c.publishMembers()
	c.publishView()
	return c
}

func (c *cluster) add(number int, zone string, counts bool) *clusterNode {
	member := &nodepb.Member{
		NodeId: fmt.Sprintf("node-%d", number), Address: fmt.Sprintf("10.0.0.%d:7000", number), Zone: zone,
		ServesFront: true, CountsForQuorum: counts,
	}
	if counts {
		member.DiskId = fmt.Sprintf("disk-%d", number)
	}
	node := &clusterNode{cluster: c, state: &testState{}, member: member, lastFaultAt: -time.Hour}
	node.distribution = New(0, Options{
		SelfID: member.NodeId, SelfAddress: member.Address, SelfDiskID: member.DiskId, Zone: zone, CountsForQuorum: counts,
		State: node.state, Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
	}, rand.New(rand.NewPCG(c.network.Random.Uint64(), 0)))
	node.Node = c.network.Add(member.NodeId, member.Address, nodeChecker{node}, node.output)
	c.nodes = append(c.nodes, node)
	return node
}

// nodeChecker checks after each step that a node's state is as fresh as the node says.
type nodeChecker struct{ node *clusterNode }

func (n nodeChecker) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	defer n.node.check()
	return n.node.distribution.Receive(now, from, message)
}

func (n nodeChecker) Tick(now core.Time) []core.Output {
	defer n.node.check()
	return n.node.distribution.Tick(now)
}

func (n nodeChecker) Deadline() core.Time { return n.node.distribution.Deadline() }

// check fails the test if the node takes its state for fresher than it is: all that was committed
// before the moment of its confirmation must be in it.
func (n *clusterNode) check() {
	at, ok := n.distribution.ConfirmedAt()
	if !ok {
		return
	}
	for index, committed := range n.cluster.committedAt {
		if committed < n.TrueTime(at) && n.state.index < uint64(index+1) {
			n.cluster.t.Fatalf("%s holds %d and takes it for confirmed at %v, but %d was committed at %v",
				n.ID, n.state.index, n.TrueTime(at), index+1, committed)
		}
	}
}

func (n *clusterNode) output(_ core.Time, output core.Output) {
	switch output.(type) {
	case core.StateChanged:
		n.changes++
	case core.RequestBarrier:
		n.cluster.barrier(n)
	}
}

// barrier confirms the state of the tail after barrierDelay, if the node is the tail and the core works.
func (c *cluster) barrier(node *clusterNode) {
	requestedAt := node.Now()
	c.network.After(barrierDelay, func() {
		if node == c.tail() && node.Running() && !c.coreDown {
			node.Do(func(now core.Time) []core.Output {
				node.distribution.LocalConfirmed(now, requestedAt)
				return nil
			})
		}
	})
}

func (c *cluster) tail() *clusterNode { return c.chain[len(c.chain)-1] }

// commit commits the next entry at the running machines of the chain, at the tail first.
func (c *cluster) commit() uint64 {
	c.committedAt = append(c.committedAt, c.network.Now())
	index := uint64(len(c.committedAt))
	entry := testEntry(index)
	c.tail().committed(entry)
	c.network.After(2*time.Millisecond, func() {
		for _, node := range c.chain {
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

func (n *clusterNode) committed(entry *nodepb.Entry) {
	n.Do(func(now core.Time) []core.Output { return n.distribution.Committed(now, entry) })
}

// publishView hands the chain's running machines the next view, in which the chain is c.chain.
func (c *cluster) publishView() {
	c.epoch++
	view := &nodepb.View{Epoch: c.epoch}
	for _, node := range c.nodes {
		if node.member.CountsForQuorum {
			voter := &nodepb.Voter{DiskId: node.member.DiskId, Address: node.Address, NodeId: node.ID}
			view.Voters = append(view.Voters, voter)
		}
	}
	for _, node := range c.chain {
		view.Chain = append(view.Chain, node.member.DiskId)
	}
	for _, node := range c.chain {
		if node.Running() {
			node.Do(func(now core.Time) []core.Output { return node.distribution.SetView(now, view) })
		}
	}
}

// install restores a machine's own store from a snapshot at an index.
func (n *clusterNode) install(index uint64) {
	snapshot := &nodepb.StateSnapshot{Index: index, State: (&testState{index: index}).Snapshot()}
	n.Do(func(now core.Time) []core.Output { return n.distribution.Installed(now, snapshot) })
}

// publishMembers sets the running nodes as the members of all running nodes.
func (c *cluster) publishMembers() { c.publishMembersWithout(nil) }

func (c *cluster) publishMembersWithout(out *clusterNode) {
	var members []*nodepb.Member
	for _, node := range c.nodes {
		if node.Running() && node != out {
			members = append(members, node.member)
		}
	}
	for _, node := range c.nodes {
		if node.Running() {
			node.Do(func(now core.Time) []core.Output { return node.distribution.SetMembers(now, members) })
		}
	}
}

// zoneHome returns the home of the configuration in a zone, by the members that its first running node
// knows.
func (c *cluster) zoneHome(zone string) *clusterNode {
	for _, node := range c.nodes {
		if node.member.Zone == zone && node.Running() {
			return c.byAddress(node.distribution.zoneRanking()[0])
		}
	}
	return nil
}

func (c *cluster) byAddress(address string) *clusterNode {
	for _, node := range c.nodes {
		if node.Address == address {
			return node
		}
	}
	return nil
}

// reached returns a check whether all running nodes other than the exceptions hold an index.
func (c *cluster) reached(index uint64, except ...*clusterNode) func() bool {
	return func() bool {
		for _, node := range c.nodes {
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

func (c *cluster) within(span time.Duration, what string, condition func() bool) {
	c.t.Helper()
	assert.Assert(c.t, c.network.RunUntil(span, condition), "not within %v: %s", span, what)
}

func (n *clusterNode) age() time.Duration {
	at, ok := n.distribution.ConfirmedAt()
	if !ok {
		return core.Never
	}
	return n.Now() - at
}

// testState counts entries. It fails the test by a panic if it goes back or misses an entry.
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
		return errors.New("snapshot truncated")
	}
	restored := binary.BigEndian.Uint64(snapshot)
	if restored < s.index {
		panic(fmt.Sprintf("state taken back from %d to %d", s.index, restored))
	}
	s.index = restored
	s.restored++
	return nil
}
