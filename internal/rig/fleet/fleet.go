package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"kestrelspread/internal/node/nodestatus"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// Zones are where the machines of the fleet stand.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// The size of the fleet.
const (
	nodeCount = 5
	diskCount = 3 // nodes with a disk: the core
)

// Options describe a fleet.
type Options struct {
	Binary string // path of kestrelnode
	Dir    string // for settings, disks and logs; empty: a temporary folder that Close removes
	Bounds Bounds
}

// Fleet is the nodes, and all that stands around them.
type Fleet struct {
	Nodes    []*Node
	Operator *fleetoperator.Operator
	Weights  *llmbroker.Weights
	Ledger   *llmbroker.Ledger
	Store    *llmbroker.Store
	Brokers  []*llmbroker.Broker

	options  Options
	dir      string
	keepDir  bool
	layout   layout
	spawner  *spawner
	platform *platform
	life     context.Context
	end      context.CancelFunc
	started  int // brokers, over all
	drains   []drained
	crashed  []string // brokers that ended without a word
}

// Start starts the nodes and the brokers; no configuration is sent yet.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, dir: options.Dir, keepDir: options.Dir != "", Weights: llmbroker.NewWeights(), Ledger: llmbroker.NewLedger()}
	f.life, f.end = context.WithCancel(context.Background())
	f.spawner = newSpawner()
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.dir == "" {
		if f.dir, err = os.MkdirTemp("", "kestrelfleet"); err != nil {
			return NotStarted.Wrap(err, "folder")
		}
	}
	if f.dir, err = filepath.Abs(f.dir); err != nil {
		return NotStarted.Wrap(err, "folder")
	}
	if f.layout, err = newLayout(nodeCount); err != nil {
		return err
	}
	for i := range nodeCount {
		f.Nodes = append(f.Nodes, &Node{
			Name: fmt.Sprintf("node-%d", i+1), Zone: Zones[i%len(Zones)], HasDisk: i < diskCount, ip: f.layout.node(i), fleet: f,
		})
	}
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	f.Operator = fleetoperator.New(f.controlAddresses, f.Weights)
	f.platform = newPlatform(f.Nodes)
	go f.platform.run(f.life)
	return f.startServices()
}

// Close ends all processes and servers of the fleet.
func (f *Fleet) Close() {
	f.end()
	for _, node := range f.Nodes {
		if node.Running() {
			node.Kill()
		}
		if f.keepDir {
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
	if !f.keepDir && f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Core are the nodes with a disk.
func (f *Fleet) Core() []*Node { return f.Nodes[:diskCount] }

// seeds are the control addresses that each node is told of.
func (f *Fleet) seeds() []string {
	var seeds []string
	for _, node := range f.Core() {
		seeds = append(seeds, node.Control())
	}
	return seeds
}

func (f *Fleet) controlAddresses() []string {
	var addresses []string
	for _, node := range f.Nodes {
		addresses = append(addresses, node.Control())
	}
	return addresses
}

// pollInterval lies between two looks at something that is waited for.
const pollInterval = 50 * time.Millisecond

// Await looks again and again until condition returns nil, a process ends by itself, or ctx ends.
func (f *Fleet) Await(ctx context.Context, what string, condition func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := condition(ctx)
		if err == nil {
			return nil
		}
		if ended := f.endedByThemselves(); len(ended) > 0 {
			return TooLate.New("%s: %s", what, ended[0])
		}
		select {
		case <-ctx.Done():
			return TooLate.Wrap(errors.Join(err, ctx.Err()), "%s", what)
		case <-ticker.C:
		}
	}
}

func (f *Fleet) endedByThemselves() []string {
	var list []string
	for _, node := range f.Nodes {
		if text, ended := node.endedByItself(); ended {
			list = append(list, text)
		}
	}
	return list
}

// Statuses asks all nodes that run.
func (f *Fleet) Statuses(ctx context.Context) ([]*nodestatus.Status, error) {
	var statuses []*nodestatus.Status
	for _, node := range f.Nodes {
		if !node.Running() {
			continue
		}
		status, err := node.Status(ctx)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// Head is the node at the head of the chain, by its own word.
func (f *Fleet) Head(ctx context.Context) (*Node, error) { return f.withRole(ctx, "head", "only") }

// Tail is the node at the tail of the chain, by its own word.
func (f *Fleet) Tail(ctx context.Context) (*Node, error) { return f.withRole(ctx, "tail", "only") }

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
