// Package voter runs a voter: one goroutine owns it, and makes durable what it wants to be before anything is sent. The disk may
// stall it; then it says nothing, and the others go on. Everything that comes waits in one bounded queue.
package voter

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/storage"
	"kestrelspread/internal/fleet/lease/transport"
)

// Address is where a voter is reached from here.
type Address struct{ Name, Addr string }

// Options are a voter's.
type Options struct {
	Name             string
	Listen           string
	Dir              string
	FS               vfs.FS // nil: the system's
	Voters           []Address
	LeaseConfig      lease.Config
	RaftConfig       consensus.Config
	MembershipConfig membership.Config // zero: the usual
	TickInterval     time.Duration
	Log              zerolog.Logger
}

const (
	maxBatch          = 256
	maxCommandBatch   = 32
	maxQueuedCommands = 256  // commands that wait; past it they are refused at once
	maxQueuedEvents   = 4096 // events that wait; past it what comes is dropped, or refused where somebody waits for an answer
	maxQueuedMessages = 512  // messages to one voter that wait
	sendTimeout       = time.Second
	maxSendBytes      = 1 << 20 // that go together, but for one message
	helloInterval     = time.Second
)

// Server is a voter that runs.
type Server struct {
	options         Options
	store           *storage.Store
	replica         *replica.Replica // nil until its disk belongs to a group
	membership      *membership.Reconciler
	peers           map[string]*peer
	events          chan func() // what voters say, and what this one has to do
	requests        chan func()
	commands        chan func()
	quit            chan struct{}
	done            chan struct{}
	stopServing     func()
	listenAddr      string
	messagesSent    atomic.Int64
	groupID         atomic.Uint64
	fault           string // why it takes no more part
	lastLeader      string // who led when it was last said
	lastLoggedIndex uint64 // index of the latest event that was logged
	closeOnce       sync.Once
}

type peer struct {
	*transport.Peer
	name              string
	queue             chan []byte
	lastDestinationID atomic.Uint64 // the number that its latest message was for
}

// Now is a steady clock that a suspended machine does not stop, in ms: one that did would let a lease outlive its time.
func Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return float64(time.Since(processStart).Microseconds()) / 1000
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

var processStart = time.Now()

// randomID gives a number that was never given out, but for chance of one in 2^64.
func randomID() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(err) // the system's chance does not fail
		}
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// Start opens the disk, which a second process is refused, listens, and runs until Close.
func Start(o Options) (*Server, error) {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.TickInterval <= 0 {
		o.TickInterval = 100 * time.Millisecond
	}
	if o.RaftConfig == (consensus.Config{}) {
		o.RaftConfig = consensus.DefaultConfig
	}
	k, err := storage.Open(o.FS, o.Dir, randomID)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, store: k, peers: map[string]*peer{}, events: make(chan func(), maxQueuedEvents),
		requests: make(chan func(), maxQueuedEvents), commands: make(chan func(), maxQueuedCommands), quit: make(chan struct{}), done: make(chan struct{})}
	var names []string
	for _, a := range o.Voters {
		names = append(names, a.Name)
	}
	if o.MembershipConfig == (membership.Config{}) {
		o.MembershipConfig = membership.DefaultConfig
	}
	s.membership = membership.New(o.MembershipConfig, membership.Hello{Name: o.Name, VoterID: k.VoterID, GroupID: k.GroupID, Founders: k.Founders}, names, Now())
	if k.GroupID != 0 {
		if err := s.startReplica(); err != nil {
			k.Close()
			return nil, err
		}
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		k.Close()
		return nil, err
	}
	s.listenAddr = l.Addr().String()
	for _, a := range o.Voters {
		if a.Name == o.Name {
			continue
		}
		m, err := transport.Dial(a.Addr)
		if err != nil {
			l.Close()
			k.Close()
			return nil, err
		}
		p := &peer{Peer: m, name: a.Name, queue: make(chan []byte, maxQueuedMessages)}
		s.peers[a.Name] = p
		go s.sendLoop(p)
		go s.helloLoop(p)
	}
	s.stopServing = transport.Serve(l, transport.Handlers{Raft: s.handleRaft, Hello: s.handleHello, RequestLeases: s.handleRequest, SubmitCommand: s.handleCommand, Status: s.Status})
	go s.run()
	return s, nil
}

// startReplica takes the voter's place, with the disk as it is.
func (s *Server) startReplica() error {
	var err error
	s.groupID.Store(s.store.GroupID)
	s.replica, err = replica.New(s.store.Durable, s.options.LeaseConfig, s.options.RaftConfig, randomID())
	return err
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listenAddr }

