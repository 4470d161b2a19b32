package membership

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// leaveFanout is the number of members that a leaving node notifies itself; these disseminate it.
const leaveFanout = 8

// Membership is the state machine of one node's member list. It is not safe for concurrent use.
type Membership struct {
	options   Options
	random    *rand.Rand
	startedAt core.Time
	now       core.Time     // of the current input; it never goes back
	deadline  core.Time     // of the next Tick, as of the end of the last input
	outputs   []core.Output // of the current input
	hasLeft   bool          // Leave was called

	table  *table
	gossip gossip
	pushes pushes
	probes probes
	health health
	join   join
	rejoin rejoin
	sync   syncs
	// replyClaims are the members that the sender of the current message needs to know of.
	replyClaims []*nodepb.Member
}

// New returns the list of a node that starts now and knows no member but itself. random is the
// source of all random draws. The first Tick is due at once.
func New(now core.Time, options Options, random *rand.Rand) *Membership {
	options = options.withDefaults()
	self := proto.CloneOf(options.Self)
	self.State = nodepb.MemberState_ALIVE
	self.Incarnation = max(self.Incarnation, 1)
	m := &Membership{options: options, random: random, startedAt: now, now: now, table: newTable(self)}
	m.probes = newProbes(random)
	m.rejoin = rejoin{nextDeadProbeAt: now, nextSeedCallAt: now}
	m.join = newJoin(now, otherAddresses(options.Seeds, self.Address))
	m.sync = syncs{nextExchangeAt: now + m.syncInterval(), convergeAt: core.Never}
	m.deadline = m.nextDeadline()
	return m
}

// Deadline returns when Tick is to be called next; core.Never after Leave.
func (m *Membership) Deadline() core.Time { return m.deadline }

// nextDeadline returns the earliest deadline of all timers, at least now.
func (m *Membership) nextDeadline() core.Time {
	if m.hasLeft {
		return core.Never
	}
	next := min(
		m.probes.deadline(),
		m.pushes.deadline(),
		m.join.nextCallAt,
		m.rejoinDeadline(),
		m.syncDeadline(),
		m.sync.convergeAt,
	)
	for _, suspect := range m.table.suspects {
		next = min(next, suspect.expiresAt, suspect.finalProbeAt)
	}
	return max(next, m.now)
}

// Tick runs the timers that are due.
func (m *Membership) Tick(now core.Time) []core.Output {
	m.beginInput(now)
	if m.hasLeft {
		return m.finishInput()
	}
	m.stepSuspicions()
	m.removeExpired()
	m.stepJoin()
	m.stepProbes()
	m.stepRejoin()
	m.stepSync()
	m.stepPushes()
	return m.finishInput()
}

// beginInput sets the time of an input. One that comes too late shows that this node was stopped
// meanwhile.
func (m *Membership) beginInput(now core.Time) {
	late := now - min(m.deadline, now)
	m.now = max(m.now, now)
	if late > stallAfter && len(m.table.ring) > 0 {
		m.recoverFromStall(late)
	}
}

// finishInput returns the outputs of an input, and sets the deadline.
func (m *Membership) finishInput() []core.Output {
	outputs := m.outputs
	m.outputs = nil
	m.deadline = m.nextDeadline()
	return outputs
}

// Leave announces the graceful shutdown of this node. Afterwards it only acks probes.
func (m *Membership) Leave(now core.Time) []core.Output {
	m.now = max(m.now, now)
	if m.hasLeft {
		return nil
	}
	m.hasLeft = true
	self := withState(m.table.self, nodepb.MemberState_LEFT)
	self.Incarnation++
	m.table.setSelf(self)
	m.pushTo(m.table.pick(leaveFanout, "", m.random), []*nodepb.Member{self})
	return m.finishInput()
}

// UpdateSelf changes the description of this node and disseminates it. What change does to the node
// id, address, state and incarnation is ignored.
func (m *Membership) UpdateSelf(now core.Time, change func(*nodepb.Member)) []core.Output {
	m.now = max(m.now, now)
	previous := m.table.self
	self := proto.CloneOf(previous)
	change(self)
	self.NodeId = previous.NodeId
	self.Address = previous.Address
	self.State = previous.State
	self.Incarnation = previous.Incarnation + 1
	m.table.setSelf(self)
	if !m.hasLeft {
		m.disseminateChange(self.NodeId)
		m.stepPushes()
	}
	return m.finishInput()
}

// Members returns the members that are alive or suspected, this node included, sorted by node id.
// The slice and its members are never modified: a change makes a new slice.
func (m *Membership) Members() []*nodepb.Member { return m.table.members() }

// Revision is raised whenever Members changes in anything but suspicions and incarnations. It is
// never 0.
func (m *Membership) Revision() uint64 { return m.table.revision }

// Suspected reports whether the node is a member that is suspected to have failed.
func (m *Membership) Suspected(nodeID string) bool {
	known := m.table.entries[nodeID]
	return known != nil && known.member.State == nodepb.MemberState_SUSPECT
}
