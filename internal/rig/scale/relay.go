package scale

import (
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// relay is a trial of a design that the nodes do not have: updates of brokers go to one node of each zone, which passes them on in its
// zone and answers for it. Only what is counted differs: each message still reaches each node, and each confirmation its sender, so
// the processor time of the sender is overstated.
type relay struct {
	on      bool
	homes   map[string]*node // by zone
	counted map[relayKey]bool
}

// relayKey is one update on its way to one zone, or the confirmation of it.
type relayKey struct {
	nonce uint64
	zone  string
	ack   bool
}

// legs says who counts a message as sent: the sender, and a relay that passes it on.
func (f *Fleet) legs(from, to *node, message *nodepb.Envelope) (bySender bool, passedBy *node) {
	if !f.relay.on || to == nil {
		return true, nil
	}
	switch body := message.Body.(type) {
	case *nodepb.Envelope_InstanceUpdate:
		home := f.relayOf(to.place.zone)
		return f.relay.first(relayKey{nonce: body.InstanceUpdate.Nonce, zone: to.place.zone}), home
	case *nodepb.Envelope_InstanceUpdateAck:
		home := f.relayOf(from.place.zone)
		if f.relay.first(relayKey{nonce: body.InstanceUpdateAck.Nonce, zone: from.place.zone, ack: true}) {
			return true, home
		}
		return true, nil
	default:
		return true, nil
	}
}

func (r *relay) first(key relayKey) bool {
	if r.counted[key] {
		return false
	}
	r.counted[key] = true
	return true
}

// relayOf is the node that passes updates on in a zone.
func (f *Fleet) relayOf(zone string) *node {
	if known := f.relay.homes[zone]; known != nil && known.running {
		return known
	}
	var candidates []*node
	for _, n := range f.running() {
		if n.place.zone == zone {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	f.relay.homes[zone] = rendezvous.Best("relay/"+zone, candidates, func(n *node) string { return n.self.NodeId })
	return f.relay.homes[zone]
}
