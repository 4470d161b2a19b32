package registry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// PROTOCOL.md, "Service discovery": a heartbeat is acknowledged within a second, and may name an address for later
// ones; the broker is then known everywhere.
func TestNewBrokerReachesEveryNode(t *testing.T) {
	for name, faults := range networkFaults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 10, "a", "b")
			faults(c)
			b := c.broker("1", "llm", "a")
			node := c.notHome("llm", "a")
			request := b.heartbeat(node)
			c.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Equal(t, node.answers[request].HeartbeatURL, c.home("llm", "a").member.ControlAddress)
			c.within(3*time.Second, "all know the broker", func() bool { return c.everyoneHas("1", ready) })
		})
	}
}

var networkFaults = map[string]func(c *cluster){
	"calm":       func(*cluster) {},
	"loss":       func(c *cluster) { c.network.Loss = 0.1 },
	"duplicates": func(c *cluster) { c.network.Duplicate = 0.5 },
	"delays":     func(c *cluster) { c.network.MaxDelay = 60 * time.Millisecond },
}

// RULES.md, DRAIN: after the acknowledgement no node in touch sends the broker requests.
func TestDrainingReachesEveryNodeBeforeAcknowledgement(t *testing.T) {
	for name, faults := range networkFaults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 10, "a", "b")
			b := c.broker("1", "llm", "a")
			b.heartbeat(c.nodes[0])
			c.network.Run(2 * time.Second)
			faults(c)
			b.instance.State = nodepb.InstanceState_DRAINING
			node := c.notHome("llm", "a")
			request := b.heartbeat(node)
			c.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Assert(t, c.everyoneHas("1", draining), "acknowledged before all know it")

			request = b.deregister(node)
			c.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Assert(t, c.nobodyHas("1"), "acknowledged before all know that it ends")
		})
	}
}

// A call whose answer was lost is repeated, to any node.
func TestRepeatedDrainingIsAcknowledgedAtOnce(t *testing.T) {
	c := newCluster(t, 3, 6, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	b.instance.State = nodepb.InstanceState_DRAINING
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	for _, node := range c.nodes {
		request := b.heartbeat(node)
		c.within(50*time.Millisecond, "an answer", func() bool { return node.answers[request].Accepted })
	}
}

func TestAnotherNodeAnswersForFrozenHome(t *testing.T) {
	for _, state := range []nodepb.InstanceState{nodepb.InstanceState_READY, nodepb.InstanceState_DRAINING} {
		t.Run(state.String(), func(t *testing.T) {
			c := newCluster(t, 4, 8, "a", "b")
			b := c.broker("1", "llm", "a")
			b.heartbeat(c.nodes[0])
			c.network.Run(time.Second)
			c.home("llm", "a").Freeze()
			b.instance.State = state
			b.instance.Slots = 9
			node := c.notHome("llm", "a")
			request := b.heartbeat(node)
			c.within(950*time.Millisecond, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Assert(t, node.answers[request].HeartbeatURL != c.home("llm", "a").member.ControlAddress)
			c.within(time.Second, "all know", func() bool {
				return c.everyoneHas("1", func(i *Instance) bool { return i.Slots == 9 && i.State == State(state) })
			})
			// The next call does not wait for the frozen home again; the node in its place may wait
			// for its acknowledgement.
			request = b.heartbeat(node)
			c.within(ackTimeout+50*time.Millisecond, "an answer", func() bool { return node.answers[request].Accepted })
		})
	}
}

func TestAcknowledgedDrainingSurvivesHomeCrash(t *testing.T) {
	c := newCluster(t, 5, 5, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	home := c.home("llm", "a")
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.heartbeat(home)
	c.within(time.Second, "an answer", func() bool { return home.answers[request].Accepted })
	home.Kill()
	c.publishMembers()
	c.network.Run(time.Second)
	fresh := c.start()
	c.publishMembers()
	c.within(300*time.Millisecond, "a fresh node knows it", func() bool { return fresh.registry.Table().ByID["1"] != nil })
	assert.Assert(t, c.everyoneHas("1", draining))
}

// A broadcast that no other node acknowledges is not answered with an acceptance, so that the broker
// calls a node that is in touch.
func TestPartitionedNodeAcknowledgesNoDraining(t *testing.T) {
	c := newCluster(t, 6, 5, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	home := c.home("llm", "a")
	c.network.Isolate(home.Address)
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.heartbeat(home)
	c.within(time.Second, "an answer", func() bool { return !home.answers[request].Accepted && home.answers[request].at > 0 })
	// Losing sight of the others doesn't change that.
	home.setMembers([]*nodepb.Member{home.member})
	request = b.heartbeat(home)
	c.within(time.Second, "an answer", func() bool { return home.answers[request].at > 0 })
	assert.Assert(t, !home.answers[request].Accepted)
}

// TestDrainingNeedsAMajorityOfTheVoters: a part of the fleet with one of three voters acknowledges no draining, though another
// node of that part holds it: the part that serves on would use the broker for longer than drainMs. The other part does.
func TestDrainingNeedsAMajorityOfTheVoters(t *testing.T) {
	c := newCluster(t, 9, 6, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	home := c.home("llm", "a")
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(n *clusterNode) bool { return n == home })
	voters := []string{home.Address, others[0].Address, others[1].Address}
	minority, majority := []*clusterNode{home, others[2]}, []*clusterNode{others[0], others[1], others[3], others[4]}
	for _, n := range c.nodes {
		n.registry.SetVoters(voters)
	}
	for _, one := range minority {
		for _, other := range majority {
			c.network.Partition(one.Address, other.Address)
		}
	}
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.heartbeat(home)
	c.within(time.Second, "an answer", func() bool { return home.answers[request].at > 0 })
	assert.Assert(t, !home.answers[request].Accepted)

	var members []*nodepb.Member
	for _, n := range majority {
		members = append(members, n.member)
	}
	for _, n := range majority {
		n.setMembers(members)
	}
	request = b.heartbeat(majority[0])
	c.within(time.Second, "an answer", func() bool { return majority[0].answers[request].at > 0 })
	assert.Assert(t, majority[0].answers[request].Accepted)
}

func TestSoleNodeAcknowledgesByItself(t *testing.T) {
	c := newCluster(t, 7, 1, "a")
	b := c.broker("1", "llm", "a")
	assert.Assert(t, c.nodes[0].answers[b.heartbeat(c.nodes[0])].Accepted)
	b.instance.State = nodepb.InstanceState_DRAINING
	assert.Assert(t, c.nodes[0].answers[b.heartbeat(c.nodes[0])].Accepted)
	assert.Assert(t, c.nodes[0].answers[b.deregister(c.nodes[0])].Accepted)
	assert.Assert(t, c.nobodyHas("1"))
}

// Suspects are not waited for, as they are not in touch.
func TestSuspectDelaysNoAnswer(t *testing.T) {
	c := newCluster(t, 8, 5, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	frozen := c.notHome("llm", "a")
	home := c.home("llm", "a")
	frozen.Freeze()
	members := c.members()
	suspected := copyMember(frozen.member)
	suspected.State = nodepb.MemberState_SUSPECT
	for _, node := range c.nodes {
		if node.Running() {
			node.setMembers(append(members, suspected))
		}
	}
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.heartbeat(home)
	c.within(50*time.Millisecond, "an answer", func() bool { return home.answers[request].Accepted })
}
