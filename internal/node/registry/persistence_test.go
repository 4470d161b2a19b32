package registry

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// leavingDisk is the disk of a node, as far as it keeps leaving brokers. It outlives the processes.
type leavingDisk struct {
	saved   map[string]*nodepb.Instance
	delay   time.Duration // of a write
	refuses bool          // writes fail
	hangs   bool          // writes never end
	writes  int
}

func newLeavingDisk() *leavingDisk {
	return &leavingDisk{saved: map[string]*nodepb.Instance{}, delay: 2 * time.Millisecond}
}

// save performs a write of the node after the disk's delay, unless the node is killed before.
func (d *leavingDisk) save(n *clusterNode, write core.SaveLeaving) {
	d.writes++
	if d.hangs {
		return
	}
	n.cluster.network.After(d.delay, func() {
		if !n.Running() {
			return
		}
		var err error
		if d.refuses {
			err = errors.New("no space left on device")
		} else {
			for _, instance := range write.Instances {
				d.saved[instance.Id] = instance
			}
		}
		n.Do(func(now core.Time) []core.Output { return n.registry.LeavingSaved(now, write.Token, err) })
	})
}

// restartAll kills all processes at one moment and starts them again at their addresses. Each then has
// the copy that it saved earlier, and what its disk has of leaving brokers.
func (c *cluster) restartAll(copies []*nodepb.Instance) {
	c.t.Helper()
	former := c.nodes
	for _, node := range former {
		node.Kill()
	}
	c.nodes = nil
	for number := range former {
		node := c.startAt(number)
		node.disk = former[number].disk
		node.registry.SetVoters(c.voters)
		if disk := node.disk; disk != nil {
			node.Do(func(now core.Time) []core.Output {
				return append(node.registry.RestoreLeaving(now, disk.list()), node.registry.Restore(now, copies)...)
			})
		}
	}
	c.publishMembers()
}

func (d *leavingDisk) list() []*nodepb.Instance {
	var list []*nodepb.Instance
	for _, instance := range d.saved {
		list = append(list, instance)
	}
	sortByID(list)
	return list
}

// leavingCalls are the two ways in which a broker leaves.
var leavingCalls = map[string]func(b *broker, node *clusterNode) uint64{
	"draining": func(b *broker, node *clusterNode) uint64 {
		b.instance.State = nodepb.InstanceState_DRAINING
		return b.heartbeat(node)
	},
	"deregistration": func(b *broker, node *clusterNode) uint64 { return b.deregister(node) },
}

// TestAcknowledgedLeavingSurvivesAllProcesses guards against DRAIN: all processes are killed as soon as a draining or
// deregistration is acknowledged, and their disks still hold an older copy that shows the broker as ready.
func TestAcknowledgedLeavingSurvivesAllProcesses(t *testing.T) {
	for name, leave := range leavingCalls {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := newCluster(t, seed, 6, "a", "b")
				b := c.broker("1", "llm", "a")
				b.heartbeat(c.nodes[0])
				c.network.Run(time.Second)
				copies := c.nodes[0].registry.Instances()
				assert.Equal(t, len(copies), 1)
				node := c.nodes[int(seed)%len(c.nodes)]
				request := leave(b, node)
				c.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
				c.restartAll(copies)
				c.within(time.Second, "nobody uses it", func() bool {
					return c.all(func(n *clusterNode) bool {
						known := n.registry.Table().ByID["1"]
						return known == nil || !known.Usable()
					})
				})
				c.network.Run(2 * pollInterval)
				assert.Assert(t, c.all(func(n *clusterNode) bool {
					rec := n.registry.records["1"]
					return rec != nil && rec.state() != nodepb.InstanceState_READY
				}), "seed %d", seed)
			}
		})
	}
}

