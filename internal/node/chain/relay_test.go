package chain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
)

// TestEvenPartitionIsBridgedByRelays partitions the core into halves while the proxies reach both:
// chain and view stay.
func TestEvenPartitionIsBridgedByRelays(t *testing.T) {
	for _, settings := range []worldSettings{
		{core: 3, founders: 3, proxies: 2, tolerance: 1},
		fourCoreMachines,
		{core: 6, founders: 3, proxies: 3, tolerance: 2},
		{core: 8, founders: 3, proxies: 3, tolerance: 2},
	} {
		w, o := newRunningWorld(t, settings)
		before := w.newestView().GetEpoch()
		half := settings.core / 2
		w.partitionSides(w.order[:half], w.order[half:settings.core])
		w.runFor(15 * time.Second)
		assert.Equal(t, w.newestView().GetEpoch(), before, "the view stays")
		assert.Assert(t, o.longestGap < 1200*time.Millisecond, "no acknowledgement for %v", o.longestGap)
		t.Logf("%d core machines: no acknowledgement for %v, %d of %d messages relayed",
			settings.core, o.longestGap, w.net.relayed, w.net.sent)
		w.net.heal()
		w.runFor(2 * time.Second)
		relayed := w.net.relayed
		w.runFor(2 * time.Second)
		assert.Equal(t, w.net.relayed, relayed, "nothing is relayed once the direct way is back")
	}
}

// TestIsolatedMemberStaysByRelays partitions one member from the rest of the core, in both
// directions and in each alone.
func TestIsolatedMemberStaysByRelays(t *testing.T) {
	for _, role := range []chain.MemberRole{chain.Head, chain.Middle, chain.Tail} {
		for _, ways := range []string{"both", "to it", "from it"} {
			w, o := newRunningWorld(t, fourCoreMachines)
			before := w.newestView().GetEpoch()
			n := w.inRole(role)
			for _, other := range w.order[:4] {
				if ways != "from it" {
					w.net.partition(other, n.address)
				}
				if ways != "to it" {
					w.net.partition(n.address, other)
				}
			}
			w.runFor(20 * time.Second)
			assert.Equal(t, w.newestView().GetEpoch(), before, "%v isolated %s: the view stays", role, ways)
			assert.Assert(t, o.longestGap < 1200*time.Millisecond, "%v isolated %s: no acknowledgement for %v", role, ways, o.longestGap)
		}
	}
}

// TestRelaysFailDuringAPartition kills the relays one after the other; each time another takes
// over.
func TestRelaysFailDuringAPartition(t *testing.T) {
	w, o := newRunningWorld(t, worldSettings{core: 4, founders: 3, proxies: 4, tolerance: 1})
	o.through = []string{"proxy-4"}
	w.partitionSides([]string{"core-1", "core-2"}, []string{"core-3", "core-4"})
	for _, gone := range []string{"proxy-1", "proxy-2", "proxy-3"} {
		w.runFor(3 * time.Second)
		w.nodes[gone].kill()
	}
	w.runFor(3 * time.Second)
	t.Logf("no acknowledgement for %v", o.longestGap)
	assert.Assert(t, o.longestGap < 2500*time.Millisecond, "no acknowledgement for %v", o.longestGap)
	w.runUntil("acknowledges by the last relay", time.Second, o.acknowledgesMore(5))
}

// TestCoreMachineRelays: between two partitioned members a third one relays, without any proxy.
func TestCoreMachineRelays(t *testing.T) {
	w := newWorld(t, 11, worldSettings{core: 3, founders: 3, tolerance: 1})
	w.runUntil("all in the chain", 2*time.Second, w.chainHasLength(3))
	before := w.newestView().GetEpoch()
	o := w.newOperator("a", 2*time.Millisecond)
	w.runUntil("first acknowledgements", 3*time.Second, o.acknowledgesMore(5))
	o.longestGap = 0
	w.net.partitionBoth("core-1", "core-2")
	w.runFor(10 * time.Second)
	assert.Equal(t, w.newestView().GetEpoch(), before, "the view stays")
	assert.Assert(t, o.longestGap < 1200*time.Millisecond, "no acknowledgement for %v", o.longestGap)
}

// TestRestartDuringAnEvenPartition: machines of both halves restart while only proxies reach both.
func TestRestartDuringAnEvenPartition(t *testing.T) {
	for _, restarted := range [][]string{{"core-1"}, {"core-4"}, {"core-1", "core-3"}, {"core-1", "core-2", "core-3", "core-4"}} {
		w, o := newRunningWorld(t, fourCoreMachines)
		w.partitionSides([]string{"core-1", "core-2"}, []string{"core-3", "core-4"})
		w.runFor(2 * time.Second)
		for _, address := range restarted {
			w.nodes[address].kill()
			w.after(500*time.Millisecond, w.nodes[address].start)
		}
		w.runFor(500 * time.Millisecond)
		took := w.runUntil("acknowledges", 3*time.Second, o.acknowledgesMore(5))
		rejoined := w.runUntil("all in the chain again", 3*time.Second, w.allInChain)
		t.Logf("%v restarted: acknowledges after %v, all in the chain %v later", restarted, took, rejoined)
	}
}
