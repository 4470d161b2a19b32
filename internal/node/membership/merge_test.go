package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	alive   = nodepb.MemberState_ALIVE
	suspect = nodepb.MemberState_SUSPECT
	dead    = nodepb.MemberState_DEAD
	left    = nodepb.MemberState_LEFT
	unknown = nodepb.MemberState(-1)
)

var stranger = core.Peer{NodeID: "c/1", Address: "10.0.0.3:7560"}

func member(id, address string, state nodepb.MemberState, incarnation uint64) *nodepb.Member {
	return &nodepb.Member{NodeId: id, Name: id[:1], Address: address, State: state, Incarnation: incarnation}
}

func claimOf(state nodepb.MemberState, incarnation uint64) *nodepb.Member {
	return member("b/1", "10.0.0.2:7560", state, incarnation)
}

// newNode returns a node that knows no other, with a fixed seed.
func newNode() *Membership {
	self := member("a/1", "10.0.0.1:7560", alive, 5)
	return New(0, Options{Self: self}, rand.New(rand.NewPCG(1, 1)))
}

// receiveClaims lets the node receive claims from stranger.
func (m *Membership) receiveClaims(now core.Time, claims ...*nodepb.Member) []core.Output {
	return m.Receive(now, stranger, memberSync(false, claims))
}

func (m *Membership) stateOf(id string) (nodepb.MemberState, uint64) {
	known := m.table.get(id)
	if known == nil {
		return unknown, 0
	}
	return known.State, known.Incarnation
}

// TestPrecedenceOfClaims: which of two claims about one node wins.
func TestPrecedenceOfClaims(t *testing.T) {
	type claim struct {
		state       nodepb.MemberState
		incarnation uint64
	}
	tests := []struct{ known, received, want claim }{
		{claim{unknown, 0}, claim{alive, 1}, claim{alive, 1}},
		{claim{unknown, 0}, claim{suspect, 1}, claim{suspect, 1}},
		{claim{unknown, 0}, claim{dead, 1}, claim{dead, 1}},
		{claim{unknown, 0}, claim{left, 1}, claim{left, 1}},

		{claim{alive, 3}, claim{alive, 2}, claim{alive, 3}},
		{claim{alive, 3}, claim{alive, 4}, claim{alive, 4}},
		{claim{alive, 3}, claim{suspect, 2}, claim{alive, 3}},
		{claim{alive, 3}, claim{suspect, 3}, claim{suspect, 3}},
		{claim{alive, 3}, claim{suspect, 4}, claim{suspect, 4}},
		{claim{alive, 3}, claim{dead, 2}, claim{alive, 3}},
		{claim{alive, 3}, claim{dead, 3}, claim{suspect, 3}},
		{claim{alive, 3}, claim{dead, 4}, claim{suspect, 4}},
		{claim{alive, 3}, claim{left, 1}, claim{left, 1}},

		{claim{suspect, 3}, claim{alive, 3}, claim{suspect, 3}},
		{claim{suspect, 3}, claim{alive, 4}, claim{alive, 4}},
		{claim{suspect, 3}, claim{suspect, 2}, claim{suspect, 3}},
		{claim{suspect, 3}, claim{suspect, 4}, claim{suspect, 4}},
		{claim{suspect, 3}, claim{dead, 3}, claim{suspect, 3}},
		{claim{suspect, 3}, claim{left, 3}, claim{left, 3}},

		{claim{dead, 3}, claim{alive, 3}, claim{dead, 3}},
		{claim{dead, 3}, claim{alive, 4}, claim{alive, 4}},
		{claim{dead, 3}, claim{suspect, 3}, claim{dead, 3}},
		{claim{dead, 3}, claim{suspect, 4}, claim{suspect, 4}},
		{claim{dead, 3}, claim{dead, 5}, claim{dead, 5}},
		{claim{dead, 3}, claim{left, 3}, claim{left, 3}},

		{claim{left, 3}, claim{alive, 9}, claim{left, 3}},
		{claim{left, 3}, claim{suspect, 9}, claim{left, 3}},
		{claim{left, 3}, claim{dead, 9}, claim{left, 3}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%v then %v", test.known, test.received), func(t *testing.T) {
			m := newNode()
			if test.known.state != unknown {
				m.table.set(claimOf(test.known.state, test.known.incarnation), core.Never, m.random)
			}
			m.receiveClaims(time.Millisecond, claimOf(test.received.state, test.received.incarnation))
			state, incarnation := m.stateOf("b/1")
			assert.Equal(t, state, test.want.state)
			assert.Equal(t, incarnation, test.want.incarnation)
			assert.Equal(t, len(m.Members()) == 2, isLive(test.want.state))
		})
	}
}

func TestIncompleteClaimsAreIgnored(t *testing.T) {
	m := newNode()
	m.receiveClaims(0, &nodepb.Member{}, member("b/1", "", alive, 1), &nodepb.Member{Address: "10.0.0.2:7560"})
	assert.Equal(t, len(m.table.entries), 0)
}

func TestAddressOfNodeIDIsFixed(t *testing.T) {
	m := newNode()
	m.receiveClaims(0, claimOf(alive, 1), member("b/1", "10.0.0.9:7560", alive, 2))
	assert.Equal(t, m.table.get("b/1").Address, "10.0.0.2:7560")
}

