package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// PROTOCOL.md, "Service discovery": a heartbeat is acknowledged within a second, and may name an address for later
// ones; the broker is then known everywhere.
func TestNewBrokerIsKnownEverywhere(t *testing.T) {
	for name, faults := range faultTable {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 10, "a", "b")
			faults(w)
			b := w.broker("1", "llm", "a")
			node := w.notHome("llm", "a")
			request := b.beat(node)
			w.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Equal(t, node.answers[request].HeartbeatURL, w.home("llm", "a").member.ControlAddress)
			w.within(3*time.Second, "all know the broker", func() bool { return w.everyoneHas("1", ready) })
		})
	}
}

var faultTable = map[string]func(w *world){
	"calm":       func(*world) {},
	"loss":       func(w *world) { w.network.Loss = 0.1 },
	"duplicates": func(w *world) { w.network.Duplicate = 0.5 },
	"delays":     func(w *world) { w.network.MaxDelay = 60 * time.Millisecond },
}

// RULES.md, DRAIN: after the acknowledgement no node in touch sends the broker requests.
func TestDrainingIsKnownEverywhereBeforeItIsAcknowledged(t *testing.T) {
	for name, faults := range faultTable {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 10, "a", "b")
			b := w.broker("1", "llm", "a")
			b.beat(w.nodes[0])
			w.network.Run(2 * time.Second)
			faults(w)
			b.instance.State = nodepb.InstanceState_DRAINING
			node := w.notHome("llm", "a")
			request := b.beat(node)
			w.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Assert(t, w.everyoneHas("1", draining), "acknowledged before all know it")

			request = b.deregister(node)
			w.within(time.Second, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Assert(t, w.nobodyHas("1"), "acknowledged before all know that it ends")
		})
	}
}

// A call whose answer was lost is sent again, to any node.
func TestDrainingSentAgainIsAcknowledgedAtOnce(t *testing.T) {
	w := newWorld(t, 3, 6, "a")
	b := w.broker("1", "llm", "a")
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	b.instance.State = nodepb.InstanceState_DRAINING
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	for _, node := range w.nodes {
		request := b.beat(node)
		w.within(50*time.Millisecond, "an answer", func() bool { return node.answers[request].Accepted })
	}
}

func TestCallOfAFrozenHomeIsTakenByAnother(t *testing.T) {
	for _, state := range []nodepb.InstanceState{nodepb.InstanceState_READY, nodepb.InstanceState_DRAINING} {
		t.Run(state.String(), func(t *testing.T) {
			w := newWorld(t, 4, 8, "a", "b")
			b := w.broker("1", "llm", "a")
			b.beat(w.nodes[0])
			w.network.Run(time.Second)
			w.home("llm", "a").Freeze()
			b.instance.State = state
			b.instance.Slots = 9
			node := w.notHome("llm", "a")
			request := b.beat(node)
			w.within(950*time.Millisecond, "an answer", func() bool { return node.answers[request].Accepted })
			assert.Assert(t, node.answers[request].HeartbeatURL != w.home("llm", "a").member.ControlAddress)
			w.within(time.Second, "all know", func() bool {
				return w.everyoneHas("1", func(i *Instance) bool { return i.Slots == 9 && i.State == State(state) })
			})
			// The next call does not wait for the frozen home again; who takes its place may wait for its confirmation.
			request = b.beat(node)
			w.within(confirmLimit+50*time.Millisecond, "an answer", func() bool { return node.answers[request].Accepted })
		})
	}
}

func TestAcknowledgedDrainingOutlivesItsHome(t *testing.T) {
	w := newWorld(t, 5, 5, "a")
	b := w.broker("1", "llm", "a")
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	home := w.home("llm", "a")
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.beat(home)
	w.within(time.Second, "an answer", func() bool { return home.answers[request].Accepted })
	home.Kill()
	w.announce()
	w.network.Run(time.Second)
	fresh := w.start()
	w.announce()
	w.within(300*time.Millisecond, "a fresh node knows it", func() bool { return fresh.registry.Table().ByID["1"] != nil })
	assert.Assert(t, w.everyoneHas("1", draining))
}

// An update that no other node confirms is not acknowledged, so that the broker calls a node that is in touch.
func TestNodeCutOffAcknowledgesNoDraining(t *testing.T) {
	w := newWorld(t, 6, 5, "a")
	b := w.broker("1", "llm", "a")
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	home := w.home("llm", "a")
	w.network.Isolate(home.Address)
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.beat(home)
	w.within(time.Second, "an answer", func() bool { return !home.answers[request].Accepted && home.answers[request].at > 0 })
	// It does not begin to when it has lost sight of the others.
	home.setMembers([]*nodepb.Member{home.member})
	request = b.beat(home)
	w.within(time.Second, "an answer", func() bool { return home.answers[request].at > 0 })
	assert.Assert(t, !home.answers[request].Accepted)
}

func TestOnlyNodeAcknowledgesAlone(t *testing.T) {
	w := newWorld(t, 7, 1, "a")
	b := w.broker("1", "llm", "a")
	assert.Assert(t, w.nodes[0].answers[b.beat(w.nodes[0])].Accepted)
	b.instance.State = nodepb.InstanceState_DRAINING
	assert.Assert(t, w.nodes[0].answers[b.beat(w.nodes[0])].Accepted)
	assert.Assert(t, w.nodes[0].answers[b.deregister(w.nodes[0])].Accepted)
	assert.Assert(t, w.nobodyHas("1"))
}

// Suspected nodes are not waited for, as they are not in touch.
func TestSuspectedNodeDelaysNoAnswer(t *testing.T) {
	w := newWorld(t, 8, 5, "a")
	b := w.broker("1", "llm", "a")
	b.beat(w.nodes[0])
	w.network.Run(time.Second)
	frozen := w.notHome("llm", "a")
	home := w.home("llm", "a")
	frozen.Freeze()
	members := w.members()
	suspected := cloneMember(frozen.member)
	suspected.State = nodepb.MemberState_SUSPECT
	for _, node := range w.nodes {
		if node.Running() {
			node.setMembers(append(members, suspected))
		}
	}
	b.instance.State = nodepb.InstanceState_DRAINING
	request := b.beat(home)
	w.within(50*time.Millisecond, "an answer", func() bool { return home.answers[request].Accepted })
}
