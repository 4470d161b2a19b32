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
	Name   string
	Listen string
	Folder string
	FS     vfs.FS // nil: the system's
	Voters []Address
	Rules  lease.Rules
	Times  consensus.Rules
	Roster membership.Rules // zero: the usual
	Tick   time.Duration
	Log    zerolog.Logger
}

const (
	batchMost = 256
	dosMost   = 32
	waitMost  = 256  // commands that wait; past it they are refused at once
	queueMost = 4096 // events that wait; past it what comes is dropped, or refused where somebody waits for an answer
	sendMost  = 512  // messages to one voter that wait
	sendWait  = time.Second
	sendBytes = 1 << 20 // that go together, but for one message
	helloWait = time.Second
)

// Seat is a voter that runs.
type Seat struct {
	opt    Options
	k      *storage.Keep
	v      *replica.Voter // nil until its disk belongs to a group
	r      *membership.Roster
	peers  map[string]*peer
	events chan func() // what voters say, and what this one has to do
	asks   chan func()
	dos    chan func()
	quit   chan struct{}
	ended  chan struct{}
	stop   func()
	addr   string
	sent   atomic.Int64
	group  atomic.Uint64
	failed string // why it takes no more part
	was    string // who led when it was last said
	noted  uint64 // index of the latest event that was logged
	once   sync.Once
}

type peer struct {
	*transport.Peer
	name  string
	queue chan []byte
	to    atomic.Uint64 // the number that its latest message was for
}

// Now is a steady clock that a suspended machine does not stop, in ms: one that did would let a lease outlive its time.
func Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return float64(time.Since(start).Microseconds()) / 1000
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

var start = time.Now()

// draw gives a number that was never given out, but for chance of one in 2^64.
func draw() uint64 {
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
func Start(o Options) (*Seat, error) {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.Tick <= 0 {
		o.Tick = 100 * time.Millisecond
	}
	if o.Times == (consensus.Rules{}) {
		o.Times = consensus.Usual
	}
	k, err := storage.Open(o.FS, o.Folder, draw)
	if err != nil {
		return nil, err
	}
	s := &Seat{opt: o, k: k, peers: map[string]*peer{}, events: make(chan func(), queueMost),
		asks: make(chan func(), queueMost), dos: make(chan func(), waitMost), quit: make(chan struct{}), ended: make(chan struct{})}
	var names []string
	for _, a := range o.Voters {
		names = append(names, a.Name)
	}
	if o.Roster == (membership.Rules{}) {
		o.Roster = membership.Usual
	}
	s.r = membership.New(o.Roster, membership.Hello{Name: o.Name, ID: k.ID, Group: k.Group, Voters: k.Voters}, names, Now())
	if k.Group != 0 {
		if err := s.sit(); err != nil {
			k.Close()
			return nil, err
		}
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		k.Close()
		return nil, err
	}
	s.addr = l.Addr().String()
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
		p := &peer{Peer: m, name: a.Name, queue: make(chan []byte, sendMost)}
		s.peers[a.Name] = p
		go s.carry(p)
		go s.greet(p)
	}
	s.stop = transport.Serve(l, transport.Handlers{Raft: s.raft, Hello: s.hello, Ask: s.ask, Do: s.do, Look: s.Look})
	go s.run()
	return s, nil
}

// sit takes the voter's place, with the disk as it is.
func (s *Seat) sit() error {
	var err error
	s.group.Store(s.k.Group)
	s.v, err = replica.New(s.k.Disk, s.opt.Rules, s.opt.Times, draw())
	return err
}

// Addr is where it listens.
func (s *Seat) Addr() string { return s.addr }

// run owns the voter.
func (s *Seat) run() {
	defer close(s.ended)
	tick := time.NewTicker(s.opt.Tick)
	defer tick.Stop()
	for {
		select {
		case <-s.quit:
			return
		case f := <-s.events:
			f()
		case f := <-s.asks:
			f()
		case f := <-s.dos:
			f()
		case <-tick.C:
			s.beat()
		}
		drain(s.events, batchMost)
		drain(s.asks, batchMost)
		drain(s.dos, dosMost)
		s.flush()
	}
}

// drain does what else has come meanwhile, up to a bound: what comes together is made durable together. What voters say goes
// first, then questions, which keep leases, then commands, few at a time: behind those renewals came too late, were asked for
// again, and waited behind what nobody waited for any more.
func drain(list chan func(), most int) {
	for range most {
		select {
		case f := <-list:
			f()
		default:
			return
		}
	}
}

func (s *Seat) beat() {
	if s.failed != "" {
		return
	}
	now := Now()
	view := membership.View{}
	if s.v != nil {
		s.v.Beat(now)
		view = membership.View{Leading: s.v.Leading() && s.v.Grantor.Leading(), Voters: s.v.Conf().Voters, Learners: s.v.Conf().Learners,
			Names: s.v.State.Voters, Caught: s.v.Caught}
		if len(s.v.Conf().VotersOutgoing) > 0 { // a change is on its way
			view.Leading = false
		}
	}
	if step, due := s.r.Turn(now, view); due {
		if err := s.take(step); err != nil {
			s.opt.Log.Warn().Err(err).Msg("owner: a step of the voters' roster failed")
		}
	}
	s.say()
}