// sentTo returns the lists of members sent to an address.
func sentTo(outputs []core.Output, address string) [][]*nodepb.Member {
	var lists [][]*nodepb.Member
	for _, output := range outputs {
		if send, is := output.(core.Send); is && send.Destination == address {
			lists = append(lists, send.Message.GetMemberSync().GetMembers())
		}
	}
	return lists
}

func TestClaimsAgainstSelfAreRefuted(t *testing.T) {
	for _, state := range []nodepb.MemberState{suspect, dead} {
		m := newNode()
		outputs := m.receiveClaims(0, member("a/1", "10.0.0.1:7560", state, 7))
		assert.Equal(t, m.table.self.Incarnation, uint64(8))
		answers := sentTo(outputs, stranger.Address)
		assert.Assert(t, len(answers) > 0)
		assert.Equal(t, answers[len(answers)-1][0].Incarnation, uint64(8))
		// An older claim needs no other incarnation, but its sender is notified.
		outputs = m.receiveClaims(0, member("a/1", "10.0.0.1:7560", state, 6))
		assert.Equal(t, m.table.self.Incarnation, uint64(8))
		assert.Equal(t, sentTo(outputs, stranger.Address)[0][0].Incarnation, uint64(8))
	}
}

func TestPreviousProcessAtOwnAddress(t *testing.T) {
	m := newNode()
	m.receiveClaims(0, member("a/0", "10.0.0.1:7560", alive, 3))
	assert.Equal(t, m.table.self.Incarnation, uint64(5))
	m.receiveClaims(0, member("a/0", "10.0.0.1:7560", dead, 9))
	assert.Equal(t, m.table.self.Incarnation, uint64(5))
	m.receiveClaims(0, member("a/0", "10.0.0.1:7560", alive, 9))
	assert.Equal(t, m.table.self.Incarnation, uint64(10))
	assert.Equal(t, len(m.Members()), 1)
}

func TestTwoProcessesAtOneAddress(t *testing.T) {
	later := func(incarnation uint64) *nodepb.Member { return member("b/2", "10.0.0.2:7560", alive, incarnation) }
	m := newNode()
	m.receiveClaims(0, claimOf(alive, 3))
	m.receiveClaims(0, later(3))
	state, _ := m.stateOf("b/2")
	assert.Equal(t, state, unknown, "of equal incarnations the one known first stays")
	m.receiveClaims(0, later(4))
	state, _ = m.stateOf("b/2")
	assert.Equal(t, state, alive)
	state, _ = m.stateOf("b/1")
	assert.Equal(t, state, dead)
	assert.Equal(t, len(m.Members()), 2)
	assert.Assert(t, !mayRejoin(m.table.entries["b/1"]), "nobody probes a process that was replaced")
}

func TestRestartedProcessLearnsOfPreviousOne(t *testing.T) {
	m := newNode()
	m.receiveClaims(0, claimOf(alive, 3))
	later := core.Peer{NodeID: "b/2", Address: "10.0.0.2:7560"}
	outputs := m.Receive(0, later, memberSync(false, []*nodepb.Member{member("b/2", later.Address, alive, 1)}))
	notified := false
	for _, list := range sentTo(outputs, later.Address) {
		for _, claim := range list {
			notified = notified || claim.NodeId == "b/1"
		}
	}
	assert.Assert(t, notified)
}

func TestEntriesAreBounded(t *testing.T) {
	m := newNode()
	for i := range maxEntries + 100 {
		m.receiveClaims(0, member(fmt.Sprintf("x%d/1", i), fmt.Sprintf("10.9.%d.%d:7560", i/200, i%200), dead, 1))
	}
	assert.Equal(t, len(m.table.entries), maxEntries)
	m.Tick(DefaultDeadRetention + time.Second)
	assert.Equal(t, len(m.table.entries), 0)
	assert.Equal(t, len(m.table.down), 0)
}

// TestClaimOfATakenAddressIsFollowedUpAtOnce: a node that missed that a process has left, and heard of its successor from others, held the
// former one until its probes came to the address: for as many seconds as there are members.
func TestClaimOfATakenAddressIsFollowedUpAtOnce(t *testing.T) {
	m := newNode()
	former := claimOf(alive, 3)
	m.receiveClaims(time.Second, former)
	successor := member("b/2", former.Address, alive, 2)
	outputs := m.receiveClaims(2*time.Second, successor)
	outputs = append(outputs, m.receiveClaims(2*time.Second, successor)...)
	var probes []core.Send
	for _, output := range outputs {
		if send, ok := output.(core.Send); ok && send.Destination == former.Address && send.Message.GetProbe() != nil {
			probes = append(probes, send)
		}
	}
	assert.Equal(t, len(probes), 1, "one probe a second at most")

	// The process at the address answers it, and is then known.
	running := New(0, Options{Self: successor}, rand.New(rand.NewPCG(2, 2)))
	asker := core.Peer{NodeID: "a/1", Address: "10.0.0.1:7560"}
	for _, output := range running.Receive(time.Second, asker, probes[0].Message) {
		if send, ok := output.(core.Send); ok && send.Destination == asker.Address {
			m.Receive(3*time.Second, core.Peer{NodeID: "b/2", Address: former.Address}, send.Message)
		}
	}
	state, _ := m.stateOf("b/2")
	assert.Equal(t, state, alive)
	state, _ = m.stateOf("b/1")
	assert.Equal(t, state, dead)
}
