package membership

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// A node whose list has grown by growthShare percent, and by minGrowth members at least,
	// requests other lists in convergeRounds rounds, the first after convergeDelay and up to
	// convergeJitter more: many nodes joined at the same moment, at the start or as a partition
	// healed, so that it may have missed one.
	growthShare      = 15
	minGrowth        = 4
	convergeRounds   = 2
	convergeDelay    = 600 * time.Millisecond
	convergeJitter   = 400 * time.Millisecond
	convergeInterval = 2 * time.Second
	// startupTime is how long after its start a node doesn't disseminate the lists that it has
	// requested: all are about nodes that the others know.
	startupTime = 5 * time.Second
	// requestInterval is the minimum time between two requests for lists that events cause.
	requestInterval = time.Second
	// listTimeout is how long a requested list is awaited.
	listTimeout = 5 * lateJoinInterval
	// unscaledSyncMembers is the number of members up to which SyncInterval holds unscaled.
	unscaledSyncMembers = 100
)

// syncs is the state of the exchanges of complete lists (anti-entropy), and of the requests for
// lists.
type syncs struct {
	nextExchangeAt core.Time // of the exchange with a random member
	lastRequestAt  core.Time // of the last request that an event caused; 0: none
	awaitedLists   []awaitedList

	joined             int       // members that joined or rejoined since the last convergence round
	convergeAt         core.Time // of the next convergence round; Never: none is due
	convergeRoundsLeft int
}

// awaitedList is a list that was requested.
type awaitedList struct {
	address   string
	expiresAt core.Time
}

// allowRequest reports whether an event may cause a request for a list now, and records it.
func (s *syncs) allowRequest(now core.Time) bool {
	if s.lastRequestAt > 0 && now < s.lastRequestAt+requestInterval {
		return false
	}
	s.lastRequestAt = now
	return true
}

// expectList records a request for the list of the node at the address.
func (s *syncs) expectList(address string, now core.Time) {
	s.awaitedLists = slices.DeleteFunc(s.awaitedLists, func(awaited awaitedList) bool {
		return awaited.address == address || awaited.expiresAt <= now
	})
	s.awaitedLists = append(s.awaitedLists, awaitedList{address: address, expiresAt: now + listTimeout})
}

// takeExpected reports whether a list from the address was requested and has come in time, and ends
// the wait for it.
func (s *syncs) takeExpected(address string, now core.Time) bool {
	position := slices.IndexFunc(s.awaitedLists, func(a awaitedList) bool { return a.address == address })
	if position < 0 {
		return false
	}
	inTime := now < s.awaitedLists[position].expiresAt
	s.awaitedLists = slices.Delete(s.awaitedLists, position, position+1)
	return inTime
}

// requestList requests the list of the node at the address, and introduces this node.
func (m *Membership) requestList(address string) {
	m.sync.expectList(address, m.now)
	m.send(address, memberSync(true, []*nodepb.Member{m.table.self}))
}

// requestListOfUnknown requests the list of a sender that isn't a member.
func (m *Membership) requestListOfUnknown(from core.Peer) {
	if m.sync.allowRequest(m.now) {
		m.requestList(from.Address)
	}
}

// syncInterval returns the random time to the next exchange. It grows with the number of members,
// so that a node's traffic doesn't.
func (m *Membership) syncInterval() core.Time {
	interval := m.options.SyncInterval
	if size := m.table.size(); size > unscaledSyncMembers {
		interval = interval * core.Time(size) / unscaledSyncMembers
	}
	return interval/2 + m.randomSpan(interval)
}

// syncDeadline returns when the next exchange is due.
func (m *Membership) syncDeadline() core.Time {
	if len(m.table.ring) == 0 {
		return core.Never
	}
	return m.sync.nextExchangeAt
}

// recordJoin records a member that has joined or rejoined, and schedules convergence where many
// did.
func (m *Membership) recordJoin() {
	s := &m.sync
	s.joined++
	if s.joined >= max(minGrowth, m.table.size()*growthShare/100) && s.convergeAt == core.Never {
		s.convergeAt = m.now + convergeDelay + m.randomSpan(convergeJitter)
		s.convergeRoundsLeft = convergeRounds
	}
}

// stepConverge requests the list of a seed after many members joined, or of a random member where
// no seed is one.
func (m *Membership) stepConverge() {
	s := &m.sync
	if m.now < s.convergeAt {
		return
	}
	s.joined = 0
	s.convergeRoundsLeft--
	s.convergeAt = core.Never
	if s.convergeRoundsLeft > 0 {
		s.convergeAt = m.now + convergeInterval
	}
	if present := m.presentSeeds(); len(present) > 0 {
		m.requestList(present[m.random.IntN(len(present))])
		return
	}
	for _, member := range m.table.pick(1, "", m.random) {
		m.requestList(member.Address)
	}
}

// stepSync exchanges the list with a random member now and then, which repairs what gossip has
// lost.
func (m *Membership) stepSync() {
	m.stepConverge()
	if m.now < m.syncDeadline() {
		return
	}
	m.sync.nextExchangeAt = m.now + m.syncInterval()
	for _, member := range m.table.pick(1, "", m.random) {
		m.exchange(member.Address)
	}
}

// exchange sends the complete list to the node at the address, and requests its own.
func (m *Membership) exchange(address string) {
	m.sync.expectList(address, m.now)
	m.send(address, memberSync(true, m.table.members()))
}

// receiveSync merges a list or pushed updates, and replies with the own list where that is wanted.
func (m *Membership) receiveSync(from core.Peer, sync *nodepb.MemberSync) {
	if sync.ReplyWanted {
		m.mergeClaims(from, sync.Members, true)
		m.send(from.Address, memberSync(false, m.membersAndReplyClaims()))
		return
	}
	requested := m.sync.takeExpected(from.Address, m.now)
	disseminate := !requested || m.now > m.startedAt+startupTime
	m.mergeClaims(from, sync.Members, disseminate)
	m.sendReplyClaims(from)
	if requested {
		m.recordSeedAnswer(from.Address)
	}
}

// membersAndReplyClaims returns the complete list and the reply claims.
func (m *Membership) membersAndReplyClaims() []*nodepb.Member {
	list := m.table.members()
	for _, member := range m.replyClaims {
		if !slices.Contains(list, member) {
			list = append(slices.Clip(list), member)
		}
	}
	return list
}
