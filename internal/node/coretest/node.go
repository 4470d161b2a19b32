package coretest

import (
	"time"

	"kestrelspread/internal/node/core"
)

// Node is one node of a Network, in one of its lives.
type Node struct {
	ID      string
	Address string
	Machine Machine

	// SentMessages and SentBytes count what it has sent, as encoded.
	SentMessages int
	SentBytes    int

	network   *Network
	startedAt time.Duration
	onOutput  func(now core.Time, output core.Output)
	frozen    bool
	killed    bool
	pending   []*delivery // came while it was frozen
}

// Now is the node's own steady time.
func (n *Node) Now() core.Time { return n.network.now - n.startedAt }

// TrueTime turns one of the node's own times into true time.
func (n *Node) TrueTime(at core.Time) time.Duration { return at + n.startedAt }

// Do calls the machine and carries out what it returns.
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

// Freeze stops the node, Thaw lets it go on: messages that came meanwhile are taken then.
func (n *Node) Freeze() { n.frozen = true }

// Thaw ends a freeze.
func (n *Node) Thaw() {
	n.frozen = false
	pending := n.pending
	n.pending = nil
	for _, message := range pending {
		n.receive(message)
	}
}

// Kill ends the node for good.
func (n *Node) Kill() { n.killed = true }

// Running reports whether the node is neither frozen nor killed.
func (n *Node) Running() bool { return !n.frozen && !n.killed }

func (n *Node) nextTick() time.Duration {
	deadline := n.Machine.Deadline()
	if !n.Running() || deadline == core.Never {
		return time.Duration(core.Never)
	}
	return n.TrueTime(deadline)
}

// maxImmediateTicks is how often a machine may ask to be ticked again at once; one that asks more often would spin.
const maxImmediateTicks = 10

func (n *Node) tick() {
	for range maxImmediateTicks {
		n.Do(n.Machine.Tick)
		if n.nextTick() > n.network.now {
			return
		}
	}
	panic("the deadline of " + n.ID + " stays in the past")
}

func (n *Node) receive(arrived *delivery) {
	from := core.Peer{NodeID: arrived.envelope.SenderId, Address: arrived.from}
	n.Do(func(now core.Time) []core.Output { return n.Machine.Receive(now, from, arrived.envelope) })
}
