package chain_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/coretest"
)

// world runs nodes under a virtual clock, with a network and disks that fail on demand. After each
// event it verifies that the guarantees hold.
type world struct {
	t        testing.TB
	random   *rand.Rand
	now      core.Time
	events   coretest.Schedule
	nodes    map[string]*node // by address
	order    []string
	net      network
	checks   *checks
	settings worldSettings
	founders []string // addresses
	disks    int
	sync     time.Duration // of a healthy disk
	trace    []string
}

// worldSettings are the size of a world.
type worldSettings struct {
	core      int
	founders  int
	proxies   int
	tolerance int
	late      int // number of the core machine, from 1 on, that the test starts itself
}

// newWorld starts all machines within 0.3 s, with empty disks.
func newWorld(t testing.TB, seed uint64, settings worldSettings) *world {
	w := &world{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 0x6b657374)),
		nodes:    make(map[string]*node),
		settings: settings,
		sync:     2 * time.Millisecond,
	}
	w.net = network{world: w, delay: 2 * time.Millisecond}
	w.checks = newChecks(w)
	for i := range settings.core {
		w.addNode(fmt.Sprintf("core-%d", i+1), true).bootstrap = true
	}
	w.founders = slices.Clone(w.order[:settings.founders])
	for i := range settings.proxies {
		w.addNode(fmt.Sprintf("proxy-%d", i+1), false)
	}
	for i, address := range w.order {
		n := w.nodes[address]
		if i+1 == settings.late {
			continue
		}
		w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), n.start)
	}
	return w
}

func (w *world) addNode(address string, counts bool) *node {
	n := &node{world: w, address: address, counts: counts}
	if counts {
		n.disk = w.newDisk()
	}
	w.nodes[address] = n
	w.order = append(w.order, address)
	return n
}

func (w *world) newDisk() *disk {
	w.disks++
	return &disk{id: fmt.Sprintf("disk-%02d-%04x", w.disks, w.random.IntN(1<<16)), sync: w.sync}
}

func (w *world) at(at core.Time, run func()) {
	w.events.Add(max(at, w.now), run)
}

func (w *world) after(delay time.Duration, run func()) { w.at(w.now+delay, run) }

// run runs the events up to the time.
func (w *world) run(until core.Time) {
	for w.events.Next() <= until {
		dueAt, call := w.events.Take()
		w.now = dueAt
		call()
		if w.t.Failed() {
			w.fail()
		}
	}
	w.now = until
}

// runFor runs the events of a duration.
func (w *world) runFor(d time.Duration) { w.run(w.now + d) }

// runUntil runs until the condition holds, and fails the test if it doesn't by the limit.
func (w *world) runUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	start := w.now
	for !condition() {
		if w.now-start > limit || w.events.Next() == core.Never {
			w.logf("not within %v: %s", limit, what)
			w.t.Errorf("not within %v: %s", limit, what)
			w.fail()
		}
		w.run(w.events.Next())
	}
	return w.now - start
}

func (w *world) fail() {
	w.t.Helper()
	for _, address := range w.order {
		n := w.nodes[address]
		if n.replica != nil {
			w.logf("%s running=%v suspended=%v %s", address, n.running, w.now < n.suspendedUntil, n.describe())
		}
	}
	lines := w.trace[max(0, len(w.trace)-400):]
	w.t.Fatalf("at %v\n%s", w.now, strings.Join(lines, "\n"))
}

func (w *world) logf(format string, arguments ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%10v ", w.now)+fmt.Sprintf(format, arguments...))
}
