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

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/distribution"
	"kestrelspread/internal/node/forward"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/loadhint"
	"kestrelspread/internal/node/membership"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/rollout/orders"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/settings"
	"kestrelspread/internal/node/submit"
	"kestrelspread/internal/node/wireproto/link"
)

// Sizes and times that the operator does not set.
const (
	inboxLength   = 4096
	batchLength   = 256
	gcPercent     = 200
	settingsCheck = 2 * time.Second
)

// Agent is one node.
type Agent struct {
	log      *slog.Logger
	settings *settings.Settings
	started  time.Time
	random   *mathrand.Rand
	self     *nodepb.Member

	inbox    chan func(now core.Time)
	requests *pendingRequests

	network    *link.Network
	membership *membership.Membership
	// journal, writer and store are there on machines that count for the quorum, once their disk takes writes.
	journal      *journal.Journal
	writer       *journal.Writer
	store        *chain.Store
	submit       *submit.Client
	state        *config.State // what distribution has published
	distribution *distribution.Distribution
	registry     *registry.Registry
	rollout      *rollout.Rollout
	orders       *orders.Sender
	prompts      promptIndex
	hints        *loadhint.Spreader
	router       *routing.Guarded
	proxy        *forward.Proxy
	startup      *forward.Startup

	compiled  atomic.Pointer[config.Compiled]
	confirmed atomic.Int64 // core.Time of the confirmation of the published state; 0: never
	stopping  atomic.Bool
	proxies   atomic.Int64 // nodes that serve clients, this one included

	seen        seenRevisions
	targets     map[string]rollout.Target
	brokersCopy savedBrokers
	compaction  uint64 // token of the checkpoint that is being written; 0: none
}

// seenRevisions is what the loop has passed on between the planes.
type seenRevisions struct {
	members uint64
	view    uint64 // epoch
	holder  bool   // of the duty to bring new weights
	// brokersChanged: the duty is to look at the brokers again.
	brokersChanged bool
	// startupOver: this node has learnt what it lacked when it started, or no longer waits for it.
	startupOver bool
	// leaseLost: the configuration was confirmed too long ago for keys to be trusted (globalRevocation).
	leaseLost bool
}

// Run runs a node with the settings file at path until SIGTERM, SIGINT or the end of ctx.
func Run(ctx context.Context, path string, logTo io.Writer) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(logTo, &slog.HandlerOptions{Level: slog.LevelInfo}))
	limitRuntime(loaded)
	return New(loaded, log).serve(ctx, path)
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
func New(loaded *settings.Settings, log *slog.Logger) *Agent {
	life := hex.EncodeToString(randomBytes(6))
	a := &Agent{
		log:      log.With("node", loaded.NodeName),
		settings: loaded,
		started:  time.Now(),
		random:   newRandom(),
		inbox:    make(chan func(core.Time), inboxLength),
		requests: newPendingRequests(),
		targets:  map[string]rollout.Target{},
	}
	a.self = &nodepb.Member{
		NodeId:          loaded.NodeName + "/" + life,
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
func (a *Agent) now() core.Time { return time.Since(a.started) }

// confirmationAge: only where revoked keys must be refused everywhere in time does service hang on fresh confirmations.
func confirmationAge(bounds settings.Bounds) time.Duration {
	if bounds.GlobalRevocation {
		return distribution.ConfirmationForRevocation
	}
	return distribution.ConfirmationForChanges
}

// buildPlanes makes the state machines that every node has.
func (a *Agent) buildPlanes() {
	now := a.now()
	seeds := a.settings.SeedInternalAddresses()
	a.membership = membership.New(now, membership.Options{Self: a.self, Seeds: seeds}, a.random)
	a.submit = submit.New(submit.Options{Random: newRandom()})
	a.state = config.NewState(schema.NewChecker())
	a.distribution = distribution.New(now, distribution.Options{
		SelfID: a.self.NodeId, SelfAddress: a.self.Address, Zone: a.self.Zone,
		Counts: a.self.CountsForQuorum, State: a.state, Seeds: seeds,
		ConfirmationAge: confirmationAge(a.settings.Bounds),
	}, a.random)
	a.registry = registry.New(now, registry.Options{
		SelfID: a.self.NodeId, SelfAddress: a.self.Address, ControlAddress: a.self.ControlAddress, Zone: a.self.Zone,
		Heartbeat: a.settings.Heartbeat(),
	}, a.random)
	a.buildDuty()
	a.openSavedBrokers()
	a.buildIndex()
	a.buildLoadHints()
	a.buildDataPlane(now)
}
