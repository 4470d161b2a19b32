package membership

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// deadProbeInterval is the time between two probes of dead members, one at a time.
	deadProbeInterval = 2 * time.Second
	// fastDeadProbeInterval takes its place for fastRetryTime after a dead member has come back: a
	// partition may have healed, and the other members behind it are back too.
	fastDeadProbeInterval = 200 * time.Millisecond
	fastRetryTime         = 2 * time.Second
	// seedCallInterval is the time between two calls to seeds that aren't members.
	seedCallInterval = 3 * time.Second
)

// rejoin is the search for nodes that may be behind a partition: it probes dead members and calls
// seeds that aren't members, so that the sides of a healed partition find each other again.
type rejoin struct {
	nextDeadProbeAt core.Time
	nextSeedCallAt  core.Time
	// fastRetryUntil is until when dead members are probed every fastDeadProbeInterval, as one has
	// just come back.
	fastRetryUntil core.Time
}

// recordReturn records that a dead member is back: others may be too, as after a partition. Queued
// updates that members are dead come from one side of it and are out of date.
func (m *Membership) recordReturn() {
	m.gossip.removeDead(m.table)
	m.rejoin.fastRetryUntil = m.now + fastRetryTime
	m.rejoin.nextDeadProbeAt = min(m.rejoin.nextDeadProbeAt, m.now+m.randomSpan(fastDeadProbeInterval))
}

// rejoinDeadline returns when the next dead member or seed is to be tried.
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

// mayRejoin reports whether the member is dead, and no later process has taken its address.
func mayRejoin(known *entry) bool {
	return known.member.State == nodepb.MemberState_DEAD && !known.replaced
}

// missingSeeds returns the addresses of seeds that aren't members; none while the node is still
// joining through them.
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

// stepRejoin probes a dead member and calls a missing seed where these are due.
func (m *Membership) stepRejoin() {
	m.probeDead()
	m.exchangeWithMissingSeed()
}

// probeDead probes a dead member without waiting for an ack: a running node refutes.
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

// exchangeWithMissingSeed exchanges lists with a seed that isn't a member: all nodes on its side of
// a partition may be missing.
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
