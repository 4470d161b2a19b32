package control

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
	"kestrelspread/internal/node/transfer"
)

// send brings a message on its way: large ones as fragments, and those to core machines that can't be reached directly by a
// relay.
func (n *Node) send(now core.Time, output core.Send) {
	if proto.Size(output.Message) > transfer.Threshold {
		n.carryOut(now, n.transfers.Send(now, output.Destination, transfer.SubjectOf(output.Message), output.Message))
		return
	}
	via := n.route(output)
	if via == "" {
		n.emit(core.Send{Destination: output.Destination, Message: output.Message})
		return
	}
	relay := &nodepb.Relay{
		To:            output.Destination,
		OriginId:      n.self.NodeId,
		OriginAddress: n.self.Address,
		Envelope:      output.Message,
	}
	n.emit(core.Send{Destination: via, Message: &nodepb.Envelope{Body: &nodepb.Envelope_Relay{Relay: relay}}})
}

// route is the relay by which a message goes; empty: directly. Pings and pongs of voters take the way that they are to prove.
func (n *Node) route(output core.Send) string {
	switch output.Message.GetBody().(type) {
	case *nodepb.Envelope_VoterPing, *nodepb.Envelope_VoterPong:
		return output.Via
	}
	if n.store == nil {
		return ""
	}
	return n.store.Route(output.Destination)
}

// receiveRelay takes a message that came by a relay, or passes one on, as the relay, to the core machine that it is for.
func (n *Node) receiveRelay(now core.Time, from core.Peer, relay *nodepb.Relay) {
	if relay.GetTo() == n.self.Address {
		origin := core.Peer{NodeID: relay.GetOriginId(), Address: relay.GetOriginAddress(), Via: from.Address}
		n.carryOut(now, n.dispatch(now, origin, relay.GetEnvelope()))
		return
	}
	passedOnBefore := from.Address != relay.GetOriginAddress()
	if passedOnBefore || !n.coreAddresses[relay.GetTo()] {
		return
	}
	n.emit(core.Send{Destination: relay.GetTo(), Message: &nodepb.Envelope{Body: &nodepb.Envelope_Relay{Relay: relay}}})
}

// mostRelays bounds the nodes that this one asks to relay.
const mostRelays = 12

// relaysOf lists the nodes that may relay for this one, best first: by turns one of its own zone and one of another, and
// the core machines last, as they are more likely to be cut off together. Different nodes begin with different ones.
func (n *Node) relaysOf(members []*nodepb.Member) []string {
	var near, far, counting []string
	for _, member := range members {
		switch {
		case member.NodeId == n.self.NodeId || member.State != nodepb.MemberState_ALIVE:
		case member.CountsForQuorum:
			counting = append(counting, member.Address)
		case member.Zone == n.self.Zone:
			near = append(near, member.Address)
		default:
			far = append(far, member.Address)
		}
	}
	for _, group := range [][]string{near, far, counting} {
		rendezvous.Rank(n.self.Address, group, func(address string) string { return address })
	}
	var relays []string
	for i := range max(len(near), len(far)) {
		relays = append(relays, near[min(i, len(near)):min(i+1, len(near))]...)
		relays = append(relays, far[min(i, len(far)):min(i+1, len(far))]...)
	}
	relays = relays[:min(len(relays), mostRelays)]
	return append(relays, counting[:min(len(counting), mostRelays)]...)
}

// addressesOf are the internal addresses of members.
func addressesOf(members []*nodepb.Member) map[string]bool {
	addresses := make(map[string]bool, len(members))
	for _, member := range members {
		addresses[member.Address] = true
	}
	return addresses
}
