// Package coretest runs state machines of many nodes in tests, under a virtual clock and on a virtual network with
// seeded delays, losses, copies, cuts, freezes and ends of nodes. Nothing in it waits for real time.
package coretest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Machine is a node's state machine.
type Machine interface {
	Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

// Network carries messages between nodes. Its time is true time; each node counts from its own start.
type Network struct {
	Random    *rand.Rand
	MinDelay  time.Duration
	MaxDelay  time.Duration
	Loss      float64 // share of messages that do not arrive
	Duplicate float64 // share of messages that arrive twice

	now        time.Duration
	nodes      []*Node
	byAddress  map[string]*Node
	inFlight   deliveries
	sequence   uint64
	partitions map[[2]string]bool
	scheduled  []scheduledCall
}

// scheduledCall is something that a test does at a given time.
type scheduledCall struct {
	dueAt time.Duration
	call  func()
}

// NewNetwork returns a network without nodes, whose messages take 1 to 3 ms.
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

// Add starts a node. OnOutput is given all outputs of its machine other than messages.
func (n *Network) Add(id, address string, machine Machine, onOutput func(now core.Time, output core.Output)) *Node {
	node := &Node{ID: id, Address: address, Machine: machine, network: n, startedAt: n.now, onOutput: onOutput}
	n.nodes = append(n.nodes, node)
	n.byAddress[address] = node
	return node
}

// Partition stops all messages between two addresses, Heal lets them pass again.
func (n *Network) Partition(a, b string) {
	n.partitions[[2]string{a, b}], n.partitions[[2]string{b, a}] = true, true
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

// Isolated reports whether an address is cut off from any other.
func (n *Network) Isolated(address string) bool {
	for cut := range n.partitions {
		if cut[0] == address {
			return true
		}
	}
	return false
}

// After calls do at a time from now, between the events of that time.
func (n *Network) After(delay time.Duration, do func()) {
	n.scheduled = append(n.scheduled, scheduledCall{dueAt: n.now + delay, call: do})
}

// Run lets a span of time pass.
func (n *Network) Run(span time.Duration) {
	n.RunUntil(span, func() bool { return false })
}

// RunUntil lets time pass until the condition holds, or the span is over. It reports whether the condition holds.
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

func (n *Network) nextEvent() time.Duration {
	next := time.Duration(core.Never)
	if len(n.inFlight) > 0 {
		next = n.inFlight[0].arrivesAt
	}
	for _, pending := range n.scheduled {
		next = min(next, pending.dueAt)
	}
	for _, node := range n.nodes {
		next = min(next, node.nextTick())
	}
	return next
}

func (n *Network) runDue() {
	n.runScheduled()
	for len(n.inFlight) > 0 && n.inFlight[0].arrivesAt <= n.now {
		n.deliver(heap.Pop(&n.inFlight).(*delivery))
	}
	for _, node := range n.nodes {
		if node.nextTick() <= n.now {
			node.tick()
		}
	}
}

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

func (n *Network) transmit(from, to string, envelope *nodepb.Envelope) {
	delay := n.MinDelay + time.Duration(n.Random.Int64N(int64(n.MaxDelay-n.MinDelay)+1))
	n.sequence++
	heap.Push(&n.inFlight, &delivery{arrivesAt: n.now + delay, sequence: n.sequence, from: from, destination: to, envelope: envelope})
}

func (n *Network) deliver(arrived *delivery) {
	to := n.byAddress[arrived.destination]
	if to == nil || to.killed || n.partitions[[2]string{arrived.from, arrived.destination}] {
		return
	}
	if to.frozen {
		to.pending = append(to.pending, arrived)
		return
	}
	to.receive(arrived)
}

// delivery is a message on its way.
type delivery struct {
	arrivesAt         time.Duration
	sequence          uint64
	from, destination string
	envelope          *nodepb.Envelope
}

type deliveries []*delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	if d[i].arrivesAt != d[j].arrivesAt {
		return d[i].arrivesAt < d[j].arrivesAt
	}
	return d[i].sequence < d[j].sequence
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(*delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
