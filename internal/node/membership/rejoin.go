package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// rejoin is the search for nodes that may have been cut off: dead members, one every deadRetry, and seeds that are no
// members, one every seedRetry. So the halves of a cut find each other again.
type rejoin struct {
	deadAt core.Time // when a dead member may be tried
	seedAt core.Time // when a seed may be called
	// quickUntil: a dead member has come back lately, so that others are tried every returnRetry.
	quickUntil core.Time
}

// hasReturned takes note that a dead member is back: others may be too, as after a cut. What one side of a cut held
// of the other is no news any more.
func (m *Membership) hasReturned() {
	m.gossip.forgetDeaths(m.table)
	m.rejoin.quickUntil = m.now + quickSpan
	m.rejoin.deadAt = min(m.rejoin.deadAt, m.now+m.randomSpan(returnRetry))
}

func (m *Membership) rejoinDeadline() core.Time {
	next := core.Never
	if slices.ContainsFunc(m.table.down, mayReturn) {
		next = min(next, m.rejoin.deadAt)
	}
	if m.join.next == core.Never && slices.ContainsFunc(m.join.seeds, m.isMissing) {
		next = min(next, m.rejoin.seedAt)
	}
	return next
}

func mayReturn(known *entry) bool {
	return known.member.State == nodepb.MemberState_DEAD && !known.replaced
}

// missingSeeds returns the addresses of seeds that are no members, once the node has tried to join by them.
func (m *Membership) missingSeeds() []string {
	if m.join.next != core.Never {
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
	_, held := m.table.atAddress[s.address]
	return !held
}

func (m *Membership) stepRejoin() {
	m.tryDead()
	m.callSeed()
}

// tryDead probes a dead member, without waiting for an answer: one that lives refutes.
func (m *Membership) tryDead() {
	if m.now < m.rejoin.deadAt {
		return
	}
	var candidates []*entry
	for _, known := range m.table.down {
		if mayReturn(known) {
			candidates = append(candidates, known)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m.rejoin.deadAt = m.now + deadRetry
	if m.now < m.rejoin.quickUntil {
		m.rejoin.deadAt = m.now + returnRetry
	}
	m.callOnce(candidates[m.random.IntN(len(candidates))].member)
}

// callSeed exchanges lists with a seed that is no member: a whole part of the fleet may have been cut off from it.
func (m *Membership) callSeed() {
	if m.now < m.rejoin.seedAt {
		return
	}
	missing := m.missingSeeds()
	if len(missing) == 0 {
		return
	}
	m.rejoin.seedAt = m.now + seedRetry
	if len(m.table.ring) == 0 {
		m.rejoin.seedAt = m.now + joinRetryLate
	}
	m.exchange(missing[m.random.IntN(len(missing))])
}
