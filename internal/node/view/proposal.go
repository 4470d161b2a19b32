package view

import "kestrelspread/internal/node/nodepb"

// Phase is the progress of a Proposal.
type Phase uint8

// The phases of a proposal.
const (
	Preparing Phase = iota // waits for promises
	Prepared               // a majority has promised; the caller continues with BeginAccept
	Accepting              // waits for acceptances
	Decided                // a majority has accepted Value
	Preempted              // an acceptor has promised a higher number
)

// Proposal is one numbered proposal in the single-decree Paxos for the view of one epoch. It keeps
// Paxos' rule that a view which may have been decided under a lower number is proposed again. It
// sends nothing: its caller sends Prepare and Accept to the acceptors that Awaits names, and passes
// the answers on.
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

// NewProposal starts a proposal to the acceptors, which are named by their disk ids, in epoch 1 by
// the founders' addresses.
func NewProposal(epoch uint64, number *nodepb.ProposalNumber, acceptors []string) *Proposal {
	proposal := &Proposal{Epoch: epoch, Number: number, answeredBy: make(map[string]bool, len(acceptors))}
	for _, acceptor := range acceptors {
		proposal.answeredBy[acceptor] = false
	}
	return proposal
}

// Phase returns the progress.
func (p *Proposal) Phase() Phase { return p.phase }

// Value is the view that is proposed; while Preparing and Prepared, the one accepted under the
// highest number, if any.
func (p *Proposal) Value() *nodepb.View { return p.value }

// PreemptedBy is the counter of the number that preempted this proposal.
func (p *Proposal) PreemptedBy() uint64 { return p.preemptedBy }

// Awaits reports whether the acceptor has yet to answer in this phase.
func (p *Proposal) Awaits(acceptor string) bool {
	answered, known := p.answeredBy[acceptor]
	return known && !answered
}

// ReceivePromise records an acceptor's answer to Prepare. If the phase is Prepared after it, Value
// is the view that must be proposed, or nil where the proposer is free to choose.
func (p *Proposal) ReceivePromise(promise *nodepb.Promise) {
	if p.phase != Preparing || promise.GetEpoch() != p.Epoch {
		return
	}
	if promise.GetRejected() {
		p.preempt(promise.GetNumber())
		return
	}
	if CompareNumbers(promise.GetNumber(), p.Number) != 0 || !p.Awaits(promise.GetAcceptor()) {
		return
	}
	if promise.GetAcceptedView() != nil && CompareNumbers(promise.GetAcceptedNumber(), p.highestAccepted) > 0 {
		p.highestAccepted = promise.GetAcceptedNumber()
		p.value = promise.GetAcceptedView()
	}
	if p.recordAnswer(promise.GetAcceptor()) {
		p.phase = Prepared
	}
}

// BeginAccept starts the second phase: with Value where it isn't nil, else with the view given.
func (p *Proposal) BeginAccept(value *nodepb.View) {
	if p.phase != Prepared {
		return
	}
	if p.value == nil {
		p.value = value
	}
	p.phase = Accepting
	p.answered = 0
	for acceptor := range p.answeredBy {
		p.answeredBy[acceptor] = false
	}
}

// ReceiveAccepted records an acceptor's answer to Accept.
func (p *Proposal) ReceiveAccepted(accepted *nodepb.Accepted) {
	if p.phase != Accepting || accepted.GetEpoch() != p.Epoch {
		return
	}
	if accepted.GetRejected() {
		p.preempt(accepted.GetNumber())
		return
	}
	if CompareNumbers(accepted.GetNumber(), p.Number) != 0 || !p.Awaits(accepted.GetAcceptor()) {
		return
	}
	if p.recordAnswer(accepted.GetAcceptor()) {
		p.phase = Decided
	}
}

// recordAnswer records an answer and reports whether a majority has answered in this phase.
func (p *Proposal) recordAnswer(acceptor string) bool {
	p.answeredBy[acceptor] = true
	p.answered++
	return p.answered >= Majority(len(p.answeredBy))
}

// preempt ends the proposal where an acceptor rejects it for a higher number; a late answer to a
// lower one is ignored.
func (p *Proposal) preempt(number *nodepb.ProposalNumber) {
	if CompareNumbers(number, p.Number) <= 0 {
		return
	}
	p.phase = Preempted
	p.preemptedBy = number.GetCounter()
}
