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

// Store is one core machine's part in the control state. Its methods are called by one goroutine.
type Store struct {
	options Options
	random  *rand.Rand
	now     core.Time
	wakeAt  core.Time // the deadline last told
	outputs []core.Output

	writer   writer
	detector *view.Detector
	peers    []*nodepb.Member // members that count, from SWIM

	// The agreed view.
	view        *nodepb.View
	viewDurable bool
	acceptor    view.Acceptor
	wedged      bool // in the epoch of view
	round       *round
	seenRound   uint64    // of ballots seen elsewhere
	wantedSince core.Time // since when the view should change; core.Never: it should not
	notBefore   core.Time // backoff of proposals
	evaluateAt  core.Time
	leaving     core.Time // until when this node stays out; 0: it doesn't
	founders    []string  // while founding
	started     core.Time

	// The replicated state.
	committed      position
	pending        *nodepb.Entry
	pendingDurable bool
	appended       uint64 // epoch in which pending was last passed to this node
	caughtUp       uint64 // epoch in which the head last caught this node up
	recent         []*nodepb.Entry
	recentBytes    int

	// At the head.
	inherited    bool // pending is from before this epoch or this life, and may have been acknowledged
	retransmitAt core.Time
	queue        []submission
	taken        submission     // the newest that became an entry
	waiting      []barrierStart // barriers that wait until the inherited entry is committed
	barriers     []barrierStart // started, newest last
	barrierCount uint64
	leaseFrom    core.Time
	leased       bool
	joiners      map[string]*joiner
	holdUntil    core.Time
	encoded      []byte // the committed state at encodedAt, for joiners; nil: none is kept
	encodedAt    position
	encodedUntil core.Time

	// At the tail.
	confirm confirmation

	// Outside the chain.
	joinAt     core.Time
	wholeState bool // ask for a snapshot
}

// New makes a Store of what the journal holds.
func New(now core.Time, options Options, records []core.Record, random *rand.Rand) (*Store, []core.Output, error) {
	r, err := recoverRecords(records, options.Machine)
	if err != nil {
		return nil, nil, ErrJournal.Wrap(err, "can't take up the journal")
	}
	s := &Store{
		options:     options,
		random:      random,
		now:         now,
		wakeAt:      core.Never,
		writer:      newWriter(),
		detector:    view.NewDetector(now, options.Self, uint64(random.Uint32())),
		view:        r.view,
		viewDurable: r.view != nil,
		acceptor:    view.NewAcceptor(view.Epoch(r.view) + 1),
		wedged:      r.view != nil && r.wedged == r.view.GetEpoch(),
		wantedSince: core.Never,
		started:     now,
		committed:   r.committed,
		pending:     r.pending,
		caughtUp:    r.caughtUp,
		joiners:     make(map[string]*joiner),
		// A late word on a barrier of a former life must not be taken for one of this life.
		barrierCount: random.Uint64(),
	}
	s.pendingDurable = s.pending != nil
	if r.acceptor.GetEpoch() == s.acceptor.Epoch {
		s.acceptor = view.RestoreAcceptor(r.acceptor)
	}
	s.startFounding(r.founders)
	s.watch()
	s.publishRecovered()
	s.enterEpoch()
	return s, s.finish(), nil
}

// publishRecovered tells the data plane the state that the journal holds.
func (s *Store) publishRecovered() {
	if s.committed.index > 0 {
		s.emit(core.Installed{Snapshot: s.snapshot()})
	}
}

func (s *Store) snapshot() *nodepb.StateSnapshot {
	return &nodepb.StateSnapshot{Index: s.committed.index, State: s.options.Machine.Snapshot()}
}

// Tick does what is due.
func (s *Store) Tick(now core.Time) []core.Output {
	s.advance(now)
	return s.finish()
}

// Receive takes a message of another node. Messages that are not of this package are ignored.
func (s *Store) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	s.advance(now)
	s.dispatch(from, envelope)
	return s.finish()
}

// Written takes the end of a Write.
func (s *Store) Written(now core.Time, token uint64, err error) []core.Output {
	s.advance(now)
	if err != nil {
		s.emit(core.Log{Message: "control state: write failed", Fields: []any{"error", err}})
	}
	for _, write := range s.writer.written(now, token, err) {
		if write.done != nil {
			write.done()
		}
	}
	return s.finish()
}

// SetPeers names the members that count, as SWIM knows them: whom to ask for the view.
func (s *Store) SetPeers(now core.Time, members []*nodepb.Member) []core.Output {
	s.advance(now)
	s.peers = members
	s.watch()
	return s.finish()
}

// Compact writes everything that must survive as one checkpoint, because the journal is nearly full.
func (s *Store) Compact(now core.Time) []core.Output {
	s.advance(now)
	s.writer.compact = s.checkpoint
	return s.finish()
}

