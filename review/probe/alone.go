package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/standin/llmbroker"
)

// The course of the case.
const (
	aloneNodes   = 11                     // as many machines as the site has
	proxyBack    = 100 * time.Millisecond // from the kill to the start of the proxy
	seedsBack    = time.Second            // from the kill to the start of the machines that the seeds name
	brokerServes = 12 * time.Second       // from the acknowledgement to the broker's end
	requestsMean = 40 * time.Millisecond  // between two requests of a client
	settleTime   = 5 * time.Second        // undisturbed, before the trouble: nodes look at their settings every 2 s
)

// alone has the seeds exchanged for three other machines without disks, and kills these and one more proxy at one moment. The proxy
// is back first; a broker whose heartbeats went to it deregisters there. The core is stable all the time, and no other machine is
// disturbed. Later than drainMs after the acknowledgement no request may reach the broker. Source: RULES.md, DRAIN.
func alone(ctx context.Context, env *environment) ([]string, error) {
	bounds := fleet.DefaultBounds()
	f, dir, leaving, proxy, err := startAlone(ctx, env, bounds)
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer f.Close()
	defer leaving.broker.Crash()
	machines := &machines{node: env.node, dir: dir}
	defer machines.close()
	seeds := otherProxies(f, proxy)
	if err := machines.exchangeSeeds(f, seeds); err != nil {
		return nil, err
	}
	env.record.note("the seeds are exchanged for %s, %s and %s", seeds[0].Name, seeds[1].Name, seeds[2].Name)
	load := f.StartLoad(requestsMean)
	time.Sleep(settleTime)
	if called := leaving.awaitCall(ctx); called != proxy.Control() {
		return nil, fmt.Errorf("heartbeats go to %s by now", called)
	}
	killedAt := time.Now()
	if env.trouble {
		if err := killHerd(env, machines, append(slices.Clone(seeds), proxy), proxy, killedAt); err != nil {
			return nil, err
		}
	}
	acknowledgedAt, err := leaving.broker.Deregister(ctx)
	if err != nil {
		return nil, err
	}
	env.record.note("the deregistration is acknowledged by the node at %s", leaving.lastCall())
	if env.trouble {
		time.Sleep(time.Until(killedAt.Add(seedsBack)))
		for _, node := range seeds {
			if err := machines.start(node); err != nil {
				return nil, err
			}
		}
		env.record.note("the machines that the seeds name are started again")
	}
	time.Sleep(time.Until(acknowledgedAt.Add(brokerServes)))
	if err := leaving.broker.End(ctx, 0); err != nil {
		env.record.note("end of the broker: %v", err)
	}
	env.record.note("the broker has ended")
	time.Sleep(2 * time.Second)
	load.Stop()
	disturbed := map[string]bool{proxy.Name: env.trouble}
	for _, node := range seeds {
		disturbed[node.Name] = env.trouble
	}
	return lateArrivals(env, f, load, leaving.broker, acknowledgedAt.Add(bounds.Drain), disturbed), nil
}

// otherProxies are three machines without disks other than the proxy.
func otherProxies(f *fleet.Fleet, proxy *fleet.Node) []*fleet.Node {
	const seedCount = 3
	var others []*fleet.Node
	for _, node := range f.Nodes {
		if !node.HasDisk && node != proxy && len(others) < seedCount {
			others = append(others, node)
		}
	}
	return others
}

// startAlone starts fleets, each with addresses of its own, until one has a zone in which brokers' heartbeats go to a node without a
// disk, and returns that node with the broker that is to leave.
func startAlone(ctx context.Context, env *environment, bounds fleet.Bounds) (*fleet.Fleet, string, *leavingBroker, *fleet.Node, error) {
	const attempts = 4
	var failure error
	for range attempts {
		dir, err := os.MkdirTemp("", "probe")
		if err != nil {
			return nil, "", nil, nil, err
		}
		f, err := fleet.Start(fleet.Options{Binary: env.node, Dir: dir, Bounds: bounds, Nodes: aloneNodes})
		if err != nil {
			_ = os.RemoveAll(dir)
			return nil, "", nil, nil, err
		}
		if failure = f.Bootstrap(ctx); failure == nil {
			var leaving *leavingBroker
			var proxy *fleet.Node
			if leaving, proxy, failure = startLeaving(ctx, env, f); failure == nil {
				return f, dir, leaving, proxy, nil
			}
		}
		f.Close()
		_ = os.RemoveAll(dir)
	}
	return nil, "", nil, nil, failure
}