// TestLeavingIsAcknowledgedOnceAMajorityHasWritten: disks that refuse or hang delay the answer until a majority of the
// voters has written, and without a majority it is none.
func TestLeavingIsAcknowledgedOnceAMajorityHasWritten(t *testing.T) {
	const slow = 80 * time.Millisecond
	for name, test := range map[string]struct {
		spoil    func(disks []*leavingDisk)
		accepted bool
	}{
		"one hangs":    {func(disks []*leavingDisk) { disks[0].hangs = true }, true},
		"one refuses":  {func(disks []*leavingDisk) { disks[1].refuses = true }, true},
		"two hang":     {func(disks []*leavingDisk) { disks[0].hangs, disks[2].hangs = true, true }, false},
		"two refuse":   {func(disks []*leavingDisk) { disks[1].refuses, disks[2].refuses = true, true }, false},
		"all are slow": {func([]*leavingDisk) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 11, 5, "a")
			var disks []*leavingDisk
			for _, node := range c.nodes[:testVoters] {
				node.disk.delay = slow
				disks = append(disks, node.disk)
			}
			b := c.broker("1", "llm", "a")
			b.heartbeat(c.nodes[0])
			c.network.Run(time.Second)
			test.spoil(disks)
			node := c.notHome("llm", "a")
			askedAt := c.network.Now()
			request := b.deregister(node)
			c.within(time.Second, "an answer", func() bool { return node.answers[request].at > 0 })
			assert.Equal(t, node.answers[request].Accepted, test.accepted)
			if test.accepted {
				assert.Assert(t, c.network.Now()-askedAt >= slow, "acknowledged before a disk has it")
			}
			// All nodes know it in either case: nothing is sent to the broker.
			assert.Assert(t, c.nobodyHas("1"))
		})
	}
}

// TestFailedSaveIsRepeated until the disk takes it; the call is then acknowledged when it is repeated.
func TestFailedSaveIsRepeated(t *testing.T) {
	c := newCluster(t, 12, 5, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	for _, node := range c.nodes[:testVoters] {
		node.disk.refuses = true
	}
	node := c.notHome("llm", "a")
	request := b.deregister(node)
	c.network.Run(3 * time.Second)
	assert.Assert(t, !node.answers[request].Accepted)
	for _, voter := range c.nodes[:testVoters] {
		assert.Assert(t, voter.disk.writes <= 2+int(3*time.Second/saveRetryInterval), "%d writes to a disk that refuses", voter.disk.writes)
		voter.disk.refuses = false
	}
	request = b.deregister(node)
	c.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
}

// TestVotersCountOnceTheyHaveWritten: one that will write does not count before; one of an older version, which never does, counts as it
// did, so that brokers are acknowledged while a fleet is upgraded.
func TestVotersCountOnceTheyHaveWritten(t *testing.T) {
	willPersist, persisted := &nodepb.InstanceUpdateAck{WillPersist: true}, &nodepb.InstanceUpdateAck{Persisted: true}
	older := &nodepb.InstanceUpdateAck{}
	for name, test := range map[string]struct {
		acks     []*nodepb.InstanceUpdateAck // of the voters in turn
		accepted bool
	}{
		"none has written":            {[]*nodepb.InstanceUpdateAck{willPersist, willPersist, willPersist}, false},
		"one has written":             {[]*nodepb.InstanceUpdateAck{persisted, willPersist, willPersist}, false},
		"two have written":            {[]*nodepb.InstanceUpdateAck{persisted, willPersist, persisted}, true},
		"all are older":               {[]*nodepb.InstanceUpdateAck{older, older, older}, true},
		"one is older, none written":  {[]*nodepb.InstanceUpdateAck{older, willPersist, willPersist}, false},
		"one is older, one written":   {[]*nodepb.InstanceUpdateAck{older, willPersist, persisted}, true},
		"two are older, none written": {[]*nodepb.InstanceUpdateAck{older, older, willPersist}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, nonce := leavingAtHomeOfThreeVoters()
			accepted := false
			for i, ack := range test.acks {
				host := string(rune('2' + i))
				outputs := r.Receive(time.Second, core.Peer{NodeID: host, Address: "10.0.0." + host + ":7000"}, &nodepb.Envelope{
					Body: &nodepb.Envelope_InstanceUpdateAck{InstanceUpdateAck: &nodepb.InstanceUpdateAck{
						Nonce: nonce, Persisted: ack.Persisted, WillPersist: ack.WillPersist,
					}},
				})
				accepted = accepted || slices.Contains(outputs, core.Output(core.RegistryReply{Request: 1, Accepted: true}))
			}
			assert.Equal(t, accepted, test.accepted)
		})
	}
}

