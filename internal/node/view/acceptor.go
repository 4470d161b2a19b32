package view

import "kestrelspread/internal/node/nodepb"

// Acceptor is the acceptor role of the single-decree Paxos that decides the view of one epoch.
//
// The caller must check that the proposer is eligible and that the epoch follows the newest decided
// view. After each change the caller must make the result of Record durable before it sends the
// answer; otherwise the acceptor could break its promise after a restart. chain.Replica does both
// (chain/voting.go).
type Acceptor struct {
	Epoch          uint64                 // epoch of the view to be decided
	promisedNumber *nodepb.ProposalNumber // highest number promised; nil if none
	acceptedNumber *nodepb.ProposalNumber // number of the proposal accepted last; nil if none
	acceptedView   *nodepb.View           // view accepted under acceptedNumber
}

// NewAcceptor returns an acceptor for the epoch that has not promised or accepted anything yet.
func NewAcceptor(epoch uint64) Acceptor { return Acceptor{Epoch: epoch} }

// RestoreAcceptor returns the acceptor in the state stored in a durable record.
func RestoreAcceptor(record *nodepb.AcceptorRecord) Acceptor {
	return Acceptor{
		Epoch:          record.GetEpoch(),
		promisedNumber: record.GetPromisedNumber(),
		acceptedNumber: record.GetAcceptedNumber(),
		acceptedView:   record.GetAcceptedView(),
	}
}

// Record returns the state that must be durable before an answer of the acceptor is sent.
func (a *Acceptor) Record() *nodepb.AcceptorRecord {
	return &nodepb.AcceptorRecord{
		Epoch:          a.Epoch,
		PromisedNumber: a.promisedNumber,
		AcceptedNumber: a.acceptedNumber,
		AcceptedView:   a.acceptedView,
	}
}

// IsEmpty reports whether the acceptor has neither promised nor accepted a proposal.
func (a *Acceptor) IsEmpty() bool { return a.promisedNumber == nil && a.acceptedNumber == nil }

// HighestCounter returns the counter of the highest proposal number that the acceptor has promised
// or accepted, or 0 if there is none. Accepting a number also promises it.
func (a *Acceptor) HighestCounter() uint64 { return a.promisedNumber.GetCounter() }

// Prepare handles a Prepare request with the given number. It returns a promise, or a rejection
// with the higher number that was promised before. A repeated request with the promised number is
// promised again. changed reports whether the acceptor's record has changed and must be made durable
// before the promise is sent.
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

// Accept handles an Accept request for the view under the given number. It accepts the view, or
// rejects it with the higher number that was promised before. Accepting also promises the number, so
// that no lower proposal can follow one that was accepted without a Prepare. changed reports whether
// the record must be made durable before the answer is sent.
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