// leavingBroker is the broker that is to leave, with the calls that it makes to nodes.
type leavingBroker struct {
	broker *llmbroker.Broker
	mutex  sync.Mutex
	called string // control address of the newest call
	calls  chan struct{}
}

// reachedAt records a call and leaves the address as it is.
func (l *leavingBroker) reachedAt(address string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.called = address
	select {
	case l.calls <- struct{}{}:
	default:
	}
	return address
}

// lastCall is the control address of the newest call.
func (l *leavingBroker) lastCall() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.called
}

// awaitCall waits for the next call and for its answer, and returns the control address that was called.
func (l *leavingBroker) awaitCall(ctx context.Context) string {
	const answered = 100 * time.Millisecond
	select {
	case <-l.calls: // an earlier one
	default:
	}
	select {
	case <-l.calls:
	case <-ctx.Done():
	}
	time.Sleep(answered)
	return l.lastCall()
}

// startLeaving starts one more broker, in a zone in which brokers' heartbeats go to a node without a disk, and returns that node.
func startLeaving(ctx context.Context, env *environment, f *fleet.Fleet) (*leavingBroker, *fleet.Node, error) {
	host, _, err := net.SplitHostPort(f.Brokers[len(f.Brokers)-1].Address())
	if err != nil {
		return nil, nil, err
	}
	for _, zone := range fleet.Zones {
		l := &leavingBroker{calls: make(chan struct{}, 1)}
		l.broker, err = llmbroker.Start(llmbroker.Options{
			Service: fleet.PlainService, Zone: zone, Listen: host + ":0", Slots: 6, QueueLength: 8, MaxConnections: 200, ReportsLoad: true,
			ServiceTime: 25 * time.Millisecond, HeartbeatInterval: fleet.DefaultBounds().Heartbeat, ControlAddresses: f.ControlAddresses, ReachedAt: l.reachedAt,
			DrainTime: 2 * time.Second, Log: f.ArrivalLog,
		})
		if err != nil {
			return nil, nil, err
		}
		l.awaitCall(ctx) // the first heartbeat, whose answer names the home
		called := l.awaitCall(ctx)
		for _, node := range f.Nodes {
			if node.Control() == called && !node.HasDisk {
				env.record.note("broker %s at %s, of service %s in %s, sends its heartbeats to %s", l.broker.ID(), l.broker.Address(), fleet.PlainService, zone, node.Name)
				return l, node, nil
			}
		}
		l.broker.Crash()
	}
	return nil, nil, errors.New("the homes of all zones are machines with a disk")
}

// killHerd kills machines at one moment and starts the proxy again. It returns when the proxy can be called.
func killHerd(env *environment, machines *machines, herd []*fleet.Node, proxy *fleet.Node, killedAt time.Time) error {
	for _, node := range herd {
		node.Kill()
	}
	env.record.note("these and %s are killed", proxy.Name)
	time.Sleep(time.Until(killedAt.Add(proxyBack)))
	if err := machines.start(proxy); err != nil {
		return err
	}
	env.record.note("%s is started again", proxy.Name)
	const pause, patience = 2 * time.Millisecond, 2 * time.Second
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(pause) {
		connection, err := net.Dial("tcp", proxy.Control())
		if err == nil {
			return connection.Close()
		}
	}
	return fmt.Errorf("%s doesn't listen", proxy.Name)
}

// lateArrivals lists the requests that reached the broker after drained, of those that undisturbed machines sent on.
func lateArrivals(env *environment, f *fleet.Fleet, load *fleet.Load, broker *llmbroker.Broker, drained time.Time, disturbed map[string]bool) []string {
	attempts := map[string]fleet.Attempt{}
	for _, attempt := range load.Attempts.All() {
		attempts[attempt.ID] = attempt
	}
	var breaches []string
	excused := 0
	for _, arrival := range f.ArrivalLog.Arrivals() {
		if arrival.Instance != broker.ID() || arrival.ReceivedAt.Before(drained) {
			continue
		}
		attempt := attempts[arrival.Request]
		if attempt.Node == "" || disturbed[attempt.Node] {
			excused++
			continue
		}
		breaches = append(breaches, fmt.Sprintf("DRAIN: request %s, sent on by %s, reaches the broker %.2f s after drainMs",
			arrival.Request, attempt.Node, arrival.ReceivedAt.Sub(drained).Seconds()))
	}
	env.record.note("later than drainMs after the acknowledgement %d requests reach the broker by undisturbed machines, and %d by others",
		len(breaches), excused)
	return breaches
}
