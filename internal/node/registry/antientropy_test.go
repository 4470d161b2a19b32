package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// sameTables reports whether all running nodes hold the same brokers with the same content.
func (c *cluster) sameTables() bool {
	want := c.nodes[0].registry
	return c.all(func(node *clusterNode) bool {
		listed := uint32(len(node.registry.Table().ByID))
		return node.registry.digestSum == want.digestSum && node.registry.liveCount == want.liveCount && listed == want.liveCount
	})
}

func TestFreshNodeCompletesFullSync(t *testing.T) {
	for _, brokers := range []int{0, 1, 600} {
		t.Run(fmt.Sprint(brokers), func(t *testing.T) {
			c := newCluster(t, 1, 12, "a", "b", "c")
			for number := range brokers {
				b := c.broker(fmt.Sprint(number), fmt.Sprintf("service-%d", number%20), c.zones[number%3])
				b.heartbeat(c.nodes[number%12])
			}
			c.network.Run(2 * time.Second)
			fresh := c.start()
			c.publishMembers()
			c.within(300*time.Millisecond, "all known", func() bool {
				return len(fresh.registry.Table().ByID) == brokers && fresh.registry.synced || brokers == 0
			})
			assert.Assert(t, c.sameTables())
		})
	}
}

// One of the two nodes polled first may have just started as well.
func TestFreshNodeRetriesAfterEmptySnapshot(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, 2, "a")
		c.broker("1", "llm", "a").heartbeat(c.nodes[0])
		c.nodes[1].Kill()
		c.network.Run(time.Second)
		fresh := []*clusterNode{c.start(), c.start(), c.start(), c.start(), c.start()}
		c.publishMembers()
		c.within(300*time.Millisecond, "all know the broker", func() bool { return c.everyoneHas("1", ready) })
		assert.Equal(t, len(fresh[0].registry.others), 5)
	}
}

// TestAnswerWithoutPresentBrokersCompletesNoSync: a node that knew no more than a broker which had left ended the full sync of another
// one, which then refused requests as if the fleet had no brokers.
func TestAnswerWithoutPresentBrokersCompletesNoSync(t *testing.T) {
	c := newCluster(t, 21, 4, "a")
	c.broker("1", "llm", "a").heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	fresh := c.start()
	gone := &nodepb.Instance{Id: "2", Service: "llm", Zone: "a", State: nodepb.InstanceState_GONE}
	fresh.Do(func(now core.Time) []core.Output {
		return fresh.registry.Receive(now, core.Peer{NodeID: "node-9", Address: "10.0.0.9:7000"}, &nodepb.Envelope{
			Body: &nodepb.Envelope_RegistrySnapshot{RegistrySnapshot: &nodepb.RegistrySnapshot{Instances: []*nodepb.Instance{gone}}}})
	})
	assert.Assert(t, !fresh.registry.Synced())
	c.publishMembers()
	c.within(300*time.Millisecond, "it knows the broker", func() bool {
		return fresh.registry.Synced() && fresh.registry.Table().ByID["1"] != nil
	})
}

func TestAntiEntropyRepairsLostUpdates(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, 10, "a", "b")
			brokers := c.startBrokers("llm", "a", 6)
			c.network.Run(5 * time.Second)
			partitioned := c.notHome("llm", "a")
			c.network.Isolate(partitioned.Address)
			for _, b := range brokers {
				b.target = c.home("llm", "a")
			}
			brokers[0].instance.State = nodepb.InstanceState_DRAINING
			brokers[1].instance.Models[0].Version = 2
			brokers[2].deregister(c.home("llm", "a"))
			brokers[2].stopped = true
			brokers[3].stopped = true
			c.network.Run(6 * time.Second)
			c.network.HealAll(partitioned.Address)
			c.within(2500*time.Millisecond, "repaired", c.sameTables)
			table := partitioned.registry.Table().ByID
			assert.Equal(t, table[brokers[0].id()].State, Draining)
			assert.Equal(t, table[brokers[1].id()].Versions["m"], uint64(2))
			assert.Assert(t, table[brokers[2].id()] == nil)
			assert.Assert(t, table[brokers[3].id()].Unresponsive)
		})
	}
}

// After any sequence of faults all nodes agree with one another and with the brokers.
func TestNodesConvergeAfterRandomFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		loss := 0.05 * float64(seed%2)
		t.Run(fmt.Sprintf("%d with loss %v", seed, loss), func(t *testing.T) {
			c := newCluster(t, seed, 9, "a", "b", "c")
			brokers := append(c.startBrokers("llm", "a", 6), c.startBrokers("pdf", "b", 4)...)
			c.network.Run(3 * time.Second)
			c.network.Loss, c.network.Duplicate, c.network.MaxDelay = loss, 0.05, 30*time.Millisecond
			for range 20 {
				c.injectRandomFault(brokers)
				c.network.Run(time.Second)
			}
			c.network.Loss, c.network.Duplicate = 0, 0
			for _, node := range c.nodes {
				c.network.HealAll(node.Address)
				if !node.Running() {
					node.Thaw()
				}
			}
			c.publishMembers()
			c.network.Run(15 * time.Second)
			assert.Assert(t, c.sameTables())
			for _, b := range brokers {
				c.checkBroker(b)
			}
		})
	}
}

