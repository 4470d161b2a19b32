package coretest

import (
	"time"

	"kestrelspread/internal/node/core"
)

// Node is one process of a node of a Network.
type Node struct {
	ID      string
	Address string
	Machine Machine

	// SentMessages and SentBytes count the messages that the machine sent and their encoded size.
	SentMessages int
	SentBytes    int

	network   *Network
	startedAt time.Duration
	onOutput  func(now core.Time, output core.Output)
	frozen    bool
	killed    bool
	pending   []*delivery // arrived while the node was frozen
}

// Now is the node's own monotonic time.
func (n *Node) Now() core.Time { return n.network.now - n.startedAt }

// TrueTime converts one of the node's own times into true time.
func (n *Node) TrueTime(at core.Time) time.Duration { return at + n.startedAt }

// Do calls the machine and carries out the outputs that it returns.
func (n *Node) Do(call func(now core.Time) []core.Output) {
	now := n.Now()
	for _, output := range call(now) {
		if message, ok := output.(core.Send); ok {
			n.network.send(n, message)
			continue
		}
		if n.onOutput != nil {
			n.onOutput(now, output)
		}
	}
}

// Freeze pauses the node, as a stopped process or virtual machine. Messages queue up until Thaw.
func (n *Node) Freeze() { n.frozen = true }

// Thaw ends a freeze: the node receives the messages that queued up.
func (n *Node) Thaw() {
	n.frozen = false
	pending := n.pending
	n.pending = nil
	for _, message := range pending {
		n.receive(message)
	}
}

// Kill ends the node for good. Its next process is another Node.
func (n *Node) Kill() { n.killed = true }

// Running reports whether the node is neither frozen nor killed.
func (n *Node) Running() bool { return !n.frozen && !n.killed }

// nextTick is the true time of the next tick.
func (n *Node) nextTick() time.Duration {
	deadline := n.Machine.Deadline()
	if !n.Running() || deadline == core.Never {
		return time.Duration(core.Never)
	}
	return n.TrueTime(deadline)
}

// maxImmediateTicks is how often in a row a machine may ask for another tick at once; one that asks
// more often would spin in production.
const maxImmediateTicks = 10

// tick ticks the machine until its deadline lies in the future.
func (n *Node) tick() {
	for range maxImmediateTicks {
		n.Do(n.Machine.Tick)
		if n.nextTick() > n.network.now {
			return
		}
	}
	panic("coretest: the deadline of " + n.ID + " stays in the past")
}

// receive gives a message that arrived to the machine.
func (n *Node) receive(arrived *delivery) {
	from := core.Peer{NodeID: arrived.envelope.SenderId, Address: arrived.from}
	n.Do(func(now core.Time) []core.Output { return n.Machine.Receive(now, from, arrived.envelope) })
}