// leavingAtHomeOfThreeVoters returns a node without a disk that has broadcast a deregistration to three voters, and its nonce.
func leavingAtHomeOfThreeVoters() (*Registry, uint64) {
	r := New(0, Options{SelfID: "self", SelfAddress: "10.0.0.1:7000", Zone: "a"}, seededRandom())
	var members []*nodepb.Member
	var voters []string
	for _, host := range []string{"2", "3", "4"} {
		members = append(members, &nodepb.Member{NodeId: host, Address: "10.0.0." + host + ":7000", Zone: "b"})
		voters = append(voters, "10.0.0."+host+":7000")
	}
	r.SetVoters(voters)
	r.SetMembers(0, members)
	r.Heartbeat(0, 7, &nodepb.Instance{Id: "1", Service: "llm", Zone: "a", Sequence: 1})
	return r, nonceOfUpdate(r.Deregister(time.Second, 1, "1"))
}

// nonceOfUpdate returns the nonce of the broadcast among the outputs.
func nonceOfUpdate(outputs []core.Output) uint64 {
	for _, output := range outputs {
		if send, ok := output.(core.Send); ok && send.Message.GetInstanceUpdate() != nil {
			return send.Message.GetInstanceUpdate().Nonce
		}
	}
	return 0
}

// TestOneWriteTakesWhatWasLearnedDuringTheLast: a burst costs a disk few writes.
func TestOneWriteTakesWhatWasLearnedDuringTheLast(t *testing.T) {
	c := newCluster(t, 13, 3, "a")
	var brokers []*broker
	for i := range 200 {
		b := c.broker(string(rune('A'+i/26))+string(rune('a'+i%26)), "llm", "a")
		b.heartbeat(c.nodes[0])
		brokers = append(brokers, b)
	}
	c.network.Run(time.Second)
	for _, node := range c.nodes {
		node.disk.delay = 50 * time.Millisecond
	}
	for _, b := range brokers {
		b.deregister(c.nodes[0])
	}
	c.network.Run(400 * time.Millisecond)
	for _, node := range c.nodes {
		assert.Equal(t, len(node.disk.saved), len(brokers))
		assert.Assert(t, node.disk.writes <= 5, "%d writes", node.disk.writes)
	}
}

// TestSoleNodeAcknowledgesOnceItsDiskHasIt: it is the only voter of the view that it has formed.
func TestSoleNodeAcknowledgesOnceItsDiskHasIt(t *testing.T) {
	r := New(0, Options{SelfID: "self", SelfAddress: "10.0.0.1:7000", Zone: "a", PersistsLeaving: true}, seededRandom())
	r.SetVoters([]string{"10.0.0.1:7000"})
	outputs := r.Deregister(time.Second, 1, "1")
	assert.Equal(t, len(outputs), 1)
	write := outputs[0].(core.SaveLeaving)
	assert.DeepEqual(t, r.LeavingSaved(time.Second, write.Token, nil), []core.Output{core.RegistryReply{Request: 1, Accepted: true}})
}

// TestNodeWithoutAViewAcknowledgesNoLeaving, as it can't tell whether enough disks have it.
func TestNodeWithoutAViewAcknowledgesNoLeaving(t *testing.T) {
	c := newCluster(t, 14, 5, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	for _, node := range c.nodes {
		node.registry.SetVoters(nil)
	}
	c.requireRefused(c.nodes[0], b.deregister(c.nodes[0]))
}

// TestStartedNodeAcknowledgesNoLeaving guards against DRAIN: a node that has just been started, and knows no other because its
// seeds are down, acknowledged a draining or deregistration that nobody else heard of.
func TestStartedNodeAcknowledgesNoLeaving(t *testing.T) {
	for name, leave := range leavingCalls {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 15, 6, "a")
			b := c.broker("1", "llm", "a")
			b.heartbeat(c.nodes[0])
			c.network.Run(time.Second)
			started := c.startAt(len(c.nodes))
			c.requireRefused(started, leave(b, started))
			// It does not become one that may by waiting, either.
			c.network.Run(time.Minute)
			c.requireRefused(started, leave(b, started))
		})
	}
}

