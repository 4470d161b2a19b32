// Package voter runs one voter of the leases: a server whose single goroutine owns the replica.
// It makes durable what the replica asks for before anything is sent. The disk may stall it: then
// the voter is silent, and the others go on without it. All that arrives waits in bounded queues.
//
// Invariants: messages leave only after what they promise is durable; after a fault of the disk
// this voter neither votes nor answers until a restart; nothing blocks the owning goroutine but
// the disk.
package voter

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/storage"
	"kestrelspread/internal/fleet/lease/transport"
)

// Address is where a voter is reached from here.
type Address struct{ Name, Addr string }

// Options configure a voter.
type Options struct {
	Name             string    // one of Voters
	Listen           string    // address
	Dir              string    // of its disk
	FS               vfs.FS    // nil: the system's
	Voters           []Address // all, in the order of the operator's file
	LeaseConfig      lease.Config
	RaftConfig       consensus.Config  // zero: consensus.DefaultConfig
	MembershipConfig membership.Config // zero: membership.DefaultConfig
	TickInterval     time.Duration     // of the raft clock; 0: 100 ms
	Log              zerolog.Logger
}

const (
	defaultTickInterval = 100 * time.Millisecond

	// Queues. Past these bounds events are dropped, and calls are rejected with ErrBusy.
	maxQueuedEvents   = 4096
	maxQueuedCommands = 256

	// What is taken from a queue before the result is made durable.
	maxBatch        = 256
	maxCommandBatch = 32

	closeTimeout = 2 * time.Second
)

// Server is a running voter.
type Server struct {
	options    Options
	store      *storage.Store
	membership *membership.Reconciler
	replica    *replica.Replica // nil until the disk belongs to a group
	peers      map[string]*peer // by name; not this voter

	events   chan func() // messages of voters, and this server's own
	requests chan func() // lease and status requests
	commands chan func()

	quit        chan struct{} // closed by Close
	done        chan struct{} // closed when the owning goroutine has ended
	stopServing func()
	closeOnce   sync.Once
	listenAddr  string

	messagesSent    atomic.Int64
	groupID         atomic.Uint64
	fault           string // why this voter has halted; "": it has not
	lastLeader      string // as it was logged
	lastLoggedIndex uint64 // of the history
}

// Start opens the disk, which is refused to a second process, listens, and runs until Close.
func Start(options Options) (*Server, error) {
	options.setDefaults()
	store, err := storage.Open(options.FS, options.Dir, randomID)
	if err != nil {
		return nil, err
	}
	s := newServer(options, store)
	if err := s.listen(); err != nil {
		store.Close()
		return nil, err
	}
	go s.run()
	return s, nil
}

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.TickInterval <= 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.RaftConfig == (consensus.Config{}) {
		o.RaftConfig = consensus.DefaultConfig
	}
	if o.MembershipConfig == (membership.Config{}) {
		o.MembershipConfig = membership.DefaultConfig
	}
}

func newServer(options Options, store *storage.Store) *Server {
	var names []string
	for _, voter := range options.Voters {
		names = append(names, voter.Name)
	}
	self := membership.Hello{Name: options.Name, VoterID: store.VoterID, GroupID: store.GroupID, Founders: store.Founders}
	return &Server{
		options:    options,
		store:      store,
		membership: membership.New(options.MembershipConfig, self, names, Now()),
		peers:      map[string]*peer{},
		events:     make(chan func(), maxQueuedEvents),
		requests:   make(chan func(), maxQueuedEvents),
		commands:   make(chan func(), maxQueuedCommands),
		quit:       make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// listen starts the replica, if the disk belongs to a group, the loops to the peers, and the
// serving of calls.
func (s *Server) listen() error {
	if s.store.GroupID != 0 {
		if err := s.startReplica(); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return fmt.Errorf("voter: listen: %w", err)
	}
	s.listenAddr = listener.Addr().String()
	if err := s.dialPeers(); err != nil {
		listener.Close()
		return err
	}
	for _, p := range s.peers {
		s.startPeer(p)
	}
	s.stopServing = transport.Serve(listener, transport.Handlers{
		Raft:          s.handleRaft,
		Hello:         s.handleHello,
		RequestLeases: s.handleRequest,
		SubmitCommand: s.handleCommand,
		Status:        s.Status,
	})
	return nil
}

// startReplica starts the replica from the disk as it is.
func (s *Server) startReplica() error {
	s.groupID.Store(s.store.GroupID)
	var err error
	s.replica, err = replica.New(s.store.Durable, s.options.LeaseConfig, s.options.RaftConfig, randomID())
	return err
}

// Addr is the address at which the voter listens.
func (s *Server) Addr() string { return s.listenAddr }

// run is the goroutine that owns the replica, the membership and the disk.
func (s *Server) run() {
	defer close(s.done)
	ticker := time.NewTicker(s.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.quit:
			return
		case handle := <-s.events:
			handle()
		case handle := <-s.requests:
			handle()
		case handle := <-s.commands:
			handle()
		case <-ticker.C:
			s.tick()
		}
		// What has arrived together is made durable together. Voters' messages go first, then
		// requests, which keep leases, then commands, few at a time: behind those, renewals came
		// too late, were sent again, and waited behind what nobody waited for any more.
		drainQueue(s.events, maxBatch)
		drainQueue(s.requests, maxBatch)
		drainQueue(s.commands, maxCommandBatch)
		s.persistAndSend()
	}
}

// drainQueue handles what waits in a queue, up to a bound.
func drainQueue(queue chan func(), maxHandled int) {
	for range maxHandled {
		select {
		case handle := <-queue:
			handle()
		default:
			return
		}
	}
}

// persistAndSend makes durable what the replica asks for, then sends, then lets it go on.
func (s *Server) persistAndSend() {
	for s.replica != nil && s.fault == "" && s.replica.HasReady() {
		if err := s.handleReady(); err != nil {
			s.halt(err)
			return
		}
		if err := s.saveSnapshot(); err != nil {
			s.halt(err)
		}
	}
}

// handleReady carries one Ready out, in the order that it demands.
func (s *Server) handleReady() error {
	ready := s.replica.Ready()
	if err := s.store.Save(&ready); err != nil {
		return err
	}
	for i := range ready.Messages {
		s.send(&ready.Messages[i])
	}
	return s.replica.Advance()
}

// saveSnapshot makes a snapshot durable where one is due.
func (s *Server) saveSnapshot() error {
	snapshot, err := s.replica.MaybeSnapshot()
	if err != nil || snapshot == nil {
		return err
	}
	return s.store.SaveSnapshot(snapshot)
}

// halt ends this voter's part, not the process: with its disk at fault it may not be able to keep
// what it would promise.
func (s *Server) halt(err error) {
	s.fault = err.Error()
	s.options.Log.Error().Err(err).Msg("owner: this voter takes no more part until a restart")
}

// Close stops the voter and leaves its disk as it is. A voter that stands still with its disk is
// left behind after a while.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.quit)
		s.stopServing()
		s.closePeers()
		select {
		case <-s.done:
			s.store.Close()
		case <-time.After(closeTimeout):
		}
	})
}
