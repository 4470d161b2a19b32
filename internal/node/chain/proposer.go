package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// acceptorAddress is who is asked in a round; the id is the disk id, in epoch 1 the address.
type acceptorAddress struct {
	id      string
	address string
}

// round is a ballot of this node for the next view.
type round struct {
	*view.Proposal
	base      *nodepb.View // nil while founding
	acceptors []acceptorAddress
	started   core.Time
	resendAt  core.Time
	spoken    bool // this node's own vote of the phase is durable, so that the others may be asked
}

// situation is what this node knows for the choice of the next view.
func (s *Store) situation() *view.Reconfiguration {
	return &view.Reconfiguration{
		View:      s.view,
		Self:      s.diskID(),
		Tolerance: s.options.Tolerance,
		Detector:  s.detector,
		Joiners:   s.readyJoiners(),
		Leaving:   s.now < s.leaving,
		Wedged:    s.wedged,
	}
}

// evaluate proposes a view if the one in force should change and this node is the one to do so.
func (s *Store) evaluate() {
	if s.view == nil {
		s.considerFounding()
		return
	}
	if s.round != nil || !s.proposes() || !s.viewDurable || s.now < s.evaluateAt {
		return
	}
	s.evaluateAt = s.now + evaluateEvery
	situation := s.situation()
	if !situation.Needed() {
		s.wantedSince = core.Never
		return
	}
	s.wantedSince = min(s.wantedSince, s.now)
	if s.mayPropose(situation) {
		s.startRound()
	}
}

// proposes reports whether this node may propose the next view, as it holds all that was acknowledged.
func (s *Store) proposes() bool { return slices.Contains(view.EligibleProposers(s.view), s.diskID()) }

func (s *Store) mayPropose(situation *view.Reconfiguration) bool {
	switch {
	case s.now < s.notBefore || !s.writer.healthy(s.now):
		return false
	case !situation.MajorityReachable():
		return false
	case !s.wedged && !situation.ProposersKnown():
		return false
	case s.now < s.wantedSince+core.Time(situation.ProposerRank())*rankDelay:
		return false
	default:
		return situation.NextView() != nil
	}
}

// startRound begins a ballot: this node's own promise is durable before anyone else is asked.
func (s *Store) startRound() {
	acceptors := s.acceptors()
	ids := make([]string, len(acceptors))
	for i := range acceptors {
		ids[i] = acceptors[i].id
	}
	ballot := &nodepb.ProposalNumber{Counter: max(s.acceptor.HighestCounter(), s.seenRound) + 1, Proposer: s.proposerID()}
	r := &round{
		Proposal:  view.NewProposal(s.acceptor.Epoch, ballot, ids),
		base:      s.view,
		acceptors: acceptors,
		started:   s.now,
		resendAt:  s.now + resendEvery,
	}
	s.round = r
	promise, _ := s.acceptor.Prepare(ballot)
	promise.Acceptor = s.acceptorID()
	s.persist(kindAcceptor, s.acceptor.Record(), func() {
		if s.round != r {
			return
		}
		r.spoken = true
		s.ask()
		r.ReceivePromise(promise)
		s.progress()
	})
}

// proposerID makes ballots of different lives of a machine differ: a disk id is of one disk, and what was promised to
// one's own ballots is durable.
func (s *Store) proposerID() string {
	if s.diskID() == "" {
		return s.address()
	}
	return s.diskID()
}

func (s *Store) acceptors() []acceptorAddress {
	var acceptors []acceptorAddress
	for _, voter := range s.view.GetVoters() {
		acceptors = append(acceptors, acceptorAddress{voter.GetDiskId(), voter.GetAddress()})
	}
	for _, founder := range s.founders {
		acceptors = append(acceptors, acceptorAddress{founder, founder})
	}
	return acceptors
}

// ask sends the question of the phase to all who have not answered.
func (s *Store) ask() {
	r := s.round
	for _, acceptor := range r.acceptors {
		if !r.Awaits(acceptor.id) || acceptor.id == s.acceptorID() {
			continue
		}
		switch r.Phase() {
		case view.Preparing:
			s.send(acceptor.address, &nodepb.Envelope{Body: &nodepb.Envelope_Prepare{Prepare: &nodepb.Prepare{
				Epoch: r.Epoch, Number: r.Number, Base: r.base,
			}}})
		case view.Accepting:
			s.send(acceptor.address, &nodepb.Envelope{Body: &nodepb.Envelope_Accept{Accept: &nodepb.Accept{
				Epoch: r.Epoch, Number: r.Number, View: r.Value(), Base: r.base,
			}}})
		}
	}
}

