// Package control is the control side of one node. It wires the planes (membership, the replicated
// control state, its distribution, the registry of brokers, and the rollout of new weights) together
// as one state machine. The program runs it on a loop (package agent); the fault runs play many of
// them under a virtual clock (package faultrun).
//
// Inputs are messages from other nodes, calls of this node's own API, completed writes, answers of
// brokers, and the time. What the planes ask of one another is executed within the package; what is
// returned is for the shell: messages, writes, answers, orders, and changes of the state and of the
// brokers for the data plane.
//
// The package does no I/O, starts no goroutine and reads no clock. It keeps no replicated state of its
// own and takes no decision of a plane: agreement is in view and chain, the registry's rules in
// registry. Invariants: outputs leave in the order in which the planes produced them; a plane sees
// view epochs only rise; at most one checkpoint is being written.
package control

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/distribution"
	"kestrelspread/internal/node/membership"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/submit"
	"kestrelspread/internal/node/transfer"
)

// Options of a Node.
type Options struct {
	// Self describes this node to the others. The Node owns and changes it.
	Self *nodepb.Member
	// Seeds are the internal addresses of the nodes that are contacted first.
	Seeds []string
	// Bootstrap is true at the first start of the whole system only.
	Bootstrap bool
	// FaultTolerance is how many core machines may be lost at one time (faultTolerance.machines).
	FaultTolerance int
	// MaxConfigurationBytes bounds the size of a configuration that machines like this one hold.
	MaxConfigurationBytes int
	// Checker validates the items of configurations at the head of the chain; nil stands for the
	// schema of package schema.
	Checker config.Checker
	// HeartbeatInterval is the interval of brokers' heartbeats.
	HeartbeatInterval time.Duration
	// PersistsLeaving: this node has a disk, and its shell carries out core.SaveLeaving.
	PersistsLeaving bool
	// Bounds are the time limits of the rules.
	Bounds Bounds
}

// Bounds are the time limits of the rules that the control side keeps. Source: DEPLOY.md, "Settings of
// a process".
type Bounds struct {
	// Contact is how long a machine must have been free of faults to count as in touch.
	Contact time.Duration
	// Ack is how long the acknowledgement of an operator's change may take.
	Ack time.Duration
	// GlobalRevocation: a revoked key is refused within Revoke also on machines that are partitioned.
	GlobalRevocation bool
	// Revoke is the time from the acknowledged revocation of a key until it is refused everywhere.
	Revoke time.Duration
	// Lease is the time within which the singleton role must not change its holder.
	Lease time.Duration
	// Thaw is the time after a frozen process or a partition ends within which an order doesn't count.
	Thaw time.Duration
	// Version is the time from the acknowledgement of a version until no request starts on older
	// weights.
	Version time.Duration
}

// Node is the control side of one node. Its methods must be called by one goroutine.
type Node struct {
	options Options
	random  *rand.Rand
	self    *nodepb.Member
	outbox  core.Outbox

	membership   *membership.Membership
	store        *chain.Replica // nil until the disk is attached, and on nodes outside the core
	submit       *submit.Client
	state        *config.State // the newest state that distribution has delivered
	compiled     *config.Compiled
	distribution *distribution.Distribution
	registry     *registry.Registry
	rollout      *rollout.Rollout
	transfers    *transfer.Transfers

	propagated       propagatedState
	confirmedAt      core.Time // of the state held here; 0: never
	coreContact      coreContact
	targetVersions   map[string]rollout.Target
	leaseCommands    map[uint64]bool // pending requests of the rollout's own lease commands
	lastLeaseRequest uint64          // number of the last of them, without the flag
	checkpointToken  uint64          // token of the checkpoint that is being written; 0: none
	// coreAddresses are the internal addresses of the members that count, for which this node relays messages.
	coreAddresses map[string]bool
}

// propagatedState records what has been propagated between the planes.
type propagatedState struct {
	membersRevision uint64
	viewEpoch       uint64
	isLeaseHolder   bool // of the rollout's role, as of its last step
	// brokersChanged: the rollout must look at the brokers at the next Tick.
	brokersChanged bool
}

