package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// entry is what is known of one process of another node.
type entry struct {
	// member is never modified, as messages and callers share it; a change replaces it.
	member *nodepb.Member
	// expiresAt is when a suspect is declared dead, and when a member that is dead or has left is
	// removed.
	expiresAt core.Time
	// finalProbeAt is when a suspect is probed once more; Never once it was.
	finalProbeAt core.Time
	// replaced: a later process has taken the address.
	replaced bool
	// claimedAt is when a claim of the address by another process was last followed up; 0: never.
	claimedAt core.Time
}

// table holds the entries and indexes over them. All changes go through set and remove, which keep
// the indexes.
type table struct {
	self     *nodepb.Member
	entries  map[string]*entry
	suspects []*entry
	down     []*entry
	// idByAddress is the node id of the live member at each address.
	idByAddress map[string]string
	// ring is the node ids of the live members in the order in which they are probed, ringPosition
	// the index of the next.
	ring         []string
	ringPosition int

	cachedMembers []*nodepb.Member // nil: to be built from the entries
	revision      uint64
}

// newTable returns a table that holds this node only.
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

// set records the member as it is now known.
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

// updateIndexes updates the indexes for a changed entry; before is its previous member, nil: it is
// new.
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

// updateList returns the list with the entry added or removed, where its membership has changed.
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

// remove removes an entry that is down.
func (t *table) remove(known *entry) {
	t.down = updateList(t.down, known, true, false)
	delete(t.entries, known.member.NodeId)
}

// get returns the member of that node id, this node included; nil: it is unknown.
func (t *table) get(id string) *nodepb.Member {
	if id == t.self.NodeId {
		return t.self
	}
	if known := t.entries[id]; known != nil {
		return known.member
	}
	return nil
}

// members returns the live members and this node, sorted by node id.
func (t *table) members() []*nodepb.Member {
	if t.cachedMembers != nil {
		return t.cachedMembers
	}
	members := make([]*nodepb.Member, 0, t.size())
	members = append(members, t.self)
	for _, id := range t.ring {
		members = append(members, t.entries[id].member)
	}
	slices.SortFunc(members, func(a, b *nodepb.Member) int { return cmp.Compare(a.NodeId, b.NodeId) })
	t.cachedMembers = members
	return members
}

// sameDescription reports whether two members differ in state and incarnation at most.
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
