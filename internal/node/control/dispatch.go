package control

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// dispatch hands a message to its plane. Messages for this node's shell come back as core.MessageReassembled.
func (n *Node) dispatch(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	switch message.Body.(type) {
	case *nodepb.Envelope_Probe, *nodepb.Envelope_ProbeAck, *nodepb.Envelope_ProbeRequest, *nodepb.Envelope_MemberSync:
		return n.membership.Receive(now, from, message)
	case *nodepb.Envelope_StatePoll, *nodepb.Envelope_StatePollReply, *nodepb.Envelope_StatePush:
		return n.distribution.Receive(now, from, message)
	case *nodepb.Envelope_HeartbeatForward, *nodepb.Envelope_HeartbeatForwardReply, *nodepb.Envelope_InstanceUpdate,
		*nodepb.Envelope_InstanceUpdateAck, *nodepb.Envelope_RegistryPoll, *nodepb.Envelope_RegistrySnapshot:
		return n.registry.Receive(now, from, message)
	case *nodepb.Envelope_SubmitReply:
		return n.submit.Receive(now, from, message)
	case *nodepb.Envelope_Fragment, *nodepb.Envelope_FragmentAck:
		return n.transfers.Receive(now, from, message)
	case *nodepb.Envelope_Relay:
		n.handleRelay(now, from, message.GetRelay())
		return nil
	case *nodepb.Envelope_IndexUpdate, *nodepb.Envelope_IndexPoll, *nodepb.Envelope_LoadHints:
		return []core.Output{core.MessageReassembled{From: from, Message: message}}
	default:
		if n.store == nil {
			return nil
		}
		return n.store.Receive(now, from, message)
	}
}

// belongsToShell reports whether a message is for a part of the node outside its control side.
func belongsToShell(message *nodepb.Envelope) bool {
	switch message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate, *nodepb.Envelope_IndexPoll, *nodepb.Envelope_LoadHints:
		return true
	default:
		return false
	}
}

// execute executes what planes ask for. An output of one plane may be an input of another; the rest
// is emitted for the shell. Order is kept: an output is executed, with all that follows from it,
// before the next one.
func (n *Node) execute(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		n.executeOne(now, output)
	}
}

func (n *Node) executeOne(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Send:
		n.send(now, output)
	case core.MessageReassembled:
		n.handleReceived(now, output)
	case core.Reply:
		n.handleReply(now, output)
	case core.Committed:
		n.execute(now, n.distribution.Committed(now, output.Entry))
	case core.Installed:
		n.execute(now, n.distribution.Installed(now, output.Snapshot))
	case core.StateChanged:
		n.publishState(now)
	case core.RequestBarrier:
		if n.store != nil {
			n.execute(now, n.store.RequestConfirmation(now))
		}
	case core.TableChanged:
		n.propagated.brokersChanged = true
		n.outbox.Add(output)
	default:
		if !n.executeForRollout(now, output) {
			n.outbox.Add(output)
		}
	}
}

// handleReceived dispatches a message that arrived in fragments, or emits it for the shell.
func (n *Node) handleReceived(now core.Time, output core.MessageReassembled) {
	if belongsToShell(output.Message) {
		n.outbox.Add(output)
		return
	}
	n.execute(now, n.dispatch(now, output.From, output.Message))
}

// handleReply hands the control state's answer to its requester: the rollout or the shell. A read
// that is answered by an index alone gets the state held here, which is then the newest.
func (n *Node) handleReply(now core.Time, reply core.Reply) {
	if n.leaseCommands[reply.Request] {
		delete(n.leaseCommands, reply.Request)
		n.rollout.GrantDone(now, reply.Result)
		n.stepRollout(now, true)
		return
	}
	if state := reply.State; state != nil && len(state.GetState()) == 0 && n.state.Index() >= state.GetIndex() {
		reply.State = &nodepb.StateSnapshot{Index: n.state.Index(), State: n.state.Snapshot()}
	}
	n.outbox.Add(reply)
}

// publishState publishes the new state to the data plane and to the rollout.
func (n *Node) publishState(now core.Time) {
	n.compiled = n.state.Compile()
	n.outbox.Add(core.StateChanged{})
	n.recordTargets(now)
}
