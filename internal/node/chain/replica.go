package chain

import (
	"math/rand/v2"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("chain")
	// ErrJournal: the records of the journal can't be the ones this package wrote.
	ErrJournal = namespace.NewType("journal")
)

// Replica is one core machine's part in the control state. Its methods are called by one goroutine.
type Replica struct {
	options      Options
	random       *rand.Rand
	now          core.Time
	wakeDeadline core.Time // the deadline last told
	outputs      []core.Output

	writer        writer
	detector      *view.Detector
	quorumMembers []*nodepb.Member // members that count, from SWIM

	// The agreed view.
	view                 *nodepb.View
	viewDurable          bool
	acceptor             view.Acceptor
	wedged               bool // in the epoch of view
	proposal             *proposal
	highestSeenCounter   uint64    // of ballots seen elsewhere
	changeNeededSince    core.Time // since when the view should change; core.Never: it should not
	proposalBackoffUntil core.Time // backoff of proposals
	nextEvaluationAt     core.Time
	leavingUntil         core.Time // until when this node stays out; 0: it doesn't
	founders             []string  // while founding
	startedAt            core.Time

	// The replicated state.
	committed            position
	pending              *nodepb.Entry
	pendingDurable       bool
	pendingReceivedEpoch uint64 // epoch in which pending was last passed to this node
	caughtUpEpoch        uint64 // epoch in which the head last caught this node up
	recentEntries        []*nodepb.Entry
	recentBytes          int

	// At the head.
	pendingInherited       bool // pending is from before this epoch or this life, and may have been acknowledged
	retransmitAt           core.Time
	commandQueue           []queuedCommand
	lastProposed           queuedCommand // the newest that became an entry
	deferredBarriers       []headBarrier // barriers that wait until the inherited entry is committed
	outstandingBarriers    []headBarrier // started, newest last
	lastBarrierNumber      uint64
	leaseStart             core.Time
	hasLease               bool
	joiners                map[string]*joiner
	entriesPausedUntil     core.Time
	cachedSnapshot         []byte // the committed state at encodedAt, for joiners; nil: none is kept
	cachedSnapshotPosition position
	cachedSnapshotExpiry   core.Time

	// At the tail.
	confirmation tailConfirmation

	// Outside the chain.
	nextJoinRequestAt core.Time
	needsSnapshot     bool // ask for a snapshot
}

