package membership

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// merge takes what another node says of a node. Of two claims the one with the higher incarnation holds; with equal
// ones a suspicion does. Who left does not come back.
func (m *Membership) merge(from core.Peer, claim *nodepb.Member, disseminate bool) {
	if claim.GetNodeId() == "" || claim.Address == "" {
		return
	}
	known := m.table.entries[claim.NodeId]
	switch {
	case claim.NodeId == m.table.self.NodeId:
		m.mergeSelf(from, claim)
	case claim.Address == m.table.self.Address:
		m.mergePreviousSelf(claim)
	case known == nil:
		m.mergeUnknown(from, claim, disseminate)
	case known.member.State == nodepb.MemberState_LEFT, claim.Address != known.member.Address:
	case claim.State == nodepb.MemberState_LEFT:
		m.recordDown(claim)
		m.disseminateChange(claim.NodeId)
	case claim.Incarnation >= known.member.Incarnation:
		m.mergeKnown(from, known, claim, disseminate)
	}
}

// mergeSelf refutes claims that this node is suspected or dead.
func (m *Membership) mergeSelf(from core.Peer, claim *nodepb.Member) {
	if claim.State != nodepb.MemberState_SUSPECT && claim.State != nodepb.MemberState_DEAD {
		return
	}
	if claim.Incarnation >= m.table.self.Incarnation {
		m.health.recordSuspicion()
		m.raiseIncarnation(claim.Incarnation)
	}
	m.addReplyClaim(m.table.self)
}

// mergePreviousSelf makes sure that this life counts as later than a former one at the same address.
func (m *Membership) mergePreviousSelf(claim *nodepb.Member) {
	if !isLive(claim.State) {
		return
	}
	if claim.Incarnation >= m.table.self.Incarnation {
		m.raiseIncarnation(claim.Incarnation)
	}
	m.addReplyClaim(m.table.self)
}

// raiseIncarnation puts the own incarnation above another one, and tells some members.
func (m *Membership) raiseIncarnation(above uint64) {
	self := proto.CloneOf(m.table.self)
	self.Incarnation = above + 1
	m.table.setSelf(self)
	m.disseminateSuspicion(self.NodeId)
	m.pushTo(m.table.pick(pushFanout, "", m.random), []*nodepb.Member{self})
}

func (m *Membership) mergeUnknown(from core.Peer, claim *nodepb.Member, disseminate bool) {
	if len(m.table.entries) >= maxEntries {
		return
	}
	if !isLive(claim.State) {
		m.recordDown(claim)
		return
	}
	if !m.resolveAddress(from, claim) {
		return
	}
	m.recordLive(claim)
	if disseminate {
		m.disseminateChange(claim.NodeId)
	}
}

// mergeKnown takes a claim whose incarnation is not below the known one.
func (m *Membership) mergeKnown(from core.Peer, known *entry, claim *nodepb.Member, disseminate bool) {
	newer := claim.Incarnation > known.member.Incarnation
	down := !isLive(known.member.State)
	switch {
	case claim.State == nodepb.MemberState_ALIVE && newer:
		m.mergeNewer(from, known, claim, disseminate)
	case claim.State == nodepb.MemberState_SUSPECT && newer && down:
		m.mergeNewer(from, known, claim, disseminate)
	case claim.State == nodepb.MemberState_SUSPECT, claim.State == nodepb.MemberState_DEAD:
		m.mergeSuspicion(known, claim)
	}
}

// mergeSuspicion takes a claim that a node is suspected or dead. A node is never held dead for what others say: each
// gives it the time to refute, as the claim may come from the other side of a cut that has healed, or from a node that
// was stopped.
func (m *Membership) mergeSuspicion(known *entry, claim *nodepb.Member) {
	newer := claim.Incarnation > known.member.Incarnation
	switch {
	case !isLive(known.member.State):
		if newer {
			m.recordDown(claim)
		}
	case newer || known.member.State == nodepb.MemberState_ALIVE:
		m.suspect(claim)
	}
}

// mergeNewer takes a claim by which a node is alive in a later incarnation.
func (m *Membership) mergeNewer(from core.Peer, known *entry, claim *nodepb.Member, disseminate bool) {
	returned := !isLive(known.member.State)
	changed := returned || !sameDescription(known.member, claim)
	if returned {
		if !m.resolveAddress(from, claim) {
			return
		}
		m.recordReturn()
	}
	m.recordLive(claim)
	switch {
	case changed && disseminate:
		m.disseminateChange(claim.NodeId)
	case !changed:
		m.disseminateSuspicion(claim.NodeId)
	}
}

// resolveAddress reports whether the node of the claim may be a member at its address. Of two lives at one address the
// one with the higher incarnation holds; a later life that is not aware of a former one is told of it, and raises its
// incarnation.
func (m *Membership) resolveAddress(from core.Peer, claim *nodepb.Member) bool {
	holderID, taken := m.table.idByAddress[claim.Address]
	if !taken || holderID == claim.NodeId {
		return true
	}
	holder := m.table.entries[holderID].member
	if claim.Incarnation > holder.Incarnation {
		m.recordDown(withState(holder, nodepb.MemberState_DEAD)).replaced = true
		return true
	}
	if from.NodeID == claim.NodeId {
		m.addReplyClaim(holder)
	}
	return false
}

// recordLive takes over a member that is alive or suspected.
func (m *Membership) recordLive(member *nodepb.Member) {
	if former := m.table.get(member.NodeId); former == nil || !isLive(former.State) {
		m.recordJoin()
	}
	known := m.table.set(member, core.Never, m.random)
	if member.State == nodepb.MemberState_SUSPECT {
		m.beginSuspicion(known)
	}
	m.startProbing()
}

// recordDown takes over a member that is dead or has left.
func (m *Membership) recordDown(member *nodepb.Member) *entry {
	return m.table.set(member, m.now+m.options.DeadRetention, m.random)
}
