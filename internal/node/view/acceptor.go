package view

import "kestrelspread/internal/node/nodepb"

// Acceptor is the acceptor of single-decree Paxos for the view of one epoch. It checks neither the
// proposer nor whether the epoch is the one after the newest decided view: its caller does. A
// change of it must be durable, as Record returns it, before the answer is sent; otherwise a
// restarted acceptor could break its promise. chain.Replica makes it durable (chain/voting.go).
type Acceptor struct {
	Epoch          uint64
	promisedNumber *nodepb.ProposalNumber
	acceptedNumber *nodepb.ProposalNumber
	acceptedView   *nodepb.View
}

// NewAcceptor returns an acceptor that has promised and accepted nothing in the epoch.
func NewAcceptor(epoch uint64) Acceptor { return Acceptor{Epoch: epoch} }

// RestoreAcceptor returns the acceptor of a durable record.
func RestoreAcceptor(record *nodepb.AcceptorRecord) Acceptor {
	return Acceptor{
		Epoch:          record.GetEpoch(),
		promisedNumber: record.GetPromisedNumber(),
		acceptedNumber: record.GetAcceptedNumber(),
		acceptedView:   record.GetAcceptedView(),
	}
}

// Record returns what has to be durable before an answer is sent.
func (a *Acceptor) Record() *nodepb.AcceptorRecord {
	return &nodepb.AcceptorRecord{Epoch: a.Epoch, PromisedNumber: a.promisedNumber, AcceptedNumber: a.acceptedNumber, AcceptedView: a.acceptedView}
}

// Blank reports whether nothing was promised or accepted.
func (a *Acceptor) Blank() bool { return a.promisedNumber == nil && a.acceptedNumber == nil }

// HighestCounter is the counter of the highest proposal number that was promised or accepted.
func (a *Acceptor) HighestCounter() uint64 { return a.promisedNumber.GetCounter() }

// Prepare answers a Prepare with a promise, or rejects it with the higher number that was promised
// before. A repeated number is promised again. changed: the record must be made durable before the
// answer is sent.
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

// Accept answers an Accept, or rejects it with the higher number that was promised before. It
// promises the number as well, so that a proposal that was accepted without a Prepare is not
// followed by a lower one. changed is as for Prepare.
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
