// Package control is the control side of one node: its planes (membership, the replicated control state, its distribution, the
// registry of brokers and the duty to bring new weights), wired together as one state machine. The program runs it on a loop
// (package agent); the fault runs play many of them under a virtual clock (package faultrun).
//
// Inputs are messages of other nodes, calls of this node's own API, ends of writes, answers of brokers, and the time. What the
// planes ask of one another is done within; what is returned is for the shell: messages, writes, answers, orders, and news of the
// state and of the brokers for the data plane.
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
	// Self is this node as the others will know it. It belongs to the Node.
	Self *nodepb.Member
	// Seeds are the internal addresses of the nodes that are asked first.
	Seeds []string
	// Bootstrap: this is the first start of the whole system.
	Bootstrap bool
	// Tolerance is faultTolerance.machines.
	Tolerance int
	// ConfigurationLimit is the size of the largest configuration that machines like this one hold, in bytes.
	ConfigurationLimit int
	// Checker checks the items of configurations at the head of the chain; nil: the schema of package schema.
	Checker config.Checker
	// Heartbeat is how often brokers announce themselves.
	Heartbeat time.Duration
	Bounds    Bounds
}

// Bounds are the figures of the rules that the control side keeps. Source: DEPLOY.md, "Settings of a process".
type Bounds struct {
	Contact          time.Duration
	GlobalRevocation bool
	Revoke           time.Duration
	Lease            time.Duration
	Thaw             time.Duration
	Version          time.Duration
}

// Node is the control side of one node. Its methods are called by one goroutine.
type Node struct {
	options Options
	random  *rand.Rand
	self    *nodepb.Member
	outputs []core.Output

	membership   *membership.Membership
	store        *chain.Replica // nil until the disk is attached, and on machines that don't count
	submit       *submit.Client
	state        *config.State // what distribution has brought here
	compiled     *config.Compiled
	distribution *distribution.Distribution
	registry     *registry.Registry
	rollout      *rollout.Rollout
	transfers    *transfer.Transfers

	seen       seenRevisions
	confirmed  core.Time // of the state held here; 0: never
	targets    map[string]rollout.Target
	grants     map[uint64]bool // requests of the duty's own commands
	requests   uint64          // the last of them
	compaction uint64          // token of the checkpoint that is being written; 0: none
	// coreAddresses are the internal addresses of the members that count, for which this node relays messages.
	coreAddresses map[string]bool
}

// seenRevisions is what has been passed on between the planes.
type seenRevisions struct {
	members uint64
	view    uint64 // epoch
	holder  bool   // of the duty to bring new weights
	// brokersChanged: the duty is to look at the brokers again.
	brokersChanged bool
}

// New makes a node without a disk; see AttachStore.
func New(now core.Time, options Options, random *rand.Rand) *Node {
	self := options.Self
	if options.Checker == nil {
		options.Checker = schema.NewChecker()
	}
	n := &Node{
		options:    options,
		random:     random,
		self:       self,
		membership: membership.New(now, membership.Options{Self: self, Seeds: options.Seeds}, random),
		submit:     submit.New(submit.Options{Random: derived(random)}),
		state:      config.NewState(options.Checker),
		transfers:  transfer.New(derived(random)),
		targets:    map[string]rollout.Target{},
		grants:     map[uint64]bool{},
	}
	n.distribution = distribution.New(now, distribution.Options{
		SelfID: self.NodeId, SelfAddress: self.Address, Zone: self.Zone,
		Counts: self.CountsForQuorum, State: n.state, Seeds: options.Seeds,
		ConfirmationAge: confirmationAge(options.Bounds),
	}, random)
	n.registry = registry.New(now, registry.Options{
		SelfID: self.NodeId, SelfAddress: self.Address, ControlAddress: self.ControlAddress, Zone: self.Zone,
		Heartbeat: options.Heartbeat,
	}, random)
	n.rollout = rollout.New(rollout.Options{
		Lease: options.Bounds.Lease, Thaw: options.Bounds.Thaw, Version: options.Bounds.Version,
	})
	return n
}

// derived gives a source of chance of its own to a plane.
func derived(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// confirmationAge: only where revoked keys must be refused everywhere in time does service hang on fresh confirmations.
func confirmationAge(bounds Bounds) time.Duration {
	if bounds.GlobalRevocation {
		return distribution.ConfirmationForRevocation
	}
	return distribution.ConfirmationForChanges
}

// AttachStore makes this node a member of the core, once its disk has proved that it takes writes. records is what the journal
// holds.
func (n *Node) AttachStore(now core.Time, diskID string, records []core.Record) ([]core.Output, error) {
	machine := config.NewState(n.options.Checker)
	machine.SetLimit(n.options.ConfigurationLimit)
	store, outputs, err := chain.New(now, chain.Options{
		Self:             &nodepb.Voter{DiskId: diskID, Address: n.self.Address, NodeId: n.self.NodeId},
		FounderAddresses: n.options.Seeds,
		Founding:         n.options.Bootstrap && len(records) == 0,
		Tolerance:        n.options.Tolerance,
		StateMachine:     machine,
	}, records, derived(n.random))
	if err != nil {
		return nil, err
	}
	n.store = store
	n.self.DiskId = diskID
	n.distribution.SetDiskID(diskID)
	n.carryOut(now, n.membership.UpdateSelf(now, func(self *nodepb.Member) { self.DiskId = diskID }))
	n.carryOut(now, outputs)
	n.membersChanged(now)
	return n.take(), nil
}

// State is the control state that this node holds.
func (n *Node) State() *config.State { return n.state }

// Compiled is the configuration of that state for the data plane; nil before the first.
func (n *Node) Compiled() *config.Compiled { return n.compiled }

// Members are the nodes that are alive or suspected.
func (n *Node) Members() []*nodepb.Member { return n.membership.Members() }

// Registry is the registry of brokers, to be read only.
func (n *Node) Registry() *registry.Registry { return n.registry }

// View is the newest view known here, nil without one.
func (n *Node) View() *nodepb.View { return n.distribution.View() }

// StoreStatus tells how things stand with the chain; false: this node has no disk, or it is not attached yet.
func (n *Node) StoreStatus() (chain.Status, bool) {
	if n.store == nil {
		return chain.Status{}, false
	}
	return n.store.Status(), true
}

// Confirmed is a moment at which no newer state was acknowledged anywhere than the one held here; false: none is known.
func (n *Node) Confirmed() (core.Time, bool) { return n.confirmed, n.confirmed != 0 }

func (n *Node) emit(output core.Output) { n.outputs = append(n.outputs, output) }

// take hands over what the shell is to do.
func (n *Node) take() []core.Output {
	taken := n.outputs
	n.outputs = nil
	return taken
}
