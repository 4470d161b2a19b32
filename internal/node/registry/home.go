package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// peer is a node, this one included, as the registry uses it.
type peer struct {
	id             string
	address        string
	controlAddress string
	zone           string
	suspect        bool
	self           bool

	// backoffUntil: it left a call or an update without an answer lately.
	backoffUntil core.Time
	// pollBackoffUntil: it left a poll without an answer lately.
	pollBackoffUntil core.Time
}

// available reports whether an answer may wait for the peer.
func (p *peer) available(now core.Time) bool { return !p.suspect && p.backoffUntil <= now }

// SetMembers tells the nodes that are alive or suspected. This node may be among them.
func (r *Registry) SetMembers(now core.Time, members []*nodepb.Member) []core.Output {
	r.updatePeers(now, members)
	r.recomputeHomes(now)
	r.dropFormerMembers(now)
	if !r.synced && r.nextPoll <= now {
		r.pollPeer(now)
	}
	return r.takeOutputs()
}

func (r *Registry) updatePeers(now core.Time, members []*nodepb.Member) {
	known := r.peers
	r.peers = make(map[string]*peer, len(members))
	r.others = r.others[:0]
	for _, member := range members {
		if member.NodeId == r.options.SelfID || !isLive(member) {
			continue
		}
		updated := newPeer(member)
		if before := known[member.NodeId]; before != nil {
			updated.backoffUntil = before.backoffUntil
			updated.pollBackoffUntil = before.pollBackoffUntil
		}
		r.peers[member.NodeId] = updated
		r.others = append(r.others, updated)
	}
	slices.SortFunc(r.others, func(a, b *peer) int { return compareText(a.id, b.id) })
	if len(r.others) > 0 || len(known) > 0 {
		r.othersSeenAt = now
	}
	if len(known) == 0 {
		r.nextPoll = max(r.nextPoll, now)
	}
}

func isLive(member *nodepb.Member) bool {
	return member.State == nodepb.MemberState_ALIVE || member.State == nodepb.MemberState_SUSPECT
}

func newPeer(member *nodepb.Member) *peer {
	return &peer{
		id: member.NodeId, address: member.Address, controlAddress: member.ControlAddress, zone: member.Zone,
		suspect: member.State == nodepb.MemberState_SUSPECT,
	}
}

// alone reports whether this node has to acknowledge by itself: it knew no other for long. One that lost sight of the others
// just now may be cut off, and leaves it to those that it can't see.
func (r *Registry) alone(now core.Time) bool {
	return len(r.others) == 0 && (!r.everSawOthers() || now-r.othersSeenAt >= aloneAfter)
}

func (r *Registry) everSawOthers() bool { return r.othersSeenAt != distantPast }

// recomputeHomes finds the home of each topic anew after the members changed.
func (r *Registry) recomputeHomes(now core.Time) {
	for key, t := range r.topics {
		before := t.home
		t.home = r.bestHome(key)
		if t.home.self && !before.self {
			t.homeSince = now
			t.selfPreservationSince = 0
			r.scheduleLivenessCheck(now, t)
		}
	}
}

// bestHome is the home of a topic.
func (r *Registry) bestHome(key topicKey) *peer {
	return rendezvous.Best(key.rendezvousKey(), r.homeCandidates(key.zone), addressOf)
}

// rankHomes lists nodes as homes of a topic, best first.
func (r *Registry) rankHomes(key topicKey) []*peer {
	ranked := r.homeCandidates(key.zone)
	rendezvous.Rank(key.rendezvousKey(), ranked, addressOf)
	return ranked
}

func addressOf(p *peer) string { return p.address }

// homeCandidates lists the nodes of a zone that are not suspected, or all nodes where it has none. The list is never
// empty, as this node is among those that can be.
func (r *Registry) homeCandidates(zone string) []*peer {
	inZone := make([]*peer, 0, len(r.others)+1)
	for _, candidate := range r.others {
		if candidate.zone == zone && !candidate.suspect {
			inZone = append(inZone, candidate)
		}
	}
	if r.self.zone == zone {
		inZone = append(inZone, r.self)
	}
	if len(inZone) > 0 {
		return inZone
	}
	all := append(inZone, r.self)
	for _, candidate := range r.others {
		if !candidate.suspect {
			all = append(all, candidate)
		}
	}
	return all
}

// homeFor is where a call about a broker goes now: its home, or who ranks next where that one is not answering.
func (r *Registry) homeFor(now core.Time, key topicKey) *peer {
	if t := r.topics[key]; t != nil && (t.home.self || t.home.available(now)) {
		return t.home
	}
	for _, candidate := range r.rankHomes(key) {
		if candidate.self || candidate.available(now) {
			return candidate
		}
	}
	return r.self
}
