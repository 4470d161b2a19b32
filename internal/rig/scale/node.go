package scale

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/distribution"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/membership"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/submit"
	"kestrelspread/internal/node/wireproto"
)

// node is a hollow node: the cores of a node, wired as package agent wires them, without its shells.
type node struct {
	fleet     *Fleet
	place     place
	self      *nodepb.Member
	random    *rand.Rand
	sender    *wireproto.Sender
	meter     *meter
	running   bool
	startedAt time.Duration
	armedAt   time.Duration // when the next turn of the timer is planned; never: none is

	membership   *membership.Membership
	store        *chain.Store // nil on nodes without a disk
	submit       *submit.Client
	state        *config.State
	distribution *distribution.Distribution
	registry     *registry.Registry
	rollout      *rollout.Rollout
	index        *kvindex.Guarded
	subscriber   *kvindex.Subscriber
	home         *kvindex.Home
	router       *routing.Guarded

	compiled *config.Compiled
	targets  map[string]rollout.Target
	requests map[uint64]func(now core.Time, reply core.Reply)
	callers  map[uint64]func(core.RegistryAnswer)
	last     uint64 // request
	seen     seenRevisions
	lookups  lookupCounts
	asked    map[lookupKey]core.Time // answers of homes, where the index is asked
	chatter  time.Duration           // for tests: a message to all others each so often; 0: none
}

// seenRevisions is what the node has passed on between its planes.
type seenRevisions struct {
	members uint64
	view    uint64 // epoch
	holder  bool   // of the duty to bring new weights
	index   bool   // the sources of the index are to be found anew
}

const never = time.Duration(core.Never)

// indexRecords bounds the index of kept prompts, as in package agent.
const indexRecords = 40_000

// confirmationAge is that of package agent where revoked keys must be refused everywhere in time.
const confirmationAge = 300 * time.Millisecond

// The bounds of the duty, as the deployments have them.
const (
	lease         = 3 * time.Second
	thaw          = 300 * time.Millisecond
	versionWithin = 12 * time.Second
)

// start begins the node's life.
func (n *node) start() {
	f := n.fleet
	n.running = true
	n.startedAt = f.clock.now
	n.armedAt = never
	n.sender, _ = wireproto.NewSender(n.self.NodeId, n.self.Address)
	now := core.Time(0)
	n.membership = membership.New(now, membership.Options{Self: n.self, Seeds: f.seeds}, n.random)
	n.submit = submit.New(submit.Options{Random: n.random})
	n.state = config.NewState(schema.NewChecker())
	n.distribution = distribution.New(now, distribution.Options{
		SelfID: n.self.NodeId, SelfAddress: n.self.Address, Zone: n.self.Zone, SelfDiskID: n.self.DiskId,
		Counts: n.self.CountsForQuorum, State: n.state, Seeds: f.seeds, ConfirmationAge: confirmationAge,
	}, n.random)
	n.registry = registry.New(now, registry.Options{
		SelfID: n.self.NodeId, SelfAddress: n.self.Address, ControlAddress: n.self.ControlAddress, Zone: n.self.Zone, Heartbeat: Heartbeat,
	}, n.random)
	n.rollout = rollout.New(rollout.Options{Lease: lease, Thaw: thaw, Version: versionWithin})
	n.index = kvindex.NewGuarded(kvindex.NewIndex(indexRecords))
	n.subscriber = kvindex.NewSubscriber(n.index)
	n.home = kvindex.NewHome(kvindex.HomeOptions{Epoch: uint64(f.clock.now/time.Millisecond) + 1, BytesPerSecond: f.indexBytes()})
	n.router = routing.NewGuarded(routing.New(now, routing.Options{
		Zone: n.self.Zone, RetryBudgetRatio: retryRatio, BudgetWindow: retryWindow, RetryBudgetSlack: retrySlack,
		VersionGrace: versionWithin, Index: n.index, Random: n.random,
	}), nil)
	n.startStore(now)
	n.startChatter()
	n.turn(&n.meter.ticks, func(core.Time) {})
}

// indexBytes bounds what a home tells of each service and zone: all where it tells nobody but itself; 0: as the nodes have it.
func (f *Fleet) indexBytes() int {
	if f.askedIndex {
		return 1 << 20
	}
	return 0
}

func (n *node) startStore(now core.Time) {
	if !n.self.CountsForQuorum {
		return
	}
	store, outputs, err := chain.New(now, chain.Options{
		Self:     &nodepb.Voter{DiskId: n.self.DiskId, Address: n.self.Address, NodeId: n.self.NodeId},
		Founders: n.fleet.seeds, Founding: true, Tolerance: n.fleet.tolerance(), Machine: config.NewState(schema.NewChecker()),
	}, nil, n.random)
	if err != nil {
		panic(err) // an empty journal is one that can be taken up
	}
	n.store = store
	n.carryOut(now, outputs)
}

// now is the node's steady time.
func (n *node) now() core.Time { return n.fleet.clock.now - n.startedAt }

// turn takes an input, lets the timers that are due act, and charges the processor time to an account.
func (n *node) turn(account *time.Duration, step func(now core.Time)) {
	began := threadTime()
	now := n.now()
	step(now)
	n.tick(now)
	n.exchange(now)
	n.meter.turns++
	*account += threadTime() - began
	n.arm()
}

// machine is what the timer needs of each state machine.
type machine interface {
	Tick(now core.Time) []core.Output
	Deadline() core.Time
}

func (n *node) tick(now core.Time) {
	for _, m := range [...]machine{n.membership, n.distribution, n.registry, n.submit, n.home} {
		if m.Deadline() <= now {
			n.carryOut(now, m.Tick(now))
		}
	}
	if n.store != nil && n.store.Deadline() <= now {
		n.carryOut(now, n.store.Tick(now))
	}
	n.stepRollout(now, false)
}

func (n *node) deadline() core.Time {
	next := min(n.membership.Deadline(), n.distribution.Deadline(), n.registry.Deadline(), n.submit.Deadline(), n.home.Deadline())
	if n.store != nil {
		next = min(next, n.store.Deadline())
		if n.seen.holder {
			next = min(next, n.rollout.Deadline())
		}
	}
	return next
}

// timerStep is the least time between two turns of the timer.
const timerStep = 50 * time.Microsecond

// arm plans the next turn of the timer. Those that were planned for later are left to find nothing due.
func (n *node) arm() {
	deadline := n.deadline()
	if deadline == core.Never {
		return
	}
	at := max(n.startedAt+deadline, n.fleet.clock.now+timerStep)
	if n.armedAt <= at {
		return
	}
	n.armedAt = at
	n.fleet.clock.at(at, func() { n.fire(at) })
}

func (n *node) fire(at time.Duration) {
	if !n.running || n.armedAt != at {
		return
	}
	n.armedAt = never
	if n.deadline() > n.now() {
		n.arm()
		return
	}
	n.turn(&n.meter.ticks, func(core.Time) {})
}

// kill ends the node without a word.
func (n *node) kill() { n.running = false }
