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

func single() *Registry {
	return New(0, Options{SelfID: "self", SelfAddress: "self:7000", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
}

func update(instances ...*nodepb.Instance) *nodepb.Envelope {
	message := &nodepb.InstanceUpdate{Nonce: 1, Instances: instances}
	return &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{InstanceUpdate: message}}
}

func at(sequence uint64, state nodepb.InstanceState, change func(*nodepb.Instance)) *nodepb.Instance {
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

// PROTOCOL.md, "Service discovery": `sequence` rises with each call, so that a late one can be known.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	messages := []*nodepb.Instance{
		at(1, isReady, nil),
		at(2, isReady, func(i *nodepb.Instance) { i.Models[0].Version = 3 }),
		at(3, isReady, func(i *nodepb.Instance) { i.Revision, i.LoadingFence = 1, 7 }),
		at(3, isReady, func(i *nodepb.Instance) { i.Revision, i.LoadingFence = 2, 0 }),
		at(4, isDraining, nil),
		at(5, isReady, nil),
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

func TestStateNeverGoesBack(t *testing.T) {
	table := []struct {
		name        string
		first, then *nodepb.Instance
		want        State
		listed      bool
	}{
		{"draining after ready", at(1, isReady, nil), at(2, isDraining, nil), Draining, true},
		{"late ready after draining", at(2, isDraining, nil), at(1, isReady, nil), Draining, true},
		{"newer ready after draining", at(2, isDraining, nil), at(3, isReady, nil), Draining, true},
		{"late draining after ready", at(2, isReady, nil), at(1, isDraining, nil), Draining, true},
		{"ready after gone", at(2, isGone, nil), at(3, isReady, nil), Gone, false},
		{"draining after gone", at(2, isGone, nil), at(3, isDraining, nil), Gone, false},
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

func TestUnchangedHeartbeatChangesNothing(t *testing.T) {
	r := single()
	r.Heartbeat(0, 1, at(1, isReady, func(i *nodepb.Instance) { i.Slots, i.ColdRemainingMs = 8, 5000 }))
	before := r.Table()
	again := at(2, isReady, func(i *nodepb.Instance) { i.Slots, i.ColdRemainingMs = 8, 4000 })
	outputs := r.Heartbeat(time.Second, 2, again)
	assert.Equal(t, len(outputs), 1, "only the answer")
	assert.Equal(t, r.Table(), before)
	assert.Equal(t, before.ByID["i"].ColdUntil, 5*time.Second)
}

func TestTombstonesHoldOffLateMessagesForAMinute(t *testing.T) {
	r := single()
	r.Heartbeat(0, 1, at(1, isReady, nil))
	r.Deregister(time.Second, 2, "i")
	assert.Equal(t, len(r.Table().ByID), 0)
	for now := time.Second; now < 60*time.Second; now += 5 * time.Second {
		r.Heartbeat(now, 3, at(5, isReady, nil))
		assert.Equal(t, len(r.Table().ByID), 0)
	}
	r.Tick(62 * time.Second)
	assert.Equal(t, len(r.records), 0)
	assert.Equal(t, len(r.topics), 0)
}

func TestDeregistrationComesBeforeTheHeartbeat(t *testing.T) {
	r := single()
	outputs := r.Deregister(0, 1, "i")
	assert.Assert(t, outputs[len(outputs)-1].(core.RegistryReply).Accepted)
	r.Heartbeat(time.Millisecond, 2, at(1, isReady, nil))
	assert.Equal(t, len(r.Table().ByID), 0)
}

func TestTombstonesAreBounded(t *testing.T) {
	r := single()
	for number := range tombstoneLimit + 10 {
		r.Deregister(core.Time(number), 1, "gone-"+string(rune('a'+number%26))+time.Duration(number).String())
	}
	assert.Equal(t, len(r.records), tombstoneLimit)
	assert.Equal(t, r.gone, tombstoneLimit)
}

// PROTOCOL.md, "Brokers": the address of a broker that has ended may be given to another one.
func TestNewLifeAtAnAddressEndsTheOlder(t *testing.T) {
	w := newWorld(t, 1, 6, "a", "b")
	older := w.broker("1", "llm", "a")
	older.beat(w.nodes[0])
	w.network.Run(time.Second)
	newer := w.broker("2", "pdf", "b")
	newer.instance.Address = older.instance.Address
	newer.beat(w.nodes[1])
	w.within(200*time.Millisecond, "only the newer is left", func() bool {
		return w.nobodyHas("1") && w.everyoneHas("2", ready)
	})
	// A late heartbeat of the older does not end the newer.
	older.beat(w.nodes[2])
	w.network.Run(time.Second)
	assert.Assert(t, w.nobodyHas("1") && w.everyoneHas("2", ready))
}

func TestLoadingMarkIsConfirmedByAllNodes(t *testing.T) {
	for name, faults := range faultTable {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 8, "a", "b")
			b := w.broker("1", "llm", "a")
			b.beat(w.nodes[0])
			w.network.Run(time.Second)
			faults(w)
			holder := w.nodes[5]
			for _, fence := range []uint64{41, 0} {
				holder.marks = nil
				holder.Do(func(now core.Time) []core.Output { return holder.registry.SetLoading(now, "1", fence) })
				w.within(time.Second, "confirmed", func() bool { return len(holder.marks) > 0 })
				assert.Equal(t, holder.marks[0], core.LoadingConfirmed{InstanceID: "1", FencingToken: fence, Everywhere: true})
				assert.Assert(t, w.everyoneHas("1", func(i *Instance) bool { return i.Loading == (fence != 0) }))
			}
		})
	}
}

func TestLoadingMarkDoesNotWaitForAFrozenNode(t *testing.T) {
	w := newWorld(t, 3, 5, "a")
	b := w.broker("1", "llm", "a")
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	w.nodes[4].Freeze()
	holder := w.nodes[0]
	holder.Do(func(now core.Time) []core.Output { return holder.registry.SetLoading(now, "1", 41) })
	w.within(confirmLimit+time.Millisecond, "an answer", func() bool { return len(holder.marks) > 0 })
	assert.Assert(t, !holder.marks[0].Everywhere)
	w.nodes[4].Thaw()
	w.within(2*time.Second, "known everywhere", func() bool { return w.everyoneHas("1", loading) })
}

// A holder that does not know of a mark, as it has just started, takes it away all the same.
func TestMarkIsTakenAwayByWhoDoesNotKnowIt(t *testing.T) {
	w := newWorld(t, 5, 4, "a")
	marked := at(1, isReady, func(i *nodepb.Instance) { i.Revision, i.LoadingFence = 3, 41 })
	for _, node := range w.nodes[1:] {
		node.registry.Receive(node.Now(), peerIn("x"), update(marked))
	}
	holder := w.nodes[0]
	holder.Do(func(now core.Time) []core.Output {
		holder.registry.Restore(now, []*nodepb.Instance{marked})
		return holder.registry.SetLoading(now, "i", 0)
	})
	w.within(100*time.Millisecond, "taken away", func() bool {
		return w.everyoneHas("i", func(i *Instance) bool { return !i.Loading })
	})
}

func TestLoadingMarkOfAnUnknownBroker(t *testing.T) {
	outputs := single().SetLoading(0, "unknown", 41)
	assert.DeepEqual(t, outputs, []core.Output{core.LoadingConfirmed{InstanceID: "unknown", FencingToken: 41}})
}

func TestForgottenLoadingMarkFallsByItself(t *testing.T) {
	r := single()
	r.Heartbeat(0, 1, at(1, isReady, nil))
	r.SetLoading(0, "i", 41)
	for now := core.Time(0); now < loadingLimit; now += time.Second {
		r.Heartbeat(now, 2, at(2+uint64(now), isReady, func(i *nodepb.Instance) { i.Slots = 1 }))
		r.Tick(now)
		assert.Assert(t, r.Table().ByID["i"].Loading)
	}
	r.Tick(loadingLimit)
	assert.Assert(t, !r.Table().ByID["i"].Loading)
}

// A heartbeat that was on its way while new weights came does not undo them.
func TestLoadedVersionIsNotUndoneByALateHeartbeat(t *testing.T) {
	w := newWorld(t, 4, 6, "a", "b")
	b := w.broker("1", "llm", "a")
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	holder := w.nodes[3]
	holder.Do(func(now core.Time) []core.Output { return holder.registry.SetModelVersion(now, "1", "m", 2) })
	loaded := func(i *Instance) bool { return i.Versions["m"] == 2 }
	w.within(100*time.Millisecond, "known everywhere", func() bool { return w.everyoneHas("1", loaded) })
	b.beat(w.nodes[1])
	w.network.Run(time.Second)
	assert.Assert(t, w.everyoneHas("1", loaded))
	b.instance.Models[0].Version = 3
	b.beat(w.nodes[1])
	w.network.Run(time.Second)
	assert.Assert(t, w.everyoneHas("1", func(i *Instance) bool { return i.Versions["m"] == 3 }))
}

// A warm broker's heartbeat says nothing new: the table stays as it is.
func TestHeartbeatsOfAWarmBrokerLeaveTheTableAlone(t *testing.T) {
	r := single()
	beat := func(at time.Duration, sequence uint64, coldMs uint32) *Table {
		r.Heartbeat(at, sequence, &nodepb.Instance{Id: "i", Service: "s", Zone: "a", Sequence: sequence, ColdRemainingMs: coldMs})
		return r.Table()
	}
	cold := beat(time.Second, 1, 3000)
	assert.Equal(t, beat(2*time.Second, 2, 2000), cold, "the cold start ends when it was said to")
	longer := beat(3*time.Second, 3, 4000)
	assert.Assert(t, longer != cold, "the cold start ends later than was said")
	assert.Assert(t, beat(4*time.Second, 4, 0) != longer, "it has ended sooner than was said")
	warm := r.Table()
	for i := range uint64(10) {
		assert.Equal(t, beat(time.Duration(5+i)*time.Second, 5+i, 0), warm)
	}
}