// run owns the voter.
func (s *Server) run() {
	defer close(s.done)
	tick := time.NewTicker(s.options.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.quit:
			return
		case f := <-s.events:
			f()
		case f := <-s.requests:
			f()
		case f := <-s.commands:
			f()
		case <-tick.C:
			s.tick()
		}
		drainQueue(s.events, maxBatch)
		drainQueue(s.requests, maxBatch)
		drainQueue(s.commands, maxCommandBatch)
		s.persistAndSend()
	}
}

// drainQueue does what else has come meanwhile, up to a bound: what comes together is made durable together. What voters say goes
// first, then questions, which keep leases, then commands, few at a time: behind those renewals came too late, were asked for
// again, and waited behind what nobody waited for any more.
func drainQueue(list chan func(), most int) {
	for range most {
		select {
		case f := <-list:
			f()
		default:
			return
		}
	}
}

func (s *Server) tick() {
	if s.fault != "" {
		return
	}
	now := Now()
	view := membership.View{}
	if s.replica != nil {
		s.replica.Tick(now)
		view = membership.View{IsLeader: s.replica.IsLeader() && s.replica.Lessor.IsLeader(), Voters: s.replica.ConfState().Voters, Learners: s.replica.ConfState().Learners,
			VoterNames: s.replica.State.VoterNames, CaughtUp: s.replica.CaughtUp}
		if len(s.replica.ConfState().VotersOutgoing) > 0 { // a change is on its way
			view.IsLeader = false
		}
	}
	if step, due := s.membership.NextStep(now, view); due {
		if err := s.applyStep(step); err != nil {
			s.options.Log.Warn().Err(err).Msg("owner: a step of the voters' roster failed")
		}
	}
	s.logChanges()
}

// applyStep carries out a step of the roster.
func (s *Server) applyStep(step membership.Step) error {
	switch step.Kind {
	case membership.StepBootstrap, membership.StepJoin:
		if step.Kind == membership.StepBootstrap {
			step.GroupID = randomID()
		}
		d := consensus.DurableState{ID: s.store.VoterID}
		if step.Founders != nil {
			st := lease.NewState()
			st.VoterNames = maps.Clone(step.Founders)
			ids := slices.Sorted(maps.Keys(step.Founders))
			d = consensus.Bootstrap(ids...)[slices.Index(ids, s.store.VoterID)]
			d.Snapshot.Data = st.Snapshot()
		}
		if err := s.store.JoinGroup(step.GroupID, step.Founders, d); err != nil {
			return err
		}
		s.membership.SetGroup(step.GroupID, step.Founders)
		s.options.Log.Info().Str("group", fmt.Sprintf("%x", step.GroupID)).Bool("votes", step.Founders != nil).Msg("owner: this voter's disk belongs to a group")
		return s.startReplica()
	case membership.StepNameVoter:
		s.replica.Submit(Now(), lease.Command{Kind: lease.CommandNameVoter, Token: step.VoterID, Target: step.Name}, func(lease.Result) {})
	case membership.StepAddLearner:
		s.options.Log.Info().Str("voter", step.Name).Str("number", fmt.Sprintf("%x", step.VoterID)).Msg("owner: it learns before it votes")
		return s.replica.ProposeConfChange(raftpb.ConfChangeAddLearnerNode, step.VoterID)
	case membership.StepPromote:
		s.options.Log.Info().Str("voter", step.Name).Str("number", fmt.Sprintf("%x", step.VoterID)).Str("gone", fmt.Sprintf("%x", step.ReplacedID)).Msg("owner: it votes from now on")
		if step.ReplacedID != 0 {
			return s.replica.ProposeReplacement(step.VoterID, step.ReplacedID)
		}
		return s.replica.ProposeConfChange(raftpb.ConfChangeAddNode, step.VoterID)
	}
	return nil
}

// logChanges logs what has changed hands, and who leads.
func (s *Server) logChanges() {
	if s.replica == nil {
		return
	}
	if who := s.voterName(s.replica.LeaderID()); who != s.lastLeader {
		s.lastLeader = who
		s.options.Log.Info().Str("leader", who).Uint64("term", s.replica.Term()).Msg("owner: who leads the voters")
	}
	for _, e := range s.replica.State.History {
		if e.Index > s.lastLoggedIndex {
			s.lastLoggedIndex = e.Index
			s.options.Log.Info().Str("duty", e.Role).Str("what", e.Kind).Str("who", e.Instance).Uint64("token", e.Token).Uint64("index", e.Index).Msg("owner: duty")
		}
	}
}

