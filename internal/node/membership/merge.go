package membership

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// maxEntries bounds the nodes that are remembered, dead ones included: claims come from the
// network.
const maxEntries = 8192

// merge merges a claim of another node about a node. Of two claims the one with the higher
// incarnation wins; with equal incarnations a suspicion wins. A node that has left stays so.
// disseminate is false where others know the claim anyway.
func (m *Membership) merge(from core.Peer, claim *nodepb.Member, disseminate bool) {
	if claim.GetNodeId() == "" || claim.Address == "" {
		return
	}
	known := m.table.entries[claim.NodeId]
	switch {
	case claim.NodeId == m.table.self.NodeId:
		m.mergeSelf(claim)
	case claim.Address == m.table.self.Address:
		m.mergePreviousSelf(claim)
	case known == nil:
		m.mergeUnknown(from, claim, disseminate)
	case known.member.State == nodepb.MemberState_LEFT, claim.Address != known.member.Address:
		// A node that has left is not relisted, and a node id has one address only.
	case claim.State == nodepb.MemberState_LEFT:
		m.recordDown(claim)
		m.disseminateChange(claim.NodeId)
	case claim.Incarnation >= known.member.Incarnation:
		m.mergeKnown(from, known, claim, disseminate)
	}
}

// mergeSelf refutes claims that this node is suspected or dead.
func (m *Membership) mergeSelf(claim *nodepb.Member) {
	if claim.State != nodepb.MemberState_SUSPECT && claim.State != nodepb.MemberState_DEAD {
		return
	}
	if claim.Incarnation >= m.table.self.Incarnation {
		m.health.recordSuspicion()
		m.raiseIncarnation(claim.Incarnation)
	}
	m.addReplyClaim(m.table.self)
}

// mergePreviousSelf makes sure that this process supersedes a previous one at the same address.
func (m *Membership) mergePreviousSelf(claim *nodepb.Member) {
	if !isLive(claim.State) {
		return
	}
	if claim.Incarnation >= m.table.self.Incarnation {
		m.raiseIncarnation(claim.Incarnation)
	}
	m.addReplyClaim(m.table.self)
}

// raiseIncarnation raises the own incarnation above another one, and notifies some members.
func (m *Membership) raiseIncarnation(above uint64) {
	self := proto.CloneOf(m.table.self)
	self.Incarnation = above + 1
	m.table.setSelf(self)
	m.disseminateSuspicion(self.NodeId)
	m.pushTo(m.table.pick(pushFanout, "", m.random), []*nodepb.Member{self})
}

// mergeUnknown merges a claim about a node that is not yet known.
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

// mergeKnown merges a claim whose incarnation is not below the known one.
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

// mergeSuspicion merges a claim that a node is suspected or dead. Either makes it a suspect only:
// this node gives it the time to refute, as the claim may come from the other side of a healed
// partition, or from a node that was stopped.
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

// mergeNewer merges a claim that a node is live in a later incarnation.
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

// resolveAddress reports whether the node of the claim may be a member at its address. Of two
// processes at one address the one with the higher incarnation wins, and the other is recorded as
// dead. A new process that doesn't know of the previous one is notified of it, and raises its
// incarnation: by the reply where it sent the claim itself, else by a probe of the address.
func (m *Membership) resolveAddress(from core.Peer, claim *nodepb.Member) bool {
	holderID, taken := m.table.idByAddress[claim.Address]
	if !taken || holderID == claim.NodeId {
		return true
	}
	holder := m.table.entries[holderID]
	if claim.Incarnation > holder.member.Incarnation {
		m.recordDown(withState(holder.member, nodepb.MemberState_DEAD)).replaced = true
		return true
	}
	if from.NodeID == claim.NodeId {
		m.addReplyClaim(holder.member)
	} else {
		m.probeHolder(holder)
	}
	return false
}

// probeHolder probes the member at an address that another process claims. Whichever of the two runs
// answers, with an incarnation above the other's, so that it needn't wait until the ring of probes
// comes to the address.
func (m *Membership) probeHolder(holder *entry) {
	if holder.claimedAt > 0 && m.now < holder.claimedAt+requestInterval {
		return
	}
	holder.claimedAt = m.now
	m.probeOnce(holder.member)
}

// recordLive records a member that is alive or suspected.
func (m *Membership) recordLive(member *nodepb.Member) {
	if previous := m.table.get(member.NodeId); previous == nil || !isLive(previous.State) {
		m.recordJoin()
	}
	known := m.table.set(member, core.Never, m.random)
	if member.State == nodepb.MemberState_SUSPECT {
		m.beginSuspicion(known)
	}
	m.startProbing()
}

// recordDown records a member that is dead or has left.
func (m *Membership) recordDown(member *nodepb.Member) *entry {
	return m.table.set(member, m.now+m.options.DeadRetention, m.random)
}
