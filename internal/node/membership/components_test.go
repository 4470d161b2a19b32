package membership

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

func idsOf(members []*nodepb.Member) []string {
	var ids []string
	for _, one := range members {
		ids = append(ids, one.NodeId)
	}
	return ids
}

func TestGossipOrdersByAgeAndTransmissions(t *testing.T) {
	members, _ := tableOf(4)
	var g gossip
	g.add("a/0", 3)
	g.add("b/1", 3)
	g.add("c/2", 3)
	assert.DeepEqual(t, idsOf(g.take(nil, 2, members)), []string{"c/2", "b/1"})
	g.add("d/3", 1)
	assert.DeepEqual(t, idsOf(g.take(nil, 2, members)), []string{"d/3", "a/0"})
	assert.DeepEqual(t, idsOf(g.take(nil, 9, members)), []string{"c/2", "b/1", "a/0"})
	assert.DeepEqual(t, idsOf(g.take(nil, 9, members)), []string{"c/2", "b/1", "a/0"})
	assert.Equal(t, len(g.take(nil, 9, members)), 0)
}

func TestGossipHasOneUpdatePerNode(t *testing.T) {
	members, _ := tableOf(2)
	var g gossip
	g.add("a/0", 2)
	g.add("a/0", 2)
	assert.Equal(t, len(g.queue), 1)
	first := []*nodepb.Member{members.get("a/0")}
	assert.DeepEqual(t, idsOf(g.take(first, 5, members)), []string{"a/0"})
	g.add("gone/1", 2)
	assert.DeepEqual(t, idsOf(g.take(nil, 5, members)), []string{"a/0"})
	assert.Equal(t, len(g.queue), 0)
}

func TestGossipRemovesDeadMembers(t *testing.T) {
	members, random := tableOf(2)
	var g gossip
	g.add("a/0", 2)
	g.add("b/1", 2)
	members.set(member("a/0", "10.0.1.0:7560", dead, 1), core.Never, random)
	g.removeDead(members)
	assert.DeepEqual(t, idsOf(g.take(nil, 5, members)), []string{"b/1"})
}

func TestPushRoundsAreSpacedAndBounded(t *testing.T) {
	members, _ := tableOf(3)
	var p pushes
	assert.Equal(t, p.deadline(), core.Never)
	p.add("a/0", true)
	for round := range core.Time(pushRounds) {
		now := time.Second + round*pushInterval
		assert.Assert(t, p.deadline() <= now)
		p.beginRound(now)
		assert.DeepEqual(t, idsOf(p.take(members)), []string{"a/0"})
	}
	assert.Equal(t, p.deadline(), core.Never)
}

func TestPushesOfSuspicionsAreRateLimited(t *testing.T) {
	members, _ := tableOf(3)
	var p pushes
	now := core.Time(0)
	rounds := 0
	for now < 100*time.Second {
		p.add("a/0", false)
		now = max(now, p.deadline())
		p.beginRound(now)
		p.take(members)
		rounds++
	}
	assert.Assert(t, rounds <= pushAllowance+1+int(100*time.Second/pushRefillInterval), "%d", rounds)

	p.add("b/1", true)
	assert.Assert(t, p.deadline() <= now+pushInterval, "changes do not wait for the allowance")
}

func TestAwarenessRisesOnlyWithoutContact(t *testing.T) {
	contacted := health{lastContactAt: time.Minute}
	for i, target := range []string{"a", "b", "c", "d", "e"} {
		assert.Assert(t, !contacted.recordMiss(target, core.Time(i)*time.Second))
	}
	assert.Equal(t, contacted.awareness, 0)

	var isolated health
	var blamed []bool
	for i, target := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		blamed = append(blamed, !isolated.recordMiss(target, time.Minute+core.Time(i)*time.Second))
	}
	assert.DeepEqual(t, blamed, []bool{true, true, false, false, false, true, true})
	assert.Equal(t, isolated.awareness, maxAwareness)
	assert.Equal(t, isolated.scale(time.Second), 3*time.Second)
	for range maxAwareness {
		isolated.recordAck()
	}
	assert.Equal(t, isolated.scale(time.Second), time.Second)
}

func TestRepeatedMissesOfOneMemberLeaveAwareness(t *testing.T) {
	var h health
	for i := range 10 {
		assert.Assert(t, !h.recordMiss("a", time.Minute+core.Time(i)*time.Second))
	}
	assert.Equal(t, h.awareness, 0)
}

func TestSuspicionTimeGrowsLogarithmically(t *testing.T) {
	times := []core.Time{}
	for _, n := range []int{1, 10, 24} {
		m := newNode()
		m.table, _ = tableOf(n)
		times = append(times, m.suspicionTime())
	}
	assert.Equal(t, times[0], DefaultMinSuspicion)
	assert.Assert(t, slices.IsSorted(times))
	assert.Assert(t, times[2] < 4*time.Second)
}

func TestExpectedListIsTakenOnceAndInTime(t *testing.T) {
	var s syncs
	s.expectList("x", 0)
	assert.Assert(t, !s.takeExpected("y", time.Second))
	assert.Assert(t, s.takeExpected("x", time.Second))
	assert.Assert(t, !s.takeExpected("x", time.Second))
	s.expectList("x", 0)
	assert.Assert(t, !s.takeExpected("x", listTimeout))
	assert.Equal(t, len(s.awaitedLists), 0)
}

func TestProbeForPreviousProcessIsNotAcked(t *testing.T) {
	m := newNode()
	outputs := m.Receive(0, stranger, probeMessage(&nodepb.Probe{Sequence: 4, TargetId: "a/0"}))
	for _, output := range outputs {
		if send, is := output.(core.Send); is {
			assert.Assert(t, send.Message.GetProbeAck() == nil)
		}
	}
	assert.Equal(t, sentTo(outputs, stranger.Address)[0][0].NodeId, "a/1")
}

func TestOtherMessagesAreIgnored(t *testing.T) {
	m := newNode()
	envelope := &nodepb.Envelope{Body: &nodepb.Envelope_Append{Append: &nodepb.Append{}}}
	assert.Equal(t, len(m.Receive(0, stranger, envelope)), 0)
	assert.Equal(t, len(m.Receive(0, stranger, &nodepb.Envelope{})), 0)
}

func TestRelayedProbesAreBounded(t *testing.T) {
	m := newNode()
	request := &nodepb.ProbeRequest{Sequence: 1, TargetId: "x/1", TargetAddress: "10.7.0.1:7560"}
	for range 3 * maxRelays {
		m.Receive(time.Second, stranger, probeRequest(request))
	}
	assert.Equal(t, len(m.probes.relays), maxRelays)
	m.Receive(time.Minute, stranger, probeRequest(request))
	assert.Equal(t, len(m.probes.relays), 1)
}

func TestLeftNodeOnlyAcksProbes(t *testing.T) {
	m := newNode()
	m.receiveClaims(0, claimOf(alive, 1))
	assert.Equal(t, len(sentTo(m.Leave(0), "10.0.0.2:7560")), 1)
	assert.Equal(t, m.Deadline(), core.Never)
	assert.Equal(t, len(m.Leave(0)), 0)
	assert.Equal(t, len(m.Tick(time.Second)), 0)
	outputs := m.Receive(0, stranger, probeMessage(&nodepb.Probe{Sequence: 4, TargetId: "a/1"}))
	ack := outputs[0].(core.Send).Message.GetProbeAck()
	assert.Equal(t, ack.Updates[0].State, left)
}
