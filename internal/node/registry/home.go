package registry

import (
	"slices"
	"strings"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// peer is a node as the registry sees it: this one, or another member.
type peer struct {
	id             string
	address        string
	controlAddress string
	zone           string
	suspect        bool
	self           bool

	backoffUntil     core.Time // it left a call or an update without an answer
	pollBackoffUntil core.Time // it left a poll without an answer
}

// available reports whether the peer can be relied on for an answer.
func (p *peer) available(now core.Time) bool { return !p.suspect && p.backoffUntil <= now }

// SetMembers sets the members of the fleet. Those neither alive nor suspected are ignored, and so is
// this node.
func (r *Registry) SetMembers(now core.Time, members []*nodepb.Member) []core.Output {
	r.updatePeers(now, members)
	r.recomputeHomes(now)
	r.dropFormerMembers(now)
	if !r.synced && r.nextPoll <= now {
		r.pollPeer(now)
	}
	return r.takeOutputs()
}

// updatePeers replaces the peers by the members, and keeps what is known of those that stay.
func (r *Registry) updatePeers(now core.Time, members []*nodepb.Member) {
	known := r.peers
	r.peers = make(map[string]*peer, len(members))
	r.others = r.others[:0]
	for _, member := range members {
		if member.NodeId == r.options.SelfID || !isLive(member) {
			continue
		}
		updated := newPeer(member)
		if previous := known[member.NodeId]; previous != nil {
			updated.backoffUntil = previous.backoffUntil
			updated.pollBackoffUntil = previous.pollBackoffUntil
		} else {
			r.sendLeaving(now, updated)
			r.sendUnanswered(updated)
		}
		r.peers[member.NodeId] = updated
		r.others = append(r.others, updated)
	}
	slices.SortFunc(r.others, func(a, b *peer) int { return strings.Compare(a.id, b.id) })
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

// recomputeHomes finds the home of each topic after the members changed. Heartbeat timeouts of a
// topic start from zero where this node has become its home.
func (r *Registry) recomputeHomes(now core.Time) {
	for key, t := range r.topics {
		previous := t.home
		t.home = r.bestHome(key)
		if t.home.self && !previous.self {
			t.homeSince = now
			t.selfPreservationSince = 0
			r.scheduleLivenessCheck(now, t)
		}
	}
}

// bestHome returns the home of a topic by the members known.
func (r *Registry) bestHome(key topicKey) *peer {
	return rendezvous.Best(key.rendezvousKey(), r.homeCandidates(key.zone), addressOf)
}

// rankHomes lists the candidates for the home of a topic, best first.
func (r *Registry) rankHomes(key topicKey) []*peer {
	ranked := r.homeCandidates(key.zone)
	rendezvous.Rank(key.rendezvousKey(), ranked, addressOf)
	return ranked
}

func addressOf(p *peer) string { return p.address }

// homeCandidates lists the nodes of a zone that are not suspected, or those of all zones if it has
// none. The list is never empty, as this node is never suspected by itself.
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

// homeFor returns the node that handles a call about a broker now: the home of its topic, or the next
// best candidate if the home is not available.
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
