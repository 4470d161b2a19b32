package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// fleetOfBrokers starts brokers of one service that keep beating.
func (w *world) fleetOfBrokers(service, zone string, count int) []*broker {
	var brokers []*broker
	for number := range count {
		b := w.broker(fmt.Sprintf("%s-%d", service, number), service, zone)
		b.target = w.nodes[number%len(w.nodes)]
		w.network.After(time.Duration(w.network.Random.Int64N(int64(testHeartbeat))), b.keepBeating)
		brokers = append(brokers, b)
	}
	return brokers
}

func (b *broker) id() string { return b.instance.Id }

// A broker that crashes says nothing: it is marked after its heartbeats are missed, and dropped later on.
func TestCrashedBrokerBecomesSilentAndIsDropped(t *testing.T) {
	w := newWorld(t, 1, 6, "a", "b")
	brokers := w.fleetOfBrokers("llm", "a", 5)
	w.network.Run(5 * time.Second)
	brokers[0].stopped = true
	w.network.Run(2 * time.Second)
	assert.Assert(t, w.everyoneHas(brokers[0].id(), heard), "marked too soon")
	w.within(3*time.Second, "marked everywhere", func() bool { return w.everyoneHas(brokers[0].id(), silent) })
	w.network.Run(20 * time.Second)
	assert.Assert(t, w.everyoneHas(brokers[0].id(), silent))
	w.within(10*time.Second, "dropped", func() bool { return w.nobodyHas(brokers[0].id()) })
	for _, b := range brokers[1:] {
		assert.Assert(t, w.everyoneHas(b.id(), heard))
	}
}

func TestSilentBrokerThatIsHeardAgainIsClearedEverywhere(t *testing.T) {
	w := newWorld(t, 2, 6, "a", "b")
	b := w.fleetOfBrokers("llm", "a", 1)[0]
	w.network.Run(3 * time.Second)
	b.stopped = true
	w.within(6*time.Second, "marked everywhere", func() bool { return w.everyoneHas(b.id(), silent) })
	b.beat(w.nodes[3])
	w.within(200*time.Millisecond, "cleared everywhere", func() bool { return w.everyoneHas(b.id(), heard) })
}

// Where most of a service goes silent at once the trouble is likely the home's own.
func TestMostOfAServiceSilentAtOnceIsDoubted(t *testing.T) {
	w := newWorld(t, 3, 6, "a")
	brokers := w.fleetOfBrokers("llm", "a", 6)
	w.network.Run(5 * time.Second)
	for _, b := range brokers[:4] {
		b.stopped = true
	}
	w.network.Run(10 * time.Second)
	for _, b := range brokers {
		assert.Assert(t, w.everyoneHas(b.id(), heard))
	}
	w.within(10*time.Second, "marked after the doubt", func() bool { return w.everyoneHas(brokers[0].id(), silent) })
	assert.Assert(t, w.everyoneHas(brokers[5].id(), heard))
}

// Two of two brokers may well crash at the same time.
func TestSmallServiceIsNotDoubted(t *testing.T) {
	w := newWorld(t, 4, 6, "a")
	brokers := w.fleetOfBrokers("pdf", "a", 2)
	w.network.Run(5 * time.Second)
	brokers[0].stopped, brokers[1].stopped = true, true
	w.within(6*time.Second, "both marked", func() bool {
		return w.everyoneHas(brokers[0].id(), silent) && w.everyoneHas(brokers[1].id(), silent)
	})
}

// Brokers that keep beating are never marked, whatever becomes of their homes.
func TestHomesInTroubleMarkNoBrokerThatBeats(t *testing.T) {
	troubles := map[string]func(w *world, home *worldNode){
		"frozen": func(w *world, home *worldNode) {
			home.Freeze()
			w.network.After(6*time.Second, home.Thaw)
		},
		"killed": func(w *world, home *worldNode) {
			home.Kill()
			w.network.After(3*time.Second, func() { w.announce() })
		},
		"frozen and dropped": func(w *world, home *worldNode) {
			home.Freeze()
			w.network.After(3*time.Second, func() { w.announce() })
			w.network.After(8*time.Second, func() { home.Thaw(); w.announce() })
		},
		"cut off and dropped": func(w *world, home *worldNode) {
			w.network.Isolate(home.Address)
			w.network.After(3*time.Second, func() { w.announce(home) })
			w.network.After(8*time.Second, func() { w.network.HealAll(home.Address); w.announce() })
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 8, "a", "b")
			brokers := w.fleetOfBrokers("llm", "a", 6)
			w.network.Run(5 * time.Second)
			home := w.home("llm", "a")
			trouble(w, home)
			for range 200 {
				w.network.Run(100 * time.Millisecond)
				for _, b := range brokers {
					for _, node := range w.nodes {
						if !node.Running() || node == home {
							continue
						}
						instance := node.registry.Table().ByID[b.id()]
						assert.Assert(t, instance != nil && instance.State == Ready, "%s lost %s", node.ID, b.id())
					}
				}
			}
			w.network.Run(5 * time.Second)
			for _, b := range brokers {
				assert.Assert(t, w.everyoneHas(b.id(), heard), b.id())
			}
		})
	}
}

// A claim of silence is contradicted by who hears the broker.
func TestSilenceIsRefutedByWhoHearsTheBroker(t *testing.T) {
	w := newWorld(t, 6, 4, "a")
	b := w.fleetOfBrokers("llm", "a", 1)[0]
	w.network.Run(4 * time.Second)
	home := w.home("llm", "a")
	claim := home.registry.records[b.id()].message(home.Now())
	claim.SilentMs = 4000
	for _, node := range w.nodes {
		update := &nodepb.InstanceUpdate{Nonce: 1, Instances: []*nodepb.Instance{claim}}
		node.registry.receiveUpdate(node.Now(), peerIn("node-x"), update)
	}
	assert.Assert(t, heard(home.registry.Table().ByID[b.id()]))
	w.within(200*time.Millisecond, "refuted", func() bool { return w.everyoneHas(b.id(), heard) })
}