// Transfer makes this node leave the chain, or at least its head, because it ends soon.
func (s *Store) Transfer(now core.Time) []core.Output {
	s.advance(now)
	s.leaving = now + leaveFor
	s.evaluateAt = now
	return s.finish()
}

// advance notes the time and does what is due.
func (s *Store) advance(now core.Time) {
	late := core.Time(0)
	if s.wakeAt != core.Never && now > s.wakeAt {
		late = now - s.wakeAt
	}
	s.now = now
	if s.detector.Advance(now, late) {
		s.wantedSince = core.Never
		s.emit(core.Log{Message: "control state: this node was stopped", Fields: []any{"late", late}})
	}
	s.pingDue()
	s.retransmit()
	s.expireQueue()
	s.takeNext()
	s.joinDue()
	s.driveRound()
	s.dropEncodedState()
	s.evaluate()
}

// finish hands out the outputs, with the next write, and fixes the next deadline.
func (s *Store) finish() []core.Output {
	if write, ok := s.writer.flush(s.now); ok {
		s.emit(write)
	}
	outputs := s.outputs
	s.outputs = nil
	s.wakeAt = s.nextDeadline()
	return outputs
}

// Deadline is when Tick wants to be called.
func (s *Store) Deadline() core.Time { return s.wakeAt }

func (s *Store) nextDeadline() core.Time {
	deadline := min(s.detector.Deadline(), s.writer.deadline(s.now), s.joinDeadline(), s.roundDeadline(), s.barrierDeadline())
	if s.repeats() {
		deadline = min(deadline, s.retransmitAt)
	}
	if len(s.queue) > 0 {
		deadline = min(deadline, s.queue[0].expires)
		if s.holdUntil > s.now {
			deadline = min(deadline, s.holdUntil)
		}
	}
	if s.wantedSince != core.Never && s.round == nil {
		deadline = min(deadline, s.evaluateAt)
	}
	return deadline
}

func (s *Store) dispatch(from core.Peer, envelope *nodepb.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *nodepb.Envelope_VoterPing:
		s.receivePing(from, body.VoterPing)
	case *nodepb.Envelope_VoterPong:
		s.receivePong(from, body.VoterPong)
	case *nodepb.Envelope_Prepare:
		s.receivePrepare(from, body.Prepare)
	case *nodepb.Envelope_Promise:
		s.receivePromise(body.Promise)
	case *nodepb.Envelope_Accept:
		s.receiveAccept(from, body.Accept)
	case *nodepb.Envelope_Accepted:
		s.receiveAccepted(body.Accepted)
	case *nodepb.Envelope_ViewDecided:
		s.learn(body.ViewDecided.GetView())
	case *nodepb.Envelope_JoinRequest:
		s.receiveJoinRequest(from, body.JoinRequest)
	case *nodepb.Envelope_CatchUp:
		s.receiveCatchUp(from, body.CatchUp)
	case *nodepb.Envelope_CatchUpDone:
		s.receiveCatchUpDone(from, body.CatchUpDone)
	case *nodepb.Envelope_Append:
		s.receiveAppend(from, body.Append)
	case *nodepb.Envelope_CommitNotice:
		s.receiveCommitNotice(from, body.CommitNotice)
	case *nodepb.Envelope_Barrier:
		s.receiveBarrier(from, body.Barrier)
	case *nodepb.Envelope_BarrierRequest:
		s.receiveBarrierRequest(from, body.BarrierRequest)
	case *nodepb.Envelope_Submit:
		s.receiveSubmit(from, body.Submit)
	}
}

func (s *Store) emit(output core.Output) { s.outputs = append(s.outputs, output) }

func (s *Store) send(address string, envelope *nodepb.Envelope) {
	s.emit(core.Send{Destination: address, Message: envelope})
}

// persist queues a record; done may be nil.
func (s *Store) persist(kind uint8, message proto.Message, done func()) {
	s.writer.append(encode(kind, message), done)
}

func (s *Store) diskID() string { return s.options.Self.GetDiskId() }

func (s *Store) address() string { return s.options.Self.GetAddress() }

// member reports whether this node passes messages of the epoch on.
func (s *Store) member() bool {
	return s.view != nil && !s.wedged && s.inChain()
}

func (s *Store) inChain() bool { return view.Position(s.view, s.diskID()) >= 0 }

func (s *Store) isHead() bool { return view.Position(s.view, s.diskID()) == 0 }

func (s *Store) isTail() bool {
	return s.inChain() && view.Successor(s.view, s.diskID()) == nil
}

// inForce checks the epoch of a message. A sender with an older one is told the view; one with a newer one is asked.
func (s *Store) inForce(from core.Peer, epoch uint64) bool {
	known := view.Epoch(s.view)
	if epoch < known {
		s.sendView(from.Address)
	}
	if epoch > known {
		s.ping(from.Address)
	}
	return epoch == known && epoch > 0
}

func (s *Store) sendView(address string) {
	s.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: s.view}}})
}
