package distribution

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// upstream is a node that may be polled, and the record of its answers.
type upstream struct {
	address string
	nodeID  string // empty if not known

	unanswered      bool      // it owes an answer to a poll
	unansweredSince core.Time // when the oldest poll that it has not answered was sent
	failures        int       // demotions in a row for a missing answer
	probeAt         core.Time // if failures > 0: when it is probed
	staleUntil      core.Time // until then it counts as detached from the core
	replied         bool      // to any poll,
	repliedAt       core.Time // last then
}

// maxListedUpstreams bounds what FailedUpstreams lists.
const maxListedUpstreams = 5

// FailedUpstreams lists the addresses of upstreams, best first, that owe an answer to a poll or have said
// that they are detached from the core; maxListedUpstreams at most.
func (d *Distribution) FailedUpstreams(now core.Time) []string {
	var addresses []string
	for _, candidate := range d.candidates {
		if len(addresses) == maxListedUpstreams {
			break
		}
		if candidate.unanswered || candidate.demoted(now) {
			addresses = append(addresses, candidate.address)
		}
	}
	return addresses
}

// demoted reports whether other upstreams are polled first.
func (u *upstream) demoted(now core.Time) bool { return u.failures > 0 || u.staleUntil > now }

// SetDiskID sets the id by which the chain knows this node, once its disk has been opened.
func (d *Distribution) SetDiskID(diskID string) { d.options.SelfDiskID = diskID }

// Tail reports whether this node is the tail of the chain by the newest view known.
func (d *Distribution) Tail() bool {
	tail := d.tailVoter()
	if tail == nil || !d.options.CountsForQuorum {
		return false
	}
	if d.options.SelfDiskID != "" {
		return tail.DiskId == d.options.SelfDiskID
	}
	return tail.NodeId == d.options.SelfID || tail.Address == d.options.SelfAddress
}

// tailVoter returns the voter at the tail of the chain, nil if it is not known.
func (d *Distribution) tailVoter() *nodepb.Voter {
	chain := d.view.GetChain()
	if len(chain) == 0 {
		return nil
	}
	return d.voter(chain[len(chain)-1])
}

// voter returns the voter with a disk by the view known, nil if there is none.
func (d *Distribution) voter(diskID string) *nodepb.Voter {
	for _, voter := range d.view.GetVoters() {
		if voter.DiskId == diskID {
			return voter
		}
	}
	return nil
}

// rankUpstreams rebuilds the list of candidates, best first, by the members and the view known. What is
// known of an upstream's answers is kept as long as it stays a candidate.
func (d *Distribution) rankUpstreams() {
	addresses := d.coreAddresses()
	if !d.options.CountsForQuorum {
		addresses = append(d.zoneParentAddresses(), addresses...)
	}
	if len(addresses) == 0 {
		addresses = d.options.Seeds
	}
	d.candidates = nil // not truncated: the current round may share the array of the previous list
	for _, address := range addresses {
		if address != d.options.SelfAddress {
			d.addCandidate(address)
		}
	}
	d.dropFormerUpstreams()
}

// addCandidate appends an upstream to the candidates, if it isn't among them.
func (d *Distribution) addCandidate(address string) {
	known := d.upstreams[address]
	if known == nil {
		known = &upstream{address: address}
		d.upstreams[address] = known
	}
	if !slices.Contains(d.candidates, known) {
		d.candidates = append(d.candidates, known)
	}
}

// dropFormerUpstreams drops what is known of nodes that are no longer candidates.
func (d *Distribution) dropFormerUpstreams() {
	for address, known := range d.upstreams {
		if !slices.Contains(d.candidates, known) {
			delete(d.upstreams, address)
		}
	}
}

// coreAddresses lists the machines of the core: the chain from its tail to its head, then the others in
// an order that differs between the nodes.
func (d *Distribution) coreAddresses() []string {
	var addresses []string
	for _, diskID := range slices.Backward(d.view.GetChain()) {
		if address := d.diskAddress(diskID); address != "" {
			addresses = append(addresses, address)
		}
	}
	var others []string
	for _, member := range d.members {
		if member.CountsForQuorum && !slices.Contains(addresses, member.Address) {
			others = append(others, member.Address)
		}
	}
	rendezvous.Rank(d.options.SelfAddress, others, func(address string) string { return address })
	return append(addresses, others...)
}

// diskAddress returns the present address of the machine with a disk: that of the member, or else that
// in the view; empty if neither is known.
func (d *Distribution) diskAddress(diskID string) string {
	for _, member := range d.members {
		if member.DiskId == diskID {
			return member.Address
		}
	}
	return d.voter(diskID).GetAddress()
}

// zoneParentAddresses lists the upstreams of this node in its zone: its parent in the tree that the
// ranking of the zone's nodes forms, the zone's home, and the node ranked second. All rank before this
// node, so that no two nodes wait for each other. The home itself has none.
func (d *Distribution) zoneParentAddresses() []string {
	ranked := d.zoneRanking()
	position := slices.Index(ranked, d.options.SelfAddress)
	if position <= 0 {
		return nil
	}
	addresses := []string{ranked[(position-1)/treeFanOut], ranked[0]}
	if position > 1 {
		addresses = append(addresses, ranked[1])
	}
	return addresses
}

// zoneRanking lists the addresses of the zone's nodes by their rank as its home, best first.
func (d *Distribution) zoneRanking() []string {
	ranked := []string{d.options.SelfAddress}
	for _, member := range d.members {
		eligible := member.Zone == d.options.Zone && member.ServesFront && member.State == nodepb.MemberState_ALIVE
		if eligible && member.NodeId != d.options.SelfID {
			ranked = append(ranked, member.Address)
		}
	}
	rendezvous.Rank(rendezvousKey, ranked, func(address string) string { return address })
	return ranked
}
