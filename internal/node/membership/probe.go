package membership

import (
	"math/rand/v2"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// maxRelays bounds the probes relayed for other nodes at a time, as requests come from the network.
const maxRelays = 64

// probes is the state of the probe of this period, and of the probes relayed for other nodes.
type probes struct {
	sequence     uint64
	periodEndsAt core.Time // Never while there is no member to probe

	targetID        string // node id; empty where no probe runs
	awaitedSequence uint64 // sequence number of the running probe
	sentAt          core.Time
	timeoutAt       core.Time // when other members are asked to probe; Never once they are

	relays []relay
}

// relay is a probe on behalf of another node (SWIM: ping-req).
type relay struct {
	sequence          uint64
	requester         string // address
	requesterSequence uint64 // sequence number of the requester's probe
	expiresAt         core.Time
}

// newProbes returns the state of a node that knows no member to probe.
func newProbes(random *rand.Rand) probes {
	// A random start keeps acks for a previous process from being taken for acks to this one.
	return probes{sequence: uint64(random.Uint32()), periodEndsAt: core.Never, timeoutAt: core.Never}
}

// deadline returns when stepProbes is due.
func (p *probes) deadline() core.Time { return min(p.periodEndsAt, p.timeoutAt) }

// nextSequence returns a new sequence number.
func (p *probes) nextSequence() uint64 {
	p.sequence++
	return p.sequence
}

// endProbe ends the running probe without a verdict.
func (p *probes) endProbe() {
	p.targetID = ""
	p.timeoutAt = core.Never
}

// startProbing starts the periods, where there was no member to probe before.
func (m *Membership) startProbing() {
	if m.probes.periodEndsAt == core.Never {
		m.probes.periodEndsAt = m.now + m.randomSpan(m.options.Period)
	}
}

// randomSpan returns a random time in [0, span).
func (m *Membership) randomSpan(span core.Time) core.Time {
	return core.Time(m.random.Int64N(int64(span)))
}

// stepProbes requests indirect probes after the timeout. At the end of the period it handles a
// missing ack, and sends the next probe.
func (m *Membership) stepProbes() {
	p := &m.probes
	if m.now >= p.timeoutAt {
		p.timeoutAt = core.Never
		m.sendProbeRequests()
	}
	if m.now < p.periodEndsAt {
		return
	}
	if p.targetID != "" {
		m.handleMissedProbe()
	}
	p.endProbe()
	m.sendProbe()
}

// sendProbe begins a period with a probe of the next member in the ring.
func (m *Membership) sendProbe() {
	p := &m.probes
	target := m.table.nextToProbe(m.random)
	if target == nil {
		p.periodEndsAt = core.Never
		return
	}
	p.periodEndsAt = m.now + m.health.scale(m.options.Period)
	p.timeoutAt = m.now + m.health.scale(m.options.ProbeTimeout)
	p.targetID = target.member.NodeId
	p.awaitedSequence = p.nextSequence()
	p.sentAt = m.now
	m.send(target.member.Address, m.probeFor(target.member, p.awaitedSequence))
}

// probeFor returns a probe of the member. A suspect gets the suspicion, so that it can refute it;
// gossip is for members that are likely to receive it.
func (m *Membership) probeFor(member *nodepb.Member, sequence uint64) *nodepb.Envelope {
	updates := []*nodepb.Member{member}
	if member.State == nodepb.MemberState_ALIVE {
		updates = m.gossipUpdates(nil)
	}
	return probeMessage(&nodepb.Probe{Sequence: sequence, TargetId: member.NodeId, Updates: updates})
}

// sendProbeRequests asks other members to probe the target. This node sends its probe again too, as
// the first may have been lost with a connection that had ended.
func (m *Membership) sendProbeRequests() {
	p := &m.probes
	target := m.table.entries[p.targetID]
	if target == nil || !isLive(target.member.State) {
		return
	}
	m.send(target.member.Address, probeMessage(&nodepb.Probe{Sequence: p.awaitedSequence, TargetId: p.targetID}))
	for _, member := range m.table.pick(m.options.IndirectProbes, p.targetID, m.random) {
		m.send(member.Address, probeRequest(&nodepb.ProbeRequest{
			Sequence:      p.awaitedSequence,
			TargetId:      p.targetID,
			TargetAddress: target.member.Address,
			Updates:       m.gossipUpdates(nil),
		}))
	}
}

// handleMissedProbe suspects the target, unless the fault seems to be this node's own.
func (m *Membership) handleMissedProbe() {
	p := &m.probes
	target := m.table.entries[p.targetID]
	if target == nil || !isLive(target.member.State) {
		return
	}
	if m.health.recordMiss(p.targetID, p.sentAt) {
		return
	}
	if target.member.State == nodepb.MemberState_ALIVE {
		m.suspect(target.member)
		m.probeOnce(target.member)
	}
}

// receiveProbe acks a probe, unless it is for a previous process at this address.
func (m *Membership) receiveProbe(from core.Peer, probe *nodepb.Probe) {
	m.mergeClaims(from, probe.Updates, true)
	if probe.TargetId != m.table.self.NodeId {
		m.addReplyClaim(m.table.self)
		m.sendReplyClaims(from)
		return
	}
	m.send(from.Address, probeAck(probe.Sequence, m.gossipUpdates(m.replyClaims)))
}

// receiveAck ends the running probe, or forwards the ack of a relayed one.
func (m *Membership) receiveAck(from core.Peer, ack *nodepb.ProbeAck) {
	m.mergeClaims(from, ack.Updates, true)
	m.sendReplyClaims(from)
	p := &m.probes
	if p.targetID != "" && ack.Sequence == p.awaitedSequence {
		p.endProbe()
		m.health.recordAck()
		return
	}
	m.forwardAck(ack.Sequence)
}

// receiveProbeRequest probes a node on behalf of another one.
func (m *Membership) receiveProbeRequest(from core.Peer, request *nodepb.ProbeRequest) {
	m.mergeClaims(from, request.Updates, true)
	m.sendReplyClaims(from)
	p := &m.probes
	p.relays = slices.DeleteFunc(p.relays, func(r relay) bool { return r.expiresAt <= m.now })
	if len(p.relays) >= maxRelays {
		return
	}
	sequence := p.nextSequence()
	p.relays = append(p.relays, relay{
		sequence:          sequence,
		requester:         from.Address,
		requesterSequence: request.Sequence,
		expiresAt:         m.now + 2*m.options.Period,
	})
	m.send(request.TargetAddress, probeMessage(&nodepb.Probe{
		Sequence: sequence,
		TargetId: request.TargetId,
		Updates:  m.gossipUpdates(nil),
	}))
}

// forwardAck forwards the ack of a relayed probe to its requester.
func (m *Membership) forwardAck(sequence uint64) {
	p := &m.probes
	position := slices.IndexFunc(p.relays, func(r relay) bool { return r.sequence == sequence })
	if position < 0 {
		return
	}
	done := p.relays[position]
	p.relays = slices.Delete(p.relays, position, position+1)
	m.send(done.requester, probeAck(done.requesterSequence, m.gossipUpdates(nil)))
}
