package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

func peerIn(id string) core.Peer { return core.Peer{NodeID: id, Address: id + ":7000"} }

// single is a registry of a fleet of one node.
func single() *Registry {
	r := New(0, Options{SelfID: "self", SelfAddress: "self:7000", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	r.SetVoters([]string{"self:7000"})
	return r
}

func update(instances ...*nodepb.Instance) *nodepb.Envelope {
	message := &nodepb.InstanceUpdate{Nonce: 1, Instances: instances}
	return &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{InstanceUpdate: message}}
}

func instanceAt(sequence uint64, state nodepb.InstanceState, change func(*nodepb.Instance)) *nodepb.Instance {
	instance := &nodepb.Instance{
		Id: "i", Service: "llm", Zone: "a", Address: "10.1.1.1:80", Slots: uint32(sequence), Sequence: sequence, State: state,
		Models: []*nodepb.ModelOnInstance{{Name: "m", Version: 1}},
	}
	if change != nil {
		change(instance)
	}
	return instance
}

const (
	isReady    = nodepb.InstanceState_READY
	isDraining = nodepb.InstanceState_DRAINING
	isGone     = nodepb.InstanceState_GONE
)

// PROTOCOL.md, "Service discovery": `sequence` rises with each call, so that a late one is recognised.
func TestMergeIsOrderIndependent(t *testing.T) {
	messages := []*nodepb.Instance{
		instanceAt(1, isReady, nil),
		instanceAt(2, isReady, func(i *nodepb.Instance) { i.Models[0].Version = 3 }),
		instanceAt(3, isReady, func(i *nodepb.Instance) { i.Revision, i.LoadingFencingToken = 1, 7 }),
		instanceAt(3, isReady, func(i *nodepb.Instance) { i.Revision, i.LoadingFencingToken = 2, 0 }),
		instanceAt(4, isDraining, nil),
		instanceAt(5, isReady, nil),
	}
	random := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		r := single()
		random.Shuffle(len(messages), func(a, b int) { messages[a], messages[b] = messages[b], messages[a] })
		for _, message := range messages {
			r.Receive(time.Second, peerIn("x"), update(message))
			if random.IntN(3) == 0 {
				r.Receive(time.Second, peerIn("x"), update(message))
			}
		}
		merged := r.Table().ByID["i"]
		assert.Equal(t, merged.State, Draining)
		assert.Equal(t, merged.Slots, 5)
		assert.Equal(t, merged.Versions["m"], uint64(3))
		assert.Assert(t, !merged.Loading)
	}
}

func TestStateNeverRegresses(t *testing.T) {
	table := []struct {
		name        string
		first, then *nodepb.Instance
		want        State
		listed      bool
	}{
		{"draining after ready", instanceAt(1, isReady, nil), instanceAt(2, isDraining, nil), Draining, true},
		{"late ready after draining", instanceAt(2, isDraining, nil), instanceAt(1, isReady, nil), Draining, true},
		{"newer ready after draining", instanceAt(2, isDraining, nil), instanceAt(3, isReady, nil), Draining, true},
		{"late draining after ready", instanceAt(2, isReady, nil), instanceAt(1, isDraining, nil), Draining, true},
		{"ready after gone", instanceAt(2, isGone, nil), instanceAt(3, isReady, nil), Gone, false},
		{"draining after gone", instanceAt(2, isGone, nil), instanceAt(3, isDraining, nil), Gone, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			r := single()
			r.Receive(0, peerIn("x"), update(row.first))
			r.Receive(time.Second, peerIn("x"), update(row.then))
			merged := r.Table().ByID["i"]
			assert.Equal(t, merged != nil, row.listed)
			if merged != nil {
				assert.Equal(t, merged.State, row.want)
			}
		})
	}
}

