package view

import "kestrelspread/internal/node/nodepb"

// Phase is the phase that a Proposal is in.
type Phase uint8

// Phases of a Proposal.
const (
	Preparing Phase = iota // waiting for promises of a majority
	Prepared               // a majority has promised; the caller must call BeginAccept next
	Accepting              // waiting for a majority to accept Value
	Decided                // a majority has accepted Value
	Preempted              // an acceptor has promised a higher number, so this proposal has failed
)

// Proposal is the proposer's state of one numbered proposal in the single-decree Paxos that decides
// the view of one epoch. It follows the Paxos rule that a view which may have been decided under a
// lower number must be proposed again.
//
// A Proposal does no I/O. Its caller sends the Prepare and Accept requests to the acceptors for
// which Awaits returns true, and passes their answers to ReceivePromise and ReceiveAccepted.
type Proposal struct {
	Epoch  uint64                 // epoch of the view to be decided
	Number *nodepb.ProposalNumber // number of this proposal

	phase           Phase
	answeredBy      map[string]bool        // by acceptor: whether it has answered in this phase
	answered        int                    // number of acceptors that have answered in this phase
	highestAccepted *nodepb.ProposalNumber // highest accepted number that a promise reported; nil if none
	value           *nodepb.View           // see Value
	preemptedBy     uint64                 // see PreemptedBy
}

// NewProposal returns a proposal in the phase Preparing. The acceptors are identified by their disk
// ids, or in epoch 1 by the addresses of the founders.
func NewProposal(epoch uint64, number *nodepb.ProposalNumber, acceptors []string) *Proposal {
	proposal := &Proposal{Epoch: epoch, Number: number, answeredBy: make(map[string]bool, len(acceptors))}
	for _, acceptor := range acceptors {
		proposal.answeredBy[acceptor] = false
	}
	return proposal
}

// Phase returns the current phase.
func (p *Proposal) Phase() Phase { return p.phase }

// Value returns the proposed view. In the phases Preparing and Prepared, it returns the view that
// the acceptors reported as accepted under the highest number so far, or nil if there is none.
func (p *Proposal) Value() *nodepb.View { return p.value }

// PreemptedBy returns the counter of the higher number that preempted this proposal, or 0 if the
// proposal has not been preempted.
func (p *Proposal) PreemptedBy() uint64 { return p.preemptedBy }

// Awaits reports whether the acceptor has not answered in this phase yet. It returns false for a
// node that is not an acceptor of this proposal.
func (p *Proposal) Awaits(acceptor string) bool {
	answered, known := p.answeredBy[acceptor]
	return known && !answered
}

// ReceivePromise records an acceptor's answer to a Prepare request. Once the phase is Prepared,
// Value returns the view that must be proposed, or nil if the proposer may choose any view.
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

// BeginAccept starts the phase Accepting. It proposes the view that Value returns, or the given view
// if Value is nil. It has no effect unless the phase is Prepared.
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

// ReceiveAccepted records an acceptor's answer to an Accept request.
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

// recordAnswer records that the acceptor has answered, and reports whether a majority of the
// acceptors has now answered in this phase.
func (p *Proposal) recordAnswer(acceptor string) bool {
	p.answeredBy[acceptor] = true
	p.answered++
	return p.answered >= Majority(len(p.answeredBy))
}

// preempt ends the proposal because an acceptor has promised the given higher number. It ignores a
// number that is not higher than this proposal's own, as in a late answer to an earlier proposal.
func (p *Proposal) preempt(number *nodepb.ProposalNumber) {
	if CompareNumbers(number, p.Number) <= 0 {
		return
	}
	p.phase = Preempted
	p.preemptedBy = number.GetCounter()
}