// take carries out a step of the roster.
func (s *Seat) take(step membership.Step) error {
	switch step.Kind {
	case membership.Found, membership.Adopt:
		if step.Kind == membership.Found {
			step.Group = draw()
		}
		d := consensus.Disk{ID: s.k.ID}
		if step.Voters != nil {
			st := lease.NewState()
			st.Voters = maps.Clone(step.Voters)
			ids := slices.Sorted(maps.Keys(step.Voters))
			d = consensus.Found(ids...)[slices.Index(ids, s.k.ID)]
			d.Snapshot.Data = st.Snapshot()
		}
		if err := s.k.Join(step.Group, step.Voters, d); err != nil {
			return err
		}
		s.r.Joined(step.Group, step.Voters)
		s.opt.Log.Info().Str("group", fmt.Sprintf("%x", step.Group)).Bool("votes", step.Voters != nil).Msg("owner: this voter's disk belongs to a group")
		return s.sit()
	case membership.Name:
		s.v.Do(Now(), lease.Command{Kind: lease.Seat, Token: step.ID, To: step.Who}, func(lease.Result) {})
	case membership.Learn:
		s.opt.Log.Info().Str("voter", step.Who).Str("number", fmt.Sprintf("%x", step.ID)).Msg("owner: it learns before it votes")
		return s.v.Change(raftpb.ConfChangeAddLearnerNode, step.ID)
	case membership.Promote:
		s.opt.Log.Info().Str("voter", step.Who).Str("number", fmt.Sprintf("%x", step.ID)).Str("gone", fmt.Sprintf("%x", step.Gone)).Msg("owner: it votes from now on")
		if step.Gone != 0 {
			return s.v.Replace(step.ID, step.Gone)
		}
		return s.v.Change(raftpb.ConfChangeAddNode, step.ID)
	}
	return nil
}

// say logs what has changed hands, and who leads.
func (s *Seat) say() {
	if s.v == nil {
		return
	}
	if who := s.name(s.v.Leader()); who != s.was {
		s.was = who
		s.opt.Log.Info().Str("leader", who).Uint64("term", s.v.Term()).Msg("owner: who leads the voters")
	}
	for _, e := range s.v.State.History {
		if e.Index > s.noted {
			s.noted = e.Index
			s.opt.Log.Info().Str("duty", e.Duty).Str("what", e.What).Str("who", e.Who).Uint64("token", e.Token).Uint64("index", e.Index).Msg("owner: duty")
		}
	}
}

func (s *Seat) name(id uint64) string {
	if id == 0 { // nobody; the roster's numbers of voters that were never heard of are 0, too
		return ""
	}
	if id == s.k.ID {
		return s.opt.Name
	}
	if s.v != nil {
		if n := s.v.State.Voters[id]; n != "" {
			return n
		}
	}
	return s.r.Who(id)
}

// flush makes durable what is to be, and only then sends. An error of the disk ends this voter's part, not the broker: what it
// might have promised it may not be able to keep.
func (s *Seat) flush() {
	for s.v != nil && s.failed == "" && s.v.Ready() {
		e := s.v.Effects()
		if err := s.k.Save(&e); err != nil {
			s.fail(err)
			return
		}
		for i := range e.Messages {
			s.send(&e.Messages[i])
		}
		if err := s.v.Saved(); err != nil {
			s.fail(err)
			return
		}
		if snap, _, err := s.v.Cut(); err != nil {
			s.fail(err)
		} else if snap != nil {
			if err := s.k.Cut(snap); err != nil {
				s.fail(err)
			}
		}
	}
}

func (s *Seat) fail(err error) {
	s.failed = err.Error()
	s.opt.Log.Error().Err(err).Msg("owner: this voter takes no more part until a restart")
}

func (s *Seat) send(m *raftpb.Message) {
	p := s.peers[s.name(m.To)]
	if p == nil {
		return
	}
	b, err := transport.Pack(m)
	if err != nil {
		return
	}
	p.to.Store(m.To)
	select {
	case p.queue <- b:
		s.sent.Add(1)
	default: // it is behind: raft sends again what matters
	}
}

// carry brings messages to one voter, in order; what waits goes together. One call for each made them wait for each other's way
// there and back, and confirmations of the lead came later than leases bear.
func (s *Seat) carry(p *peer) {
	var list [][]byte
	for {
		select {
		case <-s.quit:
			return
		case b := <-p.queue:
			list, size := append(list[:0], b), len(b)
			for more := true; more && size < sendBytes; {
				select {
				case b := <-p.queue:
					list, size = append(list, b), size+len(b)
				default:
					more = false
				}
			}
			ctx, end := context.WithTimeout(context.Background(), sendWait)
			err := p.Raft(ctx, s.group.Load(), list)
			end()
			if err != nil {
				id := p.to.Load()
				s.post(func() {
					if s.v != nil {
						s.v.Unreachable(id)
					}
				})
			}
		}
	}
}

