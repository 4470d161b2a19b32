package faultrun

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// way leads from one machine to another.
type way struct{ from, to string }

// network carries messages between machines.
type network struct {
	world     *World
	delay     time.Duration
	jitter    time.Duration
	loss      float64
	duplicate float64
	straggle  float64     // chance that a message takes seconds
	cuts      map[way]int // how many troubles cut it
	relayed   int
	sent      int
}

func (n *network) send(from *machine, to string, message *nodepb.Envelope) {
	n.sent++
	if message.GetRelay() != nil {
		n.relayed++
	}
	n.carry(from, to, message)
	if n.world.random.Float64() < n.duplicate {
		n.carry(from, to, message)
	}
}

// carry brings a message over, if nothing is in the way when it is sent and when it comes.
func (n *network) carry(from *machine, address string, message *nodepb.Envelope) {
	w := n.world
	to := w.byAddress[address]
	if to == nil || w.random.Float64() < n.loss || n.cut(from, to) {
		return
	}
	sender := core.Peer{NodeID: from.nodeID(), Address: from.address}
	copied := proto.CloneOf(message)
	w.after(n.transit(), func() { // also to another life of the process
		if to.running && !n.cut(from, to) {
			to.input(func(now core.Time) { to.carryOut(to.node.Receive(now, sender, copied)) })
		}
	})
}

func (n *network) transit() time.Duration {
	random := n.world.random
	delay := n.delay/2 + time.Duration(random.Int64N(int64(n.delay+n.jitter)+1))
	if random.Float64() < n.straggle {
		delay += time.Duration(random.Int64N(int64(4 * time.Second)))
	}
	return delay
}

func (n *network) cut(from, to *machine) bool { return n.cuts[way{from.address, to.address}] > 0 }

// separate cuts the ways from some machines to others, and back unless oneWay, for a while.
func (n *network) separate(a, b []*machine, oneWay bool, span time.Duration) {
	var cut []way
	for _, one := range a {
		for _, other := range b {
			if one == other {
				continue
			}
			cut = append(cut, way{one.address, other.address})
			if !oneWay {
				cut = append(cut, way{other.address, one.address})
			}
		}
	}
	n.change(cut, 1)
	n.world.after(span, func() { n.change(cut, -1) })
}

func (n *network) change(ways []way, by int) {
	w := n.world
	for _, cut := range ways {
		n.cuts[cut] += by
		from, to := w.byAddress[cut.from], w.byAddress[cut.to]
		from.troubled()
		to.troubled()
		if from.counts && to.counts {
			w.health.coreTroubled()
		}
	}
}
