package distribution

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// upstream is a node that may be polled, and what is known of its answers.
type upstream struct {
	address string
	nodeID  string // empty where not known

	unansweredSince core.Time // of the oldest poll that it has not answered
	unanswered      bool
	failures        int       // times in a row that it was passed over
	probeAt         core.Time // where it was passed over: when it is asked again
	staleUntil      core.Time // it had lost touch with the core
}

// demoted reports whether others go first.
func (u *upstream) demoted(now core.Time) bool { return u.failures > 0 || u.staleUntil > now }

// SetDiskID names this node in the chain, once its disk has been opened.
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

func (d *Distribution) tailVoter() *nodepb.Voter {
	chain := d.view.GetChain()
	if len(chain) == 0 {
		return nil
	}
	return d.voter(chain[len(chain)-1])
}

func (d *Distribution) voter(diskID string) *nodepb.Voter {
	for _, voter := range d.view.GetVoters() {
		if voter.DiskId == diskID {
			return voter
		}
	}
	return nil
}

// rankUpstreams lists anew whom to poll, best first, by the members and the view known.
func (d *Distribution) rankUpstreams() {
	addresses := d.coreAddresses()
	if !d.options.CountsForQuorum {
		addresses = append(d.zoneParentAddresses(), addresses...)
	}
	if len(addresses) == 0 {
		addresses = d.options.Seeds
	}
	d.candidates = nil // the polls under way keep the former list
	for _, address := range addresses {
		if address != d.options.SelfAddress {
			d.addCandidate(address)
		}
	}
	d.dropFormerUpstreams()
}

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

func (d *Distribution) dropFormerUpstreams() {
	for address, known := range d.upstreams {
		if !slices.Contains(d.candidates, known) {
			delete(d.upstreams, address)
		}
	}
}

// coreAddresses lists the machines of the core: the tail, the rest of the chain from its end, and the others.
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

// diskAddress is where the machine with a disk is now, by the members, or else by the view.
func (d *Distribution) diskAddress(diskID string) string {
	for _, member := range d.members {
		if member.DiskId == diskID {
			return member.Address
		}
	}
	return d.voter(diskID).GetAddress()
}

// zoneParentAddresses lists whom a node polls within its zone: its parent in the tree that the ranking of the zone's nodes
// makes, the zone's home, and the next one. All rank before this node, so that no two nodes wait for each other. The home itself has none.
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

// zoneRanking lists the addresses of the zone's nodes as its homes, best first.
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
