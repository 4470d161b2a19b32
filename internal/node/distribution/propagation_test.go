package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var zones = []string{"a", "b", "c", "d"}

// docs/design/system.md, "Distribution": a change is pushed to every node; RULES.md, CONFIG: within configApplyMs (2 s).
func TestCommitReachesAllNodesAtOnce(t *testing.T) {
	for _, nodes := range []int{1, 3, 10, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(t, 1, nodes, min(nodes, 4), zones...)
			c.network.Run(3 * time.Second)
			index := c.commit()
			c.within(50*time.Millisecond, "all hold the change", c.reached(index))
			for _, node := range c.nodes {
				assert.Equal(t, node.changes, 1, node.ID)
			}
		})
	}
}

func TestCommitReachesAllNodesDespiteLossAndDelays(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, 40, 4, zones...)
			c.network.Loss = 0.1
			c.network.Duplicate = 0.1
			c.network.MaxDelay = 50 * time.Millisecond
			c.network.Run(3 * time.Second)
			for range 20 {
				c.commit()
				c.network.Run(100 * time.Millisecond)
			}
			c.within(2*time.Second, "all hold the last change", c.reached(20))
		})
	}
}

// A home that has just frozen delays a change by less than a second.
func TestFrozenHomeIsDemoted(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, 100, 4, zones...)
			c.network.Run(3*time.Second + time.Duration(seed)*50*time.Millisecond)
			c.zoneHome("b").Freeze()
			c.zoneHome("c").Kill()
			c.network.Run(time.Millisecond)
			index := c.commit()
			c.within(900*time.Millisecond, "all hold the change", c.reached(index))
			// The next change goes by the new upstreams at once.
			c.network.Run(500 * time.Millisecond)
			index = c.commit()
			c.within(100*time.Millisecond, "all hold the next change", c.reached(index))
		})
	}
}

func TestNodesReturnToBestUpstream(t *testing.T) {
	c := newCluster(t, 3, 20, 3, zones...)
	c.network.Run(3 * time.Second)
	home := c.zoneHome("d")
	home.Freeze()
	c.network.Run(4 * time.Second)
	home.Thaw()
	c.network.Run(10 * time.Second)
	for _, node := range c.nodes {
		order := node.distribution.orderCandidates(node.Now())
		for at, candidate := range node.distribution.candidates {
			assert.Equal(t, order[at], candidate, node.ID)
		}
	}
}

func TestCrashedTailIsDemoted(t *testing.T) {
	c := newCluster(t, 4, 40, 4, zones...)
	c.network.Run(3 * time.Second)
	c.commit()
	c.network.Run(time.Second)
	c.tail().Kill()
	c.network.Run(1500 * time.Millisecond)
	c.chain = c.chain[:3]
	c.publishView()
	index := c.commit()
	c.within(900*time.Millisecond, "all hold the change", c.reached(index))
	c.network.Run(4 * time.Second)
	for _, node := range c.nodes {
		if node.Running() {
			assert.Assert(t, node.age() < 2*time.Second, "%s: %v", node.ID, node.age())
			assert.Equal(t, node.distribution.View().Epoch, c.epoch)
		}
	}
}

// A partitioned node keeps its state, reports its age, and catches up after the partition.
func TestPartitionedNodeCatchesUp(t *testing.T) {
	for _, changes := range []int{1, 20, 500} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			c := newCluster(t, 5, 10, 3, zones...)
			c.network.Run(3 * time.Second)
			partitioned := c.nodes[7]
			c.network.Isolate(partitioned.Address)
			for range changes {
				c.commit()
				c.network.Run(10 * time.Millisecond)
			}
			c.network.Run(5 * time.Second)
			assert.Equal(t, partitioned.state.index, uint64(0))
			assert.Assert(t, partitioned.age() >= 5*time.Second)
			c.network.HealAll(partitioned.Address)
			c.within(900*time.Millisecond, "it holds the last change", c.reached(uint64(changes)))
			c.network.Run(2 * time.Second)
			assert.Assert(t, partitioned.age() < 2*time.Second)
		})
	}
}