// TestNodeAloneForLongAcknowledgesNoLeaving guards against DRAIN: a voter that was cut off from all others for half a minute
// acknowledged a deregistration by itself, which the others never heard of while the cut lasted.
func TestNodeAloneForLongAcknowledgesNoLeaving(t *testing.T) {
	c := newCluster(t, 16, 6, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	isolated := c.nodes[0]
	c.network.Isolate(isolated.Address)
	isolated.setMembers([]*nodepb.Member{isolated.member})
	for _, voters := range [][]string{c.voters, nil} {
		isolated.registry.SetVoters(voters)
		c.network.Run(time.Minute)
		c.requireRefused(isolated, b.deregister(isolated))
	}
}

// TestLeavingIsAcknowledgedOnceTheStartedNodeHasJoined: the call waits while the node joins, and all nodes hold what is
// acknowledged then.
func TestLeavingIsAcknowledgedOnceTheStartedNodeHasJoined(t *testing.T) {
	c := newCluster(t, 18, 6, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	started := c.startAt(len(c.nodes))
	request := b.deregister(started)
	c.network.Run(100 * time.Millisecond)
	assert.Equal(t, started.answers[request].at, core.Time(0), "it waits")
	c.publishMembers()
	started.registry.SetVoters(c.voters)
	c.within(300*time.Millisecond, "an answer", func() bool { return started.answers[request].Accepted })
	assert.Assert(t, c.nobodyHas("1"))
}

// TestAcknowledgedLeavingIsSentToNodesLearnedOfLater: a node that knew only some of the fleet as it acknowledged tells the others as
// soon as it learns of them.
func TestAcknowledgedLeavingIsSentToNodesLearnedOfLater(t *testing.T) {
	c := newCluster(t, 19, 8, "a", "a", "a", "a", "a", "a", "a", "a", "b")
	b := c.broker("1", "llm", "b")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	started := c.startAt(len(c.nodes)) // the only node of its zone, and so the home
	started.registry.SetVoters(c.voters)
	started.setMembers(c.members(c.nodes[3:8]...))
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.heartbeat(started)
	c.within(300*time.Millisecond, "an answer", func() bool { return started.answers[request].Accepted })
	assert.Assert(t, !c.everyoneHas("1", draining), "it knows only some of the others")
	started.setMembers(c.members())
	c.within(50*time.Millisecond, "all know", func() bool { return c.everyoneHas("1", draining) })
}

// TestForwarderRecordsLeaving: the home doesn't know the node yet that forwards a broker's call, and so doesn't tell it.
func TestForwarderRecordsLeaving(t *testing.T) {
	for name, leave := range leavingCalls {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 20, 6, "a")
			b := c.broker("1", "llm", "a")
			b.heartbeat(c.nodes[0])
			c.network.Run(time.Second)
			started := c.startAt(len(c.nodes))
			started.setMembers(c.members(started))
			c.network.Run(100 * time.Millisecond)
			assert.Assert(t, started.registry.Table().ByID["1"].Usable())
			request := leave(b, started)
			c.within(300*time.Millisecond, "an answer", func() bool { return started.answers[request].Accepted })
			known := started.registry.Table().ByID["1"]
			assert.Assert(t, known == nil || !known.Usable())
		})
	}
}

// TestRestoredLeavingIsSentToNodesThatJoin: the copies of others may still show the broker as ready, and a comparison of digests
// takes a second.
func TestRestoredLeavingIsSentToNodesThatJoin(t *testing.T) {
	r := New(0, Options{SelfID: "self", SelfAddress: "10.0.0.1:7000", Zone: "a", PersistsLeaving: true}, seededRandom())
	leaving := &nodepb.Instance{Id: "1", Service: "llm", Zone: "a", Sequence: 7, State: nodepb.InstanceState_GONE, SinceHeartbeatMs: 55_000}
	assert.Equal(t, len(r.RestoreLeaving(time.Second, []*nodepb.Instance{leaving})), 0, "it is on the disk, and nobody is known")
	join := func(now core.Time, hosts ...string) []string {
		var members []*nodepb.Member
		for _, host := range hosts {
			members = append(members, &nodepb.Member{NodeId: host, Address: "10.0.0." + host + ":7000", Zone: "b"})
		}
		var notified []string
		for _, output := range r.SetMembers(now, members) {
			if send, ok := output.(core.Send); ok && send.Message.GetInstanceUpdate() != nil {
				instance := send.Message.GetInstanceUpdate().Instances[0]
				assert.Equal(t, instance.State, nodepb.InstanceState_GONE)
				assert.Assert(t, instance.SinceHeartbeatMs < 55_000, "its retention starts again")
				notified = append(notified, send.Destination)
			}
		}
		return notified
	}
	assert.DeepEqual(t, join(2*time.Second, "2"), []string{"10.0.0.2:7000"})
	assert.DeepEqual(t, join(3*time.Second, "2", "3"), []string{"10.0.0.3:7000"})
	assert.Equal(t, len(join(time.Second+leavingSendPeriod, "2", "3", "4")), 0)
}
