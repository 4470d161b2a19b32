package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reachLimit is how long a change may take to every node in touch, also if its upstreams freeze one
// after the other. RULES.md, CONFIG, allows configApplyMs (2 s).
const reachLimit = 1300 * time.Millisecond

// Whatever faults other nodes have, a change reaches every node in touch, no node takes its state for
// fresher than it is, and none goes back. The last two are checked at each step.
func TestCommitsReachNodesInTouchDespiteFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, 24, 3, "a", "b", "c")
			c.network.Duplicate, c.network.MaxDelay = 0.05, 10*time.Millisecond
			c.network.Run(4 * time.Second)
			for range 30 {
				c.injectProxyFault()
				c.network.Run(time.Duration(c.network.Random.IntN(1000)) * time.Millisecond)
				c.commitChecked()
			}
			c.endFaults()
			c.within(2*time.Second, "all hold the last change", c.reached(30))
			c.network.Run(6 * time.Second)
			for _, node := range c.nodes {
				assert.Assert(t, node.age() < 2*time.Second, "%s: %v", node.ID, node.age())
			}
		})
	}
}

// commitChecked commits a change and checks later that the nodes in touch hold it.
func (c *cluster) commitChecked() {
	index := c.commit()
	c.network.After(reachLimit, func() {
		for _, node := range c.nodes {
			if c.inTouch(node) && node.state.index < index {
				c.t.Fatalf("%s holds %d, %v after %d was committed", node.ID, node.state.index, reachLimit, index)
			}
		}
	})
}

// inTouch reports whether the node has been without a fault for contactMs (RULES.md, "In touch").
func (c *cluster) inTouch(node *clusterNode) bool {
	return node.Running() && !c.network.Isolated(node.Address) && c.network.Now()-node.lastFaultAt >= 3*time.Second
}

func (c *cluster) injectProxyFault() {
	node := c.nodes[c.coreSize+c.network.Random.IntN(len(c.nodes)-c.coreSize)]
	span := time.Duration(c.network.Random.IntN(5000)) * time.Millisecond
	node.lastFaultAt = c.network.Now()
	recovered := func() { node.lastFaultAt = c.network.Now() }
	switch c.network.Random.IntN(4) {
	case 0:
		node.Freeze()
		c.network.After(span, func() { node.Thaw(); recovered() })
	case 1:
		c.network.Isolate(node.Address)
		c.network.After(span, func() { c.network.HealAll(node.Address); recovered() })
	case 2:
		c.publishMembersWithout(node)
	case 3:
		c.publishMembers()
	}
}

func (c *cluster) endFaults() {
	for _, node := range c.nodes {
		if c.network.Isolated(node.Address) || !node.Running() {
			node.lastFaultAt = c.network.Now()
		}
	}
	for _, node := range c.nodes {
		c.network.HealAll(node.Address)
		if !node.Running() {
			node.Thaw()
		}
	}
	c.publishMembers()
}

// With faults of the core as well, and losses, no node takes its state for fresher than it is or goes
// back, and in the end all agree.
func TestNodesConvergeAfterCoreFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, 16, 4, "a", "b", "c")
			c.network.Loss, c.network.Duplicate, c.network.MaxDelay = 0.05, 0.1, 80*time.Millisecond
			c.network.Run(4 * time.Second)
			for range 30 {
				c.injectProxyFault()
				c.changeChain()
				c.network.Run(time.Duration(c.network.Random.IntN(1500)) * time.Millisecond)
				if c.tail().Running() {
					c.commit()
				}
			}
			c.network.Loss = 0
			c.endFaults()
			c.publishView()
			last := c.commit()
			c.within(3*time.Second, "all hold the last change", c.reached(last))
			c.network.Run(8 * time.Second)
			for _, node := range c.nodes {
				assert.Assert(t, node.age() < 2*time.Second, "%s: %v", node.ID, node.age())
				assert.Equal(t, node.distribution.View().Epoch, c.epoch)
			}
		})
	}
}

// changeChain freezes a machine of the core and agrees on a chain without it, or brings it back at the end.
func (c *cluster) changeChain() {
	machine := c.nodes[c.network.Random.IntN(4)]
	if !machine.Running() {
		machine.Thaw()
		c.rejoinChain(machine)
		return
	}
	if len(c.chain) < 3 {
		return
	}
	machine.Freeze()
	var rest []*clusterNode
	for _, member := range c.chain {
		if member != machine {
			rest = append(rest, member)
		}
	}
	c.chain = rest
	c.publishView()
}

// rejoinChain brings a machine up to the committed state and appends it to the chain.
func (c *cluster) rejoinChain(machine *clusterNode) {
	machine.install(uint64(len(c.committedAt)))
	c.chain = append(c.chain, machine)
	c.publishView()
}

// A tail that is partitioned from the rest of the core does not know so at once, nor do the nodes that
// poll it. A change that the other machines commit must reach these in time all the same.
func TestCommitReachesClientsOfPartitionedTail(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 12, 4, "a", "b", "c", "d")
		for _, node := range c.nodes {
			node.distribution.options.ConfirmationAge = ConfirmationAgeForChanges
		}
		c.network.Run(5 * time.Second)
		former := c.tail()
		c.network.Run(time.Duration(c.network.Random.IntN(700)) * time.Millisecond)
		for _, node := range c.chain[:len(c.chain)-1] {
			c.network.Partition(former.Address, node.Address)
		}
		c.coreDown = true                      // no barrier passes all members
		c.network.Run(1300 * time.Millisecond) // then the others agree on a chain without it
		c.coreDown = false
		c.chain = c.chain[:len(c.chain)-1]
		c.publishView()
		index := c.commit()
		c.within(time.Second, "all in touch hold the change", c.reached(index, former))
	}
}
