// Package agent is one node of the fleet: it wires the planes together and runs their state machines on one control
// loop. The data plane reads immutable pictures that the loop publishes.
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
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout/orders"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/settings"
	"kestrelspread/internal/node/wireproto/link"
)

// Sizes and times that the operator does not set.
const (
	inboxCapacity         = 4096
	maxStepsPerTick       = 256
	gcPercent             = 200
	settingsCheckInterval = 2 * time.Second
)

// Agent is one node.
type Agent struct {
	log                *slog.Logger
	settings           *settings.Settings
	disabledMechanisms routing.Mechanism // switched off
	startedAt          time.Time
	self               *nodepb.Member

	inbox    chan func(now core.Time)
	requests *pendingRequests

	network *link.Network
	control *control.Node
	// journal and writer are there on machines that count for the quorum, once their disk takes writes.
	journal *journal.Journal
	writer  *journal.Writer
	orders  *orders.Sender
	prompts promptIndex
	hints   *loadhint.Spreader
	router  *routing.Guarded
	proxy   *forward.Proxy
	startup *forward.Startup

	compiled    atomic.Pointer[config.Compiled]
	confirmedAt atomic.Int64 // core.Time of the confirmation of the published state; 0: never
	stopping    atomic.Bool
	proxyCount  atomic.Int64 // nodes that serve clients, this one included

	progress     nodeProgress
	savedBrokers savedBrokers
}

// nodeProgress is what the loop has noted of this node's course.
type nodeProgress struct {
	// startupOver: this node has learnt what it lacked when it started, or no longer waits for it.
	startupOver bool
	// leaseExpired: the configuration was confirmed too long ago for keys to be trusted (globalRevocation).
	leaseExpired bool
}

// Run runs a node with the settings file at path until SIGTERM, SIGINT or the end of ctx, without the mechanisms that are disabled.
func Run(ctx context.Context, path string, disabled routing.Mechanism, logTo io.Writer) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(logTo, &slog.HandlerOptions{Level: slog.LevelInfo}))
	limitRuntime(loaded)
	if disabled != 0 {
		log.Warn("mechanisms are switched off", "names", disabled.Names())
	}
	return New(loaded, disabled, log).serve(ctx, path)
}

// limitRuntime fits the runtime to the machine that the settings describe.
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

func randomBytes(n int) []byte {
	b := make([]byte, n)
	if _, err := rand.Read(b); err != nil {
		panic(err) // the system's source of randomness does not fail on Linux
	}
	return b
}

// newRandom gives a source of chance of its own, for one goroutine.
func newRandom() *mathrand.Rand {
	seed := randomBytes(16)
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed), binary.LittleEndian.Uint64(seed[8:])))
}

// New builds a node; nothing is served yet.
func New(loaded *settings.Settings, disabled routing.Mechanism, log *slog.Logger) *Agent {
	incarnationID := hex.EncodeToString(randomBytes(6))
	a := &Agent{
		log:                log.With("node", loaded.NodeName),
		settings:           loaded,
		disabledMechanisms: disabled,
		startedAt:          time.Now(),
		inbox:              make(chan func(core.Time), inboxCapacity),
		requests:           newPendingRequests(),
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

// now is the steady time since the process started.
func (a *Agent) now() core.Time { return time.Since(a.startedAt) }

// bounds are the figures of the rules for the control side.
func (a *Agent) bounds() control.Bounds {
	bounds := a.settings.Bounds
	return control.Bounds{
		Contact:          bounds.Contact(),
		GlobalRevocation: bounds.GlobalRevocation, Revoke: bounds.Revoke(),
		Lease: bounds.Lease(), Thaw: bounds.Thaw(), Version: bounds.Version(),
	}
}

// buildPlanes makes the state machines that every node has.
func (a *Agent) buildPlanes() {
	now := a.now()
	a.control = control.New(now, control.Options{
		Self:                  a.self,
		Seeds:                 a.settings.SeedInternalAddresses(),
		Bootstrap:             a.settings.Bootstrap,
		FaultTolerance:        a.settings.FaultTolerance.Machines,
		MaxConfigurationBytes: a.maxConfigurationBytes(),
		HeartbeatInterval:     a.settings.Heartbeat(),
		Bounds:                a.bounds(),
	}, newRandom())
	a.buildOrderSender()
	a.openSavedBrokers()
	a.buildIndex()
	a.buildLoadHints()
	a.buildDataPlane(now)
}
