package chain_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// network carries messages with delay, loss, duplicates and partitions.
type network struct {
	world                *world
	delay                time.Duration
	jitter               time.Duration
	lossProbability      float64
	duplicateProbability float64
	delayProbability     float64            // that a message takes seconds
	partitions           map[[2]string]bool // by sender and destination
	crashProbability     float64            // that a machine dies right after it has sent something
	onCrash              func(n *node)
	sent                 int
	relayed              int
}

func (t *network) send(from *node, output core.Send) {
	t.sent++
	t.deliver(from, output)
	if t.world.random.Float64() < t.duplicateProbability {
		t.deliver(from, output)
	}
	if t.crashProbability > 0 && bindsSender(output.Message) && t.world.random.Float64() < t.crashProbability {
		t.world.after(0, func() { t.onCrash(from) })
	}
}

// bindsSender reports whether others rely on the message.
func bindsSender(envelope *nodepb.Envelope) bool {
	switch envelope.GetBody().(type) {
	case *nodepb.Envelope_Promise, *nodepb.Envelope_Accepted, *nodepb.Envelope_Accept, *nodepb.Envelope_Append,
		*nodepb.Envelope_SubmitReply, *nodepb.Envelope_CatchUpDone, *nodepb.Envelope_ViewDecided:
		return true
	default:
		return false
	}
}

func (t *network) deliver(from *node, output core.Send) {
	envelope := proto.CloneOf(output.Message)
	peer := core.Peer{NodeID: from.nodeID(), Address: from.address, Via: from.route(output)}
	if peer.Via == "" {
		t.carry(from.address, output.Destination, func(to *node) { to.receive(peer, envelope) })
		return
	}
	t.relayed++
	t.carry(from.address, peer.Via, func(relay *node) {
		t.carry(relay.address, output.Destination, func(to *node) { to.receive(peer, envelope) })
	})
}

// carry brings a message from one machine to another, if no partition is between them when it is
// sent and when it arrives.
func (t *network) carry(from, address string, arrived func(destination *node)) {
	w := t.world
	destination := w.nodes[address]
	way := [2]string{from, address}
	if destination == nil || w.random.Float64() < t.lossProbability || t.partitions[way] {
		return
	}
	delay := t.delay/2 + time.Duration(w.random.Int64N(int64(t.delay+t.jitter)+1))
	if w.random.Float64() < t.delayProbability {
		delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
	}
	incarnation := destination.incarnation
	w.after(delay, func() {
		if destination.incarnation != incarnation || !destination.running || t.partitions[way] {
			return
		}
		destination.input(func() { arrived(destination) })
	})
}

// partition stops messages from one machine to another.
func (t *network) partition(from, destination string) {
	if t.partitions == nil {
		t.partitions = make(map[[2]string]bool)
	}
	t.partitions[[2]string{from, destination}] = true
}

// partitionBoth stops messages between two machines.
func (t *network) partitionBoth(a, b string) {
	t.partition(a, b)
	t.partition(b, a)
}

// heal ends all partitions.
func (t *network) heal() { t.partitions = nil }
