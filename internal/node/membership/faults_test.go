package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deathBound is the time within which all members drop a killed one: its probe, the suspicion,
// and their dissemination.
const deathBound = 10 * time.Second

func TestKilledNodeIsDeclaredDead(t *testing.T) {
	for _, n := range []int{2, 3, 11, 90} {
		for seed := range seeds(4) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", n, seed), func(t *testing.T) {
				w := newWorld(t, seed)
				w.startConverged(n)
				victim := w.node(n - 1)
				victim.kill()
				suspected := false
				survivors := newWatch(w.alive())
				taken := w.expect(deathBound, "the death", func() bool {
					suspected = suspected || w.node(0).list.Suspected(victim.id)
					return survivors.agree()
				})
				t.Logf("noticed by all after %v", taken)
				assert.Assert(t, suspected)
				assert.Assert(t, taken > 2500*time.Millisecond, "a suspect has time to refute: %v", taken)
				w.run(2 * time.Minute)
				assert.Assert(t, agree(w.alive()))
			})
		}
	}
}

func TestHalfOfNodesKilledAtOnce(t *testing.T) {
	for seed := range seeds(3) {
		w := newWorld(t, seed)
		w.startConverged(60)
		for i := 30; i < 60; i++ {
			w.node(i).kill()
		}
		dropped, noticed := w.droppedAmong(w.alive()), w.converged()
		taken := w.expect(20*time.Second, "the deaths", func() bool {
			assert.Assert(t, !dropped(), "a survivor is dropped")
			return noticed()
		})
		t.Logf("noticed by all after %v", taken)
	}
}

// never lets time pass and fails the test where the condition comes to hold.
func (w *world) never(span time.Duration, what string, holds func() bool) {
	w.t.Helper()
	taken := w.until(span, holds)
	assert.Assert(w.t, taken == span, "%s after %v", what, taken)
}

// droppedAmong returns the condition that one of the nodes has dropped another.
func (w *world) droppedAmong(nodes []*virtualNode) func() bool { return newWatch(nodes).dropped }

func TestMessageLossDropsNoMember(t *testing.T) {
	span := 30 * time.Minute
	if testing.Short() {
		span = 3 * time.Minute
	}
	for _, n := range []int{4, 11, 40} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			w := newWorld(t, uint64(n))
			w.startConverged(n)
			w.loss = 0.05
			w.never(span, "a member is dropped", w.droppedAmong(w.alive()))
		})
	}
}

func TestShortFreezeDropsNoMember(t *testing.T) {
	for seed := range seeds(8) {
		w := newWorld(t, seed)
		w.startConverged(20)
		stopped := w.node(int(seed % 10))
		stopped.freeze()
		w.after(2*time.Second, stopped.thaw)
		w.never(20*time.Second, "a member is dropped", w.droppedAmong(w.alive()))
	}
}

func TestLongFreezeIsFollowedByRejoin(t *testing.T) {
	for _, span := range []time.Duration{12 * time.Second, 100 * time.Second} {
		for seed := range seeds(8) {
			w := newWorld(t, seed)
			w.startConverged(40)
			stopped := w.node(int(seed % 10))
			others := append(w.alive()[:0:0], w.alive()...)
			for i, node := range others {
				if node == stopped {
					others = append(others[:i], others[i+1:]...)
					break
				}
			}
			stopped.freeze()
			w.run(span)
			assert.Assert(t, agree(others), "the node that is stopped is dropped")
			stopped.thaw()
			drops, back := w.droppedAmong(others), w.converged()
			w.expect(1500*time.Millisecond, "the node is back", func() bool {
				assert.Assert(t, !drops(), "a node that was stopped drops another")
				return back()
			})
			w.never(20*time.Second, "a member is dropped", w.droppedAmong(w.alive()))
		}
	}
}

