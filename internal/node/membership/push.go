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
	queue       []pushItem // the newest first
	nextRoundAt core.Time  // the earliest time of the next round
	// allowanceFullAt is when the allowance is whole again.
	allowanceFullAt core.Time
}

type pushItem struct {
	nodeID          string
	isChange        bool
	remainingRounds int // how many are left
}

func (p *pushes) add(nodeID string, isChange bool) {
	p.queue = slices.DeleteFunc(p.queue, func(other pushItem) bool { return other.nodeID == nodeID })
	p.queue = slices.Insert(p.queue, 0, pushItem{nodeID: nodeID, isChange: isChange, remainingRounds: pushRounds})
}

// deadline returns when the next round is due.
func (p *pushes) deadline() core.Time {
	switch {
	case len(p.queue) == 0:
		return core.Never
	case p.hasChange():
		return p.nextRoundAt
	default:
		return max(p.nextRoundAt, p.allowanceFullAt-(pushAllowance-1)*pushRefillInterval)
	}
}

func (p *pushes) hasChange() bool {
	return slices.ContainsFunc(p.queue, func(item pushItem) bool { return item.isChange })
}

// beginRound takes note of a round.
func (p *pushes) beginRound(now core.Time) {
	p.nextRoundAt = now + pushInterval
	if !p.hasChange() {
		p.allowanceFullAt = max(p.allowanceFullAt, now) + pushRefillInterval
	}
}

// take returns the news of one round.
func (p *pushes) take(members *table) []*nodepb.Member {
	var updates []*nodepb.Member
	count := min(len(p.queue), maxPushMembers)
	for i := range p.queue[:count] {
		p.queue[i].remainingRounds--
		if member := members.get(p.queue[i].nodeID); member != nil && member.State != nodepb.MemberState_DEAD {
			updates = append(updates, member)
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(item pushItem) bool { return item.remainingRounds <= 0 })
	return updates
}

// disseminateChange passes on a change of the list, soon and by gossip.
func (m *Membership) disseminateChange(nodeID string) {
	m.pushes.add(nodeID, true)
	m.gossip.add(nodeID, changeTransmissions)
}

// disseminateSuspicion passes on a suspicion or its refutation, soon where the allowance has it, and by gossip.
func (m *Membership) disseminateSuspicion(nodeID string) {
	m.pushes.add(nodeID, false)
	m.gossip.add(nodeID, transmissions(m.table.size()))
}

// stepPushes sends a round of news where one is due.
func (m *Membership) stepPushes() {
	if m.now < m.pushes.deadline() {
		return
	}
	m.pushes.beginRound(m.now)
	updates := m.pushes.take(m.table)
	if len(updates) == 0 {
		return
	}
	m.pushTo(m.pushReceivers(), updates)
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
func (m *Membership) pushTo(receivers, updates []*nodepb.Member) {
	if len(receivers) == 0 {
		return
	}
	message := memberSync(false, updates)
	for _, receiver := range receivers {
		m.send(receiver.Address, message)
	}
}
