package chain_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// network carries messages with delay, loss, repeats and cuts.
type network struct {
	world     *world
	delay     time.Duration
	jitter    time.Duration
	loss      float64
	duplicate float64
	straggle  float64            // chance that a message takes seconds
	cuts      map[[2]string]bool // from, to
	dieAfter  float64            // chance that a machine dies right after it sent something
	died      func(n *node)
	sent      int
	relayed   int
}

func (t *network) send(from *node, output core.Send) {
	t.sent++
	t.deliver(from, output)
	if t.world.random.Float64() < t.duplicate {
		t.deliver(from, output)
	}
	if t.dieAfter > 0 && weighty(output.Message) && t.world.random.Float64() < t.dieAfter {
		t.world.after(0, func() { t.died(from) })
	}
}

// weighty reports whether others rely on the message.
func weighty(envelope *nodepb.Envelope) bool {
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

// carry brings something from one machine to another, if nothing is in the way when it is sent and when it comes.
func (t *network) carry(from, address string, arrived func(to *node)) {
	w := t.world
	to := w.nodes[address]
	way := [2]string{from, address}
	if to == nil || w.random.Float64() < t.loss || t.cuts[way] {
		return
	}
	delay := t.delay/2 + time.Duration(w.random.Int64N(int64(t.delay+t.jitter)+1))
	if w.random.Float64() < t.straggle {
		delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
	}
	life := to.life
	w.after(delay, func() {
		if to.life != life || !to.running || t.cuts[way] {
			return
		}
		to.input(func() { arrived(to) })
	})
}

// cut stops messages from one machine to another.
func (t *network) cut(from, to string) {
	if t.cuts == nil {
		t.cuts = make(map[[2]string]bool)
	}
	t.cuts[[2]string{from, to}] = true
}

// cutBoth stops messages between two machines.
func (t *network) cutBoth(a, b string) {
	t.cut(a, b)
	t.cut(b, a)
}

// heal joins everything again.
func (t *network) heal() { t.cuts = nil }
