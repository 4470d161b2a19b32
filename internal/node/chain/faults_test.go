package chain_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
)

var (
	seedCount = flag.Int("seeds", 300, "how many seeds to play")
	firstSeed = flag.Uint64("first-seed", 0, "the first of them")
)

// faults injects faults at random times. Safety is verified throughout; losses of disks stay within
// the fault tolerance.
type faults struct {
	world    *world
	until    core.Time
	interval time.Duration // between two faults, at most
	wiped    int           // disks lost since all machines were in the chain
	// beyondTolerance: disks were lost while there were too few voters; what was acknowledged must
	// hold even so.
	beyondTolerance bool
}

func (f *faults) next() {
	w := f.world
	if w.now >= f.until {
		return
	}
	f.inject()
	w.after(time.Duration(w.random.Int64N(int64(f.interval))), f.next)
}

func (f *faults) inject() {
	w := f.world
	switch w.random.IntN(15) {
	case 0, 1:
		f.killFor(f.pick(), f.randomDuration())
	case 2:
		f.killMany()
	case 3, 4:
		f.pick().suspend(f.randomDuration())
	case 5:
		f.oneWayPartition()
	case 6:
		f.twoSidedPartition()
	case 7:
		f.isolate(f.pick())
	case 8:
		f.pairPartition()
	case 9:
		f.diskFault(f.pick())
	case 10:
		f.wipeDisks()
	case 11:
		f.lossyNetwork()
	case 12:
		f.leave(f.pick())
	case 13:
		f.crashAfterSending()
	case 14:
		f.replace()
	}
}

func (f *faults) pick() *node {
	w := f.world
	return w.nodes[w.order[w.random.IntN(w.settings.core)]]
}

func (f *faults) randomDuration() time.Duration {
	return 50*time.Millisecond + time.Duration(f.world.random.Int64N(int64(5*time.Second)))
}

func (f *faults) killFor(n *node, d time.Duration) {
	n.kill()
	f.world.after(d, n.start)
}

func (f *faults) killMany() {
	w := f.world
	d := f.randomDuration() / 2
	for _, address := range w.order[:w.settings.core] {
		if w.random.IntN(3) > 0 {
			f.killFor(w.nodes[address], d+time.Duration(w.random.Int64N(int64(time.Second))))
		}
	}
}

func (f *faults) heal() { f.world.net.heal() }

func (f *faults) oneWayPartition() {
	a, b := f.pick(), f.pick()
	f.world.logf("partition %s -> %s", a.address, b.address)
	f.world.net.partition(a.address, b.address)
	f.world.after(f.randomDuration(), f.heal)
}

func (f *faults) pairPartition() {
	a, b := f.pick(), f.pick()
	f.world.logf("partition %s <-> %s", a.address, b.address)
	f.world.net.partitionBoth(a.address, b.address)
	f.world.after(f.randomDuration(), f.heal)
}

func (f *faults) twoSidedPartition() {
	w := f.world
	var sides [2][]string
	for _, address := range w.order {
		side := w.random.IntN(2)
		sides[side] = append(sides[side], address)
	}
	w.logf("partition %v | %v", sides[0], sides[1])
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			w.net.partitionBoth(a, b)
		}
	}
	w.after(f.randomDuration(), f.heal)
}

func (f *faults) isolate(n *node) {
	w := f.world
	w.logf("isolate %s", n.address)
	for _, other := range w.order {
		w.net.partitionBoth(n.address, other)
	}
	w.after(f.randomDuration(), f.heal)
}

func (f *faults) diskFault(n *node) {
	w := f.world
	switch w.random.IntN(3) {
	case 0:
		w.logf("disk of %s fails", n.address)
		d := n.disk
		d.failing = true
		w.after(f.randomDuration(), func() { d.failing = false })
	case 1:
		w.logf("disk of %s hangs", n.address)
		n.disk.hangUntil = w.now + f.randomDuration()
	case 2:
		w.logf("disk of %s is slow", n.address)
		d := n.disk
		d.sync = 20 * w.sync
		w.after(f.randomDuration(), func() { d.sync = w.sync })
	}
}

// wipeDisks loses the disks of as many machines as may be lost until all are in the chain again.
// Half of the time the others lose power at once.
func (f *faults) wipeDisks() {
	w := f.world
	if w.allInChain() {
		f.wiped = 0
	}
	power := w.random.IntN(2) == 0
	lost := w.random.IntN(w.settings.tolerance - f.wiped + 1)
	f.wiped += lost
	if newest := w.newestView(); lost > 0 {
		f.beyondTolerance = f.beyondTolerance || len(newest.GetVoters()) <= 2*w.settings.tolerance
	}
	first := w.random.IntN(w.settings.core)
	for i := range w.settings.core {
		n := w.nodes[w.order[(first+i)%w.settings.core]]
		if i < lost {
			n.wipe()
			w.after(f.randomDuration(), n.start)
			continue
		}
		if power {
			f.killFor(n, f.randomDuration()/2)
		}
	}
}

