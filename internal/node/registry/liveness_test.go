package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// startBrokers starts brokers of one service that send heartbeats.
func (c *cluster) startBrokers(service, zone string, count int) []*broker {
	var brokers []*broker
	for number := range count {
		b := c.broker(fmt.Sprintf("%s-%d", service, number), service, zone)
		b.target = c.nodes[number%len(c.nodes)]
		c.network.After(time.Duration(c.network.Random.Int64N(int64(testHeartbeat))), b.sendHeartbeats)
		brokers = append(brokers, b)
	}
	return brokers
}

func (b *broker) id() string { return b.instance.Id }

// A crashed broker is marked after the heartbeat timeout, and dropped after unresponsiveRetention.
func TestCrashedBrokerBecomesUnresponsiveAndIsDropped(t *testing.T) {
	c := newCluster(t, 1, 6, "a", "b")
	brokers := c.startBrokers("llm", "a", 5)
	c.network.Run(5 * time.Second)
	brokers[0].stopped = true
	c.network.Run(2 * time.Second)
	assert.Assert(t, c.everyoneHas(brokers[0].id(), responsive), "marked too soon")
	c.within(3*time.Second, "marked everywhere", func() bool { return c.everyoneHas(brokers[0].id(), unresponsive) })
	c.network.Run(20 * time.Second)
	assert.Assert(t, c.everyoneHas(brokers[0].id(), unresponsive))
	c.within(10*time.Second, "dropped", func() bool { return c.nobodyHas(brokers[0].id()) })
	for _, b := range brokers[1:] {
		assert.Assert(t, c.everyoneHas(b.id(), responsive))
	}
}

func TestRecoveredBrokerIsResponsiveEverywhere(t *testing.T) {
	c := newCluster(t, 2, 6, "a", "b")
	b := c.startBrokers("llm", "a", 1)[0]
	c.network.Run(3 * time.Second)
	b.stopped = true
	c.within(6*time.Second, "marked everywhere", func() bool { return c.everyoneHas(b.id(), unresponsive) })
	b.heartbeat(c.nodes[3])
	c.within(200*time.Millisecond, "cleared everywhere", func() bool { return c.everyoneHas(b.id(), responsive) })
}

// If most of a service times out at once, the fault is likely the home's own.
func TestSelfPreservationDelaysMassTimeout(t *testing.T) {
	c := newCluster(t, 3, 6, "a")
	brokers := c.startBrokers("llm", "a", 6)
	c.network.Run(5 * time.Second)
	for _, b := range brokers[:4] {
		b.stopped = true
	}
	c.network.Run(10 * time.Second)
	for _, b := range brokers {
		assert.Assert(t, c.everyoneHas(b.id(), responsive))
	}
	c.within(10*time.Second, "marked after self-preservation", func() bool { return c.everyoneHas(brokers[0].id(), unresponsive) })
	assert.Assert(t, c.everyoneHas(brokers[5].id(), responsive))
}

// Two of two brokers may well crash at the same time.
func TestSmallServiceHasNoSelfPreservation(t *testing.T) {
	c := newCluster(t, 4, 6, "a")
	brokers := c.startBrokers("pdf", "a", 2)
	c.network.Run(5 * time.Second)
	brokers[0].stopped, brokers[1].stopped = true, true
	c.within(6*time.Second, "both marked", func() bool {
		return c.everyoneHas(brokers[0].id(), unresponsive) && c.everyoneHas(brokers[1].id(), unresponsive)
	})
}

// Brokers that send heartbeats are never marked, whatever fault their home has.
func TestFaultyHomeMarksNoHealthyBroker(t *testing.T) {
	faults := map[string]func(c *cluster, home *clusterNode){
		"frozen": func(c *cluster, home *clusterNode) {
			home.Freeze()
			c.network.After(6*time.Second, home.Thaw)
		},
		"killed": func(c *cluster, home *clusterNode) {
			home.Kill()
			c.network.After(3*time.Second, func() { c.publishMembers() })
		},
		"frozen and dropped": func(c *cluster, home *clusterNode) {
			home.Freeze()
			c.network.After(3*time.Second, func() { c.publishMembers() })
			c.network.After(8*time.Second, func() { home.Thaw(); c.publishMembers() })
		},
		"partitioned and dropped": func(c *cluster, home *clusterNode) {
			c.network.Isolate(home.Address)
			c.network.After(3*time.Second, func() { c.publishMembers(home) })
			c.network.After(8*time.Second, func() { c.network.HealAll(home.Address); c.publishMembers() })
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 8, "a", "b")
			brokers := c.startBrokers("llm", "a", 6)
			c.network.Run(5 * time.Second)
			home := c.home("llm", "a")
			inject(c, home)
			for range 200 {
				c.network.Run(100 * time.Millisecond)
				for _, b := range brokers {
					for _, node := range c.nodes {
						if !node.Running() || node == home {
							continue
						}
						instance := node.registry.Table().ByID[b.id()]
						assert.Assert(t, instance != nil && instance.State == Ready, "%s lost %s", node.ID, b.id())
					}
				}
			}
			c.network.Run(5 * time.Second)
			for _, b := range brokers {
				assert.Assert(t, c.everyoneHas(b.id(), responsive), b.id())
			}
		})
	}
}

// A node that receives a broker's heartbeats refutes that it is unresponsive.
func TestFalseTimeoutIsRefuted(t *testing.T) {
	c := newCluster(t, 6, 4, "a")
	b := c.startBrokers("llm", "a", 1)[0]
	c.network.Run(4 * time.Second)
	home := c.home("llm", "a")
	claim := home.registry.records[b.id()].message(home.Now())
	claim.SinceHeartbeatMs = 4000
	for _, node := range c.nodes {
		update := &nodepb.InstanceUpdate{Nonce: 1, Instances: []*nodepb.Instance{claim}}
		node.registry.receiveUpdate(node.Now(), peerIn("node-x"), update)
	}
	assert.Assert(t, responsive(home.registry.Table().ByID[b.id()]))
	c.within(200*time.Millisecond, "refuted", func() bool { return c.everyoneHas(b.id(), responsive) })
}
