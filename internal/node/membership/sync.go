package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// syncs is the state of the exchanges of whole lists.
type syncs struct {
	nextExchangeAt core.Time // of the exchange with a random member
	lastRequestAt  core.Time // of the last question out of an occasion; 0: none
	awaitedLists   []awaitedList

	joined             int       // members that came or came back since the last settling
	convergeAt         core.Time // when the list is asked for as many came; Never where that isn't so
	convergeRoundsLeft int       // how often
}

// awaitedList is an answer that is to come.
type awaitedList struct {
	address   string
	expiresAt core.Time
}

// listTimeout is how long an answer to a question is waited for.
const listTimeout = 5 * lateJoinInterval

// allowRequest reports whether a question out of an occasion is in order now, and takes note of it.
func (s *syncs) allowRequest(now core.Time) bool {
	if s.lastRequestAt > 0 && now < s.lastRequestAt+requestInterval {
		return false
	}
	s.lastRequestAt = now
	return true
}

// expectList takes note of a question.
func (s *syncs) expectList(address string, now core.Time) {
	s.awaitedLists = slices.DeleteFunc(s.awaitedLists, func(a awaitedList) bool { return a.address == address || a.expiresAt <= now })
	s.awaitedLists = append(s.awaitedLists, awaitedList{address: address, expiresAt: now + listTimeout})
}

// takeExpected reports whether a list from the address was asked for, and ends the wait for it.
func (s *syncs) takeExpected(address string, now core.Time) bool {
	position := slices.IndexFunc(s.awaitedLists, func(a awaitedList) bool { return a.address == address })
	if position < 0 {
		return false
	}
	inTime := now < s.awaitedLists[position].expiresAt
	s.awaitedLists = slices.Delete(s.awaitedLists, position, position+1)
	return inTime
}

// requestList asks the node at the address for its list, and introduces this node.
func (m *Membership) requestList(address string) {
	m.sync.expectList(address, m.now)
	m.send(address, memberSync(true, []*nodepb.Member{m.table.self}))
}

// requestListOfUnknown asks a sender that isn't on the list for its own.
func (m *Membership) requestListOfUnknown(from core.Peer) {
	if m.sync.allowRequest(m.now) {
		m.requestList(from.Address)
	}
}

// syncInterval returns the time to the next exchange with a random member: so that the bytes that a node sends in a
// second don't grow with the number of members.
func (m *Membership) syncInterval() core.Time {
	interval := m.options.SyncInterval
	if size := m.table.size(); size > unscaledSyncMembers {
		interval = interval * core.Time(size) / unscaledSyncMembers
	}
	return interval/2 + m.randomSpan(interval)
}

func (m *Membership) syncDeadline() core.Time {
	if len(m.table.ring) == 0 {
		return core.Never
	}
	return m.sync.nextExchangeAt
}

// recordJoin takes note of a member that came or came back.
func (m *Membership) recordJoin() {
	s := &m.sync
	s.joined++
	if s.joined >= max(minGrowth, m.table.size()*growthShare/100) && s.convergeAt == core.Never {
		s.convergeAt = m.now + convergeDelay + m.randomSpan(convergeJitter)
		s.convergeRoundsLeft = convergeRounds
	}
}

// stepConverge asks a seed for its list after many came, or a random member where no seed is one.
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

// stepSync exchanges the list with a random member from time to time, which repairs what got lost.
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

// exchange sends the whole list to the node at the address, and asks for its own.
func (m *Membership) exchange(address string) {
	m.sync.expectList(address, m.now)
	m.send(address, memberSync(true, m.table.members()))
}

// receiveSync takes a list or news, and answers with the own list where that is wanted.
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

// membersAndReplyClaims returns the members, and what the sender of the message has to hear besides.
func (m *Membership) membersAndReplyClaims() []*nodepb.Member {
	list := m.table.members()
	for _, member := range m.replyClaims {
		if !slices.Contains(list, member) {
			list = append(slices.Clip(list), member)
		}
	}
	return list
}
