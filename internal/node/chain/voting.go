package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// acceptorID names this node as an acceptor of the next view: by its disk id, before the first view
// by its address; empty if it is no acceptor.
func (r *Replica) acceptorID() string {
	switch {
	case r.view == nil && slices.Contains(r.founders, r.address()):
		return r.address()
	case view.IsVoter(r.view, r.diskID()):
		return r.diskID()
	default:
		return ""
	}
}

// receivePrepare answers a proposer. The promise is durable before it is sent.
func (r *Replica) receivePrepare(from core.Peer, message *nodepb.Prepare) {
	r.installView(message.GetBase())
	if message.GetEpoch() < r.acceptor.Epoch {
		r.sendPromise(from.Address, &nodepb.Promise{Epoch: message.GetEpoch(), Rejected: true, Decided: r.view})
		return
	}
	id := r.acceptorID()
	if id == "" || message.GetEpoch() != r.acceptor.Epoch {
		return
	}
	promise, _ := r.acceptor.Prepare(message.GetNumber())
	promise.Acceptor = id
	if promise.GetRejected() {
		r.sendPromise(from.Address, promise)
		return
	}
	r.persist(kindAcceptor, r.acceptor.Record(), func() { r.sendPromise(from.Address, promise) })
}

func (r *Replica) sendPromise(address string, promise *nodepb.Promise) {
	r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_Promise{Promise: promise}})
}

// receiveAccept answers a proposer. The acceptance is durable before it is sent.
func (r *Replica) receiveAccept(from core.Peer, message *nodepb.Accept) {
	r.installView(message.GetBase())
	if message.GetEpoch() < r.acceptor.Epoch {
		r.sendAccepted(from.Address, &nodepb.Accepted{Epoch: message.GetEpoch(), Rejected: true, Decided: r.view})
		return
	}
	id := r.acceptorID()
	valid := view.Valid(message.GetView()) && message.GetView().GetEpoch() == message.GetEpoch()
	if id == "" || message.GetEpoch() != r.acceptor.Epoch || !valid {
		return
	}
	accepted, _ := r.acceptor.Accept(message.GetNumber(), message.GetView())
	accepted.Acceptor = id
	if accepted.GetRejected() {
		r.sendAccepted(from.Address, accepted)
		return
	}
	r.persist(kindAcceptor, r.acceptor.Record(), func() { r.sendAccepted(from.Address, accepted) })
}

func (r *Replica) sendAccepted(address string, accepted *nodepb.Accepted) {
	r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_Accepted{Accepted: accepted}})
}
