package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// burstFactor is how many times UpdatesPerMessage a message may carry while many updates are
// queued.
const burstFactor = 4

// Receive takes a message of another node. Messages that aren't of this package are ignored.
func (m *Membership) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	if m.hasLeft {
		m.receiveAfterLeaving(from, envelope)
		return m.finishInput()
	}
	m.beginInput(now)
	m.replyClaims = nil
	switch body := envelope.Body.(type) {
	case *nodepb.Envelope_Probe:
		m.receiveProbe(from, body.Probe)
	case *nodepb.Envelope_ProbeAck:
		m.receiveAck(from, body.ProbeAck)
	case *nodepb.Envelope_ProbeRequest:
		m.receiveProbeRequest(from, body.ProbeRequest)
	case *nodepb.Envelope_MemberSync:
		m.receiveSync(from, body.MemberSync)
	default:
		return m.finishInput()
	}
	m.health.recordContact(m.now)
	m.stepPushes()
	return m.finishInput()
}

// receiveAfterLeaving acks probes with the claim that this node has left.
func (m *Membership) receiveAfterLeaving(from core.Peer, envelope *nodepb.Envelope) {
	if probe := envelope.GetProbe(); probe != nil {
		m.send(from.Address, probeAck(probe.Sequence, []*nodepb.Member{m.table.self}))
	}
}

// gossipUpdates returns the members of first, followed by updates from the queue: as many as usual
// in all, or up to burstFactor times as many while the queue is long, as after the loss of many
// nodes.
func (m *Membership) gossipUpdates(first []*nodepb.Member) []*nodepb.Member {
	usual := m.options.UpdatesPerMessage
	count := max(usual, min(len(m.gossip.queue)/2, burstFactor*usual))
	return m.gossip.take(first, count-len(first), m.table)
}

// mergeClaims merges the claims of a message, and looks whether its sender needs to know of
// something itself.
func (m *Membership) mergeClaims(from core.Peer, claims []*nodepb.Member, disseminate bool) {
	for _, claim := range claims {
		m.merge(from, claim, disseminate)
	}
	sender := m.table.entries[from.NodeID]
	switch {
	case from.NodeID == m.table.self.NodeId:
	case sender == nil:
		m.requestListOfUnknown(from)
	case sender.member.State == nodepb.MemberState_SUSPECT, mayRejoin(sender):
		m.addReplyClaim(sender.member)
	}
}

// addReplyClaim adds a claim that the sender of the current message may want to refute.
func (m *Membership) addReplyClaim(member *nodepb.Member) {
	if !slices.Contains(m.replyClaims, member) {
		m.replyClaims = append(m.replyClaims, member)
	}
}

// sendReplyClaims sends the reply claims in a message of their own.
func (m *Membership) sendReplyClaims(from core.Peer) {
	if len(m.replyClaims) > 0 {
		m.send(from.Address, memberSync(false, m.replyClaims))
	}
}
