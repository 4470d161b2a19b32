// Package agent is one node of the fleet as a process: it runs the state machines of the control side
// (package control), of the prompt index and of the load hints on one control loop, does their I/O
// (network, journal, HTTP servers, orders to brokers), and publishes immutable snapshots to the data
// plane (packages routing and forward).
//
// It contains no protocol and no decision about requests. Invariants: every state machine is called by
// the control loop's goroutine only, through post; the data plane never waits for the loop; a disk
// that hangs or fails delays neither the loop nor requests.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/control"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/loadhint"
	"kestrelspread/internal/node/netmap"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout/orders"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/settings"
	"kestrelspread/internal/node/wireproto/link"
)

// Sizes and times that the operator does not set.
const (
	// inboxCapacity is how many steps may wait for the control loop before post blocks.
	inboxCapacity = 4096
	// maxStepsPerTick bounds the steps executed between two ticks of the state machines.
	maxStepsPerTick = 256
	// gcPercent trades memory for fewer collections; the memory limit still bounds the heap.
	gcPercent = 200
	// settingsCheckInterval is the interval at which the settings file is checked for changes.
	settingsCheckInterval = 2 * time.Second
)

// Agent is one node.
type Agent struct {
	log       *slog.Logger
	settings  *settings.Settings
	options   Options
	startedAt time.Time // core.Time counts from here
	self      *nodepb.Member

	inbox    chan func(now core.Time)
	requests *pendingRequests

	network *link.Network
	control *control.Node
	// journal and writer are set on core machines once their disk has taken a write, else nil.
	journal *journal.Journal
	writer  *journal.Writer
	orders  *orders.Sender
	prompts promptIndex
	hints   *loadhint.Disseminator
	router  *routing.LockedRouter
	proxy   *forward.Proxy
	startup *forward.Startup

	compiled    atomic.Pointer[config.Compiled]
	confirmedAt atomic.Int64 // core.Time of the confirmation of the published state; 0: never
	// coreUnable: the core is reached but can't confirm the published state, which is not served then.
	coreUnable atomic.Bool
	stopping   atomic.Bool
	// isolation holds acknowledgements back until no proxy can share a newly isolated tenant's cached prefixes any longer.
	isolation  isolation
	proxyCount atomic.Int64 // nodes that serve clients, at least 1

	progress     nodeProgress
	savedBrokers savedBrokers
}

// nodeProgress is what the loop has observed of this node's start and of its configuration lease.
type nodeProgress struct {
	// startupOver: this node knows all it lacked at its start, or no longer waits for it.
	startupOver bool
	// leaseExpired: the configuration was confirmed too long ago for API keys to be trusted
	// (globalRevocation).
	leaseExpired bool
}

// Options are what the command line sets. The zero value is the ordinary node.
type Options struct {
	// Disabled are the mechanisms of the decisions that are switched off.
	Disabled mechanism.Set
	// NetworkMap rewrites the addresses of nodes and brokers that are connected to.
	NetworkMap netmap.Map
}

// Run runs a node with the settings file at path until SIGTERM, SIGINT or the end of ctx. It logs to
// logTo. An error says that the node didn't start.
func Run(ctx context.Context, path string, options Options, logTo io.Writer) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(logTo, &slog.HandlerOptions{Level: slog.LevelInfo}))
	limitRuntime(loaded)
	if options.Disabled != 0 {
		log.Warn("agent: mechanisms are switched off", "names", options.Disabled.Names())
	}
	return New(loaded, options, log).serve(ctx, path)
}

// limitRuntime sets the Go runtime's limits to those of the machine that the settings describe. Half of
// the memory limit is left for what the runtime doesn't count.
func limitRuntime(loaded *settings.Settings) {
	if cores := int(loaded.Limits.CPUShare * loaded.Limits.Cores); cores >= 1 {
		runtime.GOMAXPROCS(cores)
	} else {
		runtime.GOMAXPROCS(1)
	}
	debug.SetGCPercent(gcPercent)
	if loaded.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(loaded.Limits.MemoryMB) << 20 / 2)
	}
}

// randomBytes returns n bytes of the system's randomness.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	if _, err := rand.Read(b); err != nil {
		panic(err) // the system's source of randomness does not fail on Linux
	}
	return b
}

// newRandom returns a new random source, for one goroutine.
func newRandom() *mathrand.Rand {
	seed := randomBytes(16)
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed), binary.LittleEndian.Uint64(seed[8:])))
}

// New builds a node. It serves nothing yet, but on a core machine already opens the disk.
func New(loaded *settings.Settings, options Options, log *slog.Logger) *Agent {
	incarnationID := hex.EncodeToString(randomBytes(6))
	a := &Agent{
		log:       log.With("node", loaded.NodeName),
		settings:  loaded,
		options:   options,
		startedAt: time.Now(),
		inbox:     make(chan func(core.Time), inboxCapacity),
		requests:  newPendingRequests(),
		isolation: newIsolation(),
	}
	a.self = &nodepb.Member{
		NodeId:          loaded.NodeName + "/" + incarnationID,
		Name:            loaded.NodeName,
		Address:         loaded.InternalAddress(),
		ControlAddress:  loaded.Listen.Control,
		Zone:            loaded.Zone,
		Region:          loaded.Region,
		CountsForQuorum: loaded.CountsForQuorum,
		ServesFront:     loaded.Listen.Front != "",
		Incarnation:     1,
	}
	a.buildPlanes()
	a.openStore()
	return a
}

// now returns the steady time since the process started.
func (a *Agent) now() core.Time { return time.Since(a.startedAt) }

// bounds returns the time limits of the rules for the control side.
func (a *Agent) bounds() control.Bounds {
	bounds := a.settings.Bounds
	return control.Bounds{
		Contact: bounds.Contact(), Ack: bounds.Ack(),
		GlobalRevocation: bounds.GlobalRevocation, Revoke: bounds.Revoke(),
		Lease: bounds.Lease(), Thaw: bounds.Thaw(), Version: bounds.Version(),
	}
}

// buildPlanes builds the state machines and the data plane that every node has.
func (a *Agent) buildPlanes() {
	now := a.now()
	a.control = control.New(now, control.Options{
		Self:                  a.self,
		Seeds:                 a.settings.SeedInternalAddresses(),
		Bootstrap:             a.settings.Bootstrap,
		FaultTolerance:        a.settings.FaultTolerance.Machines,
		MaxConfigurationBytes: a.maxConfigurationBytes(),
		HeartbeatInterval:     a.settings.Heartbeat(),
		PersistsLeaving:       a.settings.DataDir != "",
		Bounds:                a.bounds(),
	}, newRandom())
	a.buildOrderSender()
	a.openSavedBrokers()
	a.buildIndex()
	a.buildLoadHints()
	a.buildDataPlane(now)
}