func (c *cluster) checkBroker(b *broker) {
	c.t.Helper()
	switch {
	case b.instance.State == nodepb.InstanceState_GONE:
		assert.Assert(c.t, c.nobodyHas(b.id()), "%s has gone", b.id())
	case !b.stopped:
		assert.Assert(c.t, c.everyoneHas(b.id(), func(i *Instance) bool {
			return !i.Unresponsive && i.State == State(b.instance.State) && i.Versions["m"] == b.instance.Models[0].Version
		}), "%s is there", b.id())
	}
}

func (c *cluster) injectRandomFault(brokers []*broker) {
	random := c.network.Random
	node := c.nodes[random.IntN(len(c.nodes))]
	b := brokers[random.IntN(len(brokers))]
	switch random.IntN(7) {
	case 0:
		node.Freeze()
		node.recordFault(c)
		c.network.After(time.Duration(random.IntN(5000))*time.Millisecond, func() { node.Thaw(); node.recordFault(c) })
	case 1:
		c.network.Isolate(node.Address)
		node.recordFault(c)
		c.network.After(time.Duration(random.IntN(5000))*time.Millisecond, func() {
			c.network.HealAll(node.Address)
			node.recordFault(c)
		})
	case 2:
		c.publishMembers(node)
	case 3:
		c.publishMembers()
	case 4:
		if b.instance.State == nodepb.InstanceState_READY {
			b.instance.State = nodepb.InstanceState_DRAINING
		}
	case 5:
		b.instance.Models = []*nodepb.ModelOnInstance{{Name: "m", Version: b.instance.Models[0].Version + 1}}
	case 6:
		b.shutDown()
	}
}

// recordFault records that a fault of the node begins or ends.
func (n *clusterNode) recordFault(c *cluster) { n.lastFaultAt = c.network.Now() }

// inTouch reports whether the node has been without a fault for contactMs (RULES.md, "In touch").
func (c *cluster) inTouch(node *clusterNode) bool {
	return node.Running() && !c.network.Isolated(node.Address) && c.network.Now()-node.lastFaultAt >= 3*time.Second
}

// checkDrains checks RULES.md, DRAIN: drainMs after a node in touch acknowledged that a broker
// leaves, no node in touch would send it a request. Nodes whose messages get lost are not in touch.
func (c *cluster) checkDrains(acknowledged string) {
	if c.network.Loss > 0 {
		return
	}
	c.network.After(2*time.Second, func() {
		for _, node := range c.nodes {
			instance := node.registry.Table().ByID[acknowledged]
			if c.inTouch(node) && instance != nil && instance.State == Ready {
				c.t.Fatalf("%s would send %s a request", node.ID, acknowledged)
			}
		}
	})
}

// shutDown deregisters a draining broker as PROTOCOL.md describes: the call is repeated until it is
// acknowledged.
func (b *broker) shutDown() {
	if b.instance.State != nodepb.InstanceState_DRAINING || b.stopped {
		return
	}
	b.stopped = true
	b.instance.State = nodepb.InstanceState_GONE
	b.sendDeregistration()
}

func (b *broker) sendDeregistration() {
	node := b.cluster.nodes[b.cluster.network.Random.IntN(len(b.cluster.nodes))]
	request := uint64(0)
	if node.Running() {
		request = b.deregister(node)
	}
	b.cluster.network.After(time.Second, func() {
		if !node.answers[request].Accepted {
			b.sendDeregistration()
		}
	})
}

// What an idle node sends depends neither on the number of brokers nor on that of the nodes.
func TestIdleTrafficIsIndependentOfFleetSize(t *testing.T) {
	const span = 20 * time.Second
	rates := map[int]float64{}
	for _, nodes := range []int{10, 60} {
		c := newCluster(t, 1, nodes, "a", "b", "c")
		c.startBrokers("llm", "a", 3*nodes)
		c.network.Run(10 * time.Second)
		before := 0
		for _, node := range c.nodes {
			before += node.SentBytes
		}
		c.network.Run(span)
		after := 0
		for _, node := range c.nodes {
			after += node.SentBytes
		}
		rates[nodes] = float64(after-before) / float64(nodes) / span.Seconds()
		t.Logf("%d nodes, %d brokers: %.0f bytes a second and node", nodes, 3*nodes, rates[nodes])
	}
	assert.Assert(t, rates[10] < 200)
	assert.Assert(t, rates[60] < 200)
}
