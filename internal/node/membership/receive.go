package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Receive takes a message of another node. Kinds that are not of this package are ignored.
func (m *Membership) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	if m.left {
		m.receiveAfterLeaving(from, envelope)
		return m.finish()
	}
	m.begin(now)
	m.answer = nil
	switch body := envelope.Body.(type) {
	case *nodepb.Envelope_Probe:
		m.receiveProbe(from, body.Probe)
	case *nodepb.Envelope_ProbeAck:
		m.receiveAck(from, body.ProbeAck)
	case *nodepb.Envelope_ProbeRequest:
		m.receiveRequest(from, body.ProbeRequest)
	case *nodepb.Envelope_MemberSync:
		m.receiveSync(from, body.MemberSync)
	default:
		return m.finish()
	}
	m.health.heard(m.now)
	m.stepPushes()
	return m.finish()
}

// receiveAfterLeaving tells those who have not heard that this node left.
func (m *Membership) receiveAfterLeaving(from core.Peer, envelope *nodepb.Envelope) {
	if probe := envelope.GetProbe(); probe != nil {
		m.send(from.Address, probeAck(probe.Sequence, []*nodepb.Member{m.table.self}))
	}
}

// updatesFor returns what the receiver of a message is to hear first, and updates by gossip. There may be up to
// updatesBurst times as many as usual while many wait, as after the loss of many nodes.
func (m *Membership) updatesFor(first []*nodepb.Member) []*nodepb.Member {
	usual := m.options.UpdatesPerMessage
	count := max(usual, min(len(m.gossip.row)/2, updatesBurst*usual))
	return m.gossip.take(first, count-len(first), m.table)
}

// learn merges the claims of a message. passOn is false where others know of them anyway.
func (m *Membership) learn(from core.Peer, claims []*nodepb.Member, passOn bool) {
	for _, claim := range claims {
		m.merge(from, claim, passOn)
	}
	sender := m.table.entries[from.NodeID]
	switch {
	case from.NodeID == m.table.self.NodeId:
	case sender == nil:
		m.askUnknown(from)
	case sender.member.State == nodepb.MemberState_SUSPECT, mayReturn(sender):
		m.tell(sender.member)
	}
}

// tell adds to what the sender of the message has to hear: claims that it may want to refute.
func (m *Membership) tell(member *nodepb.Member) {
	if !slices.Contains(m.answer, member) {
		m.answer = append(m.answer, member)
	}
}

// sendAnswer sends what the sender has to hear by a message of its own.
func (m *Membership) sendAnswer(from core.Peer) {
	if len(m.answer) > 0 {
		m.send(from.Address, memberSync(false, m.answer))
	}
}
