package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// sameTables reports whether all running nodes hold the same brokers with the same content.
func (w *world) sameTables() bool {
	want := w.nodes[0].registry
	return w.all(func(node *worldNode) bool {
		listed := uint32(len(node.registry.Table().ByID))
		return node.registry.sum == want.sum && node.registry.liveCount == want.liveCount && listed == want.liveCount
	})
}

func TestFreshNodeKnowsEverythingSoon(t *testing.T) {
	for _, brokers := range []int{0, 1, 600} {
		t.Run(fmt.Sprint(brokers), func(t *testing.T) {
			w := newWorld(t, 1, 12, "a", "b", "c")
			for number := range brokers {
				b := w.broker(fmt.Sprint(number), fmt.Sprintf("service-%d", number%20), w.zones[number%3])
				b.beat(w.nodes[number%12])
			}
			w.network.Run(2 * time.Second)
			fresh := w.start()
			w.announce()
			w.within(300*time.Millisecond, "all known", func() bool {
				return len(fresh.registry.Table().ByID) == brokers && fresh.registry.synced || brokers == 0
			})
			assert.Assert(t, w.sameTables())
		})
	}
}

// Of two nodes asked first one may have just started as well.
func TestFreshNodeAsksOnAfterAnEmptyAnswer(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 2, "a")
		w.broker("1", "llm", "a").beat(w.nodes[0])
		w.nodes[1].Kill()
		w.network.Run(time.Second)
		fresh := []*worldNode{w.start(), w.start(), w.start(), w.start(), w.start()}
		w.announce()
		w.within(300*time.Millisecond, "all know the broker", func() bool { return w.everyoneHas("1", ready) })
		assert.Equal(t, len(fresh[0].registry.others), 5)
	}
}

func TestLostUpdatesAreRepaired(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 10, "a", "b")
			brokers := w.fleetOfBrokers("llm", "a", 6)
			w.network.Run(5 * time.Second)
			cut := w.notHome("llm", "a")
			w.network.Isolate(cut.Address)
			for _, b := range brokers {
				b.target = w.home("llm", "a")
			}
			brokers[0].instance.State = nodepb.InstanceState_DRAINING
			brokers[1].instance.Models[0].Version = 2
			brokers[2].deregister(w.home("llm", "a"))
			brokers[2].stopped = true
			brokers[3].stopped = true
			w.network.Run(6 * time.Second)
			w.network.HealAll(cut.Address)
			w.within(2500*time.Millisecond, "repaired", w.sameTables)
			table := cut.registry.Table().ByID
			assert.Equal(t, table[brokers[0].id()].State, Draining)
			assert.Equal(t, table[brokers[1].id()].Versions["m"], uint64(2))
			assert.Assert(t, table[brokers[2].id()] == nil)
			assert.Assert(t, table[brokers[3].id()].Silent)
		})
	}
}

// Whatever happens, once it is over all nodes agree, and agree with the brokers.
func TestNodesAgreeAfterRandomTroubles(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		loss := 0.05 * float64(seed%2)
		t.Run(fmt.Sprintf("%d with loss %v", seed, loss), func(t *testing.T) {
			w := newWorld(t, seed, 9, "a", "b", "c")
			brokers := append(w.fleetOfBrokers("llm", "a", 6), w.fleetOfBrokers("pdf", "b", 4)...)
			w.network.Run(3 * time.Second)
			w.network.Loss, w.network.Duplicate, w.network.MaxDelay = loss, 0.05, 30*time.Millisecond
			for range 20 {
				w.randomTrouble(brokers)
				w.network.Run(time.Second)
			}
			w.network.Loss, w.network.Duplicate = 0, 0
			for _, node := range w.nodes {
				w.network.HealAll(node.Address)
				if !node.Running() {
					node.Thaw()
				}
			}
			w.announce()
			w.network.Run(15 * time.Second)
			assert.Assert(t, w.sameTables())
			for _, b := range brokers {
				w.checkBroker(b)
			}
		})
	}
}

