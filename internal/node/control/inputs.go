package control

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// stateMachine is a plane as the clock sees it.
type stateMachine interface {
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

// stateMachines lists the planes in the order in which they are ticked.
func (n *Node) stateMachines() []stateMachine {
	list := []stateMachine{n.membership, n.distribution, n.registry, n.submit, n.transfers}
	if n.store != nil {
		list = append(list, n.store)
	}
	return list
}

// Tick does what is due and propagates changes between the planes. It must be called after other
// inputs too; several inputs may precede one Tick.
func (n *Node) Tick(now core.Time) []core.Output {
	for _, m := range n.stateMachines() {
		if m.Deadline() <= now {
			n.execute(now, m.Tick(now))
		}
	}
	changed := n.propagated.brokersChanged
	n.propagated.brokersChanged = false
	n.stepRollout(now, changed)
	n.propagate(now)
	n.logCoreContact(now)
	return n.outbox.Take()
}

// Deadline returns when Tick must be called at the latest.
func (n *Node) Deadline() core.Time {
	next := n.rolloutStepDeadline()
	for _, m := range n.stateMachines() {
		next = min(next, m.Deadline())
	}
	return next
}

// Receive handles a message from another node. A message for a plane that this node doesn't run is
// ignored.
func (n *Node) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	n.execute(now, n.dispatch(now, from, message))
	return n.outbox.Take()
}

// Written handles the completion of a journal write. Where the journal needs a checkpoint, also after
// a write that found no space, everything that must survive is written again as one checkpoint.
func (n *Node) Written(now core.Time, token uint64, err error, needsCheckpoint bool) []core.Output {
	if token == n.checkpointToken {
		n.checkpointToken = 0
	}
	n.execute(now, n.store.Written(now, token, err))
	if needsCheckpoint && n.checkpointToken == 0 {
		n.compact(now)
	}
	return n.outbox.Take()
}

// compact writes a checkpoint. At most one is in flight: checkpointToken is its token until Written.
func (n *Node) compact(now core.Time) {
	outputs := n.store.RequestCheckpoint(now)
	for _, output := range outputs {
		if write, ok := output.(core.Write); ok && write.Checkpoint {
			n.checkpointToken = write.Token
		}
	}
	n.execute(now, outputs)
}

// leaseRequestFlag is set in the request numbers of the rollout's own lease commands. Callers' numbers
// are below it.
const leaseRequestFlag = 1 << 63

// Submit submits a command to the chain. core.Reply with the request's number follows.
func (n *Node) Submit(now core.Time, request uint64, command *nodepb.Command) []core.Output {
	n.execute(now, n.submit.Submit(now, request, command))
	return n.outbox.Take()
}

// Read reads the newest control state through the chain. core.Reply with the request's number
// follows.
func (n *Node) Read(now core.Time, request uint64) []core.Output {
	n.execute(now, n.submit.Read(now, request, n.state.Index()))
	return n.outbox.Take()
}

// Heartbeat handles a broker's heartbeat. core.RegistryReply with the request's number follows.
func (n *Node) Heartbeat(now core.Time, request uint64, instance *nodepb.Instance) []core.Output {
	n.execute(now, n.registry.Heartbeat(now, request, instance))
	return n.outbox.Take()
}

// Deregister handles a broker's deregistration. core.RegistryReply with the request's number follows.
func (n *Node) Deregister(now core.Time, request uint64, id string) []core.Output {
	n.execute(now, n.registry.Deregister(now, request, id))
	return n.outbox.Take()
}

// RestoreBrokers registers brokers that an earlier incarnation of this node saved.
func (n *Node) RestoreBrokers(now core.Time, instances []*nodepb.Instance) []core.Output {
	n.execute(now, n.registry.Restore(now, instances))
	return n.outbox.Take()
}

// RestoreLeavingBrokers registers the draining and gone brokers that this node's disk names.
func (n *Node) RestoreLeavingBrokers(now core.Time, instances []*nodepb.Instance) []core.Output {
	n.execute(now, n.registry.RestoreLeaving(now, instances))
	return n.outbox.Take()
}

// LeavingBrokersSaved handles the end of the write that core.SaveLeaving asked for.
func (n *Node) LeavingBrokersSaved(now core.Time, token uint64, err error) []core.Output {
	n.execute(now, n.registry.LeavingSaved(now, token, err))
	return n.outbox.Take()
}

// OrderDone handles the completion of an order to a broker. status is the HTTP status, 0 where no
// answer came.
func (n *Node) OrderDone(now core.Time, token uint64, status int, err error) []core.Output {
	n.execute(now, n.rollout.OrderDone(now, token, status, err))
	n.stepRollout(now, true)
	return n.outbox.Take()
}

// ReportDone handles a broker's report, or the error of asking for it.
func (n *Node) ReportDone(now core.Time, token uint64, report *rollout.Report, err error) []core.Output {
	n.execute(now, n.rollout.ReportDone(now, token, report, err))
	n.stepRollout(now, true)
	return n.outbox.Take()
}

// HandOver makes this node leave the chain, or at least give up its head, before it shuts down.
func (n *Node) HandOver(now core.Time) []core.Output {
	if n.store != nil {
		n.execute(now, n.store.HandOver(now))
	}
	return n.outbox.Take()
}

// Leave announces to the other nodes that this one shuts down.
func (n *Node) Leave(now core.Time) []core.Output {
	n.execute(now, n.membership.Leave(now))
	return n.outbox.Take()
}

// SetSeeds replaces the addresses of the nodes that are contacted first.
func (n *Node) SetSeeds(addresses []string) { n.membership.SetSeeds(addresses) }

// Send sends a message of another part of this node along the routes that the control side knows.
func (n *Node) Send(now core.Time, output core.Send) []core.Output {
	n.send(now, output)
	return n.outbox.Take()
}
