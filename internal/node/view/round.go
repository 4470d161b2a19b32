package view

import "kestrelspread/internal/node/nodepb"

// Phase is how far a Round has come.
type Phase uint8

// The phases of a round.
const (
	Preparing Phase = iota // asks for promises
	Choosing               // has a majority's promises; its caller chooses a view where Bound is nil
	Accepting              // asks to accept
	Decided                // a majority accepted
	Beaten                 // an acceptor knows a higher ballot
)

// Round is one ballot of a proposer in the Paxos of one epoch.
type Round struct {
	Epoch  uint64
	Ballot *nodepb.Ballot

	phase     Phase
	acceptors map[string]bool // value: answered in this phase
	answered  int
	bound     *nodepb.Ballot
	value     *nodepb.View
	higher    uint64
}

// NewRound starts a ballot with the acceptors: disk ids, in epoch 1 the founders' addresses.
func NewRound(epoch uint64, ballot *nodepb.Ballot, acceptors []string) *Round {
	round := &Round{Epoch: epoch, Ballot: ballot, acceptors: make(map[string]bool, len(acceptors))}
	for _, acceptor := range acceptors {
		round.acceptors[acceptor] = false
	}
	return round
}

// Phase of the round.
func (r *Round) Phase() Phase { return r.phase }

// Value is the view proposed; nil while none was chosen.
func (r *Round) Value() *nodepb.View { return r.value }

// HigherRound is the round number that beat this one.
func (r *Round) HigherRound() uint64 { return r.higher }

// Waiting reports whether the acceptor has not answered in this phase.
func (r *Round) Waiting(acceptor string) bool {
	answered, known := r.acceptors[acceptor]
	return known && !answered
}

// Promised takes an acceptor's answer to Prepare. After it the phase may be Choosing: Value is then the view that
// must be proposed, or nil where the proposer is free.
func (r *Round) Promised(promise *nodepb.Promise) {
	if r.phase != Preparing || promise.GetEpoch() != r.Epoch {
		return
	}
	if promise.GetRefused() {
		r.beaten(promise.GetBallot())
		return
	}
	if CompareBallots(promise.GetBallot(), r.Ballot) != 0 || !r.Waiting(promise.GetVoter()) {
		return
	}
	if promise.GetAcceptedView() != nil && CompareBallots(promise.GetAcceptedBallot(), r.bound) > 0 {
		r.bound = promise.GetAcceptedBallot()
		r.value = promise.GetAcceptedView()
	}
	if r.count(promise.GetVoter()) {
		r.phase = Choosing
	}
}

// Choose starts the second phase with the view: Value where it isn't nil, any legitimate one else.
func (r *Round) Choose(value *nodepb.View) {
	if r.phase != Choosing {
		return
	}
	if r.value == nil {
		r.value = value
	}
	r.phase = Accepting
	r.answered = 0
	for acceptor := range r.acceptors {
		r.acceptors[acceptor] = false
	}
}

// Accepted takes an acceptor's answer to Accept.
func (r *Round) Accepted(accepted *nodepb.Accepted) {
	if r.phase != Accepting || accepted.GetEpoch() != r.Epoch {
		return
	}
	if accepted.GetRefused() {
		r.beaten(accepted.GetBallot())
		return
	}
	if CompareBallots(accepted.GetBallot(), r.Ballot) != 0 || !r.Waiting(accepted.GetVoter()) {
		return
	}
	if r.count(accepted.GetVoter()) {
		r.phase = Decided
	}
}

// count notes an answer and reports whether a majority has answered.
func (r *Round) count(acceptor string) bool {
	r.acceptors[acceptor] = true
	r.answered++
	return r.answered >= Majority(len(r.acceptors))
}

func (r *Round) beaten(ballot *nodepb.Ballot) {
	if CompareBallots(ballot, r.Ballot) <= 0 {
		return
	}
	r.phase = Beaten
	r.higher = ballot.GetRound()
}
