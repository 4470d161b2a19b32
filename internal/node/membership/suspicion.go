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

// endSuspicions holds those dead who have not refuted in time.
func (m *Membership) endSuspicions() {
	if len(m.table.suspects) == 0 {
		return
	}
	for _, suspect := range slices.Clone(m.table.suspects) {
		if m.now < suspect.expiresAt {
			continue
		}
		dead := withState(suspect.member, nodepb.MemberState_DEAD)
		m.takeDown(dead)
		m.mention(dead.NodeId)
		m.log("member held dead", "member", dead.NodeId, "address", dead.Address)
	}
}

// forgetDown forgets those who were dead or gone for long.
func (m *Membership) forgetDown() {
	if len(m.table.down) == 0 {
		return
	}
	for _, known := range slices.Clone(m.table.down) {
		if m.now >= known.expiresAt {
			m.table.remove(known)
		}
	}
}