// greet tells one voter who this one is, and hears who that one is.
func (s *Seat) greet(p *peer) {
	for wait := time.Duration(0); ; wait = helloWait {
		select {
		case <-s.quit:
			return
		case <-time.After(wait):
		}
		own := make(chan membership.Hello, 1)
		if !s.post(func() { own <- s.r.Own() }) {
			continue
		}
		var h membership.Hello
		select {
		case h = <-own:
		case <-s.quit:
			return
		}
		ctx, end := context.WithTimeout(context.Background(), sendWait)
		it, err := p.Hello(ctx, h)
		end()
		if err == nil {
			s.post(func() { s.r.Heard(Now(), it) })
		}
	}
}

// post hands something to the owner of the voter; false: it is too far behind.
func (s *Seat) post(f func()) bool {
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
func in[A any](ctx context.Context, s *Seat, list chan func(), do func(reply func(A))) (a A, err error) {
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

func (s *Seat) raft(group uint64, m raftpb.Message) {
	s.post(func() {
		if s.v != nil && s.failed == "" && group == s.k.Group && m.To == s.k.ID {
			s.v.Hear(Now(), m)
		}
	})
}

func (s *Seat) hello(ctx context.Context, h membership.Hello) (membership.Hello, error) {
	return in(ctx, s, s.events, func(reply func(membership.Hello)) {
		s.r.Heard(Now(), h)
		reply(s.r.Own())
	})
}

func (s *Seat) ask(ctx context.Context, q replica.Question) (transport.Answer, error) {
	return in(ctx, s, s.asks, func(reply func(transport.Answer)) {
		if s.v == nil || s.failed != "" {
			reply(transport.Answer{Answer: replica.Answer{At: q.At}})
			return
		}
		s.v.Ask(Now(), q, func(a replica.Answer) { reply(transport.Answer{Answer: a, Leader: s.name(a.Leader)}) })
	})
}

func (s *Seat) do(ctx context.Context, c lease.Command) (transport.Done, error) {
	return in(ctx, s, s.dos, func(reply func(transport.Done)) {
		if s.v == nil || s.failed != "" || !s.v.Leading() {
			d := transport.Done{Why: "this voter does not lead"}
			if s.v != nil {
				d.Leader = s.name(s.v.Leader())
			}
			reply(d)
			return
		}
		s.v.Do(Now(), c, func(r lease.Result) {
			reply(transport.Done{OK: r.OK, Known: r.Index > 0, Why: r.Why, Duty: r.Duty, Leader: s.opt.Name})
		})
	})
}

// Look gives this voter's view, confirmed by a quorum where it leads.
func (s *Seat) Look(ctx context.Context) (transport.View, error) {
	return in(ctx, s, s.asks, func(reply func(transport.View)) {
		v := transport.View{Name: s.opt.Name, ID: s.k.ID, Group: s.k.Group, Disk: s.k.Trouble(), Syncs: s.k.Syncs(), Sent: s.sent.Load()}
		if s.failed != "" {
			v.Disk = s.failed
		}
		if s.v == nil {
			reply(v)
			return
		}
		s.v.Confirm(func(ok bool) {
			v.Leading, v.Confirmed, v.Leader, v.Term, v.Applied = s.v.Leading(), ok, s.name(s.v.Leader()), s.v.Term(), s.v.Applied()
			s.show(&v)
			reply(v)
		})
	})
}

func (s *Seat) show(v *transport.View) {
	now, st := Now(), s.v.State
	v.Next = st.Next
	conf := s.v.Conf()
	add := func(id uint64, learner, leaving bool) {
		o := transport.Voter{Name: s.name(id), ID: id, Learner: learner, Leaving: leaving, Heard: s.r.Silence(now, id)}
		if v.Leading {
			o.Match = s.v.Match(id)
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
	leases := s.v.Grantor.Leases()
	for _, n := range st.Names() {
		l := transport.Lease{Duty: *st.Duties[n]}
		if until, known := leases[n]; known && v.Confirmed {
			l.Left = max(until-now, 0)
		}
		v.Duties = append(v.Duties, l)
	}
	v.History = slices.Clone(st.History)
	if v.Confirmed {
		v.Instances = s.v.Grantor.Seen(now)
	}
}

// Close ends it; its disk is left as it is.
func (s *Seat) Close() {
	s.once.Do(func() {
		close(s.quit)
		s.stop()
		for _, p := range s.peers {
			p.Close()
		}
		select {
		case <-s.ended:
			s.k.Close()
		case <-time.After(2 * time.Second): // it stands still with its disk
		}
	})
}