// New makes a Store of what the journal holds.
func New(now core.Time, options Options, records []core.Record, random *rand.Rand) (*Replica, []core.Output, error) {
	journaled, err := replayJournal(records, options.StateMachine)
	if err != nil {
		return nil, nil, ErrJournal.Wrap(err, "can't take up the journal")
	}
	r := &Replica{
		options:           options,
		random:            random,
		now:               now,
		wakeDeadline:      core.Never,
		writer:            newWriter(),
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
		joiners:           make(map[string]*joiner),
		// A late word on a barrier of a former life must not be taken for one of this life.
		lastBarrierNumber: random.Uint64(),
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

// publishRecovered tells the data plane the state that the journal holds.
func (r *Replica) publishRecovered() {
	if r.committed.index > 0 {
		r.emit(core.Installed{Snapshot: r.snapshot()})
	}
}

func (r *Replica) snapshot() *nodepb.StateSnapshot {
	return &nodepb.StateSnapshot{Index: r.committed.index, State: r.options.StateMachine.Snapshot()}
}

// Tick does what is due.
func (r *Replica) Tick(now core.Time) []core.Output {
	r.advance(now)
	return r.finish()
}

// Receive takes a message of another node. Messages that are not of this package are ignored.
func (r *Replica) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	r.advance(now)
	r.dispatch(from, envelope)
	return r.finish()
}

// Written takes the end of a Write.
func (r *Replica) Written(now core.Time, token uint64, err error) []core.Output {
	r.advance(now)
	if err != nil {
		r.emit(core.Log{Message: "control state: write failed", Fields: []any{"error", err}})
	}
	for _, write := range r.writer.complete(now, token, err) {
		if write.onDurable != nil {
			write.onDurable()
		}
	}
	return r.finish()
}

// SetQuorumMembers names the members that count, as SWIM knows them: whom to ask for the view.
func (r *Replica) SetQuorumMembers(now core.Time, members []*nodepb.Member) []core.Output {
	r.advance(now)
	r.quorumMembers = members
	r.updateTargets()
	return r.finish()
}

// RequestCheckpoint writes everything that must survive as one checkpoint, because the journal is nearly full.
func (r *Replica) RequestCheckpoint(now core.Time) []core.Output {
	r.advance(now)
	r.writer.buildCheckpoint = r.checkpoint
	return r.finish()
}

// Leave makes this node leave the chain, or at least its head, because it ends soon.
func (r *Replica) Leave(now core.Time) []core.Output {
	r.advance(now)
	r.leavingUntil = now + leaveDuration
	r.nextEvaluationAt = now
	return r.finish()
}

// advance notes the time and does what is due.
func (r *Replica) advance(now core.Time) {
	lateness := core.Time(0)
	if r.wakeDeadline != core.Never && now > r.wakeDeadline {
		lateness = now - r.wakeDeadline
	}
	r.now = now
	if r.detector.Advance(now, lateness) {
		r.changeNeededSince = core.Never
		r.emit(core.Log{Message: "control state: this node was stopped", Fields: []any{"late", lateness}})
	}
	r.sendDuePings()
	r.retransmit()
	r.expireQueue()
	r.processQueue()
	r.sendJoinRequest()
	r.driveProposal()
	r.evictCachedSnapshot()
	r.evaluateView()
}

// finish hands out the outputs, with the next write, and fixes the next deadline.
func (r *Replica) finish() []core.Output {
	if write, ok := r.writer.flush(r.now); ok {
		r.emit(write)
	}
	outputs := r.outputs
	r.outputs = nil
	r.wakeDeadline = r.nextDeadline()
	return outputs
}

// Deadline is when Tick wants to be called.
func (r *Replica) Deadline() core.Time { return r.wakeDeadline }

func (r *Replica) nextDeadline() core.Time {
	deadline := min(r.detector.Deadline(), r.writer.deadline(r.now), r.joinDeadline(), r.proposalDeadline(), r.barrierDeadline())
	if r.hasEntryToRetransmit() {
		deadline = min(deadline, r.retransmitAt)
	}
	if len(r.commandQueue) > 0 {
		deadline = min(deadline, r.commandQueue[0].expiresAt)
		if r.entriesPausedUntil > r.now {
			deadline = min(deadline, r.entriesPausedUntil)
		}
	}
	if r.changeNeededSince != core.Never && r.proposal == nil {
		deadline = min(deadline, r.nextEvaluationAt)
	}
	return deadline
}

func (r *Replica) dispatch(from core.Peer, envelope *nodepb.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *nodepb.Envelope_VoterPing:
		r.receivePing(from, body.VoterPing)
	case *nodepb.Envelope_VoterPong:
		r.receivePong(from, body.VoterPong)
	case *nodepb.Envelope_Prepare:
		r.receivePrepare(from, body.Prepare)
	case *nodepb.Envelope_Promise:
		r.receivePromise(body.Promise)
	case *nodepb.Envelope_Accept:
		r.receiveAccept(from, body.Accept)
	case *nodepb.Envelope_Accepted:
		r.receiveAccepted(body.Accepted)
	case *nodepb.Envelope_ViewDecided:
		r.installView(body.ViewDecided.GetView())
	case *nodepb.Envelope_JoinRequest:
		r.receiveJoinRequest(from, body.JoinRequest)
	case *nodepb.Envelope_CatchUp:
		r.receiveCatchUp(from, body.CatchUp)
	case *nodepb.Envelope_CatchUpDone:
		r.receiveCatchUpDone(from, body.CatchUpDone)
	case *nodepb.Envelope_Append:
		r.receiveAppend(from, body.Append)
	case *nodepb.Envelope_CommitNotice:
		r.receiveCommitNotice(from, body.CommitNotice)
	case *nodepb.Envelope_Barrier:
		r.receiveBarrier(from, body.Barrier)
	case *nodepb.Envelope_BarrierRequest:
		r.receiveBarrierRequest(from, body.BarrierRequest)
	case *nodepb.Envelope_Submit:
		r.receiveSubmit(from, body.Submit)
	}
}

func (r *Replica) emit(output core.Output) { r.outputs = append(r.outputs, output) }

func (r *Replica) send(address string, envelope *nodepb.Envelope) {
	r.emit(core.Send{To: address, Message: envelope})
}

// persist queues a record; done may be nil.
func (r *Replica) persist(kind uint8, message proto.Message, onDurable func()) {
	r.writer.append(encode(kind, message), onDurable)
}

func (r *Replica) diskID() string { return r.options.Self.GetDiskId() }

func (r *Replica) address() string { return r.options.Self.GetAddress() }

// isActiveMember reports whether this node passes messages of the epoch on.
func (r *Replica) isActiveMember() bool {
	return r.view != nil && !r.wedged && r.inChain()
}

func (r *Replica) inChain() bool { return view.ChainIndex(r.view, r.diskID()) >= 0 }

func (r *Replica) isHead() bool { return view.ChainIndex(r.view, r.diskID()) == 0 }

func (r *Replica) isTail() bool {
	return r.inChain() && view.Successor(r.view, r.diskID()) == nil
}

// isCurrentEpoch checks the epoch of a message. A sender with an older one is told the view; one with a newer one is asked.
func (r *Replica) isCurrentEpoch(from core.Peer, epoch uint64) bool {
	currentEpoch := view.Epoch(r.view)
	if epoch < currentEpoch {
		r.sendView(from.Address)
	}
	if epoch > currentEpoch {
		r.sendPingNow(from.Address)
	}
	return epoch == currentEpoch && epoch > 0
}

func (r *Replica) sendView(address string) {
	r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: r.view}}})
}
