package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// rejoin is the search for nodes that may have been cut off: dead members, one every deadRetry, and seeds that are no
// members, one every seedRetry. So the halves of a cut find each other again.
type rejoin struct {
	nextDeadProbeAt core.Time // when a dead member may be tried
	nextSeedCallAt  core.Time // when a seed may be called
	// fastRetryUntil: a dead member has come back lately, so that others are tried every returnRetry.
	fastRetryUntil core.Time
}

// recordReturn takes note that a dead member is back: others may be too, as after a cut. What one side of a cut held
// of the other is no news any more.
func (m *Membership) recordReturn() {
	m.gossip.removeDead(m.table)
	m.rejoin.fastRetryUntil = m.now + fastRetryTime
	m.rejoin.nextDeadProbeAt = min(m.rejoin.nextDeadProbeAt, m.now+m.randomSpan(fastDeadProbeInterval))
}

func (m *Membership) rejoinDeadline() core.Time {
	next := core.Never
	if slices.ContainsFunc(m.table.down, mayRejoin) {
		next = min(next, m.rejoin.nextDeadProbeAt)
	}
	if m.join.nextCallAt == core.Never && slices.ContainsFunc(m.join.seeds, m.isMissing) {
		next = min(next, m.rejoin.nextSeedCallAt)
	}
	return next
}

func mayRejoin(known *entry) bool {
	return known.member.State == nodepb.MemberState_DEAD && !known.replaced
}

// missingSeeds returns the addresses of seeds that are no members, once the node has tried to join by them.
func (m *Membership) missingSeeds() []string {
	if m.join.nextCallAt != core.Never {
		return nil
	}
	var missing []string
	for _, seed := range m.join.seeds {
		if m.isMissing(seed) {
			missing = append(missing, seed.address)
		}
	}
	return missing
}

// presentSeeds returns the addresses of seeds that are members.
func (m *Membership) presentSeeds() []string {
	var present []string
	for _, seed := range m.join.seeds {
		if !m.isMissing(seed) {
			present = append(present, seed.address)
		}
	}
	return present
}

// isMissing reports whether no member is known at the seed's address.
func (m *Membership) isMissing(s seed) bool {
	_, present := m.table.idByAddress[s.address]
	return !present
}

func (m *Membership) stepRejoin() {
	m.probeDead()
	m.exchangeWithMissingSeed()
}

// probeDead probes a dead member, without waiting for an answer: one that lives refutes.
func (m *Membership) probeDead() {
	if m.now < m.rejoin.nextDeadProbeAt {
		return
	}
	var candidates []*entry
	for _, known := range m.table.down {
		if mayRejoin(known) {
			candidates = append(candidates, known)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m.rejoin.nextDeadProbeAt = m.now + deadProbeInterval
	if m.now < m.rejoin.fastRetryUntil {
		m.rejoin.nextDeadProbeAt = m.now + fastDeadProbeInterval
	}
	m.probeOnce(candidates[m.random.IntN(len(candidates))].member)
}

// exchangeWithMissingSeed exchanges lists with a seed that is no member: a whole part of the fleet may have been cut off from it.
func (m *Membership) exchangeWithMissingSeed() {
	if m.now < m.rejoin.nextSeedCallAt {
		return
	}
	missing := m.missingSeeds()
	if len(missing) == 0 {
		return
	}
	m.rejoin.nextSeedCallAt = m.now + seedCallInterval
	if len(m.table.ring) == 0 {
		m.rejoin.nextSeedCallAt = m.now + lateJoinInterval
	}
	m.exchange(missing[m.random.IntN(len(missing))])
}
