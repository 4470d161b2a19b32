package chain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/nodepb"
)

// newestView is the newest view that a running machine knows.
func (w *world) newestView() *nodepb.View {
	var newest *nodepb.View
	for _, n := range w.replicas() {
		if status := n.replica.Status(); status.Epoch > newest.GetEpoch() {
			newest = status.View
		}
	}
	return newest
}

// replicas lists the core machines that run.
func (w *world) replicas() []*node {
	var running []*node
	for _, address := range w.order {
		if n := w.nodes[address]; n.replica != nil && n.running {
			running = append(running, n)
		}
	}
	return running
}

// chainLength is the length of the chain as all machines know it, 0 while they don't agree.
func (w *world) chainLength() int {
	newest := w.newestView()
	for _, n := range w.replicas() {
		if n.replica.Status().Epoch != newest.GetEpoch() {
			return 0
		}
	}
	return len(newest.GetChain())
}

func (w *world) chainHasLength(length int) func() bool {
	return func() bool { return w.chainLength() == length }
}

func (o *operator) acknowledgesMore(count int) func() bool {
	before := o.acknowledged
	return func() bool { return o.acknowledged >= before+count }
}

func TestFoundingAndFirstCommands(t *testing.T) {
	for _, settings := range []worldSettings{
		{core: 1, founders: 1, tolerance: 0},
		{core: 3, founders: 3, proxies: 2, tolerance: 1},
		{core: 4, founders: 3, proxies: 2, tolerance: 1},
		{core: 8, founders: 3, proxies: 2, tolerance: 2},
	} {
		w := newWorld(t, 1, settings)
		took := w.runUntil("all in the chain", 2*time.Second, w.chainHasLength(settings.core))
		t.Logf("%d core machines in the chain after %v", settings.core, took)
		o := w.newOperator("a", 5*time.Millisecond)
		w.runFor(5 * time.Second)
		assert.Assert(t, o.acknowledged > 20, "acknowledged only %d", o.acknowledged)
		assert.Assert(t, o.reads > 10, "read only %d", o.reads)
	}
}

// newRunningWorld is a world whose machines are all in the chain, with an operator that has been
// acknowledged.
func newRunningWorld(t *testing.T, settings worldSettings) (*world, *operator) {
	t.Helper()
	w := newWorld(t, *firstSeed+7, settings)
	w.runUntil("all in the chain", 2*time.Second, w.chainHasLength(settings.core))
	o := w.newOperator("a", 2*time.Millisecond)
	if settings.proxies > 0 {
		o.through = w.order[settings.core:]
	}
	w.runUntil("first acknowledgements", 3*time.Second, o.acknowledgesMore(5))
	o.longestGap = 0
	return w, o
}

var fourCoreMachines = worldSettings{core: 4, founders: 3, proxies: 2, tolerance: 1}

func (w *world) inRole(role chain.MemberRole) *node {
	for _, n := range w.replicas() {
		if n.replica.Status().Role == role {
			return n
		}
	}
	w.t.Fatalf("nobody is %v", role)
	return nil
}

func TestKilledMemberRejoins(t *testing.T) {
	for _, role := range []chain.MemberRole{chain.Head, chain.Middle, chain.Tail} {
		for _, downtime := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second} {
			w, o := newRunningWorld(t, fourCoreMachines)
			n := w.inRole(role)
			n.kill()
			w.runFor(downtime)
			n.start()
			back := w.runUntil("in the chain again", 1500*time.Millisecond, w.allInChain)
			w.runUntil("acknowledges", time.Second, o.acknowledgesMore(5))
			t.Logf("%v killed for %v: no acknowledgement for %v, in the chain again after %v", role, downtime, o.longestGap, back)
			assert.Assert(t, o.longestGap < 2*time.Second, "no acknowledgement for %v", o.longestGap)
		}
	}
}

