package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var zones = []string{"a", "b", "c", "d"}

// docs/design/system.md, "Distribution": a change is pushed to every node; RULES.md, CONFIG: within configApplyMs (2 s).
func TestChangeReachesAllNodesAtOnce(t *testing.T) {
	for _, nodes := range []int{1, 3, 10, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, 1, nodes, min(nodes, 4), zones...)
			w.network.Run(3 * time.Second)
			index := w.commit()
			w.within(50*time.Millisecond, "all hold the change", w.reached(index))
			for _, node := range w.nodes {
				assert.Equal(t, node.changes, 1, node.ID)
			}
		})
	}
}

func TestChangeReachesAllNodesDespiteLossAndDelays(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 40, 4, zones...)
			w.network.Loss = 0.1
			w.network.Duplicate = 0.1
			w.network.MaxDelay = 50 * time.Millisecond
			w.network.Run(3 * time.Second)
			for range 20 {
				w.commit()
				w.network.Run(100 * time.Millisecond)
			}
			w.within(2*time.Second, "all hold the last change", w.reached(20))
		})
	}
}

// A home that froze just now holds no change up for a second.
func TestFrozenHomeIsPassedOver(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 100, 4, zones...)
			w.network.Run(3*time.Second + time.Duration(seed)*50*time.Millisecond)
			w.zoneHome("b").Freeze()
			w.zoneHome("c").Kill()
			w.network.Run(time.Millisecond)
			index := w.commit()
			w.within(900*time.Millisecond, "all hold the change", w.reached(index))
			// The next change takes the new ways at once.
			w.network.Run(500 * time.Millisecond)
			index = w.commit()
			w.within(100*time.Millisecond, "all hold the next change", w.reached(index))
		})
	}
}

func TestNodesReturnToTheBestUpstream(t *testing.T) {
	w := newWorld(t, 3, 20, 3, zones...)
	w.network.Run(3 * time.Second)
	home := w.zoneHome("d")
	home.Freeze()
	w.network.Run(4 * time.Second)
	home.Thaw()
	w.network.Run(10 * time.Second)
	for _, node := range w.nodes {
		order := node.distribution.orderCandidates(node.Now())
		for at, candidate := range node.distribution.candidates {
			assert.Equal(t, order[at], candidate, node.ID)
		}
	}
}

func TestDeadTailIsPassedOver(t *testing.T) {
	w := newWorld(t, 4, 40, 4, zones...)
	w.network.Run(3 * time.Second)
	w.commit()
	w.network.Run(time.Second)
	w.tail().Kill()
	w.network.Run(1500 * time.Millisecond)
	w.chain = w.chain[:3]
	w.agree()
	index := w.commit()
	w.within(900*time.Millisecond, "all hold the change", w.reached(index))
	w.network.Run(4 * time.Second)
	for _, node := range w.nodes {
		if node.Running() {
			assert.Assert(t, node.age() < 2*time.Second, "%s: %v", node.ID, node.age())
			assert.Equal(t, node.distribution.View().Epoch, w.epoch)
		}
	}
}

// A node that was cut off serves what it knows, says how old that is, and catches up when it is joined again.
func TestCutNodeCatchesUp(t *testing.T) {
	for _, changes := range []int{1, 20, 500} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			w := newWorld(t, 5, 10, 3, zones...)
			w.network.Run(3 * time.Second)
			cut := w.nodes[7]
			w.network.Isolate(cut.Address)
			for range changes {
				w.commit()
				w.network.Run(10 * time.Millisecond)
			}
			w.network.Run(5 * time.Second)
			assert.Equal(t, cut.state.index, uint64(0))
			assert.Assert(t, cut.age() >= 5*time.Second)
			w.network.HealAll(cut.Address)
			w.within(900*time.Millisecond, "it holds the last change", w.reached(uint64(changes)))
			w.network.Run(2 * time.Second)
			assert.Assert(t, cut.age() < 2*time.Second)
		})
	}
}

