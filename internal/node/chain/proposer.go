package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// acceptor is who is asked in a round; the id is the disk id, in epoch 1 the address.
type acceptor struct {
	id      string
	address string
}

// proposal is a ballot of this node for the next view.
type proposal struct {
	*view.Proposal
	base           *nodepb.View // nil while founding
	acceptors      []acceptor
	startedAt      core.Time
	resendAt       core.Time
	ownVoteDurable bool // this node's own vote of the phase is durable, so that the others may be asked
}

// reconfiguration is what this node knows for the choice of the next view.
func (r *Replica) reconfiguration() *view.Reconfiguration {
	return &view.Reconfiguration{
		View:      r.view,
		Self:      r.diskID(),
		Tolerance: r.options.Tolerance,
		Detector:  r.detector,
		Joiners:   r.readyJoiners(),
		Leaving:   r.now < r.leavingUntil,
		Wedged:    r.wedged,
	}
}

// evaluateView proposes a view if the one in force should change and this node is the one to do so.
func (r *Replica) evaluateView() {
	if r.view == nil {
		r.proposeFirstView()
		return
	}
	if r.proposal != nil || !r.isEligibleProposer() || !r.viewDurable || r.now < r.nextEvaluationAt {
		return
	}
	r.nextEvaluationAt = r.now + evaluationInterval
	reconfiguration := r.reconfiguration()
	if !reconfiguration.Needed() {
		r.changeNeededSince = core.Never
		return
	}
	r.changeNeededSince = min(r.changeNeededSince, r.now)
	if r.mayPropose(reconfiguration) {
		r.startProposal()
	}
}

// isEligibleProposer reports whether this node may propose the next view, as it holds all that was acknowledged.
func (r *Replica) isEligibleProposer() bool {
	return slices.Contains(view.EligibleProposers(r.view), r.diskID())
}

func (r *Replica) mayPropose(reconfiguration *view.Reconfiguration) bool {
	switch {
	case r.now < r.proposalBackoffUntil || !r.writer.healthy(r.now):
		return false
	case !reconfiguration.MajorityReachable():
		return false
	case !r.wedged && !reconfiguration.ProposersKnown():
		return false
	case r.now < r.changeNeededSince+core.Time(reconfiguration.ProposerRank())*proposerRankDelay:
		return false
	default:
		return reconfiguration.NextView() != nil
	}
}

// startProposal begins a ballot: this node's own promise is durable before anyone else is asked.
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

// proposerID makes ballots of different lives of a machine differ: a disk id is of one disk, and what was promised to
// one's own ballots is durable.
func (r *Replica) proposerID() string {
	if r.diskID() == "" {
		return r.address()
	}
	return r.diskID()
}

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

// sendPhaseRequests sends the question of the phase to all who have not answered.
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

// driveProposal asks again, and gives up a ballot that takes too long.
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

func (r *Replica) proposalDeadline() core.Time {
	if r.proposal == nil {
		return core.Never
	}
	return min(r.proposal.resendAt, r.proposal.startedAt+proposalTimeout)
}

// abandonProposal ends a ballot; the next waits for a random while, so that one of several proposers comes through.
func (r *Replica) abandonProposal() {
	r.proposal = nil
	r.proposalBackoffUntil = r.now + minProposalBackoff + core.Time(r.random.Int64N(int64(3*minProposalBackoff)))
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

// advanceProposal goes on after an answer.
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

// observeCounter lets the next ballot of this node be above one that was seen elsewhere.
func (r *Replica) observeCounter(counter uint64) {
	r.highestSeenCounter = max(r.highestSeenCounter, counter)
}

// startAccept starts the second phase: with the view that another proposer may have got through, else with the one that is
// right now, once this node has wedged itself.
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

// chooseView is the view that this node proposes by itself; nil if there is none by now. From here on it passes on and
// acknowledges nothing of the epoch any more, and its last entry stays what it is.
func (r *Replica) chooseView() *nodepb.View {
	if r.view == nil {
		return r.firstView()
	}
	reconfiguration := r.reconfiguration()
	if !reconfiguration.Needed() || !reconfiguration.MajorityReachable() {
		return nil
	}
	next := reconfiguration.NextView()
	if next != nil && !r.wedged && r.inChain() {
		r.wedged = true
		r.persist(kindWedge, &nodepb.WedgeRecord{Epoch: r.view.GetEpoch()}, nil)
	}
	return next
}

// announceDecision ends the round: a majority has accepted. The others are told first, so that what this node passes to the new head
// finds it as such.
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

func (r *Replica) sendOnce(notified map[string]bool, address string, envelope *nodepb.Envelope) {
	if !notified[address] {
		notified[address] = true
		r.send(address, &nodepb.Envelope{Body: envelope.Body})
	}
}
