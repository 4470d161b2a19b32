package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// acceptorID is this node's name as an acceptor of the next epoch, empty if it is none.
func (s *Store) acceptorID() string {
	switch {
	case s.view == nil && slices.Contains(s.founders, s.address()):
		return s.address()
	case view.IsVoter(s.view, s.diskID()):
		return s.diskID()
	default:
		return ""
	}
}

func (s *Store) receivePrepare(from core.Peer, message *nodepb.Prepare) {
	s.learn(message.GetBase())
	if message.GetEpoch() < s.acceptor.Epoch {
		s.sendPromise(from.Address, &nodepb.Promise{Epoch: message.GetEpoch(), Rejected: true, Decided: s.view})
		return
	}
	id := s.acceptorID()
	if id == "" || message.GetEpoch() != s.acceptor.Epoch {
		return
	}
	promise, _ := s.acceptor.Prepare(message.GetNumber())
	promise.Acceptor = id
	if promise.GetRejected() {
		s.sendPromise(from.Address, promise)
		return
	}
	s.persist(kindAcceptor, s.acceptor.Record(), func() { s.sendPromise(from.Address, promise) })
}

func (s *Store) sendPromise(address string, promise *nodepb.Promise) {
	s.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_Promise{Promise: promise}})
}

func (s *Store) receiveAccept(from core.Peer, message *nodepb.Accept) {
	s.learn(message.GetBase())
	if message.GetEpoch() < s.acceptor.Epoch {
		s.sendAccepted(from.Address, &nodepb.Accepted{Epoch: message.GetEpoch(), Rejected: true, Decided: s.view})
		return
	}
	id := s.acceptorID()
	proper := view.Valid(message.GetView()) && message.GetView().GetEpoch() == message.GetEpoch()
	if id == "" || message.GetEpoch() != s.acceptor.Epoch || !proper {
		return
	}
	accepted, _ := s.acceptor.Accept(message.GetNumber(), message.GetView())
	accepted.Acceptor = id
	if accepted.GetRejected() {
		s.sendAccepted(from.Address, accepted)
		return
	}
	s.persist(kindAcceptor, s.acceptor.Record(), func() { s.sendAccepted(from.Address, accepted) })
}

func (s *Store) sendAccepted(address string, accepted *nodepb.Accepted) {
	s.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_Accepted{Accepted: accepted}})
}
