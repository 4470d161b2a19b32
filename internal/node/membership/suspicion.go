package membership

import (
	"math"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// suspicionTime returns how long a suspect has to refute. It grows with the logarithm of the number of members, as does
// the time that the suspicion takes to the suspect and the refutation takes to all.
func (m *Membership) suspicionTime() core.Time {
	periods := 2 + math.Log2(float64(m.table.size()))/4
	return max(m.options.MinSuspicion, core.Time(periods*float64(m.options.Period)))
}

// suspect takes a member as a suspect, and passes that on.
func (m *Membership) suspect(member *nodepb.Member) {
	m.recordLive(withState(member, nodepb.MemberState_SUSPECT))
	m.disseminateSuspicion(member.NodeId)
}

// beginSuspicion gives a suspect its time.
func (m *Membership) beginSuspicion(suspect *entry) {
	span := m.suspicionTime()
	suspect.expiresAt = m.now + span
	suspect.finalProbeAt = suspect.expiresAt - span*finalProbeShare/100
}

// stepSuspicions probes suspects once more before their time is over, and holds those dead who have not refuted.
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

// endSuspicion holds a suspect dead. The others come to the same by their own time.
func (m *Membership) endSuspicion(suspect *entry) {
	m.recordDown(withState(suspect.member, nodepb.MemberState_DEAD))
	m.log("member held dead", "member", suspect.member.NodeId, "address", suspect.member.Address)
}

// probeOnce probes a member that is suspected or dead without waiting for an answer: one that lives refutes.
func (m *Membership) probeOnce(member *nodepb.Member) {
	m.send(member.Address, probeMessage(&nodepb.Probe{
		Sequence: m.probes.nextSequence(),
		TargetId: member.NodeId,
		Updates:  []*nodepb.Member{member, m.table.self},
	}))
}

// removeExpired forgets those who were dead or gone for long.
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
