package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"kestrelspread/internal/harness/keyhistory"
	"kestrelspread/internal/harness/links"
	"kestrelspread/internal/node/nodestatus"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// Zones are the zones that the machines are distributed over.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// The size of the fleet.
const (
	nodeCount = 5 // unless Options.Nodes says otherwise
	diskCount = 3 // nodes with a disk: the core
	// MaxNodes is the largest Options.Nodes: addresses up to the first broker's.
	MaxNodes = firstBrokerHost - 1
)

// Options describe a fleet.
type Options struct {
	Binary string // path of kestrelnode
	Dir    string // for settings, disks and logs; empty: a temporary directory that Close removes
	Bounds Bounds
	// Nodes is the number of nodes, from 5 to MaxNodes; 0: 5.
	Nodes int
	// LeavingClients: a few clients leave before brokers have answered, on a public route to brokers that take long. Others use a public
	// route as well.
	LeavingClients bool
	// Relayed has each node reach each other node and each broker through a link of its own, and brokers the nodes likewise;
	// faults are injected with Fleet.Network.
	Relayed bool
	// Seed determines the random draws of the links.
	Seed uint64
	// DiskMB, MemoryMB and Descriptors are the limits in the settings of nodes; 0: diskMB, memoryMB, descriptors. They are not
	// enforced.
	DiskMB, MemoryMB, Descriptors int
}

// Fleet is the nodes with the operator, the brokers and the platform around them.
type Fleet struct {
	Nodes      []*Node
	Operator   *fleetoperator.Operator
	Weights    *llmbroker.Weights
	ArrivalLog *llmbroker.ArrivalLog
	Store      *llmbroker.Store
	Brokers    []*llmbroker.Broker
	Network    *links.Network // nil unless the fleet is relayed

	options        Options
	dir            string
	keepsDir       bool
	layout         layout
	spawner        *spawner
	platform       *platform
	lifetime       context.Context
	cancel         context.CancelFunc
	startingBroker sync.Mutex // held while a broker is started
	startedBrokers int        // brokers that were ever started
	linkFaults     linkFaults

	mutex          sync.Mutex // guards Brokers and what follows
	drainedBrokers []drainedBroker
	crashedBrokers []string  // IDs of brokers that ended without draining
	isolatedAt     time.Time // when the isolation of tenantLater was acknowledged; zero: never
	orders         []keyhistory.Order
}

// Start starts the nodes and the brokers. They have no configuration yet, see Bootstrap.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, dir: options.Dir, keepsDir: options.Dir != "",
		Weights: llmbroker.NewWeights(), ArrivalLog: llmbroker.NewArrivalLog(),
	}
	f.lifetime, f.cancel = context.WithCancel(context.Background())
	f.spawner = newSpawner()
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts all parts; Close ends those that were started before an error.
func (f *Fleet) start() error {
	var err error
	if f.dir == "" {
		if f.dir, err = os.MkdirTemp("", "kestrelfleet"); err != nil {
			return fmt.Errorf("%w: create directory: %w", ErrNotStarted, err)
		}
	}
	if f.dir, err = filepath.Abs(f.dir); err != nil {
		return fmt.Errorf("%w: create directory: %w", ErrNotStarted, err)
	}
	count := cmp.Or(f.options.Nodes, nodeCount)
	if count < nodeCount || count > MaxNodes {
		return fmt.Errorf("%w: %d nodes, from %d to %d are possible", ErrNotStarted, count, nodeCount, MaxNodes)
	}
	if f.layout, err = newLayout(count); err != nil {
		return err
	}
	for i := range count {
		f.Nodes = append(f.Nodes, &Node{
			Name: fmt.Sprintf("node-%d", i+1), Zone: Zones[i%len(Zones)], HasDisk: i < diskCount, ipAddress: f.layout.node(i), index: i, fleet: f,
		})
	}
	if f.options.Relayed {
		if err := f.relayNodes(); err != nil {
			return err
		}
	}
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	f.Operator = fleetoperator.New(f.ControlAddresses, f.Weights)
	f.platform = newPlatform(f.Nodes)
	go f.platform.run(f.lifetime)
	return f.startServices()
}

