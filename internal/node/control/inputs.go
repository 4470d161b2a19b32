package control

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// machine is what the clock needs of each plane.
type machine interface {
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

func (n *Node) machines() []machine {
	list := []machine{n.membership, n.distribution, n.registry, n.submit, n.transfers}
	if n.store != nil {
		list = append(list, n.store)
	}
	return list
}

// Tick does what is due, and passes on between the planes what has changed. It is to be called after other inputs as well; several
// may come before it.
func (n *Node) Tick(now core.Time) []core.Output {
	for _, m := range n.machines() {
		if m.Deadline() <= now {
			n.carryOut(now, m.Tick(now))
		}
	}
	changed := n.seen.brokersChanged
	n.seen.brokersChanged = false
	n.stepRollout(now, changed)
	n.exchange(now)
	return n.take()
}

// Deadline is when Tick wants to be called.
func (n *Node) Deadline() core.Time {
	next := n.rolloutDeadline()
	for _, m := range n.machines() {
		next = min(next, m.Deadline())
	}
	return next
}

// Receive takes a message of another node. Those that are for none of the planes here are ignored.
func (n *Node) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	n.carryOut(now, n.dispatch(now, from, message))
	return n.take()
}

// Written takes the end of a write to the journal. Where that needs a checkpoint, also after a write that found no room, everything
// that must survive is written anew as one.
func (n *Node) Written(now core.Time, token uint64, err error, needsCheckpoint bool) []core.Output {
	if token == n.compaction {
		n.compaction = 0
	}
	n.carryOut(now, n.store.Written(now, token, err))
	if needsCheckpoint && n.compaction == 0 {
		n.compact(now)
	}
	return n.take()
}

func (n *Node) compact(now core.Time) {
	outputs := n.store.RequestCheckpoint(now)
	for _, output := range outputs {
		if write, ok := output.(core.Write); ok && write.Checkpoint {
			n.compaction = write.Token
		}
	}
	n.carryOut(now, outputs)
}

// ownRequest marks the numbers of the duty's own commands; those of callers are below.
const ownRequest = 1 << 63

// Submit brings a command to the chain; core.Reply with the request's number follows.
func (n *Node) Submit(now core.Time, request uint64, command *nodepb.Command) []core.Output {
	n.carryOut(now, n.submit.Submit(now, request, command))
	return n.take()
}

// Read reads the newest control state by way of the chain; core.Reply with the request's number follows.
func (n *Node) Read(now core.Time, request uint64) []core.Output {
	n.carryOut(now, n.submit.Read(now, request, n.state.Index()))
	return n.take()
}

// Heartbeat takes a broker's announcement; core.RegistryAnswer with the request's number follows.
func (n *Node) Heartbeat(now core.Time, request uint64, instance *nodepb.Instance) []core.Output {
	n.carryOut(now, n.registry.Heartbeat(now, request, instance))
	return n.take()
}

// Deregister takes a broker's word that it ends; core.RegistryAnswer with the request's number follows.
func (n *Node) Deregister(now core.Time, request uint64, id string) []core.Output {
	n.carryOut(now, n.registry.Deregister(now, request, id))
	return n.take()
}

// RestoreBrokers takes up brokers that were known to a former life of this node.
func (n *Node) RestoreBrokers(now core.Time, instances []*nodepb.Instance) []core.Output {
	n.carryOut(now, n.registry.Restore(now, instances))
	return n.take()
}

// OrderDone takes the end of an order to a broker; status is 0 where no answer came.
func (n *Node) OrderDone(now core.Time, token uint64, status int, err error) []core.Output {
	n.carryOut(now, n.rollout.OrderDone(now, token, status, err))
	n.stepRollout(now, true)
	return n.take()
}

// ReportDone takes a broker's report.
func (n *Node) ReportDone(now core.Time, token uint64, report *rollout.Report, err error) []core.Output {
	n.carryOut(now, n.rollout.ReportDone(now, token, report, err))
	n.stepRollout(now, true)
	return n.take()
}

// Transfer hands over this node's place in the chain, because it ends soon.
func (n *Node) Transfer(now core.Time) []core.Output {
	if n.store != nil {
		n.carryOut(now, n.store.HandOver(now))
	}
	return n.take()
}

// Leave tells the other nodes that this one ends.
func (n *Node) Leave(now core.Time) []core.Output {
	n.carryOut(now, n.membership.Leave(now))
	return n.take()
}

// SetSeeds names other nodes to ask first.
func (n *Node) SetSeeds(addresses []string) { n.membership.SetSeeds(addresses) }

// Route brings a message of another part of this node on its way.
func (n *Node) Route(now core.Time, output core.Send) []core.Output {
	n.send(now, output)
	return n.take()
}
