package loadhint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/coretest"
	"kestrelspread/internal/node/nodepb"
)

// cluster is a set of nodes with a Disseminator each on a simulated network.
type cluster struct {
	network *coretest.Network
	nodes   []*clusterNode
	members []*nodepb.Member
}

// clusterNode is one node of a cluster and the hints that it received.
type clusterNode struct {
	*coretest.Node
	*Disseminator
	cluster  *cluster
	member   *nodepb.Member
	received []*nodepb.LoadHint
}

// newCluster returns a cluster whose nodes are distributed evenly over the zones and know each other. Two
// nodes of each zone count for the quorum. hintsPerSecond is Options.MaxHintsPerSecond.
func newCluster(nodes, hintsPerSecond int, zones ...string) *cluster {
	c := &cluster{network: coretest.NewNetwork(1)}
	for number := range nodes {
		member := &nodepb.Member{
			NodeId: fmt.Sprintf("node-%d", number), Address: fmt.Sprintf("10.0.0.%d:7000", number), Zone: zones[number%len(zones)],
			ServesFront: true, CountsForQuorum: number < 2*len(zones), State: nodepb.MemberState_ALIVE,
		}
		node := &clusterNode{cluster: c, member: member}
		node.Disseminator = New(Options{
			SelfID: member.NodeId, Zone: member.Zone, Random: rand.New(rand.NewPCG(uint64(number), 1)), MaxHintsPerSecond: hintsPerSecond,
		})
		node.Node = c.network.Add(member.NodeId, member.Address, networkMachine{node}, node.output)
		c.nodes = append(c.nodes, node)
		c.members = append(c.members, member)
	}
	c.publishMembers()
	return c
}

// publishMembers passes the current list of members to every node.
func (c *cluster) publishMembers() {
	for _, node := range c.nodes {
		node.SetMembers(c.network.Now(), c.members)
	}
}

// networkMachine adapts a Disseminator to the interface of a machine of the simulated network.
type networkMachine struct{ node *clusterNode }

func (m networkMachine) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	return m.node.Disseminator.Receive(now, from, message.GetLoadHints())
}

func (m networkMachine) Tick(now core.Time) []core.Output { return m.node.Disseminator.Tick(now) }
func (m networkMachine) Deadline() core.Time              { return m.node.Disseminator.Deadline() }

func (n *clusterNode) output(_ core.Time, output core.Output) {
	n.received = append(n.received, output.(core.LoadHintsReceived).Hints...)
}

// testHint returns a hint for broker i-number with a load of 1000 tokens.
func testHint(number int) *nodepb.LoadHint {
	return &nodepb.LoadHint{
		Instance: fmt.Sprintf("i-%d", number), Salt: 7, PartIds: []uint64{uint64(number)}, PartTokens: []uint32{800}, UnreadTokens: 1000,
	}
}

func (n *clusterNode) isRelay() bool { return n.relayAddress == "" }

func TestHintReachesEachOtherProxyOnce(t *testing.T) {
	for _, zones := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c", "d"}} {
		c := newCluster(14, 0, zones...)
		relays := 0
		for _, node := range c.nodes {
			if node.isRelay() {
				relays++
				assert.Assert(t, node.member.CountsForQuorum)
			}
		}
		assert.Equal(t, relays, len(zones))
		for number, node := range c.nodes {
			node.RecordSent(c.network.Now(), testHint(number))
		}
		c.network.Run(200 * time.Millisecond)
		for number, node := range c.nodes {
			received := map[string]int{}
			for _, h := range node.received {
				received[h.Instance]++
				assert.Equal(t, h.UnreadTokens, uint32(1000))
			}
			assert.Equal(t, len(received), len(c.nodes)-1, "zones %v, node %d", zones, number)
			assert.Equal(t, received[testHint(number).Instance], 0, "node %d received its own hint", number)
		}
	}
}

func TestHintsArriveWithinBatchDelays(t *testing.T) {
	c := newCluster(90, 0, "a", "b", "c")
	c.nodes[80].RecordSent(c.network.Now(), testHint(1))
	arrived := c.network.RunUntil(110*time.Millisecond, func() bool {
		for number, node := range c.nodes {
			if number != 80 && len(node.received) == 0 {
				return false
			}
		}
		return true
	})
	assert.Assert(t, arrived)
}