func TestUnchangedHeartbeatLeavesTableUnchanged(t *testing.T) {
	r := single()
	r.Heartbeat(0, 1, instanceAt(1, isReady, func(i *nodepb.Instance) { i.Slots, i.WarmUpRemainingMs = 8, 5000 }))
	before := r.Table()
	again := instanceAt(2, isReady, func(i *nodepb.Instance) { i.Slots, i.WarmUpRemainingMs = 8, 4000 })
	outputs := r.Heartbeat(time.Second, 2, again)
	assert.Equal(t, len(outputs), 1, "only the answer")
	assert.Equal(t, r.Table(), before)
	assert.Equal(t, before.ByID["i"].WarmingUpUntil, 5*time.Second)
}

func TestTombstonesRejectLateMessagesForOneMinute(t *testing.T) {
	r := single()
	r.Heartbeat(0, 1, instanceAt(1, isReady, nil))
	r.Deregister(time.Second, 2, "i")
	assert.Equal(t, len(r.Table().ByID), 0)
	for now := time.Second; now < 60*time.Second; now += 5 * time.Second {
		r.Heartbeat(now, 3, instanceAt(5, isReady, nil))
		assert.Equal(t, len(r.Table().ByID), 0)
	}
	r.Tick(62 * time.Second)
	assert.Equal(t, len(r.records), 0)
	assert.Equal(t, len(r.topics), 0)
}

func TestDeregistrationBeforeFirstHeartbeatWins(t *testing.T) {
	r := single()
	outputs := r.Deregister(0, 1, "i")
	assert.Assert(t, outputs[len(outputs)-1].(core.RegistryReply).Accepted)
	r.Heartbeat(time.Millisecond, 2, instanceAt(1, isReady, nil))
	assert.Equal(t, len(r.Table().ByID), 0)
}

func TestTombstonesAreBounded(t *testing.T) {
	r := single()
	for number := range maxTombstones + 10 {
		r.Deregister(core.Time(number), 1, "gone-"+string(rune('a'+number%26))+time.Duration(number).String())
	}
	assert.Equal(t, len(r.records), maxTombstones)
	assert.Equal(t, r.tombstoneCount, maxTombstones)
}

// PROTOCOL.md, "Brokers": the address of a broker that has ended may be given to another one.
func TestNewIncarnationSupersedesOlderAtSameAddress(t *testing.T) {
	c := newCluster(t, 1, 6, "a", "b")
	older := c.broker("1", "llm", "a")
	older.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	newer := c.broker("2", "pdf", "b")
	newer.instance.Address = older.instance.Address
	newer.heartbeat(c.nodes[1])
	c.within(200*time.Millisecond, "only the newer is left", func() bool {
		return c.nobodyHas("1") && c.everyoneHas("2", ready)
	})
	// A late heartbeat of the older does not end the newer.
	older.heartbeat(c.nodes[2])
	c.network.Run(time.Second)
	assert.Assert(t, c.nobodyHas("1") && c.everyoneHas("2", ready))
}

func TestLoadingMarkIsConfirmedByAllNodes(t *testing.T) {
	for name, faults := range networkFaults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 8, "a", "b")
			b := c.broker("1", "llm", "a")
			b.heartbeat(c.nodes[0])
			c.network.Run(time.Second)
			faults(c)
			holder := c.nodes[5]
			for _, fence := range []uint64{41, 0} {
				holder.marks = nil
				holder.Do(func(now core.Time) []core.Output { return holder.registry.SetLoading(now, "1", fence) })
				c.within(time.Second, "confirmed", func() bool { return len(holder.marks) > 0 })
				assert.Equal(t, holder.marks[0], core.LoadingConfirmed{InstanceID: "1", FencingToken: fence, Everywhere: true})
				assert.Assert(t, c.everyoneHas("1", func(i *Instance) bool { return i.Loading == (fence != 0) }))
			}
		})
	}
}

func TestLoadingMarkDoesNotWaitForFrozenNode(t *testing.T) {
	c := newCluster(t, 3, 5, "a")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	c.nodes[4].Freeze()
	holder := c.nodes[0]
	holder.Do(func(now core.Time) []core.Output { return holder.registry.SetLoading(now, "1", 41) })
	c.within(ackTimeout+time.Millisecond, "an answer", func() bool { return len(holder.marks) > 0 })
	assert.Assert(t, !holder.marks[0].Everywhere)
	c.nodes[4].Thaw()
	c.within(2*time.Second, "known everywhere", func() bool { return c.everyoneHas("1", loading) })
}

