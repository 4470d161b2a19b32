// Package coretest runs the state machines of many nodes in tests, under a virtual clock and on a
// virtual network with seeded delays, message loss, duplication and partitions, and with frozen and
// killed nodes.
//
// It is for tests alone, and carries out no effect but core.Send: all other outputs go to the test.
//
// Invariants: nothing waits for real time; a run depends on the seed and the calls of the test
// only, as all random draws are made in the order of the events, and events at the same time happen
// in the order in which they were queued.
package coretest

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Machine is a node's state machine: see package core.
type Machine interface {
	Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

// Network carries messages between nodes. Its clock shows true time, which starts at 0; each node's
// own clock starts when the node is added.
type Network struct {
	Random    *rand.Rand    // source of all random draws
	MinDelay  time.Duration // bounds of the latency of a message
	MaxDelay  time.Duration
	Loss      float64 // probability that a message doesn't arrive
	Duplicate float64 // probability that a message is sent twice

	now        time.Duration
	nodes      []*Node
	byAddress  map[string]*Node
	inFlight   Schedule // arrivals of messages
	partitions map[[2]string]bool
	scheduled  []scheduledCall
}

// scheduledCall is a call of the test at a given true time.
type scheduledCall struct {
	dueAt time.Duration
	call  func()
}

// NewNetwork returns a network without nodes, whose messages take 1 to 3 ms and are neither lost
// nor duplicated.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Random:     rand.New(rand.NewPCG(seed, seed)),
		MinDelay:   time.Millisecond,
		MaxDelay:   3 * time.Millisecond,
		byAddress:  map[string]*Node{},
		partitions: map[[2]string]bool{},
	}
}

// Now is the true time.
func (n *Network) Now() time.Duration { return n.now }

// Add starts a node. onOutput gets all outputs of its machine other than core.Send; nil: they are
// dropped.
func (n *Network) Add(id, address string, machine Machine, onOutput func(now core.Time, output core.Output)) *Node {
	node := &Node{ID: id, Address: address, Machine: machine, network: n, startedAt: n.now, onOutput: onOutput}
	n.nodes = append(n.nodes, node)
	n.byAddress[address] = node
	return node
}

// Partition stops all messages between two addresses, Heal lets them pass again.
func (n *Network) Partition(a, b string) {
	n.partitions[[2]string{a, b}] = true
	n.partitions[[2]string{b, a}] = true
}

// Heal ends a partition between two addresses.
func (n *Network) Heal(a, b string) {
	delete(n.partitions, [2]string{a, b})
	delete(n.partitions, [2]string{b, a})
}

// Isolate partitions an address from all others, HealAll ends that.
func (n *Network) Isolate(address string) {
	for other := range n.byAddress {
		n.Partition(address, other)
	}
}

// HealAll ends all partitions of an address.
func (n *Network) HealAll(address string) {
	for other := range n.byAddress {
		n.Heal(address, other)
	}
}

// Isolated reports whether an address is partitioned from any other.
func (n *Network) Isolated(address string) bool {
	for pair := range n.partitions {
		if pair[0] == address {
			return true
		}
	}
	return false
}

// After schedules a call; it comes before the arrivals and ticks that are due at the same time.
func (n *Network) After(delay time.Duration, call func()) {
	n.scheduled = append(n.scheduled, scheduledCall{dueAt: n.now + delay, call: call})
}

// Run lets a span of true time pass.
func (n *Network) Run(span time.Duration) {
	n.RunUntil(span, func() bool { return false })
}

// RunUntil lets true time pass until the condition holds, or the span is over. It reports whether
// the condition holds.
func (n *Network) RunUntil(span time.Duration, done func() bool) bool {
	end := n.now + span
	for !done() {
		next := n.nextEvent()
		if next > end {
			n.now = end
			return done()
		}
		n.now = max(n.now, next)
		n.runDue()
	}
	return true
}

// nextEvent is the true time of the next arrival, scheduled call or tick.
func (n *Network) nextEvent() time.Duration {
	next := n.inFlight.Next()
	for _, pending := range n.scheduled {
		next = min(next, pending.dueAt)
	}
	for _, node := range n.nodes {
		next = min(next, node.nextTick())
	}
	return next
}

// runDue runs what is due: scheduled calls, then arrivals, then ticks.
func (n *Network) runDue() {
	n.runScheduled()
	for n.inFlight.Next() <= n.now {
		_, arrive := n.inFlight.Take()
		arrive()
	}
	for _, node := range n.nodes {
		if node.nextTick() <= n.now {
			node.tick()
		}
	}
}

// runScheduled makes the calls that are due. One that a call schedules is made in a later round.
func (n *Network) runScheduled() {
	var later, due []scheduledCall
	for _, pending := range n.scheduled {
		if pending.dueAt <= n.now {
			due = append(due, pending)
		} else {
			later = append(later, pending)
		}
	}
	n.scheduled = later
	for _, pending := range due {
		pending.call()
	}
}

// send sends a copy of the message, or two, under the sender's name.
func (n *Network) send(from *Node, message core.Send) {
	envelope := proto.Clone(message.Message).(*nodepb.Envelope)
	envelope.SenderId, envelope.SenderAddress = from.ID, from.Address
	size := proto.Size(envelope)
	from.SentMessages++
	from.SentBytes += size
	copies := 1
	if n.Random.Float64() < n.Duplicate {
		copies = 2
	}
	for range copies {
		if n.Random.Float64() >= n.Loss {
			n.transmit(from.Address, message.Destination, envelope)
		}
	}
}

// transmit queues a message for arrival after a random latency.
func (n *Network) transmit(from, destination string, envelope *nodepb.Envelope) {
	delay := n.MinDelay + time.Duration(n.Random.Int64N(int64(n.MaxDelay-n.MinDelay)+1))
	message := &delivery{from: from, destination: destination, envelope: envelope}
	n.inFlight.Add(n.now+delay, func() { n.deliver(message) })
}

// deliver hands over a message, unless its way is partitioned at the time of its arrival.
func (n *Network) deliver(arrived *delivery) {
	receiver := n.byAddress[arrived.destination]
	if receiver == nil || receiver.killed || n.partitions[[2]string{arrived.from, arrived.destination}] {
		return
	}
	if receiver.frozen {
		receiver.pending = append(receiver.pending, arrived)
		return
	}
	receiver.receive(arrived)
}
