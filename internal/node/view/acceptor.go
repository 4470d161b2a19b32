package view

import "kestrelspread/internal/node/nodepb"

// Acceptor is a voter's part in the Paxos of one epoch. It doesn't check who asks, nor whether the epoch is the one
// after the decided view: its caller does. Whatever changes it must be durable before the answer leaves.
type Acceptor struct {
	Epoch          uint64
	promisedNumber *nodepb.ProposalNumber
	acceptedNumber *nodepb.ProposalNumber
	acceptedView   *nodepb.View
}

// NewAcceptor starts the part of an acceptor in the epoch.
func NewAcceptor(epoch uint64) Acceptor { return Acceptor{Epoch: epoch} }

// RestoreAcceptor takes up what was made durable.
func RestoreAcceptor(record *nodepb.AcceptorRecord) Acceptor {
	return Acceptor{
		Epoch:          record.GetEpoch(),
		promisedNumber: record.GetPromisedNumber(),
		acceptedNumber: record.GetAcceptedNumber(),
		acceptedView:   record.GetAcceptedView(),
	}
}

// Record is what has to be durable.
func (a *Acceptor) Record() *nodepb.AcceptorRecord {
	return &nodepb.AcceptorRecord{Epoch: a.Epoch, PromisedNumber: a.promisedNumber, AcceptedNumber: a.acceptedNumber, AcceptedView: a.acceptedView}
}

// Blank reports whether nothing was promised or accepted.
func (a *Acceptor) Blank() bool { return a.promisedNumber == nil && a.acceptedNumber == nil }

// HighestCounter is the round of the highest ballot seen.
func (a *Acceptor) HighestCounter() uint64 { return a.promisedNumber.GetCounter() }

// Prepare answers a request for a promise. A repeat of the ballot that was promised is promised again.
func (a *Acceptor) Prepare(number *nodepb.ProposalNumber) (promise *nodepb.Promise, changed bool) {
	promise = &nodepb.Promise{Epoch: a.Epoch, Number: number}
	order := CompareNumbers(number, a.promisedNumber)
	if order < 0 {
		promise.Rejected = true
		promise.Number = a.promisedNumber
		return promise, false
	}
	if order > 0 {
		a.promisedNumber = number
	}
	promise.AcceptedNumber = a.acceptedNumber
	promise.AcceptedView = a.acceptedView
	return promise, order > 0
}

// Accept answers a request to accept a view.
func (a *Acceptor) Accept(number *nodepb.ProposalNumber, value *nodepb.View) (accepted *nodepb.Accepted, changed bool) {
	accepted = &nodepb.Accepted{Epoch: a.Epoch, Number: number}
	if CompareNumbers(number, a.promisedNumber) < 0 {
		accepted.Rejected = true
		accepted.Number = a.promisedNumber
		return accepted, false
	}
	if CompareNumbers(number, a.acceptedNumber) == 0 {
		return accepted, false
	}
	a.promisedNumber = number
	a.acceptedNumber = number
	a.acceptedView = value
	return accepted, true
}
