package membership

import (
	"math/bits"
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// update is a queued update about a node. What is sent is the node's state at the time of sending.
type update struct {
	nodeID    string
	remaining int // transmissions left
}

// gossip is the queue of the updates that are piggybacked on probes and acks: the newest and the
// least often sent come first.
type gossip struct {
	queue []update
}

// changeTransmissions is how often each node piggybacks a change of the list, which is pushed as
// well.
const changeTransmissions = 4

// transmissions returns how often each of so many nodes sends an update. On average each node
// receives it as often, so that it reaches all even where most messages are lost. (SWIM: a multiple
// of the logarithm.)
func transmissions(nodes int) int { return 3 + 3*bits.Len(uint(nodes)) }

// add puts an update at the head of the queue; one about the same node is replaced.
func (g *gossip) add(nodeID string, times int) {
	g.queue = slices.DeleteFunc(g.queue, func(other update) bool { return other.nodeID == nodeID })
	if times > 0 {
		g.queue = slices.Insert(g.queue, 0, update{nodeID: nodeID, remaining: times})
	}
}

// removeDead removes the updates about dead members.
func (g *gossip) removeDead(members *table) {
	g.queue = slices.DeleteFunc(g.queue, func(item update) bool {
		member := members.get(item.nodeID)
		return member != nil && member.State == nodepb.MemberState_DEAD
	})
}

// take appends up to count updates to list, and moves them to the end of the queue while
// transmissions are left.
func (g *gossip) take(list []*nodepb.Member, count int, members *table) []*nodepb.Member {
	count = min(count, len(g.queue))
	if count <= 0 {
		return list
	}
	sent := slices.Clone(g.queue[:count])
	g.queue = slices.Delete(g.queue, 0, count)
	for _, item := range sent {
		member := members.get(item.nodeID)
		if member == nil {
			continue
		}
		if !slices.Contains(list, member) {
			list = append(list, member)
		}
		if item.remaining > 1 {
			g.queue = append(g.queue, update{nodeID: item.nodeID, remaining: item.remaining - 1})
		}
	}
	return list
}
