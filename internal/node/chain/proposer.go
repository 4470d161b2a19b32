package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// acceptor is one acceptor of a proposal; the id is the disk id, in epoch 1 the address.
type acceptor struct {
	id      string
	address string
}

// proposal is this node's proposal of the next view.
type proposal struct {
	*view.Proposal
	base      *nodepb.View // whose voters are the acceptors; nil for the first view
	acceptors []acceptor
	startedAt core.Time
	resendAt  core.Time
	// ownVoteDurable: this node's own answer to the phase is durable, so that the other acceptors
	// may be asked.
	ownVoteDurable bool
}

// startProposal starts a proposal. This node's own promise is durable before any other acceptor is
// asked.
func (r *Replica) startProposal() {
	acceptors := r.acceptors()
	ids := make([]string, len(acceptors))
	for i := range acceptors {
		ids[i] = acceptors[i].id
	}
	number := &nodepb.ProposalNumber{Counter: max(r.acceptor.HighestCounter(), r.highestSeenCounter) + 1, Proposer: r.proposerID()}
	p := &proposal{
		Proposal:  view.NewProposal(r.acceptor.Epoch, number, ids),
		base:      r.view,
		acceptors: acceptors,
		startedAt: r.now,
		resendAt:  r.now + proposalResendInterval,
	}
	r.proposal = p
	promise, _ := r.acceptor.Prepare(number)
	promise.Acceptor = r.acceptorID()
	r.persist(kindAcceptor, r.acceptor.Record(), func() {
		if r.proposal != p {
			return
		}
		p.ownVoteDurable = true
		r.sendPhaseRequests()
		p.ReceivePromise(promise)
		r.advanceProposal()
	})
}

// proposerID makes the proposal numbers of a machine's incarnations differ: a disk id is of one
// disk, on which the promises to this node's own numbers are durable.
func (r *Replica) proposerID() string {
	if r.diskID() == "" {
		return r.address()
	}
	return r.diskID()
}

// acceptors of the next view: the voters of the view in force, or the founders.
func (r *Replica) acceptors() []acceptor {
	var acceptors []acceptor
	for _, voter := range r.view.GetVoters() {
		acceptors = append(acceptors, acceptor{voter.GetDiskId(), voter.GetAddress()})
	}
	for _, founder := range r.founders {
		acceptors = append(acceptors, acceptor{founder, founder})
	}
	return acceptors
}

// sendPhaseRequests sends the Prepare or Accept of the phase to the other acceptors that have not
// answered.
func (r *Replica) sendPhaseRequests() {
	p := r.proposal
	for _, acceptor := range p.acceptors {
		if !p.Awaits(acceptor.id) || acceptor.id == r.acceptorID() {
			continue
		}
		switch p.Phase() {
		case view.Preparing:
			r.send(acceptor.address, &nodepb.Envelope{Body: &nodepb.Envelope_Prepare{Prepare: &nodepb.Prepare{
				Epoch: p.Epoch, Number: p.Number, Base: p.base,
			}}})
		case view.Accepting:
			r.send(acceptor.address, &nodepb.Envelope{Body: &nodepb.Envelope_Accept{Accept: &nodepb.Accept{
				Epoch: p.Epoch, Number: p.Number, View: p.Value(), Base: p.base,
			}}})
		}
	}
}

// driveProposal asks the acceptors again, and gives up a proposal that takes too long.
func (r *Replica) driveProposal() {
	p := r.proposal
	switch {
	case p == nil:
	case r.now >= p.startedAt+proposalTimeout:
		r.abandonProposal()
	case r.now >= p.resendAt:
		p.resendAt = r.now + proposalResendInterval
		if p.ownVoteDurable {
			r.sendPhaseRequests()
		}
	}
}

// proposalDeadline is when the acceptors are to be asked again, or the proposal given up.
func (r *Replica) proposalDeadline() core.Time {
	if r.proposal == nil {
		return core.Never
	}
	return min(r.proposal.resendAt, r.proposal.startedAt+proposalTimeout)
}

// abandonProposal gives a proposal up. The next one waits for a random backoff, so that one of
// several proposers succeeds.
func (r *Replica) abandonProposal() {
	r.proposal = nil
	r.proposalBackoffUntil = r.now + minProposalBackoff + core.Time(r.random.Int64N(int64(maxProposalJitter)))
	r.nextEvaluationAt = r.proposalBackoffUntil
	r.processQueue()
}

func (r *Replica) receivePromise(promise *nodepb.Promise) {
	r.installView(promise.GetDecided())
	if r.proposal == nil || !r.proposal.ownVoteDurable {
		return
	}
	r.proposal.ReceivePromise(promise)
	r.advanceProposal()
}

func (r *Replica) receiveAccepted(accepted *nodepb.Accepted) {
	r.installView(accepted.GetDecided())
	if r.proposal == nil || !r.proposal.ownVoteDurable {
		return
	}
	r.proposal.ReceiveAccepted(accepted)
	r.advanceProposal()
}

// advanceProposal continues after an answer, according to the phase.
func (r *Replica) advanceProposal() {
	switch r.proposal.Phase() {
	case view.Prepared:
		r.startAccept()
	case view.Decided:
		r.announceDecision()
	case view.Preempted:
		r.observeCounter(r.proposal.PreemptedBy())
		r.abandonProposal()
	}
}

// observeCounter makes this node's next proposal number higher than one that another proposer uses.
func (r *Replica) observeCounter(counter uint64) {
	r.highestSeenCounter = max(r.highestSeenCounter, counter)
}

// startAccept starts the second phase: with the view that may have been decided under a lower
// number, else with this node's own choice. Its own acceptance, and its wedge before that, are
// durable before any other acceptor is asked.
func (r *Replica) startAccept() {
	p := r.proposal
	value := p.Value()
	if value == nil {
		value = r.chooseView()
	}
	if value == nil {
		r.abandonProposal()
		return
	}
	p.BeginAccept(value)
	accepted, changed := r.acceptor.Accept(p.Number, value)
	if !changed {
		r.abandonProposal()
		return
	}
	accepted.Acceptor = r.acceptorID()
	p.ownVoteDurable = false
	r.persist(kindAcceptor, r.acceptor.Record(), func() {
		if r.proposal != p {
			return
		}
		p.ownVoteDurable = true
		r.sendPhaseRequests()
		p.ReceiveAccepted(accepted)
		r.advanceProposal()
	})
}

// announceDecision ends a proposal that a majority has accepted. The others are notified before
// this node installs the view, so that the commands it then forwards find the new head as such.
func (r *Replica) announceDecision() {
	p := r.proposal
	decided := &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: p.Value()}}}
	notified := map[string]bool{r.address(): true}
	for _, acceptor := range p.acceptors {
		r.sendOnce(notified, acceptor.address, decided)
	}
	for _, voter := range p.Value().GetVoters() {
		r.sendOnce(notified, voter.GetAddress(), decided)
	}
	r.installView(p.Value())
}

// sendOnce sends a message to an address that has not been notified before.
func (r *Replica) sendOnce(notified map[string]bool, address string, envelope *nodepb.Envelope) {
	if !notified[address] {
		notified[address] = true
		r.send(address, &nodepb.Envelope{Body: envelope.Body})
	}
}
