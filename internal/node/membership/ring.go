package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"kestrelspread/internal/node/nodepb"
)

// The ring is the random order in which a table's live members are probed (SWIM: round-robin probe
// target selection). The time until every member is probed is bounded so.

// insertIntoRing inserts a member at a random position, in this pass or the next.
func (t *table) insertIntoRing(id string, random *rand.Rand) {
	position := random.IntN(len(t.ring) + 1)
	t.ring = slices.Insert(t.ring, position, id)
	if position < t.ringPosition {
		t.ringPosition++
	}
}

// removeFromRing removes a member from the ring and from the index by address.
func (t *table) removeFromRing(member *nodepb.Member) {
	position := slices.Index(t.ring, member.NodeId)
	t.ring = slices.Delete(t.ring, position, position+1)
	if position < t.ringPosition {
		t.ringPosition--
	}
	if t.idByAddress[member.Address] == member.NodeId {
		delete(t.idByAddress, member.Address)
	}
}

// nextToProbe returns the live member to probe next, nil: there is none. A pass probes every member
// once, each pass in an order of its own. Suspects are left out where there are other members:
// probeOnce probes them.
func (t *table) nextToProbe(random *rand.Rand) *entry {
	var known *entry
	for range t.ring {
		known = t.nextInRing(random)
		if known.member.State == nodepb.MemberState_ALIVE {
			break
		}
	}
	return known
}

// nextInRing returns the next member of the pass, and begins a new pass in a new order at the end.
func (t *table) nextInRing(random *rand.Rand) *entry {
	if t.ringPosition >= len(t.ring) {
		t.ringPosition = 0
		random.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
	}
	id := t.ring[t.ringPosition]
	t.ringPosition++
	return t.entries[id]
}

// pick returns up to count distinct members that are alive and not suspected, except the one of
// that node id: a random section of the ring, which is itself in random order.
func (t *table) pick(count int, except string, random *rand.Rand) []*nodepb.Member {
	if len(t.ring) == 0 {
		return nil
	}
	picked := make([]*nodepb.Member, 0, count)
	first := random.IntN(len(t.ring))
	for i := range t.ring {
		if len(picked) == count {
			break
		}
		member := t.entries[t.ring[(first+i)%len(t.ring)]].member
		if member.NodeId != except && member.State == nodepb.MemberState_ALIVE {
			picked = append(picked, member)
		}
	}
	return picked
}

// successor returns the member that follows this node by node id, in a circle, among those that are
// alive and not suspected; nil: there is none.
func (t *table) successor() *nodepb.Member {
	members := t.members()
	own, _ := slices.BinarySearchFunc(members, t.self.NodeId, func(member *nodepb.Member, id string) int {
		return cmp.Compare(member.NodeId, id)
	})
	for i := 1; i < len(members); i++ {
		member := members[(own+i)%len(members)]
		if member.State == nodepb.MemberState_ALIVE {
			return member
		}
	}
	return nil
}
