package membership

import (
	"math"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// finalProbeShare is the share of the suspicion time, in percent, that is left when each node that
// suspects the member probes it once more: enough for its refutation to arrive.
const finalProbeShare = 40

// suspicionTime returns how long a suspect has to refute. It grows with the logarithm of the number
// of members, as do the times in which the suspicion reaches the suspect and the refutation reaches
// all.
func (m *Membership) suspicionTime() core.Time {
	periods := 2 + math.Log2(float64(m.table.size()))/4
	return max(m.options.MinSuspicion, core.Time(periods*float64(m.options.Period)))
}

// suspect marks a member as suspected, and disseminates it.
func (m *Membership) suspect(member *nodepb.Member) {
	m.recordLive(withState(member, nodepb.MemberState_SUSPECT))
	m.disseminateSuspicion(member.NodeId)
}

// beginSuspicion starts the timers of a suspicion, or starts them again.
func (m *Membership) beginSuspicion(suspect *entry) {
	span := m.suspicionTime()
	suspect.expiresAt = m.now + span
	suspect.finalProbeAt = suspect.expiresAt - span*finalProbeShare/100
}

// stepSuspicions probes suspects once more before their time is over, and declares dead those that
// haven't refuted.
func (m *Membership) stepSuspicions() {
	if len(m.table.suspects) == 0 {
		return
	}
	for _, suspect := range slices.Clone(m.table.suspects) {
		switch {
		case m.now >= suspect.expiresAt:
			m.endSuspicion(suspect)
		case m.now >= suspect.finalProbeAt:
			suspect.finalProbeAt = core.Never
			m.probeOnce(suspect.member)
		}
	}
}

// endSuspicion declares a suspect dead. This is not disseminated: the others do so by their own
// timers.
func (m *Membership) endSuspicion(suspect *entry) {
	m.recordDown(withState(suspect.member, nodepb.MemberState_DEAD))
	m.log("membership: member declared dead", "member", suspect.member.NodeId, "address", suspect.member.Address)
}

// probeOnce probes a member that is suspected or dead without waiting for an ack: a running node
// refutes.
func (m *Membership) probeOnce(member *nodepb.Member) {
	m.send(member.Address, probeMessage(&nodepb.Probe{
		Sequence: m.probes.nextSequence(),
		TargetId: member.NodeId,
		Updates:  []*nodepb.Member{member, m.table.self},
	}))
}

// removeExpired removes the members that have been dead or have left for longer than DeadRetention.
func (m *Membership) removeExpired() {
	if len(m.table.down) == 0 {
		return
	}
	for _, known := range slices.Clone(m.table.down) {
		if m.now >= known.expiresAt {
			m.table.remove(known)
		}
	}
}
