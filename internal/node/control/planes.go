package control

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// dispatch brings a message to the plane that it is for.
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
		n.receiveRelay(now, from, message.GetRelay())
		return nil
	case *nodepb.Envelope_IndexUpdate, *nodepb.Envelope_IndexPoll, *nodepb.Envelope_LoadHints:
		return []core.Output{core.Received{From: from, Message: message}} // for the shell
	default:
		if n.store == nil {
			return nil
		}
		return n.store.Receive(now, from, message)
	}
}

// ofShell reports whether a message is for a part of the node that is not of its control side.
func ofShell(message *nodepb.Envelope) bool {
	switch message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate, *nodepb.Envelope_IndexPoll, *nodepb.Envelope_LoadHints:
		return true
	default:
		return false
	}
}

// carryOut does what planes ask for. Outputs of one plane may be inputs of another; the rest is for the shell.
func (n *Node) carryOut(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		n.carryOutOne(now, output)
	}
}

func (n *Node) carryOutOne(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Send:
		n.send(now, output)
	case core.Received:
		n.received(now, output)
	case core.Reply:
		n.replied(now, output)
	case core.Committed:
		n.carryOut(now, n.distribution.Committed(now, output.Entry))
	case core.Installed:
		n.carryOut(now, n.distribution.Installed(now, output.Snapshot))
	case core.StateChanged:
		n.stateChanged(now)
	case core.ConfirmationWanted:
		if n.store != nil {
			n.carryOut(now, n.store.RequestConfirmation(now))
		}
	case core.TableChanged:
		n.seen.brokersChanged = true
		n.emit(output)
	default:
		if !n.carryOutDuty(now, output) {
			n.emit(output)
		}
	}
}

// received takes a message that came in parts, or hands it to the shell.
func (n *Node) received(now core.Time, output core.Received) {
	if ofShell(output.Message) {
		n.emit(output)
		return
	}
	n.carryOut(now, n.dispatch(now, output.From, output.Message))
}

// replied brings the control state's answer to whoever asked. A read that names an index alone is answered with the state that this
// node holds: it is the newest.
func (n *Node) replied(now core.Time, reply core.Reply) {
	if n.grants[reply.Request] {
		delete(n.grants, reply.Request)
		n.rollout.GrantDone(now, reply.Result)
		n.stepRollout(now, true)
		return
	}
	if state := reply.State; state != nil && len(state.GetState()) == 0 && n.state.Index() >= state.GetIndex() {
		reply.State = &nodepb.StateSnapshot{Index: n.state.Index(), State: n.state.Snapshot()}
	}
	n.emit(reply)
}

// stateChanged makes the new state known to the data plane and to the duty.
func (n *Node) stateChanged(now core.Time) {
	n.compiled = n.state.Compile()
	n.emit(core.StateChanged{})
	n.noteTargets(now)
}