func TestViewSurvivesRestartOfAllMembers(t *testing.T) {
	for _, settings := range []worldSettings{
		{core: 1, founders: 1, proxies: 1, tolerance: 0},
		{core: 3, founders: 3, proxies: 1, tolerance: 1},
		fourCoreMachines,
		{core: 8, founders: 3, proxies: 1, tolerance: 2},
	} {
		w, o := newRunningWorld(t, settings)
		before := w.newestView().GetEpoch()
		for _, n := range w.replicas() {
			n.kill()
		}
		w.runFor(900 * time.Millisecond)
		for _, address := range w.order {
			w.after(time.Duration(w.random.Int64N(int64(100*time.Millisecond))), w.nodes[address].start)
		}
		w.runFor(100 * time.Millisecond)
		took := w.runUntil("acknowledges", time.Second, o.acknowledgesMore(1))
		t.Logf("%d core machines: acknowledged %v after the last was back", settings.core, took)
		w.runFor(3 * time.Second)
		assert.Equal(t, w.newestView().GetEpoch(), before, "the view stays")
	}
}

func TestAcknowledgedEntriesSurvivePowerLossAndLostDisks(t *testing.T) {
	for _, settings := range []worldSettings{
		{core: 3, founders: 3, proxies: 1, tolerance: 1},
		fourCoreMachines,
		{core: 6, founders: 3, proxies: 1, tolerance: 2},
		{core: 8, founders: 3, proxies: 1, tolerance: 2},
	} {
		for first := range settings.core {
			w, o := newRunningWorld(t, settings)
			acked := o.acknowledged
			for i := range settings.core {
				n := w.nodes[w.order[(first+i)%settings.core]]
				if i < settings.tolerance {
					n.wipe()
				}
				n.kill()
				w.after(300*time.Millisecond, n.start)
			}
			w.runFor(300 * time.Millisecond)
			took := w.runUntil("acknowledges", 3*time.Second, o.acknowledgesMore(5))
			rejoined := w.runUntil("all in the chain", 3*time.Second, w.allInChain)
			t.Logf("%d core machines, disks lost from %d on: acknowledged after %v, all in the chain %v later", settings.core, first, took, rejoined)
			assert.Assert(t, len(w.checks.acknowledged) > acked)
			assert.Equal(t, len(w.newestView().GetVoters()), settings.core)
		}
	}
}

func TestReplacementMachineJoins(t *testing.T) {
	for _, settings := range []worldSettings{{core: 3, founders: 3, proxies: 1, tolerance: 1}, fourCoreMachines} {
		w, o := newRunningWorld(t, settings)
		w.nodes["core-1"].kill()
		w.runFor(500 * time.Millisecond)
		w.addNode("spare-1", true).start()
		took := w.runUntil("the successor is in the chain", 3*time.Second, w.chainHasLength(settings.core))
		t.Logf("%d core machines: the successor is in the chain after %v", settings.core, took)
		w.runFor(4 * time.Second)
		assert.Equal(t, len(w.newestView().GetVoters()), settings.core, "the lost voter is dropped")
		w.nodes["core-2"].kill()
		w.runUntil("acknowledges with another one lost", 2*time.Second, o.acknowledgesMore(5))
	}
}

func TestMajorityContinuesWithoutAPartitionedHead(t *testing.T) {
	w, o := newRunningWorld(t, worldSettings{core: 3, founders: 3, proxies: 1, tolerance: 1})
	head := w.inRole(chain.Head)
	for _, other := range w.order {
		w.net.partitionBoth(head.address, other)
	}
	w.runUntil("the majority goes on", 2500*time.Millisecond, o.acknowledgesMore(5))
	assert.Equal(t, head.replica.Status().Role, chain.Head, "the old head can't know")
	assert.Assert(t, !head.replica.Status().Wedged, "a minority doesn't wedge itself")
	w.runFor(5 * time.Second)
	w.net.heal()
	took := w.runUntil("all in the chain again", 1500*time.Millisecond, w.allInChain)
	t.Logf("all in the chain again %v after the partition healed", took)
}

