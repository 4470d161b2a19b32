package chain_test

import (
	"fmt"
	"testing"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
)

// faults plays troubles at random times. What must hold whatever happens is checked throughout; wipes stay within what
// faultTolerance allows.
type faults struct {
	world *world
	until core.Time
	wiped core.Time // when disks were last lost
}

func (f *faults) next() {
	w := f.world
	if w.now >= f.until {
		return
	}
	f.one()
	w.after(time.Duration(w.random.Int64N(int64(1500*time.Millisecond))), f.next)
}

func (f *faults) one() {
	w := f.world
	switch w.random.IntN(13) {
	case 0, 1:
		f.killed(f.pick(), f.short())
	case 2:
		f.killedMany()
	case 3, 4:
		f.pick().freeze(f.short())
	case 5:
		f.oneWayCut()
	case 6:
		f.twoSidedCut()
	case 7:
		f.cutOff(f.pick())
	case 8:
		f.pairCut()
	case 9:
		f.diskTrouble(f.pick())
	case 10:
		f.wipe()
	case 11:
		f.noise()
	case 12:
		f.transfer(f.pick())
	}
}

func (f *faults) pick() *node {
	w := f.world
	return w.nodes[w.order[w.random.IntN(w.settings.core)]]
}

func (f *faults) short() time.Duration {
	return 50*time.Millisecond + time.Duration(f.world.random.Int64N(int64(5*time.Second)))
}

func (f *faults) killed(n *node, d time.Duration) {
	n.kill()
	f.world.after(d, n.start)
}

func (f *faults) killedMany() {
	w := f.world
	d := f.short() / 2
	for _, address := range w.order[:w.settings.core] {
		if w.random.IntN(3) > 0 {
			f.killed(w.nodes[address], d+time.Duration(w.random.Int64N(int64(time.Second))))
		}
	}
}

func (f *faults) heal() { f.world.net.heal() }

func (f *faults) oneWayCut() {
	a, b := f.pick(), f.pick()
	f.world.logf("cut %s -> %s", a.address, b.address)
	f.world.net.cut(a.address, b.address)
	f.world.after(f.short(), f.heal)
}

func (f *faults) pairCut() {
	a, b := f.pick(), f.pick()
	f.world.logf("cut %s <-> %s", a.address, b.address)
	f.world.net.cutBoth(a.address, b.address)
	f.world.after(f.short(), f.heal)
}

func (f *faults) twoSidedCut() {
	w := f.world
	var sides [2][]string
	for _, address := range w.order {
		side := w.random.IntN(2)
		sides[side] = append(sides[side], address)
	}
	w.logf("cut %v | %v", sides[0], sides[1])
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			w.net.cutBoth(a, b)
		}
	}
	w.after(f.short(), f.heal)
}

func (f *faults) cutOff(n *node) {
	w := f.world
	w.logf("cut off %s", n.address)
	for _, other := range w.order {
		w.net.cutBoth(n.address, other)
	}
	w.after(f.short(), f.heal)
}

func (f *faults) diskTrouble(n *node) {
	w := f.world
	switch w.random.IntN(3) {
	case 0:
		w.logf("disk of %s fails", n.address)
		d := n.disk
		d.failing = true
		w.after(f.short(), func() { d.failing = false })
	case 1:
		w.logf("disk of %s hangs", n.address)
		n.disk.hangUntil = w.now + f.short()
	case 2:
		w.logf("disk of %s is slow", n.address)
		d := n.disk
		d.sync = 200 * time.Millisecond
		w.after(f.short(), func() { d.sync = 2 * time.Millisecond })
	}
}

// wipe loses the disks of as many machines as may be lost, if all are in the chain and have been for a while; all
// others lose power at the same time, some of the time.
func (f *faults) wipe() {
	w := f.world
	if !w.allSettled() || w.now < f.wiped+4*time.Second {
		return
	}
	f.wiped = w.now
	power := w.random.IntN(2) == 0
	lost := w.random.IntN(w.settings.tolerance + 1)
	first := w.random.IntN(w.settings.core)
	for i := range w.settings.core {
		n := w.nodes[w.order[(first+i)%w.settings.core]]
		if i < lost {
			n.wipe()
			w.after(f.short(), n.start)
			continue
		}
		if power {
			f.killed(n, f.short()/2)
		}
	}
}

// allSettled reports whether every core machine runs and is in the chain.
func (w *world) allSettled() bool {
	for _, address := range w.order[:w.settings.core] {
		n := w.nodes[address]
		if !n.running || n.frozenUntil > w.now || n.store.Status().Role == chain.None {
			return false
		}
	}
	return w.chainLength() == w.settings.core
}

func (f *faults) noise() {
	w := f.world
	w.logf("noise")
	w.net.loss = 0.2 * w.random.Float64()
	w.net.duplicate = 0.2 * w.random.Float64()
	w.net.jitter = f.short() / 20
	w.after(f.short(), f.quiet)
}

func (f *faults) quiet() {
	w := f.world
	w.net.loss, w.net.duplicate, w.net.jitter = 0, 0, 0
}

func (f *faults) transfer(n *node) {
	w := f.world
	if !n.running {
		return
	}
	w.logf("transfer %s", n.address)
	n.input(func() { n.carryOut(n.store.Transfer(w.now)) })
	w.after(time.Second, func() { f.killed(n, f.short()) })
}

// playSeed runs a world with faults, then a calm time in which everything has to work again.
func playSeed(t testing.TB, seed uint64) {
	sizes := []worldSettings{
		{core: 3, founders: 3, proxies: 1, tolerance: 1},
		{core: 4, founders: 3, proxies: 1, tolerance: 1},
		{core: 6, founders: 3, proxies: 1, tolerance: 2},
		{core: 2, founders: 2, proxies: 1, tolerance: 0},
		{core: 1, founders: 1, proxies: 1, tolerance: 0},
		{core: 5, founders: 3, proxies: 1, tolerance: 2},
	}
	w := newWorld(t, seed, sizes[seed%uint64(len(sizes))])
	a := w.newOperator("a", 30*time.Millisecond)
	b := w.newOperator("b", 60*time.Millisecond)
	f := &faults{world: w, until: 20 * time.Second}
	w.after(time.Duration(w.random.Int64N(int64(2*time.Second))), f.next)
	w.run(f.until)
	f.quiet()
	f.heal()
	w.run(f.until + 6*time.Second) // the last troubles end
	w.runUntil("acknowledges again", 3*time.Second, a.acksAgain(1))
	again := b.acksAgain(2)
	w.runUntil("all in the chain again", 5*time.Second, w.allSettled)
	w.runUntil("the other operator is answered too", 5*time.Second, again)
	a.stopped, b.stopped = true, true
	w.runFor(2 * time.Second)
	final := &operator{world: w, name: "final", stopped: true}
	final.read(w.nodes[w.order[0]])
	w.runUntil("read at the end", 2*time.Second, func() bool { return final.reads == 1 })
}

func TestSeeds(t *testing.T) {
	seeds := 600
	if testing.Short() {
		seeds = 60
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSeed(t, seed) })
	}
}
