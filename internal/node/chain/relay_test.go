package chain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
)

// TestEvenCutGoesOnByRelays cuts the core in two while the proxies reach both halves: the chain and its view stay as they are.
func TestEvenCutGoesOnByRelays(t *testing.T) {
	for _, settings := range []worldSettings{
		{core: 3, founders: 3, proxies: 2, tolerance: 1},
		four,
		{core: 6, founders: 3, proxies: 3, tolerance: 2},
		{core: 8, founders: 3, proxies: 3, tolerance: 2},
	} {
		w, o := settled(t, settings)
		before := w.newestView().GetEpoch()
		half := settings.core / 2
		w.cutSides(w.order[:half], w.order[half:settings.core])
		w.runFor(15 * time.Second)
		assert.Equal(t, w.newestView().GetEpoch(), before, "the view stays")
		assert.Assert(t, o.longest < 1200*time.Millisecond, "no acknowledgement for %v", o.longest)
		t.Logf("%d core machines: no acknowledgement for %v, %d of %d messages relayed",
			settings.core, o.longest, w.net.relayed, w.net.sent)
		w.net.heal()
		w.runFor(2 * time.Second)
		relayed := w.net.relayed
		w.runFor(2 * time.Second)
		assert.Equal(t, w.net.relayed, relayed, "nothing is relayed once the direct way is back")
	}
}

// TestCutMemberStaysByRelays cuts one member off from the rest of the core, both ways and each way alone.
func TestCutMemberStaysByRelays(t *testing.T) {
	for _, role := range []chain.MemberRole{chain.Head, chain.Middle, chain.Tail} {
		for _, ways := range []string{"both", "to it", "from it"} {
			w, o := settled(t, four)
			before := w.newestView().GetEpoch()
			n := w.inRole(role)
			for _, other := range w.order[:4] {
				if ways != "from it" {
					w.net.cut(other, n.address)
				}
				if ways != "to it" {
					w.net.cut(n.address, other)
				}
			}
			w.runFor(20 * time.Second)
			assert.Equal(t, w.newestView().GetEpoch(), before, "%v cut off %s: the view stays", role, ways)
			assert.Assert(t, o.longest < 1200*time.Millisecond, "%v cut off %s: no acknowledgement for %v", role, ways, o.longest)
		}
	}
}

// TestRelaysGoAwayDuringACut kills the relays one after the other; each time another takes over.
func TestRelaysGoAwayDuringACut(t *testing.T) {
	w, o := settled(t, worldSettings{core: 4, founders: 3, proxies: 4, tolerance: 1})
	o.through = []string{"proxy-4"}
	w.cutSides([]string{"core-1", "core-2"}, []string{"core-3", "core-4"})
	for _, gone := range []string{"proxy-1", "proxy-2", "proxy-3"} {
		w.runFor(3 * time.Second)
		w.nodes[gone].kill()
	}
	w.runFor(3 * time.Second)
	t.Logf("no acknowledgement for %v", o.longest)
	assert.Assert(t, o.longest < 2500*time.Millisecond, "no acknowledgement for %v", o.longest)
	w.runUntil("acknowledges by the last relay", time.Second, o.acksAgain(5))
}

// TestCoreMachineRelays: between two members that miss one another a third relays, without any proxy.
func TestCoreMachineRelays(t *testing.T) {
	w := newWorld(t, 11, worldSettings{core: 3, founders: 3, tolerance: 1})
	w.runUntil("all in the chain", 2*time.Second, w.whole(3))
	before := w.newestView().GetEpoch()
	o := w.newOperator("a", 2*time.Millisecond)
	w.runUntil("first acknowledgements", 3*time.Second, o.acksAgain(5))
	o.longest = 0
	w.net.cutBoth("core-1", "core-2")
	w.runFor(10 * time.Second)
	assert.Equal(t, w.newestView().GetEpoch(), before, "the view stays")
	assert.Assert(t, o.longest < 1200*time.Millisecond, "no acknowledgement for %v", o.longest)
}

// TestRestartDuringAnEvenCut: machines of both halves restart while only proxies reach both.
func TestRestartDuringAnEvenCut(t *testing.T) {
	for _, restarted := range [][]string{{"core-1"}, {"core-4"}, {"core-1", "core-3"}, {"core-1", "core-2", "core-3", "core-4"}} {
		w, o := settled(t, four)
		w.cutSides([]string{"core-1", "core-2"}, []string{"core-3", "core-4"})
		w.runFor(2 * time.Second)
		for _, address := range restarted {
			w.nodes[address].kill()
			w.after(500*time.Millisecond, w.nodes[address].start)
		}
		w.runFor(500 * time.Millisecond)
		took := w.runUntil("acknowledges", 3*time.Second, o.acksAgain(5))
		whole := w.runUntil("whole again", 3*time.Second, w.allSettled)
		t.Logf("%v restarted: acknowledges after %v, whole %v later", restarted, took, whole)
	}
}
