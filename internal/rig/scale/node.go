package scale

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/control"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/wireproto"
)

// node is a hollow node: the control side of a node and its index, without its shells.
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

	control    *control.Node
	index      *kvindex.Guarded
	subscriber *kvindex.Subscriber
	home       *kvindex.Home
	router     *routing.Guarded

	compiled *config.Compiled
	requests map[uint64]func(now core.Time, reply core.Reply)
	callers  map[uint64]func(core.RegistryAnswer)
	last     uint64 // request
	stale    bool   // the sources of the index are to be found anew
	lookups  lookupCounts
	asked    map[lookupKey]core.Time // answers of homes, where the index is asked
	chatter  time.Duration           // for tests: a message to all others each so often; 0: none
}

const never = time.Duration(core.Never)

// indexRecords bounds the index of kept prompts, as in package agent.
const indexRecords = 40_000

// The bounds of the rules, as the deployments have them.
const (
	contact       = 3 * time.Second
	revoke        = 5 * time.Second
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
	n.control = control.New(now, control.Options{
		Self: n.self, Seeds: f.seeds, Bootstrap: true, Tolerance: f.tolerance(), ConfigurationLimit: config.MaxBodyBytes, Heartbeat: Heartbeat,
		Bounds: control.Bounds{
			Contact: contact, GlobalRevocation: true, Revoke: revoke, Lease: lease, Thaw: thaw, Version: versionWithin,
		},
	}, n.random)
	n.index = kvindex.NewGuarded(kvindex.NewIndex(indexRecords))
	n.subscriber = kvindex.NewSubscriber(n.index)
	n.home = kvindex.NewHome(kvindex.HomeOptions{Epoch: uint64(f.clock.now/time.Millisecond) + 1, BytesPerSecond: f.indexBytes()})
	n.router = routing.NewGuarded(routing.New(now, routing.Options{
		Zone: n.self.Zone, RetryBudgetRatio: retryRatio, BudgetWindow: retryWindow, RetryBudgetSlack: retrySlack,
		VersionGrace: versionWithin, Index: n.index, Random: n.random,
	}), nil, nil)
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

// startStore attaches the node's disk, which is empty, if it has one.
func (n *node) startStore(now core.Time) {
	if !n.self.CountsForQuorum {
		return
	}
	outputs, err := n.control.AttachStore(now, n.self.DiskId, nil)
	if err != nil {
		panic(err) // an empty journal is one that can be taken up
	}
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
	n.refreshIndex(now)
	n.meter.turns++
	*account += threadTime() - began
	n.arm()
}

func (n *node) tick(now core.Time) {
	if n.home.Deadline() <= now {
		n.carryOut(now, n.home.Tick(now))
	}
	n.carryOut(now, n.control.Tick(now))
}

func (n *node) deadline() core.Time { return min(n.home.Deadline(), n.control.Deadline()) }

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

// role is the node's place in the chain.
func (n *node) role() chain.MemberRole {
	status, _ := n.control.StoreStatus()
	return status.Role
}

func (n *node) isHead() bool { return n.role() == chain.Head || n.role() == chain.SoleMember }
