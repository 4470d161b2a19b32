package membership

import (
	"math/bits"
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// update is a change that is to be passed on: what is known of the node at the time of sending.
type update struct {
	nodeID    string
	remaining int // how often it is still to be sent
}

// gossip is the row of updates that travel on probes and their answers: the newest and those sent least are ahead.
type gossip struct {
	queue []update
}

// changeTransmissions is how often news is sent that is pushed besides.
const changeTransmissions = 4

// transmissions returns how often an update is sent by each of so many nodes. As many go to each node on the mean, so
// that all hear of it even where most messages are lost.
func transmissions(nodes int) int { return 3 + 3*bits.Len(uint(nodes)) }

// add puts an update ahead of all others.
func (g *gossip) add(nodeID string, times int) {
	g.queue = slices.DeleteFunc(g.queue, func(other update) bool { return other.nodeID == nodeID })
	if times > 0 {
		g.queue = slices.Insert(g.queue, 0, update{nodeID: nodeID, remaining: times})
	}
}

// removeDead takes the members that are held dead out of the row.
func (g *gossip) removeDead(members *table) {
	g.queue = slices.DeleteFunc(g.queue, func(item update) bool {
		member := members.get(item.nodeID)
		return member != nil && member.State == nodepb.MemberState_DEAD
	})
}

// take appends up to count updates to list, and moves those sent to the end of the row.
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
