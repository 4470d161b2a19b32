package scale

import (
	"context"
	"fmt"
	"io"
	"time"

	"kestrelspread/internal/node/nodestatus"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// RealCase is one fleet of real nodes.
type RealCase struct {
	Nodes   int  `json:"nodes"`
	Disks   int  `json:"disks"`
	Brokers int  `json:"brokers"`
	Models  bool `json:"models"` // the brokers run a model: a node asks each for events of kept parts, once a second
}

// RealCases tell apart what nodes, messages, heartbeats and calls for events cost.
var RealCases = []RealCase{
	{Nodes: 4, Disks: 3}, {Nodes: 8, Disks: 3}, {Nodes: 16, Disks: 3},
	{Nodes: 8, Disks: 3, Brokers: 60}, {Nodes: 8, Disks: 3, Brokers: 180}, {Nodes: 8, Disks: 3, Brokers: 180, Models: true},
}

// RealResult is what the processes took, on the mean of those with a disk and of the others.
type RealResult struct {
	RealCase
	Core  RealNode `json:"core"`
	Proxy RealNode `json:"proxy"`
}

// RealNode is what a process took, a second where it is a rate.
type RealNode struct {
	CPUPercent   float64 `json:"cpuPercent"` // of a core
	MemoryMB     float64 `json:"memoryMb"`   // resident
	PrivateMB    float64 `json:"privateMb"`  // of it, not of files
	WrittenBytes float64 `json:"writtenBytes"`
	ReadBytes    float64 `json:"readBytes"`
	Writes       float64 `json:"writes"` // system calls
	Wakeups      float64 `json:"wakeups"`
	Threads      float64 `json:"threads"`
	// Messages sent and received, by the hollow nodes of the same fleet.
	Messages float64 `json:"messages"`
}

const (
	realReady  = 25 * time.Second
	realSettle = 6 * time.Second
	realSpan   = 8 * time.Second
	realLook   = 100 * time.Millisecond
)

// RunReal measures real node processes on loopback.
func RunReal(ctx context.Context, w io.Writer, binary string, cases []RealCase) ([]RealResult, error) {
	var results []RealResult
	for _, c := range cases {
		result, err := runReal(ctx, binary, c)
		if err != nil {
			return results, err
		}
		result.Print(w)
		results = append(results, result)
	}
	return results, nil
}

func runReal(ctx context.Context, binary string, c RealCase) (RealResult, error) {
	f, err := startReal(binary, c.Nodes, c.Disks)
	if err != nil {
		return RealResult{}, err
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(ctx, realReady+realSettle+realSpan)
	defer cancel()
	brokers, err := f.startBrokers(c)
	defer func() {
		for _, broker := range brokers {
			broker.Crash()
		}
	}()
	if err != nil {
		return RealResult{}, NotStarted.Wrap(err, "brokers")
	}
	if err := f.awaitReady(ctx, c); err != nil {
		return RealResult{}, err
	}
	if err := pause(ctx, realSettle); err != nil {
		return RealResult{}, err
	}
	before, err := f.usage()
	if err != nil {
		return RealResult{}, err
	}
	began := time.Now()
	if err := pause(ctx, realSpan); err != nil {
		return RealResult{}, err
	}
	after, err := f.usage()
	if err != nil {
		return RealResult{}, err
	}
	return resultOf(c, before, after, time.Since(began).Seconds()), nil
}

func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// startBrokers starts the brokers, each at a port of its own.
func (f *realFleet) startBrokers(c RealCase) ([]*llmbroker.Broker, error) {
	var brokers []*llmbroker.Broker
	for i := range c.Brokers {
		options := llmbroker.Options{
			Service: serviceName(i % leastServices), Zone: realZone(i / leastServices), Listen: f.ip(c.Nodes+i%8) + ":0", Slots: slotsOfBroker,
			Queue: slotsOfBroker, Heartbeat: Heartbeat, Control: f.controls,
		}
		if c.Models {
			options.Engine = &llmbroker.Engine{Model: modelName(i % leastServices)}
		}
		broker, err := llmbroker.Start(options)
		if err != nil {
			return brokers, err
		}
		brokers = append(brokers, broker)
	}
	return brokers, nil
}

// awaitReady brings a configuration and waits until all nodes serve it and know all nodes and brokers.
func (f *realFleet) awaitReady(ctx context.Context, c RealCase) error {
	operator := fleetoperator.New(f.controls, nil)
	defer operator.Close()
	shape := ShapeOf(c.Nodes, TwoYears)
	shape.Services = leastServices
	if _, err := operator.Replace(ctx, 0, configurationOf(shape)); err != nil {
		return NotStarted.Wrap(err, "configuration")
	}
	for _, address := range f.controls() {
		for {
			status, err := nodestatus.Fetch(ctx, address)
			if err == nil && status.Ready && status.ConfigVersion > 0 && len(status.Members) == c.Nodes && len(status.Instances) == c.Brokers {
				break
			}
			if err := pause(ctx, realLook); err != nil {
				return NotStarted.Wrap(err, "%s is not ready", address)
			}
		}
	}
	return nil
}

func resultOf(c RealCase, before, after []usage, seconds float64) RealResult {
	result := RealResult{RealCase: c}
	for i := range after {
		node, share := &result.Proxy, 1/float64(c.Nodes-c.Disks)
		if i < c.Disks {
			node, share = &result.Core, 1/float64(c.Disks)
		}
		node.add(before[i], after[i], seconds, share)
	}
	core, proxy := hollowMessages(c)
	result.Core.Messages, result.Proxy.Messages = core, proxy
	return result
}

func (n *RealNode) add(before, after usage, seconds, share float64) {
	rate := share / seconds
	n.CPUPercent += 100 * (after.processor - before.processor).Seconds() * rate
	n.MemoryMB += after.resident * share
	n.PrivateMB += after.private * share
	n.Threads += after.threads * share
	n.WrittenBytes += (after.written - before.written) * rate
	n.ReadBytes += (after.read - before.read) * rate
	n.Writes += (after.writes - before.writes) * rate
	n.Wakeups += (after.wakeups - before.wakeups) * rate
}

// hollowMessages are the messages a second that the same fleet of hollow nodes sends and receives, a node.
func hollowMessages(c RealCase) (core, proxy float64) {
	shape := Shape{
		Proxies: c.Nodes - c.Disks, Core: c.Disks, Zones: realZones, Regions: 1, Services: leastServices, Brokers: c.Brokers,
		Tenants: 1, Routes: routesPerService,
	}
	result := Measure(shape, Options{Seed: 1}, Phases{}, nil)
	all, proxies := result.Quiet[RoleNode], result.Quiet[RoleProxy]
	proxy = proxies.Sent + proxies.Received
	core = ((all.Sent+all.Received)*float64(all.Nodes) - proxy*float64(proxies.Nodes)) / float64(c.Disks)
	return core, proxy
}

// Print writes a line for each kind of node.
func (r RealResult) Print(w io.Writer) {
	what := "plain"
	if r.Models {
		what = "model"
	}
	fmt.Fprintf(w, "%2d real nodes, %3d %s brokers\n", r.Nodes, r.Brokers, what)
	r.Core.print(w, "core")
	r.Proxy.print(w, "proxy")
}

func (n RealNode) print(w io.Writer, kind string) {
	fmt.Fprintf(w, "   %-5s  %.3f%% of a core, %.1f MB resident (%.1f private), %.0f B written and %.0f read a second by %.1f writes, %.1f wake-ups, %.0f threads; %.1f messages\n",
		kind, n.CPUPercent, n.MemoryMB, n.PrivateMB, n.WrittenBytes, n.ReadBytes, n.Writes, n.Wakeups, n.Threads, n.Messages)
}
