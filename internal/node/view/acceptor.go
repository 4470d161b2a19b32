package view

import "kestrelspread/internal/node/nodepb"

// Acceptor is a voter's part in the Paxos of one epoch. It doesn't check who asks, nor whether the epoch is the one
// after the decided view: its caller does. Whatever changes it must be durable before the answer leaves.
type Acceptor struct {
	Epoch    uint64
	promised *nodepb.Ballot
	ballot   *nodepb.Ballot
	value    *nodepb.View
}

// NewAcceptor starts the part of an acceptor in the epoch.
func NewAcceptor(epoch uint64) Acceptor { return Acceptor{Epoch: epoch} }

// RestoreAcceptor takes up what was made durable.
func RestoreAcceptor(record *nodepb.AcceptorRecord) Acceptor {
	return Acceptor{
		Epoch:    record.GetEpoch(),
		promised: record.GetPromised(),
		ballot:   record.GetAcceptedBallot(),
		value:    record.GetAcceptedView(),
	}
}

// Record is what has to be durable.
func (a *Acceptor) Record() *nodepb.AcceptorRecord {
	return &nodepb.AcceptorRecord{Epoch: a.Epoch, Promised: a.promised, AcceptedBallot: a.ballot, AcceptedView: a.value}
}

// Blank reports whether nothing was promised or accepted.
func (a *Acceptor) Blank() bool { return a.promised == nil && a.ballot == nil }

// Round is the round of the highest ballot seen.
func (a *Acceptor) Round() uint64 { return a.promised.GetRound() }

// Prepare answers a request for a promise. A repeat of the ballot that was promised is promised again.
func (a *Acceptor) Prepare(ballot *nodepb.Ballot) (promise *nodepb.Promise, changed bool) {
	promise = &nodepb.Promise{Epoch: a.Epoch, Ballot: ballot}
	order := CompareBallots(ballot, a.promised)
	if order < 0 {
		promise.Refused = true
		promise.Ballot = a.promised
		return promise, false
	}
	if order > 0 {
		a.promised = ballot
	}
	promise.AcceptedBallot = a.ballot
	promise.AcceptedView = a.value
	return promise, order > 0
}

// Accept answers a request to accept a view.
func (a *Acceptor) Accept(ballot *nodepb.Ballot, value *nodepb.View) (accepted *nodepb.Accepted, changed bool) {
	accepted = &nodepb.Accepted{Epoch: a.Epoch, Ballot: ballot}
	if CompareBallots(ballot, a.promised) < 0 {
		accepted.Refused = true
		accepted.Ballot = a.promised
		return accepted, false
	}
	if CompareBallots(ballot, a.ballot) == 0 {
		return accepted, false
	}
	a.promised = ballot
	a.ballot = ballot
	a.value = value
	return accepted, true
}