// A home that lost touch with the core, but not with its zone, is passed over as well.
func TestHomeCutOffFromTheCoreIsPassedOver(t *testing.T) {
	w := newWorld(t, 6, 40, 3, zones...)
	w.network.Run(3 * time.Second)
	home := w.zoneHome("d")
	for _, node := range w.nodes {
		if node.member.Zone != "d" {
			w.network.Partition(home.Address, node.Address)
		}
	}
	w.network.Run(6 * time.Second)
	index := w.commit()
	w.within(900*time.Millisecond, "the others hold the change", w.reached(index, home))
	for _, node := range w.nodes {
		if node != home {
			assert.Assert(t, node.age() < node.distribution.staleAge()+time.Second, "%s: %v", node.ID, node.age())
		}
	}
}

// A tail that is cut off from the chain, but not from the proxies, holds up none of them for long.
func TestTailCutOffFromTheChainIsPassedOver(t *testing.T) {
	w := newWorld(t, 10, 40, 4, zones...)
	w.network.Run(3 * time.Second)
	former := w.tail()
	for _, node := range w.chain[:3] {
		w.network.Partition(former.Address, node.Address)
	}
	w.network.Run(1500 * time.Millisecond)
	w.chain = w.chain[:3]
	w.agree()
	w.network.Run(500 * time.Millisecond)
	index := w.commit()
	w.within(900*time.Millisecond, "the others hold the change", w.reached(index, former))
}

func TestFreshNodeIsBroughtUp(t *testing.T) {
	for _, changes := range []int{0, 1, 300} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			w := newWorld(t, 7, 10, 3, zones...)
			for range changes {
				w.commit()
			}
			w.network.Run(3 * time.Second)
			fresh := w.add(10, "c", false)
			// It is confirmed through the seeds, before it knows any member.
			w.within(500*time.Millisecond, "a confirmed state", func() bool {
				_, confirmed := fresh.distribution.ConfirmedAt()
				return confirmed && fresh.state.index == uint64(changes)
			})
			w.announce()
			w.network.Run(time.Second)
			index := w.commit()
			w.within(50*time.Millisecond, "all hold the change", w.reached(index))
		})
	}
}

// Ages add up on the way, and stay within what a revocation needs (RULES.md, revokeMs 5 s).
func TestAgesStayLow(t *testing.T) {
	w := newWorld(t, 8, 100, 4, zones...)
	w.network.Run(4 * time.Second)
	for range 100 {
		w.network.Run(37 * time.Millisecond)
		for _, node := range w.nodes {
			assert.Assert(t, node.age() < 2500*time.Millisecond, "%s: %v", node.ID, node.age())
		}
	}
	// Where the core confirms nothing any more, the ages tell.
	w.coreDown = true
	w.network.Run(5 * time.Second)
	for _, node := range w.nodes {
		assert.Assert(t, node.age() >= 5*time.Second, node.ID)
	}
	w.coreDown = false
	w.network.Run(3 * time.Second)
	for _, node := range w.nodes {
		assert.Assert(t, node.age() < 2500*time.Millisecond, "%s: %v", node.ID, node.age())
	}
}

// What a node sends at rest must not grow with the fleet.
func TestLoadAtRestIsConstant(t *testing.T) {
	const span = 10 * time.Second
	rates := map[int]float64{}
	for _, nodes := range []int{10, 100} {
		w := newWorld(t, 9, nodes, 4, zones...)
		w.commit()
		w.network.Run(5 * time.Second)
		before := make([]int, len(w.nodes))
		for at, node := range w.nodes {
			before[at] = node.SentBytes
		}
		w.network.Run(span)
		most, total := 0, 0
		for at, node := range w.nodes {
			sent := node.SentBytes - before[at]
			most = max(most, sent)
			total += sent
		}
		rates[nodes] = float64(total) / float64(nodes) / span.Seconds()
		busiest := float64(most) / span.Seconds()
		t.Logf("%d nodes: %.0f bytes a second each, the busiest %.0f", nodes, rates[nodes], busiest)
		assert.Assert(t, busiest < 4000)
	}
	assert.Assert(t, rates[100] < 1.5*rates[10])
}