// A home that is partitioned from the core, but not from its zone, is demoted as well.
func TestHomePartitionedFromCoreIsDemoted(t *testing.T) {
	c := newCluster(t, 6, 40, 3, zones...)
	c.network.Run(3 * time.Second)
	home := c.zoneHome("d")
	for _, node := range c.nodes {
		if node.member.Zone != "d" {
			c.network.Partition(home.Address, node.Address)
		}
	}
	c.network.Run(6 * time.Second)
	index := c.commit()
	c.within(900*time.Millisecond, "the others hold the change", c.reached(index, home))
	for _, node := range c.nodes {
		if node != home {
			assert.Assert(t, node.age() < node.distribution.staleAge()+time.Second, "%s: %v", node.ID, node.age())
		}
	}
}

// A tail that is partitioned from the chain, but not from the proxies, delays none of them for long.
func TestTailPartitionedFromChainIsDemoted(t *testing.T) {
	c := newCluster(t, 10, 40, 4, zones...)
	c.network.Run(3 * time.Second)
	former := c.tail()
	for _, node := range c.chain[:3] {
		c.network.Partition(former.Address, node.Address)
	}
	c.network.Run(1500 * time.Millisecond)
	c.chain = c.chain[:3]
	c.publishView()
	c.network.Run(500 * time.Millisecond)
	index := c.commit()
	c.within(900*time.Millisecond, "the others hold the change", c.reached(index, former))
}

func TestFreshNodeCatchesUp(t *testing.T) {
	for _, changes := range []int{0, 1, 300} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			c := newCluster(t, 7, 10, 3, zones...)
			for range changes {
				c.commit()
			}
			c.network.Run(3 * time.Second)
			fresh := c.add(10, "c", false)
			// It is confirmed through the seeds, before it knows any member.
			c.within(500*time.Millisecond, "a confirmed state", func() bool {
				_, confirmed := fresh.distribution.ConfirmedAt()
				return confirmed && fresh.state.index == uint64(changes)
			})
			c.publishMembers()
			c.network.Run(time.Second)
			index := c.commit()
			c.within(50*time.Millisecond, "all hold the change", c.reached(index))
		})
	}
}

// Ages add up along the hops, and stay within what a revocation needs (RULES.md, revokeMs 5 s).
func TestConfirmationAgesStayBounded(t *testing.T) {
	c := newCluster(t, 8, 100, 4, zones...)
	c.network.Run(4 * time.Second)
	for range 100 {
		c.network.Run(37 * time.Millisecond)
		for _, node := range c.nodes {
			assert.Assert(t, node.age() < 2500*time.Millisecond, "%s: %v", node.ID, node.age())
		}
	}
	// If the core confirms nothing any more, the ages grow.
	c.coreDown = true
	c.network.Run(5 * time.Second)
	for _, node := range c.nodes {
		assert.Assert(t, node.age() >= 5*time.Second, node.ID)
	}
	c.coreDown = false
	c.network.Run(3 * time.Second)
	for _, node := range c.nodes {
		assert.Assert(t, node.age() < 2500*time.Millisecond, "%s: %v", node.ID, node.age())
	}
}

// What an idle node sends doesn't grow with the fleet.
func TestIdleTrafficIsIndependentOfFleetSize(t *testing.T) {
	const span = 10 * time.Second
	rates := map[int]float64{}
	for _, nodes := range []int{10, 100} {
		c := newCluster(t, 9, nodes, 4, zones...)
		c.commit()
		c.network.Run(5 * time.Second)
		before := make([]int, len(c.nodes))
		for at, node := range c.nodes {
			before[at] = node.SentBytes
		}
		c.network.Run(span)
		busiestBytes, totalBytes := 0, 0
		for at, node := range c.nodes {
			sent := node.SentBytes - before[at]
			busiestBytes = max(busiestBytes, sent)
			totalBytes += sent
		}
		rates[nodes] = float64(totalBytes) / float64(nodes) / span.Seconds()
		busiest := float64(busiestBytes) / span.Seconds()
		t.Logf("%d nodes: %.0f bytes a second each, the busiest %.0f", nodes, rates[nodes], busiest)
		assert.Assert(t, busiest < 4000)
	}
	assert.Assert(t, rates[100] < 1.5*rates[10])
}