// partitionSides stops messages between all machines of different sides.
func (w *world) partitionSides(a, b []string) {
	for _, one := range a {
		for _, other := range b {
			w.net.partitionBoth(one, other)
		}
	}
}

// TestEvenPartitionStopsBothSides partitions the proxies as well, so that no machine reaches both
// sides.
func TestEvenPartitionStopsBothSides(t *testing.T) {
	w, o := newRunningWorld(t, fourCoreMachines)
	w.partitionSides([]string{"core-1", "core-2", "proxy-1"}, []string{"core-3", "core-4", "proxy-2"})
	w.runFor(100 * time.Millisecond)
	before := o.acknowledged
	w.runFor(5 * time.Second)
	assert.Equal(t, o.acknowledged, before)
	w.net.heal()
	took := w.runUntil("acknowledges", 1500*time.Millisecond, o.acknowledgesMore(5))
	t.Logf("acknowledges %v after the partition healed", took)
}

func TestPartitionBetweenTwoMembersDoesNotFlap(t *testing.T) {
	for _, pair := range [][2]string{{"core-1", "core-2"}, {"core-1", "core-4"}, {"core-2", "core-3"}, {"core-3", "core-4"}} {
		for _, oneWay := range []bool{false, true} {
			w, o := newRunningWorld(t, fourCoreMachines)
			before := w.newestView().GetEpoch()
			w.net.partition(pair[0], pair[1])
			if !oneWay {
				w.net.partition(pair[1], pair[0])
			}
			w.runFor(20 * time.Second)
			changes := w.newestView().GetEpoch() - before
			t.Logf("partition %v one way %v: %d views, no acknowledgement for %v", pair, oneWay, changes, o.longestGap)
			assert.Assert(t, changes <= 2, "%d views", changes)
			assert.Assert(t, o.longestGap < 3*time.Second, "no acknowledgement for %v", o.longestGap)
			w.net.heal()
			w.runUntil("all in the chain again", 1500*time.Millisecond, w.allInChain)
		}
	}
}

func TestSuspendedMemberRejoins(t *testing.T) {
	for _, role := range []chain.MemberRole{chain.Head, chain.Middle, chain.Tail} {
		for _, suspended := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			w, o := newRunningWorld(t, fourCoreMachines)
			n := w.inRole(role)
			n.suspend(suspended)
			w.runFor(suspended)
			took := w.runUntil("all in the chain again", 1500*time.Millisecond, w.allInChain)
			t.Logf("%v suspended for %v: no acknowledgement for %v, all in the chain %v after", role, suspended, o.longestGap, took)
			assert.Assert(t, o.longestGap < 2*time.Second, "no acknowledgement for %v", o.longestGap)
			assert.Equal(t, len(w.newestView().GetVoters()), 4)
		}
	}
}

func TestViewSurvivesSuspensionOfAllMembers(t *testing.T) {
	w, o := newRunningWorld(t, fourCoreMachines)
	before := w.newestView().GetEpoch()
	for _, n := range w.replicas() {
		n.suspend(3 * time.Second)
	}
	w.runFor(5 * time.Second)
	assert.Equal(t, w.newestView().GetEpoch(), before, "the view stays")
	w.runUntil("acknowledges", time.Second, o.acknowledgesMore(5))
}