func (s *Server) voterName(id uint64) string {
	if id == 0 { // nobody; the roster's numbers of voters that were never heard of are 0, too
		return ""
	}
	if id == s.store.VoterID {
		return s.options.Name
	}
	if s.replica != nil {
		if n := s.replica.State.VoterNames[id]; n != "" {
			return n
		}
	}
	return s.membership.VoterName(id)
}

// persistAndSend makes durable what is to be, and only then sends. An error of the disk ends this voter's part, not the broker: what it
// might have promised it may not be able to keep.
func (s *Server) persistAndSend() {
	for s.replica != nil && s.fault == "" && s.replica.HasReady() {
		e := s.replica.Ready()
		if err := s.store.Save(&e); err != nil {
			s.halt(err)
			return
		}
		for i := range e.Messages {
			s.send(&e.Messages[i])
		}
		if err := s.replica.Advance(); err != nil {
			s.halt(err)
			return
		}
		if snap, err := s.replica.MaybeSnapshot(); err != nil {
			s.halt(err)
		} else if snap != nil {
			if err := s.store.SaveSnapshot(snap); err != nil {
				s.halt(err)
			}
		}
	}
}

func (s *Server) halt(err error) {
	s.fault = err.Error()
	s.options.Log.Error().Err(err).Msg("owner: this voter takes no more part until a restart")
}

func (s *Server) send(m *raftpb.Message) {
	p := s.peers[s.voterName(m.To)]
	if p == nil {
		return
	}
	b, err := transport.EncodeMessage(m)
	if err != nil {
		return
	}
	p.lastDestinationID.Store(m.To)
	select {
	case p.queue <- b:
		s.messagesSent.Add(1)
	default: // it is behind: raft sends again what matters
	}
}

// sendLoop brings messages to one voter, in order; what waits goes together. One call for each made them wait for each other's way
// there and back, and confirmations of the lead came later than leases bear.
func (s *Server) sendLoop(p *peer) {
	var list [][]byte
	for {
		select {
		case <-s.quit:
			return
		case b := <-p.queue:
			list, size := append(list[:0], b), len(b)
			for more := true; more && size < maxSendBytes; {
				select {
				case b := <-p.queue:
					list, size = append(list, b), size+len(b)
				default:
					more = false
				}
			}
			ctx, end := context.WithTimeout(context.Background(), sendTimeout)
			err := p.SendRaft(ctx, s.groupID.Load(), list)
			end()
			if err != nil {
				id := p.lastDestinationID.Load()
				s.enqueue(func() {
					if s.replica != nil {
						s.replica.ReportUnreachable(id)
					}
				})
			}
		}
	}
}

// helloLoop tells one voter who this one is, and hears who that one is.
func (s *Server) helloLoop(p *peer) {
	for wait := time.Duration(0); ; wait = helloInterval {
		select {
		case <-s.quit:
			return
		case <-time.After(wait):
		}
		own := make(chan membership.Hello, 1)
		if !s.enqueue(func() { own <- s.membership.Self() }) {
			continue
		}
		var h membership.Hello
		select {
		case h = <-own:
		case <-s.quit:
			return
		}
		ctx, end := context.WithTimeout(context.Background(), sendTimeout)
		it, err := p.Hello(ctx, h)
		end()
		if err == nil {
			s.enqueue(func() { s.membership.HandleHello(Now(), it) })
		}
	}
}

// enqueue hands something to the owner of the voter; false: it is too far behind.
func (s *Server) enqueue(f func()) bool {
	select {
	case s.events <- f:
		return true
	default:
		return false
	}
}

// ErrBusy says that this voter is behind, or ends.
var ErrBusy = errors.New("this voter is busy")

// in has something done by the owner of the voter, and waits for its reply.
func call[A any](ctx context.Context, s *Server, list chan func(), do func(reply func(A))) (a A, err error) {
	c := make(chan A, 1)
	select {
	case list <- func() {
		if ctx.Err() != nil {
			return // nobody waits for it any more: it would only keep others waiting
		}
		do(func(a A) {
			select {
			case c <- a:
			default:
			}
		})
	}:
	default:
		return a, ErrBusy
	}
	select {
	case a = <-c:
		return a, nil
	case <-ctx.Done():
		return a, ctx.Err()
	case <-s.quit:
		return a, ErrBusy
	}
}

