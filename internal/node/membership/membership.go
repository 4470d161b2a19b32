package membership

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Membership is one node's list of members. It is not safe for concurrent use.
type Membership struct {
	options   Options
	random    *rand.Rand
	startedAt core.Time
	now       core.Time // of the input that is being taken
	deadline  core.Time // when Tick is wanted; of the end of the last input
	outputs   []core.Output
	hasLeft   bool

	table  *table
	gossip gossip
	pushes pushes
	probes probes
	health health
	join   join
	rejoin rejoin
	sync   syncs
	// replyClaims holds what the sender of the message that is being taken has to hear.
	replyClaims []*nodepb.Member
}

// New returns the list of a node that starts now and knows of nobody but its seeds. The first Tick is due at once.
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

// Deadline returns when Tick is wanted next; core.Never after Leave.
func (m *Membership) Deadline() core.Time { return m.deadline }

func (m *Membership) nextDeadline() core.Time {
	if m.hasLeft {
		return core.Never
	}
	next := min(m.probes.deadline(), m.pushes.deadline(), m.join.nextCallAt, m.rejoinDeadline(), m.syncDeadline(), m.sync.convergeAt)
	for _, suspect := range m.table.suspects {
		next = min(next, suspect.expiresAt, suspect.finalProbeAt)
	}
	return max(next, m.now)
}

// Tick does what is due.
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

// beginInput takes the time of an input, and notices where it comes so late that this node must have been stopped.
func (m *Membership) beginInput(now core.Time) {
	late := now - min(m.deadline, now)
	m.now = max(m.now, now)
	if late > stallAfter && len(m.table.ring) > 0 {
		m.recoverFromStall(late)
	}
}

// finishInput ends an input: it returns what was collected, and settles when Tick is wanted.
func (m *Membership) finishInput() []core.Output {
	outputs := m.outputs
	m.outputs = nil
	m.deadline = m.nextDeadline()
	return outputs
}

// Leave says farewell: the members are told, and nothing is sent any more but answers to probes.
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

// UpdateSelf changes the description of this node and tells the others. Node id, address, state and incarnation stay
// out of the caller's hands.
func (m *Membership) UpdateSelf(now core.Time, change func(*nodepb.Member)) []core.Output {
	m.now = max(m.now, now)
	former := m.table.self
	self := proto.CloneOf(former)
	change(self)
	self.NodeId, self.Address, self.State = former.NodeId, former.Address, former.State
	self.Incarnation = former.Incarnation + 1
	m.table.setSelf(self)
	if !m.hasLeft {
		m.disseminateChange(self.NodeId)
		m.stepPushes()
	}
	return m.finishInput()
}

// Members returns the members that are alive or suspected, and this node, by node id. The slice and its members are
// never altered: a change makes another slice.
func (m *Membership) Members() []*nodepb.Member { return m.table.members() }

// Revision is raised whenever Members changes in more than suspicions and incarnations. It is never 0.
func (m *Membership) Revision() uint64 { return m.table.revision }

// Suspected reports whether the node is a member that did not answer lately.
func (m *Membership) Suspected(nodeID string) bool {
	known := m.table.entries[nodeID]
	return known != nil && known.member.State == nodepb.MemberState_SUSPECT
}
