package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// pushes is what does not wait for the next probe. Each node that hears of it for the first time sends it on, to a few
// members in a few rounds, so that all know within a second.
//
// News of who came, came back, left or changed makes a round due at once. Suspicions and refutations, of which there may
// be any number where messages get lost, go along with it; by themselves they have an allowance of pushAllowance rounds,
// of which one comes back every pushRefill.
type pushes struct {
	row  []pushItem // the newest first
	next core.Time  // the earliest time of the next round
	// fullAt is when the allowance is whole again.
	fullAt core.Time
}

type pushItem struct {
	nodeID string
	news   bool
	rounds int // how many are left
}

func (p *pushes) add(nodeID string, news bool) {
	p.row = slices.DeleteFunc(p.row, func(other pushItem) bool { return other.nodeID == nodeID })
	p.row = slices.Insert(p.row, 0, pushItem{nodeID: nodeID, news: news, rounds: pushRounds})
}

// deadline returns when the next round is due.
func (p *pushes) deadline() core.Time {
	switch {
	case len(p.row) == 0:
		return core.Never
	case p.hasNews():
		return p.next
	default:
		return max(p.next, p.fullAt-(pushAllowance-1)*pushRefill)
	}
}

func (p *pushes) hasNews() bool {
	return slices.ContainsFunc(p.row, func(item pushItem) bool { return item.news })
}

// begin takes note of a round.
func (p *pushes) begin(now core.Time) {
	p.next = now + pushPause
	if !p.hasNews() {
		p.fullAt = max(p.fullAt, now) + pushRefill
	}
}

// take returns the news of one round.
func (p *pushes) take(members *table) []*nodepb.Member {
	var news []*nodepb.Member
	count := min(len(p.row), pushMembers)
	for i := range p.row[:count] {
		p.row[i].rounds--
		if member := members.get(p.row[i].nodeID); member != nil && member.State != nodepb.MemberState_DEAD {
			news = append(news, member)
		}
	}
	p.row = slices.DeleteFunc(p.row, func(item pushItem) bool { return item.rounds <= 0 })
	return news
}

// spread passes on a change of the list, soon and by gossip.
func (m *Membership) spread(nodeID string) {
	m.pushes.add(nodeID, true)
	m.gossip.add(nodeID, newsTransmissions)
}

// mention passes on a suspicion or its refutation, soon where the allowance has it, and by gossip.
func (m *Membership) mention(nodeID string) {
	m.pushes.add(nodeID, false)
	m.gossip.add(nodeID, transmissions(m.table.size()))
}

// stepPushes sends a round of news where one is due.
func (m *Membership) stepPushes() {
	if m.now < m.pushes.deadline() {
		return
	}
	m.pushes.begin(m.now)
	news := m.pushes.take(m.table)
	if len(news) == 0 {
		return
	}
	m.pushTo(m.pushReceivers(), news)
}

// pushReceivers returns the members that get a round of news.
func (m *Membership) pushReceivers() []*nodepb.Member {
	successor := m.table.successor()
	if successor == nil {
		return nil
	}
	return append(m.table.pick(pushFanout-1, successor.NodeId, m.random), successor)
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