// A lease holder that does not know of a mark, as it has just started, clears it all the same.
func TestHolderClearsLoadingMarkItDoesNotKnow(t *testing.T) {
	c := newCluster(t, 5, 4, "a")
	marked := instanceAt(1, isReady, func(i *nodepb.Instance) { i.Revision, i.LoadingFencingToken = 3, 41 })
	for _, node := range c.nodes[1:] {
		node.registry.Receive(node.Now(), peerIn("x"), update(marked))
	}
	holder := c.nodes[0]
	holder.Do(func(now core.Time) []core.Output {
		holder.registry.Restore(now, []*nodepb.Instance{marked})
		return holder.registry.SetLoading(now, "i", 0)
	})
	c.within(100*time.Millisecond, "cleared", func() bool {
		return c.everyoneHas("i", func(i *Instance) bool { return !i.Loading })
	})
}

func TestLoadingMarkOfUnknownBrokerIsNotConfirmed(t *testing.T) {
	outputs := single().SetLoading(0, "unknown", 41)
	assert.DeepEqual(t, outputs, []core.Output{core.LoadingConfirmed{InstanceID: "unknown", FencingToken: 41}})
}

func TestLoadingMarkExpires(t *testing.T) {
	r := single()
	r.Heartbeat(0, 1, instanceAt(1, isReady, nil))
	r.SetLoading(0, "i", 41)
	for now := core.Time(0); now < loadingTimeout; now += time.Second {
		r.Heartbeat(now, 2, instanceAt(2+uint64(now), isReady, func(i *nodepb.Instance) { i.Slots = 1 }))
		r.Tick(now)
		assert.Assert(t, r.Table().ByID["i"].Loading)
	}
	r.Tick(loadingTimeout)
	assert.Assert(t, !r.Table().ByID["i"].Loading)
}

// A heartbeat in flight while new weights were loaded does not revert their version.
func TestLateHeartbeatDoesNotRevertModelVersion(t *testing.T) {
	c := newCluster(t, 4, 6, "a", "b")
	b := c.broker("1", "llm", "a")
	b.heartbeat(c.nodes[0])
	c.network.Run(time.Second)
	holder := c.nodes[3]
	holder.Do(func(now core.Time) []core.Output { return holder.registry.SetModelVersion(now, "1", "m", 2) })
	loaded := func(i *Instance) bool { return i.Versions["m"] == 2 }
	c.within(100*time.Millisecond, "known everywhere", func() bool { return c.everyoneHas("1", loaded) })
	b.heartbeat(c.nodes[1])
	c.network.Run(time.Second)
	assert.Assert(t, c.everyoneHas("1", loaded))
	b.instance.Models[0].Version = 3
	b.heartbeat(c.nodes[1])
	c.network.Run(time.Second)
	assert.Assert(t, c.everyoneHas("1", func(i *Instance) bool { return i.Versions["m"] == 3 }))
}

// A warm broker's heartbeat changes nothing: the table stays as it is.
func TestWarmBrokerHeartbeatsLeaveTableUnchanged(t *testing.T) {
	r := single()
	heartbeat := func(at time.Duration, sequence uint64, warmUpMs uint32) *Table {
		r.Heartbeat(at, sequence, &nodepb.Instance{Id: "i", Service: "s", Zone: "a", Sequence: sequence, WarmUpRemainingMs: warmUpMs})
		return r.Table()
	}
	warmingUp := heartbeat(time.Second, 1, 3000)
	assert.Equal(t, heartbeat(2*time.Second, 2, 2000), warmingUp, "warming up ends when it was reported to")
	longer := heartbeat(3*time.Second, 3, 4000)
	assert.Assert(t, longer != warmingUp, "warming up ends later than reported")
	assert.Assert(t, heartbeat(4*time.Second, 4, 0) != longer, "it ended sooner than reported")
	warm := r.Table()
	for i := range uint64(10) {
		assert.Equal(t, heartbeat(time.Duration(5+i)*time.Second, 5+i, 0), warm)
	}
}