// When a zone loses its relay, its proxies choose another one. A proxy without others sends nothing and
// queues nothing.
func TestProxiesChooseNewRelayAfterLoss(t *testing.T) {
	c := newCluster(6, 0, "a", "b")
	for number, node := range c.nodes {
		if node.isRelay() && node.member.Zone == "a" {
			c.network.Isolate(node.Address)
			c.members = append(c.members[:number], c.members[number+1:]...)
			c.nodes = append(c.nodes[:number], c.nodes[number+1:]...)
			break
		}
	}
	c.publishMembers()
	c.nodes[len(c.nodes)-1].RecordSent(c.network.Now(), testHint(1))
	c.network.Run(100 * time.Millisecond)
	for _, node := range c.nodes[:len(c.nodes)-1] {
		assert.Equal(t, len(node.received), 1)
	}

	alone := New(Options{SelfID: "node-0", Zone: "a"})
	alone.SetMembers(0, c.members[:1])
	alone.RecordSent(0, testHint(1))
	assert.Equal(t, alone.Deadline(), core.Never)
	assert.Equal(t, len(alone.queue), 0)
}

// The rate of the hints that a proxy receives is limited, while the sum of their loads stays within 20% of
// what was sent. The limit does not apply to a relay, which receives all hints of its zone.
func TestHintRateIsBounded(t *testing.T) {
	const hintsPerSecond, seconds = 100, 10
	c := newCluster(12, hintsPerSecond, "a", "b")
	for step := range seconds * 100 {
		for _, node := range c.nodes {
			node.RecordSent(c.network.Now(), testHint(step))
		}
		c.network.Run(10 * time.Millisecond)
	}
	for _, node := range c.nodes {
		unread := 0.0
		for _, h := range node.received {
			unread += float64(h.UnreadTokens)
		}
		assert.Assert(t, node.isRelay() || len(node.received) <= hintsPerSecond*(seconds+1), "%d hints received", len(node.received))
		reported := unread / (1000 * 100 * seconds * float64(len(c.nodes)))
		assert.Assert(t, reported > 0.8 && reported < 1.2, "the received hints report %.2f times the load that was sent", reported)
	}
}

// Malformed messages are accepted: lists of different lengths in a hint, a message without hints, an
// unknown hop, and more hints than maxHintsPerMessage.
func TestMalformedMessagesAreAccepted(t *testing.T) {
	s := New(Options{SelfID: "node-0", Zone: "a"})
	many := &nodepb.LoadHints{Hop: nodepb.LoadHintHop(9)}
	for range maxHintsPerMessage + 5 {
		many.Hints = append(many.Hints, &nodepb.LoadHint{PartIds: []uint64{1, 2}})
	}
	for _, message := range []*nodepb.LoadHints{nil, {}, many} {
		if message == nil {
			message = &nodepb.LoadHints{}
		}
		outputs := s.Receive(0, core.Peer{NodeID: "x", Address: "x"}, message)
		assert.Assert(t, len(outputs[0].(core.LoadHintsReceived).Hints) <= maxHintsPerMessage)
	}
}

// For each batch, a relay sends one message to each other proxy of its zone and to each other relay. So the
// number of messages that a proxy receives doesn't depend on the number of proxies, and the number that a
// relay sends grows with its own zone only.
func TestMessageCountsPerNode(t *testing.T) {
	for _, nodes := range []int{12, 48, 192} {
		c := newCluster(nodes, 0, "a", "b", "c", "d")
		batches := 0
		for _, node := range c.nodes {
			if !node.isRelay() {
				continue
			}
			for range 10 {
				now := c.network.Now()
				node.Disseminator.Receive(now, core.Peer{Address: "none"}, &nodepb.LoadHints{Hints: []*nodepb.LoadHint{testHint(1)}})
				outputs := node.Disseminator.Tick(now + maxBatchDelay)
				assert.Equal(t, len(outputs), nodes/4-1+3)
				batches += len(outputs)
			}
		}
		assert.Equal(t, batches, 10*4*(nodes/4+2))
	}
}

// Scaling a hint changes its load only, not the broker, prompt or event interval that it reports.
func TestScaledHintKeepsSubject(t *testing.T) {
	sent := scaleHint(&nodepb.LoadHint{Instance: "i", Salt: 3, PartIds: []uint64{1}, PartTokens: []uint32{500}, UnreadTokens: 400}, 2.5)
	assert.DeepEqual(t, sent, &nodepb.LoadHint{
		Instance: "i", Salt: 3, PartIds: []uint64{1}, PartTokens: []uint32{500}, UnreadTokens: 1000,
	}, protocmp.Transform())
	seen := scaleHint(&nodepb.LoadHint{Instance: "i", EventIntervalUs: 20000}, 3)
	assert.Equal(t, seen.EventIntervalUs, uint32(20000))
	assert.Equal(t, seen.UnreadTokens, uint32(0))
}
