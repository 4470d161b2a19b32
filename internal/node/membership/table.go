package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// entry is what is known of one life of another node.
type entry struct {
	// member is never altered, as messages and pictures share it; a change replaces it.
	member *nodepb.Member
	// expiresAt is when a suspect is held dead, and when one that is dead or has left is forgotten.
	expiresAt core.Time
	// finalProbeAt is when a suspect is probed once more; Never once it was.
	finalProbeAt core.Time
	// replaced: a later life has taken the address.
	replaced bool
}

// table holds the entries and what is derived from them. All changes pass through set and remove.
type table struct {
	self     *nodepb.Member
	entries  map[string]*entry
	suspects []*entry
	down     []*entry
	// idByAddress holds the node id of the live member at each address.
	idByAddress map[string]string
	// ring holds the node ids of the live members in the order in which they are probed, next the place in it.
	ring         []string
	ringPosition int

	cachedMembers []*nodepb.Member // nil where it has to be made anew
	revision      uint64
}

func newTable(self *nodepb.Member) *table {
	return &table{self: self, entries: map[string]*entry{}, idByAddress: map[string]string{}, revision: 1}
}

// isLive reports whether a member in this state is part of the list.
func isLive(state nodepb.MemberState) bool {
	return state == nodepb.MemberState_ALIVE || state == nodepb.MemberState_SUSPECT
}

// size returns the number of live members, this node included.
func (t *table) size() int { return len(t.ring) + 1 }

// setSelf replaces this node's own entry.
func (t *table) setSelf(self *nodepb.Member) {
	if !sameDescription(t.self, self) {
		t.revision++
	}
	t.self = self
	t.cachedMembers = nil
}

// set takes over the member as it is now known.
func (t *table) set(member *nodepb.Member, expiresAt core.Time, random *rand.Rand) *entry {
	known := t.entries[member.NodeId]
	if known == nil {
		known = &entry{}
		t.entries[member.NodeId] = known
	}
	before := known.member
	known.member, known.expiresAt, known.replaced = member, expiresAt, false
	t.updateIndexes(known, before, random)
	return known
}

// updateIndexes brings what is derived from the entry up to date; before is the member that it held, nil where none.
func (t *table) updateIndexes(known *entry, before *nodepb.Member, random *rand.Rand) {
	wasLive := before != nil && isLive(before.State)
	wasSuspect := wasLive && before.State == nodepb.MemberState_SUSPECT
	wasDown := before != nil && !wasLive
	nowLive := isLive(known.member.State)
	nowSuspect := known.member.State == nodepb.MemberState_SUSPECT

	t.suspects = updateList(t.suspects, known, wasSuspect, nowSuspect)
	t.down = updateList(t.down, known, wasDown, !nowLive)
	switch {
	case nowLive && !wasLive:
		t.insertIntoRing(known.member.NodeId, random)
		t.idByAddress[known.member.Address] = known.member.NodeId
	case wasLive && !nowLive:
		t.removeFromRing(before)
	}
	if wasLive || nowLive {
		t.cachedMembers = nil
	}
	if wasLive != nowLive || nowLive && !sameDescription(before, known.member) {
		t.revision++
	}
}

// updateList returns the list with or without the entry.
func updateList(list []*entry, known *entry, was, is bool) []*entry {
	switch {
	case is && !was:
		return append(list, known)
	case was && !is:
		return slices.DeleteFunc(list, func(other *entry) bool { return other == known })
	default:
		return list
	}
}

// remove forgets an entry that is down.
func (t *table) remove(known *entry) {
	t.down = updateList(t.down, known, true, false)
	delete(t.entries, known.member.NodeId)
}

func (t *table) insertIntoRing(id string, random *rand.Rand) {
	position := random.IntN(len(t.ring) + 1)
	t.ring = slices.Insert(t.ring, position, id)
	if position < t.ringPosition {
		t.ringPosition++
	}
}

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

// nextToProbe returns the live member to probe next, nil where there is none. Every member comes once in a pass, each
// pass in an order of its own. Suspects are left out where there are others: they are called in another way.
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

func (t *table) nextInRing(random *rand.Rand) *entry {
	if t.ringPosition >= len(t.ring) {
		t.ringPosition = 0
		random.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
	}
	id := t.ring[t.ringPosition]
	t.ringPosition++
	return t.entries[id]
}

// pick returns up to count different members that are alive and not suspected, without the one whose node id is
// except: a random stretch of the ring, which is itself in random order.
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

// successor returns the member that follows this node by node id, in a circle, among those that are alive and not
// suspected; nil where there is none.
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

// get returns what is known of the node, this one included; nil where nothing is.
func (t *table) get(id string) *nodepb.Member {
	if id == t.self.NodeId {
		return t.self
	}
	if known := t.entries[id]; known != nil {
		return known.member
	}
	return nil
}

// members returns the live members and this node, by node id.
func (t *table) members() []*nodepb.Member {
	if t.cachedMembers != nil {
		return t.cachedMembers
	}
	picture := make([]*nodepb.Member, 0, t.size())
	picture = append(picture, t.self)
	for _, id := range t.ring {
		picture = append(picture, t.entries[id].member)
	}
	slices.SortFunc(picture, func(a, b *nodepb.Member) int { return cmp.Compare(a.NodeId, b.NodeId) })
	t.cachedMembers = picture
	return picture
}

// sameDescription reports whether two members differ in nothing but state and incarnation.
func sameDescription(a, b *nodepb.Member) bool {
	return a.NodeId == b.NodeId && a.Name == b.Name && a.Address == b.Address && a.ControlAddress == b.ControlAddress &&
		a.Zone == b.Zone && a.Region == b.Region && a.CountsForQuorum == b.CountsForQuorum &&
		a.ServesFront == b.ServesFront && a.DiskId == b.DiskId
}

// withState returns a copy of the member in that state.
func withState(member *nodepb.Member, state nodepb.MemberState) *nodepb.Member {
	changed := proto.CloneOf(member)
	changed.State = state
	return changed
}
