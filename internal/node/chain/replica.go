package chain

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// Errors of this package.
var (
	// ErrJournal: the records of the journal can't be the ones this package wrote.
	ErrJournal = errors.New("chain: unknown journal content")
)

// Replica is one core machine's part in the control state: an acceptor and perhaps a proposer of
// views, and while it is in the chain a member of it. It is a state machine in the sense of package
// core; its methods are called by one goroutine.
type Replica struct {
	options      Options
	random       *rand.Rand
	now          core.Time
	startedAt    core.Time
	wakeDeadline core.Time // the deadline returned last
	outputs      []core.Output

	records       recordQueue
	detector      *view.Detector
	quorumMembers []*nodepb.Member // as membership knows them: the nodes to ask for the view

	// The agreed view.
	view        *nodepb.View
	viewDurable bool
	wedged      bool // in the epoch of view
	acceptor    view.Acceptor
	founders    []string // addresses; only while there is no view

	// The proposal of the next view.
	proposal             *proposal // under way; nil: none
	highestSeenCounter   uint64    // of the proposal numbers that preempted this node's proposals
	changeNeededSince    core.Time // core.Never: the view should stay
	proposalBackoffUntil core.Time
	nextEvaluationAt     core.Time
	leavingUntil         core.Time // until when this node neither joins nor adds joiners; 0: it is not leaving

	// The replicated state. At most one entry is not committed.
	committed            position
	pending              *nodepb.Entry
	pendingDurable       bool
	pendingReceivedEpoch uint64 // epoch in which pending was last received
	caughtUpEpoch        uint64 // epoch in which the head last caught this node up
	recent               recentEntries

	head headState
	tail tailConfirmation
	// nextJoinRequestAt is when a node outside the chain asks to join it again.
	nextJoinRequestAt core.Time
}

// New makes a Replica of the records of the journal, and returns the first outputs. random must
// differ between incarnations. The error is of type ErrJournal.
func New(now core.Time, options Options, records []core.Record, random *rand.Rand) (*Replica, []core.Output, error) {
	journaled, err := replayJournal(records, options.StateMachine)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: replay the journal: %w", ErrJournal, err)
	}
	r := &Replica{
		options:           options,
		random:            random,
		now:               now,
		wakeDeadline:      core.Never,
		records:           newRecordQueue(),
		detector:          view.NewDetector(now, options.Self, uint64(random.Uint32())),
		view:              journaled.view,
		viewDurable:       journaled.view != nil,
		acceptor:          view.NewAcceptor(view.Epoch(journaled.view) + 1),
		wedged:            journaled.view != nil && journaled.wedgedEpoch == journaled.view.GetEpoch(),
		changeNeededSince: core.Never,
		startedAt:         now,
		committed:         journaled.committed,
		pending:           journaled.pending,
		caughtUpEpoch:     journaled.caughtUpEpoch,
		head: headState{
			joiners: make(map[string]*joiner),
			// The completion of a barrier of an earlier incarnation must not be taken for that of
			// one of this incarnation.
			lastBarrierNumber: random.Uint64(),
		},
	}
	r.pendingDurable = r.pending != nil
	if journaled.acceptor.GetEpoch() == r.acceptor.Epoch {
		r.acceptor = view.RestoreAcceptor(journaled.acceptor)
	}
	r.startFounding(journaled.founders)
	r.updateTargets()
	r.publishRecovered()
	r.enterEpoch()
	return r, r.finish(), nil
}

// publishRecovered hands the state that the journal holds to the data plane.
func (r *Replica) publishRecovered() {
	if r.committed.index > 0 {
		r.emit(core.Installed{Snapshot: r.snapshot()})
	}
}

func (r *Replica) snapshot() *nodepb.StateSnapshot {
	return &nodepb.StateSnapshot{Index: r.committed.index, State: r.options.StateMachine.Snapshot()}
}

// Tick does what is due at the time.
func (r *Replica) Tick(now core.Time) []core.Output {
	r.advance(now)
	return r.finish()
}

// Receive processes a message of another node. Messages that are not of this package are ignored.
func (r *Replica) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	r.advance(now)
	r.dispatch(from, envelope)
	return r.finish()
}

// Written processes the result of the Write with the token. What depends on its records is done
// now, not before.
func (r *Replica) Written(now core.Time, token uint64, err error) []core.Output {
	r.advance(now)
	if err != nil {
		r.emit(core.Log{Message: "chain: journal write failed", Fields: []any{"error", err}})
	}
	for _, write := range r.records.complete(now, token, err) {
		if write.onDurable != nil {
			write.onDurable()
		}
	}
	return r.finish()
}

// SetQuorumMembers sets the members that count for a quorum, as membership knows them: the nodes to
// ask for the view while this one is outside the chain.
func (r *Replica) SetQuorumMembers(now core.Time, members []*nodepb.Member) []core.Output {
	r.advance(now)
	r.quorumMembers = members
	r.updateTargets()
	return r.finish()
}

// RequestCheckpoint makes the next Write a checkpoint of everything that must survive, as the
// journal is nearly full.
func (r *Replica) RequestCheckpoint(now core.Time) []core.Output {
	r.advance(now)
	r.records.buildCheckpoint = r.checkpoint
	return r.finish()
}

// HandOver makes this node leave the chain, or at least the head of it, as its process is about to
// stop.
func (r *Replica) HandOver(now core.Time) []core.Output {
	r.advance(now)
	r.leavingUntil = now + leaveDuration
	r.nextEvaluationAt = now
	return r.finish()
}

// advance sets the time and does what is due.
func (r *Replica) advance(now core.Time) {
	lateness := core.Time(0)
	if r.wakeDeadline != core.Never && now > r.wakeDeadline {
		lateness = now - r.wakeDeadline
	}
	r.now = now
	if r.detector.Advance(now, lateness) {
		r.changeNeededSince = core.Never
		r.emit(core.Log{Message: "chain: this node was suspended", Fields: []any{"late", lateness}})
	}
	r.sendDuePings()
	r.retransmit()
	r.expireQueue()
	r.processQueue()
	r.requestJoinIfDue()
	r.driveProposal()
	r.head.snapshot.evictExpired(r.now)
	r.evaluateView()
}

// finish returns the outputs, the next write among them, and sets the next deadline.
func (r *Replica) finish() []core.Output {
	if write, ok := r.records.flush(r.now); ok {
		r.emit(write)
	}
	outputs := r.outputs
	r.outputs = nil
	r.wakeDeadline = r.nextDeadline()
	return outputs
}

// Deadline is when Tick should be called next; core.Never: not before the next message.
func (r *Replica) Deadline() core.Time { return r.wakeDeadline }

// nextDeadline is the earliest deadline of any part.
func (r *Replica) nextDeadline() core.Time {
	deadline := min(r.detector.Deadline(), r.records.deadline(r.now), r.joinDeadline(), r.proposalDeadline(), r.barrierDeadline())
	if r.hasEntryToRetransmit() {
		deadline = min(deadline, r.head.retransmitAt)
	}
	if len(r.head.commandQueue) > 0 {
		deadline = min(deadline, r.head.commandQueue[0].expiresAt)
		if r.head.entriesPausedUntil > r.now {
			deadline = min(deadline, r.head.entriesPausedUntil)
		}
	}
	if r.changeNeededSince != core.Never && r.proposal == nil {
		deadline = min(deadline, r.nextEvaluationAt)
	}
	return deadline
}
