package faultrun

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// link is one direction between two machines, by their addresses.
type link struct{ source, destination string }

// maxStraggle bounds what a straggling message takes longer than others.
const maxStraggle = 4 * time.Second

// network transmits messages between machines.
type network struct {
	sim             *simulation
	delay           time.Duration
	jitter          time.Duration
	lossRate        float64
	duplicateRate   float64
	stragglerRate   float64                // probability that a message takes seconds
	partitions      map[link]int           // how many faults partition the link
	linkChangedAt   map[link]time.Duration // when the link last went down or up
	noiseEndedAt    time.Duration
	relayedMessages int
	sentMessages    int
}

// send transmits a message once, or twice.
func (n *network) send(from *machine, address string, message *nodepb.Envelope) {
	n.sentMessages++
	if message.GetRelay() != nil {
		n.relayedMessages++
	}
	n.deliver(from, address, message)
	if n.sim.random.Float64() < n.duplicateRate {
		n.deliver(from, address, message)
	}
}

// deliver transmits one copy of a message, if the link is up when it is sent and when it arrives. It reaches whichever incarnation of
// the destination runs by then.
func (n *network) deliver(from *machine, address string, message *nodepb.Envelope) {
	sim := n.sim
	destination := sim.machinesByAddress[address]
	if destination == nil || sim.random.Float64() < n.lossRate || n.isPartitioned(from, destination) {
		return
	}
	sender := core.Peer{NodeID: from.nodeID(), Address: from.address}
	received := proto.CloneOf(message)
	sim.after(n.transitTime(), func() {
		if destination.running && !n.isPartitioned(from, destination) {
			destination.step(func(now core.Time) { destination.execute(destination.node.Receive(now, sender, received)) })
		}
	})
}

// transitTime draws the time that a message or a call is in transit.
func (n *network) transitTime() time.Duration {
	random := n.sim.random
	delay := n.delay/2 + time.Duration(random.Int64N(int64(n.delay+n.jitter)+1))
	if random.Float64() < n.stragglerRate {
		delay += time.Duration(random.Int64N(int64(maxStraggle)))
	}
	return delay
}

// isPartitioned reports whether messages between two machines are lost, in this direction.
func (n *network) isPartitioned(from, to *machine) bool {
	return n.partitions[link{from.address, to.address}] > 0
}

// partition takes down the links from the machines of one side to those of the other, and back unless oneWay, for a while.
func (n *network) partition(sideA, sideB []*machine, oneWay bool, duration time.Duration) {
	var links []link
	for _, one := range sideA {
		for _, other := range sideB {
			if one == other {
				continue
			}
			links = append(links, link{one.address, other.address})
			if !oneWay {
				links = append(links, link{other.address, one.address})
			}
		}
	}
	n.changePartitions(links, 1)
	n.sim.after(duration, func() { n.changePartitions(links, -1) })
}

// changePartitions adds delta to the count of faults that partition each link, and records the fault at both ends.
func (n *network) changePartitions(links []link, delta int) {
	sim := n.sim
	for _, affected := range links {
		wasDown := n.partitions[affected] > 0
		n.partitions[affected] += delta
		if isDown := n.partitions[affected] > 0; isDown != wasDown {
			n.linkChangedAt[affected] = sim.now
		}
		from, to := sim.machinesByAddress[affected.source], sim.machinesByAddress[affected.destination]
		from.recordFault()
		to.recordFault()
		if from.isCore && to.isCore {
			sim.health.recordCoreFault()
		}
	}
}

// endPartitions takes up all links. The ends of the faults that had taken them down, which may still come, do not take down any:
// counts below zero are no partition.
func (n *network) endPartitions() {
	for affected, count := range n.partitions {
		if count > 0 {
			n.linkChangedAt[affected] = n.sim.now
		}
	}
	clear(n.partitions)
}
