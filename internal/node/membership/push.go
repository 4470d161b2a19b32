package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// pushes is the news that does not wait for the next probe: who came, came back, left or changed. Each node that
// hears of it for the first time sends it on, to a few members in a few rounds, so that all know within a second.
type pushes struct {
	row  []update // the newest first; left counts rounds
	next core.Time
}

func (p *pushes) add(nodeID string) {
	p.row = slices.DeleteFunc(p.row, func(other update) bool { return other.nodeID == nodeID })
	p.row = slices.Insert(p.row, 0, update{nodeID: nodeID, left: pushRounds})
}

// deadline returns when the next round is due.
func (p *pushes) deadline() core.Time {
	if len(p.row) == 0 {
		return core.Never
	}
	return p.next
}

// take returns the news of one round.
func (p *pushes) take(members *table) []*nodepb.Member {
	var news []*nodepb.Member
	count := min(len(p.row), pushMembers)
	for i := range p.row[:count] {
		p.row[i].left--
		if member := members.get(p.row[i].nodeID); member != nil {
			news = append(news, member)
		}
	}
	p.row = slices.DeleteFunc(p.row, func(item update) bool { return item.left <= 0 })
	return news
}

// spread passes on a change of the list, soon and by gossip.
func (m *Membership) spread(nodeID string) {
	m.pushes.add(nodeID)
	m.gossip.add(nodeID, max(transmissions(m.table.size())-pushRounds*pushFanout, minTransmissions))
}

// mention passes on a change by gossip alone.
func (m *Membership) mention(nodeID string) {
	m.gossip.add(nodeID, transmissions(m.table.size()))
}

// stepPushes sends a round of news where one is due.
func (m *Membership) stepPushes() {
	if m.now < m.pushes.deadline() {
		return
	}
	m.pushes.next = m.now + pushPause
	news := m.pushes.take(m.table)
	if len(news) == 0 {
		return
	}
	m.pushTo(m.table.pick(pushFanout, "", m.random), news)
}

// pushTo sends the news to each of the members.
func (m *Membership) pushTo(receivers, news []*nodepb.Member) {
	if len(receivers) == 0 {
		return
	}
	message := memberSync(false, news)
	for _, receiver := range receivers {
		m.send(receiver.Address, message)
	}
}