// Close ends all processes and servers of the fleet.
func (f *Fleet) Close() {
	f.cancel()
	for _, node := range f.Nodes {
		if node.Running() {
			node.Kill()
		}
		if f.keepsDir {
			_ = node.saveLog()
		}
	}
	f.spawner.close()
	for _, broker := range f.Brokers {
		broker.Crash()
	}
	if f.Store != nil {
		f.Store.Close()
	}
	if f.Operator != nil {
		f.Operator.Close()
	}
	if f.Network != nil {
		f.Network.Close()
	}
	if !f.keepsDir && f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Core is the nodes with a disk.
func (f *Fleet) Core() []*Node { return f.Nodes[:diskCount] }

// seeds are the control addresses in the settings of each node.
func (f *Fleet) seeds() []string {
	var seeds []string
	for _, node := range f.Core() {
		seeds = append(seeds, node.Control())
	}
	return seeds
}

// ControlAddresses are the addresses of all nodes for brokers and operators.
func (f *Fleet) ControlAddresses() []string {
	var addresses []string
	for _, node := range f.Nodes {
		addresses = append(addresses, node.Control())
	}
	return addresses
}

// pollInterval is the time between two checks of a condition that is waited for.
const pollInterval = 50 * time.Millisecond

// Await checks the condition until it returns nil. It fails with ErrTimeout when a process ends unexpectedly or ctx ends; what names the
// condition in the error.
func (f *Fleet) Await(ctx context.Context, what string, condition func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var missing error // what the condition lacked last, before ctx ended
	for {
		err := condition(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || missing == nil {
			missing = err
		}
		if ended := f.unexpectedExits(); len(ended) > 0 {
			return fmt.Errorf("%w: %s: %s", ErrTimeout, what, ended[0])
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s: %w", ErrTimeout, what, errors.Join(missing, ctx.Err()))
		case <-ticker.C:
		}
	}
}

// unexpectedExits describes the processes that ended though this package did not end them.
func (f *Fleet) unexpectedExits() []string {
	var exits []string
	for _, node := range f.Nodes {
		if text, ended := node.unexpectedExit(); ended {
			exits = append(exits, text)
		}
	}
	return exits
}

// Statuses fetches the status of all running nodes, at one time.
func (f *Fleet) Statuses(ctx context.Context) ([]*nodestatus.Status, error) {
	running := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return !n.Running() })
	statuses, failures := make([]*nodestatus.Status, len(running)), make([]error, len(running))
	var fetching sync.WaitGroup
	for i, node := range running {
		fetching.Go(func() { statuses[i], failures[i] = node.Status(ctx) })
	}
	fetching.Wait()
	return statuses, errors.Join(failures...)
}

// Head is the node at the head of the chain, by its own status.
func (f *Fleet) Head(ctx context.Context) (*Node, error) { return f.withRole(ctx, "head", "only") }

// Tail is the node at the tail of the chain, by its own status.
func (f *Fleet) Tail(ctx context.Context) (*Node, error) { return f.withRole(ctx, "tail", "only") }

// withRole waits for a core node with one of two roles.
func (f *Fleet) withRole(ctx context.Context, roles ...string) (*Node, error) {
	var found *Node
	err := f.Await(ctx, "a node at the "+roles[0], func(ctx context.Context) error {
		for _, node := range f.Core() {
			if !node.Running() {
				continue
			}
			status, err := node.Status(ctx)
			if err == nil && status.Chain != nil && (status.Chain.Role == roles[0] || status.Chain.Role == roles[1]) {
				found = node
				return nil
			}
		}
		return errors.New("there is none")
	})
	return found, err
}