func TestMemberWithADiskFaultLeavesTheChain(t *testing.T) {
	faults := map[string]func(w *world, n *node){
		"fails": func(w *world, n *node) {
			n.disk.failing = true
			w.after(5*time.Second, func() { n.disk.failing = false })
		},
		"hangs": func(w *world, n *node) { n.disk.hangUntil = w.now + 5*time.Second },
	}
	for name, injectFault := range faults {
		for _, role := range []chain.MemberRole{chain.Head, chain.Middle, chain.Tail} {
			w, o := newRunningWorld(t, fourCoreMachines)
			n := w.inRole(role)
			injectFault(w, n)
			w.runFor(5 * time.Second)
			assert.Equal(t, n.replica.Status().Role, chain.OutsideChain, "a member with a disk fault leaves the chain")
			took := w.runUntil("all in the chain again", 3*time.Second, w.allInChain)
			t.Logf("disk of the %v %s: no acknowledgement for %v, all in the chain %v after", role, name, o.longestGap, took)
			assert.Assert(t, o.longestGap < 2500*time.Millisecond, "no acknowledgement for %v", o.longestGap)
		}
	}
}

func TestLeavingMemberHandsOver(t *testing.T) {
	for _, role := range []chain.MemberRole{chain.Head, chain.Middle, chain.Tail} {
		w, o := newRunningWorld(t, fourCoreMachines)
		n := w.inRole(role)
		n.input(func() { n.carryOut(n.replica.HandOver(w.now)) })
		w.runFor(500 * time.Millisecond)
		assert.Equal(t, n.replica.Status().Role, chain.OutsideChain)
		n.kill()
		w.runFor(2 * time.Second)
		t.Logf("%v handed over and ended: no acknowledgement for %v", role, o.longestGap)
		assert.Assert(t, o.longestGap < 300*time.Millisecond, "no acknowledgement for %v", o.longestGap)
		n.start()
		w.runUntil("all in the chain again", 1500*time.Millisecond, w.allInChain)
	}
}

func TestLeavingHeadOfTwoBecomesTail(t *testing.T) {
	w, o := newRunningWorld(t, worldSettings{core: 2, founders: 2, proxies: 1, tolerance: 1})
	head := w.inRole(chain.Head)
	head.input(func() { head.carryOut(head.replica.HandOver(w.now)) })
	w.runFor(500 * time.Millisecond)
	assert.Equal(t, head.replica.Status().Role, chain.Tail, "the chain needs both, so that the head goes to its end")
	w.runUntil("acknowledges", time.Second, o.acknowledgesMore(5))
}

func TestFirstViewWithoutAMissingFounder(t *testing.T) {
	for missing := range 3 {
		w := newWorld(t, 3, worldSettings{core: 4, founders: 3, proxies: 1, tolerance: 1, late: missing + 1})
		late := w.nodes[w.order[missing]]
		w.runUntil("a view without it", 3*time.Second, func() bool { return w.newestView() != nil })
		w.runFor(2 * time.Second)
		assert.Equal(t, len(w.newestView().GetChain()), 3)
		late.start()
		w.runUntil("it joins", 1500*time.Millisecond, w.chainHasLength(4))
	}
}

func TestFoundersRestartBeforeTheFirstView(t *testing.T) {
	w := newWorld(t, 5, worldSettings{core: 3, founders: 3, proxies: 1, tolerance: 1})
	w.run(40 * time.Millisecond)
	for range 10 {
		for _, address := range w.order[:3] {
			n := w.nodes[address]
			n.kill()
			w.after(30*time.Millisecond, n.start)
		}
		w.runFor(35 * time.Millisecond)
	}
	w.runUntil("all in the chain", 3*time.Second, w.chainHasLength(3))
}

// TestIdleTrafficIsBounded bounds the messages of a core without commands.
func TestIdleTrafficIsBounded(t *testing.T) {
	w := newWorld(t, 1, worldSettings{core: 8, founders: 3, tolerance: 2})
	w.runUntil("all in the chain", 2*time.Second, w.chainHasLength(8))
	w.runFor(time.Second)
	before := w.net.sent
	w.runFor(10 * time.Second)
	perSecond := float64(w.net.sent-before) / 10 / 8
	t.Logf("%.1f messages a second of each of 8 machines", perSecond)
	assert.Assert(t, perSecond < 30, "%.1f messages a second", perSecond)
}
