package scale

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// send carries a message to another node as an encoded frame. Messages of one node to another keep their order.
func (f *Fleet) send(from *node, output core.Send) {
	frame, err := from.sender.Append(nil, output.Message)
	if err != nil {
		f.unencodable++
		return
	}
	kind := wireproto.KindOf(output.Message)
	to := f.byAddress[output.Destination]
	if to != from {
		f.countSent(from, to, kind, output, len(frame))
	}
	if to == nil || f.cut(from, to) || f.loss > 0 && f.random.Float64() < f.loss {
		return
	}
	f.clock.after(delay(from.place, to.place), func() { to.receive(kind, frame) })
}

// countSent counts a message at whoever sends it or passes it on.
func (f *Fleet) countSent(from, to *node, kind wireproto.Kind, output core.Send, size int) {
	bySender, passedBy := f.legs(from, to, output.Message)
	if bySender {
		from.meter.kinds[kind].sent++
		from.meter.kinds[kind].sentBytes += uint64(size)
	}
	if passedBy != nil && passedBy != from && passedBy != to {
		passedBy.meter.kinds[kind].sent++
		passedBy.meter.kinds[kind].sentBytes += uint64(size)
	}
}

// cut reports whether two nodes are out of contact.
func (f *Fleet) cut(from, to *node) bool {
	return f.cutRegion != "" && (from.place.region == f.cutRegion) != (to.place.region == f.cutRegion)
}

// place is where a node or broker stands.
type place struct{ zone, region string }

// delay is how long a message takes.
func delay(from, to place) time.Duration {
	switch {
	case from.zone == to.zone:
		return delayInZone
	case from.region == to.region:
		return delayInRegion
	default:
		return delayRegions
	}
}

// receive takes a frame off the network.
func (n *node) receive(kind wireproto.Kind, frame []byte) {
	if !n.running {
		return
	}
	counted := &n.meter.kinds[kind]
	counted.received++
	counted.receivedBytes += uint64(len(frame))
	n.turn(&counted.spent, func(now core.Time) {
		message := new(nodepb.Envelope)
		if proto.Unmarshal(frame[wireproto.HeaderSize:], message) != nil {
			n.fleet.unencodable++
			return
		}
		from := core.Peer{NodeID: message.SenderId, Address: message.SenderAddress}
		n.carryOut(now, n.control.Receive(now, from, message))
	})
}
