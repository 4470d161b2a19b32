package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reachLimit is by when a change is at every node in touch, also where its upstreams freeze one after the other; RULES.md,
// CONFIG, allows configApplyMs (2 s).
const reachLimit = 1300 * time.Millisecond

// Whatever becomes of other nodes, a change reaches every node in touch, no node takes its state for fresher than it is,
// and none goes back. The last two are checked at each step.
func TestChangesReachNodesInTouchDespiteTroubles(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 24, 3, "a", "b", "c")
			w.network.Duplicate, w.network.MaxDelay = 0.05, 10*time.Millisecond
			w.network.Run(4 * time.Second)
			for range 30 {
				w.troubleProxy()
				w.network.Run(time.Duration(w.network.Random.IntN(1000)) * time.Millisecond)
				w.commitChecked()
			}
			w.endTroubles()
			w.within(2*time.Second, "all hold the last change", w.reached(30))
			w.network.Run(6 * time.Second)
			for _, node := range w.nodes {
				assert.Assert(t, node.age() < 2*time.Second, "%s: %v", node.ID, node.age())
			}
		})
	}
}

// commitChecked commits a change and checks later that the nodes in touch hold it.
func (w *world) commitChecked() {
	index := w.commit()
	w.network.After(reachLimit, func() {
		for _, node := range w.nodes {
			if w.inTouch(node) && node.state.index < index {
				w.t.Fatalf("%s holds %d, %v after %d was committed", node.ID, node.state.index, reachLimit, index)
			}
		}
	})
}

// inTouch reports whether the node has been out of trouble for contactMs (RULES.md, "In touch").
func (w *world) inTouch(node *worldNode) bool {
	return node.Running() && !w.network.Isolated(node.Address) && w.network.Now()-node.lastTrouble >= 3*time.Second
}

func (w *world) troubleProxy() {
	node := w.nodes[w.counting+w.network.Random.IntN(len(w.nodes)-w.counting)]
	span := time.Duration(w.network.Random.IntN(5000)) * time.Millisecond
	node.lastTrouble = w.network.Now()
	recovered := func() { node.lastTrouble = w.network.Now() }
	switch w.network.Random.IntN(4) {
	case 0:
		node.Freeze()
		w.network.After(span, func() { node.Thaw(); recovered() })
	case 1:
		w.network.Isolate(node.Address)
		w.network.After(span, func() { w.network.HealAll(node.Address); recovered() })
	case 2:
		w.announceWithout(node)
	case 3:
		w.announce()
	}
}

func (w *world) endTroubles() {
	for _, node := range w.nodes {
		if w.network.Isolated(node.Address) || !node.Running() {
			node.lastTrouble = w.network.Now()
		}
	}
	for _, node := range w.nodes {
		w.network.HealAll(node.Address)
		if !node.Running() {
			node.Thaw()
		}
	}
	w.announce()
}

// Any trouble, of the core as well, with losses: no node claims too much or goes back, and in the end all agree.
func TestNodesAgreeAfterTroublesOfTheCore(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 16, 4, "a", "b", "c")
			w.network.Loss, w.network.Duplicate, w.network.MaxDelay = 0.05, 0.1, 80*time.Millisecond
			w.network.Run(4 * time.Second)
			for range 30 {
				w.troubleProxy()
				w.changeChain()
				w.network.Run(time.Duration(w.network.Random.IntN(1500)) * time.Millisecond)
				if w.tail().Running() {
					w.commit()
				}
			}
			w.network.Loss = 0
			w.endTroubles()
			w.agree()
			last := w.commit()
			w.within(3*time.Second, "all hold the last change", w.reached(last))
			w.network.Run(8 * time.Second)
			for _, node := range w.nodes {
				assert.Assert(t, node.age() < 2*time.Second, "%s: %v", node.ID, node.age())
				assert.Equal(t, node.distribution.View().Epoch, w.epoch)
			}
		})
	}
}

// changeChain freezes a machine of the core and agrees on a chain without it, or brings it back at the end.
func (w *world) changeChain() {
	machine := w.nodes[w.network.Random.IntN(4)]
	if !machine.Running() {
		machine.Thaw()
		w.rejoinChain(machine)
		return
	}
	if len(w.chain) < 3 {
		return
	}
	machine.Freeze()
	var rest []*worldNode
	for _, member := range w.chain {
		if member != machine {
			rest = append(rest, member)
		}
	}
	w.chain = rest
	w.agree()
}

// rejoinChain brings a machine up to the committed state, and then to the end of the chain.
func (w *world) rejoinChain(machine *worldNode) {
	machine.install(uint64(len(w.committedAt)))
	w.chain = append(w.chain, machine)
	w.agree()
}

// A tail that is cut off from the rest of the core does not know so at once, nor do those who poll it: a change that the others take
// must reach these in time all the same.
func TestTailCutOffFromTheCore(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 12, 4, "a", "b", "c", "d")
		for _, node := range w.nodes {
			node.distribution.options.ConfirmationAge = ConfirmationForChanges
		}
		w.network.Run(5 * time.Second)
		former := w.tail()
		w.network.Run(time.Duration(w.network.Random.IntN(700)) * time.Millisecond)
		for _, node := range w.chain[:len(w.chain)-1] {
			w.network.Partition(former.Address, node.Address)
		}
		w.coreDown = true                      // no barrier passes all members
		w.network.Run(1300 * time.Millisecond) // then the others agree on a chain without it
		w.coreDown = false
		w.chain = w.chain[:len(w.chain)-1]
		w.agree()
		index := w.commit()
		w.within(time.Second, "all in touch hold the change", w.reached(index, former))
	}
}
