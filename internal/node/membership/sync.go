package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// syncs is the state of the exchanges of whole lists.
type syncs struct {
	next    core.Time // of the exchange with a random member
	askedAt core.Time // of the last question out of an occasion; 0: none
	awaited []awaitedList

	came       int       // members that came or came back since the last settling
	settleAt   core.Time // when the list is asked for as many came; Never where that isn't so
	settleLeft int       // how often
}

// awaitedList is an answer that is to come.
type awaitedList struct {
	address   string
	expiresAt core.Time
}

// awaitSpan is how long an answer to a question is waited for.
const awaitSpan = 5 * joinRetryLate

// mayAsk reports whether a question out of an occasion is in order now, and takes note of it.
func (s *syncs) mayAsk(now core.Time) bool {
	if s.askedAt > 0 && now < s.askedAt+syncPause {
		return false
	}
	s.askedAt = now
	return true
}

// await takes note of a question.
func (s *syncs) await(address string, now core.Time) {
	s.awaited = slices.DeleteFunc(s.awaited, func(a awaitedList) bool { return a.address == address || a.expiresAt <= now })
	s.awaited = append(s.awaited, awaitedList{address: address, expiresAt: now + awaitSpan})
}

// answered reports whether a list from the address was asked for, and ends the wait for it.
func (s *syncs) answered(address string, now core.Time) bool {
	position := slices.IndexFunc(s.awaited, func(a awaitedList) bool { return a.address == address })
	if position < 0 {
		return false
	}
	inTime := now < s.awaited[position].expiresAt
	s.awaited = slices.Delete(s.awaited, position, position+1)
	return inTime
}

// ask asks the node at the address for its list, and introduces this node.
func (m *Membership) ask(address string) {
	m.sync.await(address, m.now)
	m.send(address, memberSync(true, []*nodepb.Member{m.table.self}))
}

// askUnknown asks a sender that isn't on the list for its own.
func (m *Membership) askUnknown(from core.Peer) {
	if m.sync.mayAsk(m.now) {
		m.ask(from.Address)
	}
}

// syncInterval returns the time to the next exchange with a random member: so that the bytes that a node sends in a
// second don't grow with the number of members.
func (m *Membership) syncInterval() core.Time {
	interval := m.options.SyncInterval
	if size := m.table.size(); size > syncMembers {
		interval = interval * core.Time(size) / syncMembers
	}
	return interval/2 + m.randomSpan(interval)
}

func (m *Membership) syncDeadline() core.Time {
	if len(m.table.ring) == 0 {
		return core.Never
	}
	return m.sync.next
}

// hasCome takes note of a member that came or came back.
func (m *Membership) hasCome() {
	s := &m.sync
	s.came++
	if s.came >= max(growthLeast, m.table.size()*growthShare/100) && s.settleAt == core.Never {
		s.settleAt = m.now + settleDelay + m.randomSpan(settleJitter)
		s.settleLeft = settleRounds
	}
}

// stepSettle asks a seed for its list after many came, or a random member where no seed is one.
func (m *Membership) stepSettle() {
	s := &m.sync
	if m.now < s.settleAt {
		return
	}
	s.came = 0
	s.settleLeft--
	s.settleAt = core.Never
	if s.settleLeft > 0 {
		s.settleAt = m.now + settlePause
	}
	if present := m.presentSeeds(); len(present) > 0 {
		m.ask(present[m.random.IntN(len(present))])
		return
	}
	for _, member := range m.table.pick(1, "", m.random) {
		m.ask(member.Address)
	}
}

// stepSync exchanges the list with a random member from time to time, which repairs what got lost.
func (m *Membership) stepSync() {
	m.stepSettle()
	if m.now < m.syncDeadline() {
		return
	}
	m.sync.next = m.now + m.syncInterval()
	for _, member := range m.table.pick(1, "", m.random) {
		m.exchange(member.Address)
	}
}

// exchange sends the whole list to the node at the address, and asks for its own.
func (m *Membership) exchange(address string) {
	m.sync.await(address, m.now)
	m.send(address, memberSync(true, m.table.members()))
}

// receiveSync takes a list or news, and answers with the own list where that is wanted.
func (m *Membership) receiveSync(from core.Peer, sync *nodepb.MemberSync) {
	if sync.ReplyWanted {
		m.learn(from, sync.Members, true)
		m.send(from.Address, memberSync(false, m.listWithAnswer()))
		return
	}
	asked := m.sync.answered(from.Address, m.now)
	passOn := !asked || m.now > m.started+settleSpan
	m.learn(from, sync.Members, passOn)
	m.sendAnswer(from)
	if asked {
		m.seedAnswered(from.Address)
	}
}

// listWithAnswer returns the members, and what the sender of the message has to hear besides.
func (m *Membership) listWithAnswer() []*nodepb.Member {
	list := m.table.members()
	for _, member := range m.answer {
		if !slices.Contains(list, member) {
			list = append(slices.Clip(list), member)
		}
	}
	return list
}