// New makes a node without a disk; AttachStore adds one.
func New(now core.Time, options Options, random *rand.Rand) *Node {
	self := options.Self
	if options.Checker == nil {
		options.Checker = schema.NewChecker()
	}
	n := &Node{
		options:        options,
		random:         random,
		self:           self,
		membership:     membership.New(now, membership.Options{Self: self, Seeds: options.Seeds}, random),
		submit:         submit.New(submit.Options{Random: deriveRandom(random)}),
		state:          config.NewState(options.Checker),
		transfers:      transfer.New(deriveRandom(random)),
		targetVersions: map[string]rollout.Target{},
		leaseCommands:  map[uint64]bool{},
	}
	n.distribution = distribution.New(now, distribution.Options{
		SelfID: self.NodeId, SelfAddress: self.Address, Zone: self.Zone,
		CountsForQuorum: self.CountsForQuorum, State: n.state, Seeds: options.Seeds,
		ConfirmationAge: confirmationAge(options.Bounds),
	}, random)
	n.registry = registry.New(now, registry.Options{
		SelfID: self.NodeId, SelfAddress: self.Address, ControlAddress: self.ControlAddress, Zone: self.Zone,
		HeartbeatInterval: options.HeartbeatInterval, PersistsLeaving: options.PersistsLeaving,
	}, random)
	n.rollout = rollout.New(rollout.Options{
		Lease: options.Bounds.Lease, ThawGrace: options.Bounds.Thaw, VersionBound: options.Bounds.Version,
	})
	return n
}

// deriveRandom returns a random source for one plane, seeded from random.
func deriveRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// confirmationAge returns how old a confirmation may become. Only where revoked keys must be refused
// everywhere in time does service depend on fresh ones.
func confirmationAge(bounds Bounds) time.Duration {
	if bounds.GlobalRevocation {
		return distribution.ConfirmationAgeForRevocation
	}
	return distribution.ConfirmationAgeForChanges
}

// AttachStore makes this node a member of the core once its disk has proved that it takes writes.
// records are those recovered from the journal. An error says that they can't be read as control
// state; the node then stays outside the core.
func (n *Node) AttachStore(now core.Time, diskID string, records []core.Record) ([]core.Output, error) {
	state := config.NewState(n.options.Checker)
	state.SetLimit(n.options.MaxConfigurationBytes)
	store, outputs, err := chain.New(now, chain.Options{
		Self:             &nodepb.Voter{DiskId: diskID, Address: n.self.Address, NodeId: n.self.NodeId},
		FounderAddresses: n.options.Seeds,
		Founding:         n.options.Bootstrap && len(records) == 0,
		Tolerance:        n.options.FaultTolerance,
		StateMachine:     state,
	}, records, deriveRandom(n.random))
	if err != nil {
		return nil, err
	}
	n.store = store
	n.self.DiskId = diskID
	n.distribution.SetDiskID(diskID)
	n.execute(now, n.membership.UpdateSelf(now, func(self *nodepb.Member) { self.DiskId = diskID }))
	n.execute(now, outputs)
	n.propagateMembers(now)
	return n.outbox.Take(), nil
}

// State returns the control state that this node holds.
func (n *Node) State() *config.State { return n.state }

// Compiled returns the configuration of that state for the data plane; nil before the first one.
func (n *Node) Compiled() *config.Compiled { return n.compiled }

// Members returns the nodes that are alive or suspected, this one included.
func (n *Node) Members() []*nodepb.Member { return n.membership.Members() }

// Registry returns the registry of brokers, for reading only.
func (n *Node) Registry() *registry.Registry { return n.registry }

// View returns the newest view known here; nil without one.
func (n *Node) View() *nodepb.View { return n.distribution.View() }

// StoreStatus returns the status of this node's chain member. It reports false where this node has no
// disk, or none is attached yet.
func (n *Node) StoreStatus() (chain.Status, bool) {
	if n.store == nil {
		return chain.Status{}, false
	}
	return n.store.Status(), true
}

// CoreUnableToConfirm reports whether this node reaches more than half of the core, and the core can't
// confirm the state held here. Nothing may be served on it then.
func (n *Node) CoreUnableToConfirm(now core.Time) bool {
	return n.distribution.CoreUnableToConfirm(now, n.options.Bounds.maxConfirmationAge())
}

// ConfirmedAt returns a time at which no state newer than the one held here was acknowledged anywhere.
// It reports false where none is known.
func (n *Node) ConfirmedAt() (core.Time, bool) { return n.confirmedAt, n.confirmedAt != 0 }
