package control

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
	"kestrelspread/internal/node/transfer"
)

// send sends a message: a large one as fragments, and one to a core machine that can't be reached
// directly through a relay.
func (n *Node) send(now core.Time, output core.Send) {
	if proto.Size(output.Message) > transfer.Threshold {
		n.execute(now, n.transfers.Send(now, output.Destination, transfer.SubjectOf(output.Message), output.Message))
		return
	}
	via := n.relayFor(output)
	if via == "" {
		n.outbox.Add(core.Send{Destination: output.Destination, Message: output.Message})
		return
	}
	relay := &nodepb.Relay{
		Destination:   output.Destination,
		OriginId:      n.self.NodeId,
		OriginAddress: n.self.Address,
		Envelope:      output.Message,
	}
	n.outbox.Add(core.Send{Destination: via, Message: &nodepb.Envelope{Body: &nodepb.Envelope_Relay{Relay: relay}}})
}

// relayFor returns the relay through which a message goes; empty: none. Pings and pongs of voters take
// the route that they are to prove.
func (n *Node) relayFor(output core.Send) string {
	switch output.Message.GetBody().(type) {
	case *nodepb.Envelope_VoterPing, *nodepb.Envelope_VoterPong:
		return output.Via
	}
	if n.store == nil {
		return ""
	}
	return n.store.Route(output.Destination)
}

// handleRelay dispatches a message that arrived through a relay, or, as the relay, forwards one to its
// destination. A relay forwards to core machines only, and only what it has from the origin itself:
// no message takes two relays.
func (n *Node) handleRelay(now core.Time, from core.Peer, relay *nodepb.Relay) {
	if relay.GetDestination() == n.self.Address {
		origin := core.Peer{NodeID: relay.GetOriginId(), Address: relay.GetOriginAddress(), Via: from.Address}
		n.execute(now, n.dispatch(now, origin, relay.GetEnvelope()))
		return
	}
	forwardedBefore := from.Address != relay.GetOriginAddress()
	if forwardedBefore || !n.coreAddresses[relay.GetDestination()] {
		return
	}
	n.outbox.Add(core.Send{Destination: relay.GetDestination(), Message: &nodepb.Envelope{Body: &nodepb.Envelope_Relay{Relay: relay}}})
}

// maxRelays bounds the relays of each kind: outside the core, and in it.
const maxRelays = 12

// rankRelays lists the nodes that may relay for this one, best first: alternately one of its own zone
// and one of another, and the core machines last, as they are more likely to be partitioned together.
// Different nodes begin with different relays.
func (n *Node) rankRelays(members []*nodepb.Member) []string {
	var sameZone, otherZone, core []string
	for _, member := range members {
		switch {
		case member.NodeId == n.self.NodeId || member.State != nodepb.MemberState_ALIVE:
		case member.CountsForQuorum:
			core = append(core, member.Address)
		case member.Zone == n.self.Zone:
			sameZone = append(sameZone, member.Address)
		default:
			otherZone = append(otherZone, member.Address)
		}
	}
	for _, group := range [][]string{sameZone, otherZone, core} {
		rendezvous.Rank(n.self.Address, group, func(address string) string { return address })
	}
	var relays []string
	for i := range max(len(sameZone), len(otherZone)) {
		relays = append(relays, sameZone[min(i, len(sameZone)):min(i+1, len(sameZone))]...)
		relays = append(relays, otherZone[min(i, len(otherZone)):min(i+1, len(otherZone))]...)
	}
	relays = relays[:min(len(relays), maxRelays)]
	return append(relays, core[:min(len(core), maxRelays)]...)
}

// addressesOf returns the set of the internal addresses of members.
func addressesOf(members []*nodepb.Member) map[string]bool {
	addresses := make(map[string]bool, len(members))
	for _, member := range members {
		addresses[member.Address] = true
	}
	return addresses
}