func (w *world) checkBroker(b *broker) {
	w.t.Helper()
	switch {
	case b.instance.State == nodepb.InstanceState_GONE:
		assert.Assert(w.t, w.nobodyHas(b.id()), "%s has gone", b.id())
	case !b.stopped:
		assert.Assert(w.t, w.everyoneHas(b.id(), func(i *Instance) bool {
			return !i.Silent && i.State == State(b.instance.State) && i.Versions["m"] == b.instance.Models[0].Version
		}), "%s is there", b.id())
	}
}

func (w *world) randomTrouble(brokers []*broker) {
	random := w.network.Random
	node := w.nodes[random.IntN(len(w.nodes))]
	b := brokers[random.IntN(len(brokers))]
	switch random.IntN(7) {
	case 0:
		node.Freeze()
		node.troubled(w)
		w.network.After(time.Duration(random.IntN(5000))*time.Millisecond, func() { node.Thaw(); node.troubled(w) })
	case 1:
		w.network.Isolate(node.Address)
		node.troubled(w)
		w.network.After(time.Duration(random.IntN(5000))*time.Millisecond, func() {
			w.network.HealAll(node.Address)
			node.troubled(w)
		})
	case 2:
		w.announce(node)
	case 3:
		w.announce()
	case 4:
		if b.instance.State == nodepb.InstanceState_READY {
			b.instance.State = nodepb.InstanceState_DRAINING
		}
	case 5:
		b.instance.Models = []*nodepb.ModelOnInstance{{Name: "m", Version: b.instance.Models[0].Version + 1}}
	case 6:
		b.end()
	}
}

// troubled notes that the node is in trouble, or comes out of it.
func (n *worldNode) troubled(w *world) { n.lastTrouble = w.network.Now() }

// inTouch reports whether the node has been out of trouble for contactMs (RULES.md, "In touch").
func (w *world) inTouch(node *worldNode) bool {
	return node.Running() && !w.network.Isolated(node.Address) && w.network.Now()-node.lastTrouble >= 3*time.Second
}

// checkDrains checks RULES.md, DRAIN: drainMs after a node in touch acknowledged that a broker leaves, no node in touch would
// send it a request. Nodes whose messages get lost are not in touch.
func (w *world) checkDrains(acknowledged string) {
	if w.network.Loss > 0 {
		return
	}
	w.network.After(2*time.Second, func() {
		for _, node := range w.nodes {
			instance := node.registry.Table().ByID[acknowledged]
			if w.inTouch(node) && instance != nil && instance.State == Ready {
				w.t.Fatalf("%s would send %s a request", node.ID, acknowledged)
			}
		}
	})
}

// end deregisters a draining broker as PROTOCOL.md describes, with one call until it is acknowledged.
func (b *broker) end() {
	if b.instance.State != nodepb.InstanceState_DRAINING || b.stopped {
		return
	}
	b.stopped = true
	b.instance.State = nodepb.InstanceState_GONE
	b.callEnd()
}

func (b *broker) callEnd() {
	node := b.world.nodes[b.world.network.Random.IntN(len(b.world.nodes))]
	request := uint64(0)
	if node.Running() {
		request = b.deregister(node)
	}
	b.world.network.After(time.Second, func() {
		if !node.answers[request].Accepted {
			b.callEnd()
		}
	})
}

// What a node sends at rest must depend neither on the number of brokers nor on that of the nodes.
func TestLoadAtRestIsConstant(t *testing.T) {
	const span = 20 * time.Second
	rates := map[int]float64{}
	for _, nodes := range []int{10, 60} {
		w := newWorld(t, 1, nodes, "a", "b", "c")
		w.fleetOfBrokers("llm", "a", 3*nodes)
		w.network.Run(10 * time.Second)
		before := 0
		for _, node := range w.nodes {
			before += node.SentBytes
		}
		w.network.Run(span)
		after := 0
		for _, node := range w.nodes {
			after += node.SentBytes
		}
		rates[nodes] = float64(after-before) / float64(nodes) / span.Seconds()
		t.Logf("%d nodes, %d brokers: %.0f bytes a second and node", nodes, 3*nodes, rates[nodes])
	}
	assert.Assert(t, rates[10] < 200)
	assert.Assert(t, rates[60] < 200)
}