// replace removes a machine and adds another with an empty disk; it counts as one of those that may
// be lost.
func (f *faults) replace() {
	w := f.world
	if !w.allInChain() || w.settings.tolerance == 0 {
		return
	}
	f.wiped = 1
	i := w.random.IntN(w.settings.core)
	w.nodes[w.order[i]].kill()
	w.nodes[w.order[i]].removed = true
	spare := w.addNode(fmt.Sprintf("spare-%d", len(w.nodes)), true)
	w.order = w.order[:len(w.order)-1]
	w.logf("%s replaces %s", spare.address, w.order[i])
	w.order[i] = spare.address
	w.after(f.randomDuration(), spare.start)
}

// crashAfterSending kills machines right after they have sent something that others rely on.
func (f *faults) crashAfterSending() {
	w := f.world
	w.logf("machines die as they speak")
	w.net.crashProbability = 0.02
	w.net.onCrash = func(n *node) { f.killFor(n, f.randomDuration()/4) }
	w.after(f.randomDuration(), f.endNetworkFaults)
}

// allInChain reports whether every core machine runs and is in the chain, and nobody else is a
// voter.
func (w *world) allInChain() bool {
	for _, address := range w.order[:w.settings.core] {
		n := w.nodes[address]
		if !n.running || n.suspendedUntil > w.now || n.replica.Status().Role == chain.OutsideChain {
			return false
		}
	}
	return w.chainLength() == w.settings.core && len(w.newestView().GetVoters()) == w.settings.core
}

func (f *faults) lossyNetwork() {
	w := f.world
	w.logf("noise")
	w.net.lossProbability = 0.2 * w.random.Float64()
	w.net.duplicateProbability = 0.2 * w.random.Float64()
	w.net.jitter = f.randomDuration() / 20
	w.net.delayProbability = 0.03 * w.random.Float64()
	w.after(f.randomDuration(), f.endNetworkFaults)
}

func (f *faults) endNetworkFaults() {
	w := f.world
	w.net.lossProbability, w.net.duplicateProbability, w.net.jitter, w.net.delayProbability, w.net.crashProbability = 0, 0, 0, 0, 0
}

func (f *faults) leave(n *node) {
	w := f.world
	if !n.running {
		return
	}
	w.logf("transfer %s", n.address)
	n.input(func() { n.carryOut(n.replica.HandOver(w.now)) })
	w.after(time.Second, func() { f.killFor(n, f.randomDuration()) })
}

// playSeed runs a world with faults, and then a time without, in which everything has to recover.
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
	w.net.delay = 500*time.Microsecond + time.Duration(w.random.Int64N(int64(10*time.Millisecond)))
	w.sync = 500*time.Microsecond + time.Duration(w.random.Int64N(int64(10*time.Millisecond)))
	pace := time.Duration(w.random.Int64N(int64(500*time.Millisecond))) + 20*time.Millisecond
	a := w.newOperator("a", pace)
	b := w.newOperator("b", pace/2)
	f := &faults{world: w, until: 20 * time.Second}
	f.interval = 100*time.Millisecond + time.Duration(w.random.Int64N(int64(1500*time.Millisecond)))
	w.after(time.Duration(w.random.Int64N(int64(2*time.Second))), f.next)
	w.run(f.until)
	f.endNetworkFaults()
	f.heal()
	w.run(f.until + 6*time.Second) // the last faults end
	if f.beyondTolerance {
		w.runFor(5 * time.Second)
		return
	}
	a.interval, b.interval = 10*time.Millisecond, 10*time.Millisecond
	before := a.acknowledged + b.acknowledged
	w.runUntil("acknowledges again", 4*time.Second, func() bool { return a.acknowledged+b.acknowledged > before })
	w.runUntil("all in the chain again", 5*time.Second, w.allInChain)
	a.stopped = true
	w.runUntil("the other operator is answered too", 5*time.Second, b.acknowledgesMore(3))
	b.stopped = true
	w.runFor(2 * time.Second)
	final := &operator{world: w, name: "final", stopped: true}
	final.read(w.nodes[w.order[0]])
	w.runUntil("read at the end", 2*time.Second, func() bool { return final.reads == 1 })
}

func TestSeeds(t *testing.T) {
	seeds := *seedCount
	if testing.Short() {
		seeds = 40
	}
	for i := range uint64(seeds) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSeed(t, seed) })
	}
}
