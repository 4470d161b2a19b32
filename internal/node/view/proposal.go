package view

import "kestrelspread/internal/node/nodepb"

// Phase is how far a Round has come.
type Phase uint8

// The phases of a round.
const (
	Preparing Phase = iota // asks for promises
	Prepared               // has a majority's promises; its caller chooses a view where Bound is nil
	Accepting              // asks to accept
	Decided                // a majority accepted
	Preempted              // an acceptor knows a higher ballot
)

// Proposal is one ballot of a proposer in the Paxos of one epoch.
type Proposal struct {
	Epoch  uint64
	Number *nodepb.ProposalNumber

	phase           Phase
	answeredBy      map[string]bool // value: answered in this phase
	answered        int
	highestAccepted *nodepb.ProposalNumber
	value           *nodepb.View
	preemptedBy     uint64
}

// NewProposal starts a ballot with the acceptors: disk ids, in epoch 1 the founders' addresses.
func NewProposal(epoch uint64, number *nodepb.ProposalNumber, acceptors []string) *Proposal {
	proposal := &Proposal{Epoch: epoch, Number: number, answeredBy: make(map[string]bool, len(acceptors))}
	for _, acceptor := range acceptors {
		proposal.answeredBy[acceptor] = false
	}
	return proposal
}

// Phase of the round.
func (r *Proposal) Phase() Phase { return r.phase }

// Value is the view proposed; nil while none was chosen.
func (r *Proposal) Value() *nodepb.View { return r.value }

// PreemptedBy is the round number that beat this one.
func (r *Proposal) PreemptedBy() uint64 { return r.preemptedBy }

// Awaits reports whether the acceptor has not answered in this phase.
func (r *Proposal) Awaits(acceptor string) bool {
	answered, known := r.answeredBy[acceptor]
	return known && !answered
}

// ReceivePromise takes an acceptor's answer to Prepare. After it the phase may be Choosing: Value is then the view that
// must be proposed, or nil where the proposer is free.
func (r *Proposal) ReceivePromise(promise *nodepb.Promise) {
	if r.phase != Preparing || promise.GetEpoch() != r.Epoch {
		return
	}
	if promise.GetRejected() {
		r.preempt(promise.GetNumber())
		return
	}
	if CompareNumbers(promise.GetNumber(), r.Number) != 0 || !r.Awaits(promise.GetAcceptor()) {
		return
	}
	if promise.GetAcceptedView() != nil && CompareNumbers(promise.GetAcceptedNumber(), r.highestAccepted) > 0 {
		r.highestAccepted = promise.GetAcceptedNumber()
		r.value = promise.GetAcceptedView()
	}
	if r.recordAnswer(promise.GetAcceptor()) {
		r.phase = Prepared
	}
}

// BeginAccept starts the second phase with the view: Value where it isn't nil, any legitimate one else.
func (r *Proposal) BeginAccept(value *nodepb.View) {
	if r.phase != Prepared {
		return
	}
	if r.value == nil {
		r.value = value
	}
	r.phase = Accepting
	r.answered = 0
	for acceptor := range r.answeredBy {
		r.answeredBy[acceptor] = false
	}
}

// ReceiveAccepted takes an acceptor's answer to Accept.
func (r *Proposal) ReceiveAccepted(accepted *nodepb.Accepted) {
	if r.phase != Accepting || accepted.GetEpoch() != r.Epoch {
		return
	}
	if accepted.GetRejected() {
		r.preempt(accepted.GetNumber())
		return
	}
	if CompareNumbers(accepted.GetNumber(), r.Number) != 0 || !r.Awaits(accepted.GetAcceptor()) {
		return
	}
	if r.recordAnswer(accepted.GetAcceptor()) {
		r.phase = Decided
	}
}

// recordAnswer notes an answer and reports whether a majority has answered.
func (r *Proposal) recordAnswer(acceptor string) bool {
	r.answeredBy[acceptor] = true
	r.answered++
	return r.answered >= Majority(len(r.answeredBy))
}

func (r *Proposal) preempt(number *nodepb.ProposalNumber) {
	if CompareNumbers(number, r.Number) <= 0 {
		return
	}
	r.phase = Preempted
	r.preemptedBy = number.GetCounter()
}
