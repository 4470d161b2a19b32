package membership

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Updates are pushed in rounds, pushInterval apart: each update in pushRounds of them, to
// pushFanout members a round. One of these is the successor by node id, so that an update also
// reaches members that random choice would leave out.
const (
	pushInterval   = 100 * time.Millisecond
	pushRounds     = 2
	pushFanout     = 3
	maxPushMembers = 32 // in one round; the rest waits for the next

	// Rounds of suspicions and refutations alone have an allowance (see pushes).
	pushAllowance      = 10
	pushRefillInterval = 2 * time.Second
)

// pushes is the queue of updates that don't wait for the next probe. Each node that learns of an
// update for the first time pushes it to a few members in a few rounds, so that all know within a
// second.
//
// A change of the list (a join, rejoin, leave or new description) makes a round due at once.
// Suspicions and refutations, of which there may be any number where messages are lost, go along
// with it; by themselves they have a rate limit: an allowance of pushAllowance rounds, one of which
// is refilled every pushRefillInterval.
type pushes struct {
	queue       []pushItem // the newest first
	nextRoundAt core.Time  // the earliest time of the next round
	// allowanceFullAt is when the allowance is full again.
	allowanceFullAt core.Time
}

// pushItem is a queued update about a node.
type pushItem struct {
	nodeID          string
	isChange        bool // of the list; else a suspicion or a refutation
	remainingRounds int
}

// add puts an update at the head of the queue; one about the same node is replaced.
func (p *pushes) add(nodeID string, isChange bool) {
	p.queue = slices.DeleteFunc(p.queue, func(other pushItem) bool { return other.nodeID == nodeID })
	item := pushItem{nodeID: nodeID, isChange: isChange, remainingRounds: pushRounds}
	p.queue = slices.Insert(p.queue, 0, item)
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

// hasChange reports whether a change of the list is queued.
func (p *pushes) hasChange() bool {
	return slices.ContainsFunc(p.queue, func(item pushItem) bool { return item.isChange })
}

// beginRound records a round, which uses up the allowance if it carries no change.
func (p *pushes) beginRound(now core.Time) {
	p.nextRoundAt = now + pushInterval
	if !p.hasChange() {
		p.allowanceFullAt = max(p.allowanceFullAt, now) + pushRefillInterval
	}
}

// take returns the updates of one round. Deaths aren't disseminated: each node declares them by its
// own timer.
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

// disseminateChange disseminates a change of the list, by pushes and by gossip.
func (m *Membership) disseminateChange(nodeID string) {
	m.pushes.add(nodeID, true)
	m.gossip.add(nodeID, changeTransmissions)
}

// disseminateSuspicion disseminates a suspicion or its refutation, by pushes within the allowance,
// and by gossip.
func (m *Membership) disseminateSuspicion(nodeID string) {
	m.pushes.add(nodeID, false)
	m.gossip.add(nodeID, transmissions(m.table.size()))
}

// stepPushes sends a round of updates where one is due.
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

// pushReceivers returns the members that get a round.
func (m *Membership) pushReceivers() []*nodepb.Member {
	successor := m.table.successor()
	if successor == nil {
		return nil
	}
	return append(m.table.pick(pushFanout-1, successor.NodeId, m.random), successor)
}

// pushTo sends the updates to each of the receivers.
func (m *Membership) pushTo(receivers, updates []*nodepb.Member) {
	if len(receivers) == 0 {
		return
	}
	message := memberSync(false, updates)
	for _, receiver := range receivers {
		m.send(receiver.Address, message)
	}
}