func (s *Server) handleRaft(group uint64, m raftpb.Message) {
	s.enqueue(func() {
		if s.replica != nil && s.fault == "" && group == s.store.GroupID && m.To == s.store.VoterID {
			s.replica.HandleMessage(Now(), m)
		}
	})
}

func (s *Server) handleHello(ctx context.Context, h membership.Hello) (membership.Hello, error) {
	return call(ctx, s, s.events, func(reply func(membership.Hello)) {
		s.membership.HandleHello(Now(), h)
		reply(s.membership.Self())
	})
}

func (s *Server) handleRequest(ctx context.Context, q replica.Request) (transport.Response, error) {
	return call(ctx, s, s.requests, func(reply func(transport.Response)) {
		if s.replica == nil || s.fault != "" {
			reply(transport.Response{Response: replica.Response{SentAt: q.SentAt}})
			return
		}
		s.replica.HandleRequest(Now(), q, func(a replica.Response) { reply(transport.Response{Response: a, LeaderName: s.voterName(a.LeaderID)}) })
	})
}

func (s *Server) handleCommand(ctx context.Context, c lease.Command) (transport.CommandResult, error) {
	return call(ctx, s, s.commands, func(reply func(transport.CommandResult)) {
		if s.replica == nil || s.fault != "" || !s.replica.IsLeader() {
			d := transport.CommandResult{Reason: "this voter does not lead"}
			if s.replica != nil {
				d.LeaderName = s.voterName(s.replica.LeaderID())
			}
			reply(d)
			return
		}
		s.replica.Submit(Now(), c, func(r lease.Result) {
			reply(transport.CommandResult{OK: r.OK, OutcomeKnown: r.Index > 0, Reason: r.Reason, Role: r.Role, LeaderName: s.options.Name})
		})
	})
}

// Status gives this voter's view, confirmed by a quorum where it leads.
func (s *Server) Status(ctx context.Context) (transport.Status, error) {
	return call(ctx, s, s.requests, func(reply func(transport.Status)) {
		v := transport.Status{Name: s.options.Name, VoterID: s.store.VoterID, GroupID: s.store.GroupID, DiskFault: s.store.Fault(), SyncCount: s.store.SyncCount(), MessagesSent: s.messagesSent.Load()}
		if s.fault != "" {
			v.DiskFault = s.fault
		}
		if s.replica == nil {
			reply(v)
			return
		}
		s.replica.ConfirmLeadership(func(ok bool) {
			v.IsLeader, v.Confirmed, v.Leader, v.Term, v.AppliedIndex = s.replica.IsLeader(), ok, s.voterName(s.replica.LeaderID()), s.replica.Term(), s.replica.AppliedIndex()
			s.fillStatus(&v)
			reply(v)
		})
	})
}

func (s *Server) fillStatus(v *transport.Status) {
	now, st := Now(), s.replica.State
	v.NextToken = st.NextToken
	conf := s.replica.ConfState()
	add := func(id uint64, learner, leaving bool) {
		o := transport.VoterStatus{Name: s.voterName(id), ID: id, Learner: learner, Leaving: leaving, SinceContactMs: s.membership.SinceContact(now, id)}
		if v.IsLeader {
			o.MatchIndex = s.replica.MatchIndex(id)
		}
		v.Voters = append(v.Voters, o)
	}
	for _, id := range conf.Voters {
		add(id, false, false)
	}
	for _, id := range conf.Learners {
		add(id, true, false)
	}
	// While one is replaced by another, a majority of those before counts as well. Whoever took a third one down because the new
	// one is said to vote would stop the group for good.
	for _, id := range conf.VotersOutgoing {
		if !slices.Contains(conf.Voters, id) {
			add(id, false, true)
		}
	}
	sort.Slice(v.Voters, func(i, j int) bool { return v.Voters[i].Name < v.Voters[j].Name })
	leases := s.replica.Lessor.Expiries()
	for _, n := range st.RoleNames() {
		l := transport.RoleStatus{Role: *st.Roles[n]}
		if until, known := leases[n]; known && v.Confirmed {
			l.LeaseLeftMs = max(until-now, 0)
		}
		v.Roles = append(v.Roles, l)
	}
	v.History = slices.Clone(st.History)
	if v.Confirmed {
		v.RequestAgesMs = s.replica.Lessor.RequestAges(now)
	}
}

// Close ends it; its disk is left as it is.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.quit)
		s.stopServing()
		for _, p := range s.peers {
			p.Close()
		}
		select {
		case <-s.done:
			s.store.Close()
		case <-time.After(2 * time.Second): // it stands still with its disk
		}
	})
}