// driveRound asks again, and gives up a ballot that takes too long.
func (s *Store) driveRound() {
	r := s.round
	switch {
	case r == nil:
	case s.now >= r.started+roundTimeout:
		s.abandonRound()
	case s.now >= r.resendAt:
		r.resendAt = s.now + resendEvery
		if r.spoken {
			s.ask()
		}
	}
}

func (s *Store) roundDeadline() core.Time {
	if s.round == nil {
		return core.Never
	}
	return min(s.round.resendAt, s.round.started+roundTimeout)
}

// abandonRound ends a ballot; the next waits for a random while, so that one of several proposers comes through.
func (s *Store) abandonRound() {
	s.round = nil
	s.notBefore = s.now + backoffBase + core.Time(s.random.Int64N(int64(3*backoffBase)))
	s.evaluateAt = s.notBefore
	s.takeNext()
}

func (s *Store) receivePromise(promise *nodepb.Promise) {
	s.learn(promise.GetDecided())
	if s.round == nil || !s.round.spoken {
		return
	}
	s.round.ReceivePromise(promise)
	s.progress()
}

func (s *Store) receiveAccepted(accepted *nodepb.Accepted) {
	s.learn(accepted.GetDecided())
	if s.round == nil || !s.round.spoken {
		return
	}
	s.round.ReceiveAccepted(accepted)
	s.progress()
}

// progress goes on after an answer.
func (s *Store) progress() {
	switch s.round.Phase() {
	case view.Prepared:
		s.choose()
	case view.Decided:
		s.decide()
	case view.Preempted:
		s.raiseRound(s.round.PreemptedBy())
		s.abandonRound()
	}
}

// raiseRound lets the next ballot of this node be above one that was seen elsewhere.
func (s *Store) raiseRound(higher uint64) { s.seenRound = max(s.seenRound, higher) }

// choose starts the second phase: with the view that another proposer may have got through, else with the one that is
// right now, once this node has wedged itself.
func (s *Store) choose() {
	r := s.round
	value := r.Value()
	if value == nil {
		value = s.ownChoice()
	}
	if value == nil {
		s.abandonRound()
		return
	}
	r.BeginAccept(value)
	accepted, changed := s.acceptor.Accept(r.Number, value)
	if !changed {
		s.abandonRound()
		return
	}
	accepted.Acceptor = s.acceptorID()
	r.spoken = false
	s.persist(kindAcceptor, s.acceptor.Record(), func() {
		if s.round != r {
			return
		}
		r.spoken = true
		s.ask()
		r.ReceiveAccepted(accepted)
		s.progress()
	})
}

// ownChoice is the view that this node proposes by itself; nil if there is none by now. From here on it passes on and
// acknowledges nothing of the epoch any more, and its last entry stays what it is.
func (s *Store) ownChoice() *nodepb.View {
	if s.view == nil {
		return s.foundingView()
	}
	situation := s.situation()
	if !situation.Needed() || !situation.MajorityReachable() {
		return nil
	}
	next := situation.NextView()
	if next != nil && !s.wedged && s.inChain() {
		s.wedged = true
		s.persist(kindWedge, &nodepb.WedgeRecord{Epoch: s.view.GetEpoch()}, nil)
	}
	return next
}

// decide ends the round: a majority has accepted. The others are told first, so that what this node passes to the new head
// finds it as such.
func (s *Store) decide() {
	r := s.round
	decided := &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: r.Value()}}}
	told := map[string]bool{s.address(): true}
	for _, acceptor := range r.acceptors {
		s.sendOnce(told, acceptor.address, decided)
	}
	for _, voter := range r.Value().GetVoters() {
		s.sendOnce(told, voter.GetAddress(), decided)
	}
	s.learn(r.Value())
}

func (s *Store) sendOnce(told map[string]bool, address string, envelope *nodepb.Envelope) {
	if !told[address] {
		told[address] = true
		s.send(address, &nodepb.Envelope{Body: envelope.Body})
	}
}