func TestRepeatedlyFrozenNodeDropsNoMember(t *testing.T) {
	w := newWorld(t, 2)
	w.startConverged(12)
	slow := w.node(5)
	var others []*virtualNode
	for _, node := range w.alive() {
		if node != slow {
			others = append(others, node)
		}
	}
	for range 60 {
		slow.freeze()
		w.never(700*time.Millisecond, "a member is dropped", w.droppedAmong(others))
		slow.thaw()
		w.never(200*time.Millisecond, "a member is dropped", w.droppedAmong(others))
	}
}

func TestPartialPartitionDropsNoMember(t *testing.T) {
	a, b := addressOf(3), addressOf(4)
	partitions := map[string]func(from, to string) bool{
		"one way":    func(from, to string) bool { return from == a && to == b },
		"both ways":  func(from, to string) bool { return from == a && to == b || from == b && to == a },
		"from seeds": func(from, to string) bool { return from == addressOf(0) && to == a },
	}
	for name, partitioned := range partitions {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.startConverged(10)
			w.partitioned = partitioned
			w.never(3*time.Minute, "a member is dropped", w.droppedAmong(w.alive()))
		})
	}
}

// halves splits the numbers below n; seeds are in the first half.
func halves(n int) (side map[string]int) {
	side = map[string]int{}
	for i := range n {
		if i >= n/2 {
			side[addressOf(i)] = 1
		}
	}
	return side
}

func TestPartitionedHalvesRejoin(t *testing.T) {
	sizes := []int{4, 11, 90}
	if testing.Short() {
		sizes = []int{4, 30}
	}
	for _, n := range sizes {
		spans := []time.Duration{time.Second, 4 * time.Second, 15 * time.Second, 50 * time.Second, 3 * time.Minute}
		for _, span := range spans {
			for seed := range seeds(3) {
				t.Run(fmt.Sprintf("%d nodes, %v, seed %d", n, span, seed), func(t *testing.T) {
					w := newWorld(t, seed)
					w.startConverged(n)
					side := halves(n)
					parts := [2][]*virtualNode{}
					for _, node := range w.alive() {
						parts[side[node.address]] = append(parts[side[node.address]], node)
					}
					first, second := newWatch(parts[0]), newWatch(parts[1])
					dropped := func() bool { return first.dropped() || second.dropped() }
					w.partitioned = func(from, to string) bool { return side[from] != side[to] }
					w.never(span, "a member of the own side is dropped", dropped)
					w.partitioned = nil
					w.never(3500*time.Millisecond, "a member of the own side is dropped when the partition heals", dropped)
					assert.Assert(t, agree(w.alive()), "the halves have not converged")
					w.never(20*time.Second, "a member is dropped", w.droppedAmong(w.alive()))
				})
			}
		}
	}
}

func TestIsolatedNodeRejoins(t *testing.T) {
	for _, span := range []time.Duration{3 * time.Second, 12 * time.Second, 2 * time.Minute} {
		for seed := range seeds(4) {
			w := newWorld(t, seed)
			w.startConverged(30)
			alone := addressOf(int(seed % 10))
			var others []*virtualNode
			for _, node := range w.alive() {
				if node.address != alone {
					others = append(others, node)
				}
			}
			w.partitioned = func(from, to string) bool { return (from == alone) != (to == alone) }
			w.never(span, "another member is dropped", w.droppedAmong(others))
			w.partitioned = nil
			dropped, converged := w.droppedAmong(others), w.converged()
			w.expect(3500*time.Millisecond, "all know all", func() bool {
				assert.Assert(t, !dropped(), "another member is dropped")
				return converged()
			})
		}
	}
}

func TestRestartsDuringPartition(t *testing.T) {
	for seed := range seeds(4) {
		w := newWorld(t, seed)
		w.startConverged(24)
		side := halves(24)
		w.partitioned = func(from, to string) bool { return side[from] != side[to] }
		w.run(3 * time.Second)
		w.node(3).kill()
		w.node(20).kill()
		w.run(time.Second)
		w.start(3)
		w.start(20)
		w.run(8 * time.Second)
		w.partitioned = nil
		w.expect(4*time.Second, "all know all", w.converged())
		w.run(time.Minute)
		assert.Assert(t, agree(w.alive()))
	}
}
