package scenario

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lossplan"
	"kestrelspread/internal/harness/links"
	"kestrelspread/internal/standin/fakeservers"
	"kestrelspread/internal/standin/invariants"
	"kestrelspread/internal/standin/servermodel"
)

// Options are the options of a run.
type Options struct {
	Program []string // of a broker, with its arguments; those for the policy are appended
	Policy  string   // instead of the module; empty: the module
	Dir     string   // for configurations and logs; it is not removed
	Printf  func(form string, args ...any)
}

// runner is one run of a scenario.
type runner struct {
	*File
	options         Options
	startedAt       time.Time
	network         *links.Network
	servers         []*server
	brokers         []*brokerProcess
	fronts          []*frontEnd
	mutex           sync.Mutex
	invariants      *invariants.Checker
	counts          *counts
	loadFactor      float64 // multiplies the load
	activeFaults    map[string]func()
	siteLostSinceMs []float64 // by site; negative infinity: it is not lost
	sitePartitioned []bool    // by site: lost by a partition alone
	siteLosses      []siteLoss
	injectedFaults  []injectedFault
	random          *rand.Rand
	frozenServers   map[string]bool
	discoveryLagMs  map[string]float64 // by broker; positive infinity: no updates
	tasks           sync.WaitGroup
	leases          *leaseRun
}

// siteLoss is a span in which a site was lost, in ms of the run. partitioned: its machines ran, but were not reachable from others.
type siteLoss struct {
	site           int
	startMs, endMs float64
	partitioned    bool
}

// server is a simulated server.
type server struct {
	Server
	id                  string
	model               *servermodel.Server
	frames              *fakeservers.FrameServer
	links               []*links.Link // by broker
	lifecycle           string
	startedAtMs         float64
	discoveryGeneration int
	idGeneration        int
}

// now is the time of the run, in ms.
func (run *runner) now() float64 { return float64(time.Since(run.startedAt).Microseconds()) / 1000 }

// Play runs a scenario to its end and evaluates it. The error of a cancelled context comes with the report so far.
func Play(ctx context.Context, f *File, options Options) (*Report, error) {
	if options.Printf == nil {
		options.Printf = func(string, ...any) {}
	}
	run := &runner{
		File: f, options: options, startedAt: time.Now(), network: links.New(f.Seed), invariants: invariants.New(), loadFactor: 1,
		activeFaults: map[string]func(){}, random: rand.New(rand.NewPCG(f.Seed, runnerStream)),
		frozenServers: map[string]bool{}, discoveryLagMs: map[string]float64{},
	}
	run.invariants.AnswerSlackMs = f.answerSlackMs // for the scheduling of this process and the links, which brokers can't help
	run.network.Base = links.BySite(f.Links.Within, f.Links.Between)
	for range f.Sites {
		run.siteLostSinceMs = append(run.siteLostSinceMs, math.Inf(-1))
		run.sitePartitioned = append(run.sitePartitioned, false)
	}
	defer run.close()
	if err := run.start(); err != nil {
		return nil, err
	}
	run.run(ctx)
	return run.report(), ctx.Err()
}

// Streams of the random sources that are seeded by the scenario's seed.
const (
	scheduleStream = 3
	runnerStream   = 5
	frontStream    = 100 // plus the site
)

// close ends all processes, links and servers.
func (run *runner) close() {
	for _, b := range run.brokers {
		b.shutDown()
	}
	for _, b := range run.brokers {
		b.agent.close()
	}
	run.network.Close()
	for _, s := range run.servers {
		s.frames.Kill()
	}
	if run.leases != nil {
		run.leases.receiver.CloseClientConnections()
		run.leases.receiver.Close()
	}
	for _, f := range run.fronts {
		f.close()
	}
}

// start starts the servers, the links, the brokers and the front ends.
func (run *runner) start() error {
	for i, layout := range run.ServerLayout() {
		s, err := run.startServer(i, layout)
		if err != nil {
			return err
		}
		run.servers = append(run.servers, s)
	}
	for site, s := range run.Sites {
		for range s.Brokers {
			name := fmt.Sprintf("b%d", len(run.brokers))
			run.brokers = append(run.brokers, &brokerProcess{run: run, name: name, site: site, dir: run.options.Dir})
		}
	}
	for i, b := range run.brokers {
		if err := run.connectBroker(i, b); err != nil {
			return err
		}
	}
	run.startLeases()
	if run.leases != nil {
		for _, b := range run.brokers {
			var err error
			if b.leaseConfig, err = run.leases.operatorConfig(b); err != nil {
				return err
			}
		}
	}
	if run.Gossip {
		if err := run.addGossipLinks(); err != nil {
			return err
		}
	}
	for _, b := range run.brokers {
		if err := b.start(); err != nil {
			return err
		}
	}
	for site := range run.Sites {
		f, err := run.newFront(site)
		if err != nil {
			return err
		}
		run.fronts = append(run.fronts, f)
	}
	return nil
}

// startServer starts a simulated server, and records what it receives.
func (run *runner) startServer(index int, layout Server) (*server, error) {
	frames, err := fakeservers.StartFrameServer(0, 0)
	if err != nil {
		return nil, err
	}
	s := &server{Server: layout, id: layout.Name, frames: frames, lifecycle: "ready", model: run.newServerModel(index)}
	frames.Serve = s.model.Serve
	frames.OnRequest = func(id string) func(how string) { return run.recordRequest(s, id) }
	return s, nil
}

// newServerModel is the model of a server that starts now.
func (run *runner) newServerModel(index int) *servermodel.Server {
	return servermodel.New(run.ServerModel(), run.startedAt, run.Seed*1000+uint64(index))
}

// recordRequest records a request that reached a server; the result records its end.
func (run *runner) recordRequest(s *server, id string) (ended func(how string)) {
	search, part, _ := strings.Cut(id, ".")
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if run.counts == nil { // of a readiness check, before the load
		return nil
	}
	sent := run.invariants.RecordAttempt(search, part, s.Name, run.now())
	return func(how string) {
		if how == "REJECTED" { // the queue was full: the request never started, and may go to another server
			run.mutex.Lock()
			sent.NotExecuted, sent.NotExecutedAtMs = true, run.now()
			run.mutex.Unlock()
		}
	}
}

// connectBroker gives a broker its links to the servers and its discovery.
func (run *runner) connectBroker(index int, b *brokerProcess) error {
	for _, s := range run.servers {
		l, err := run.network.Add(run.endpoint(b), links.Endpoint{Name: s.Name, Site: run.Sites[s.Site].Name}, s.frames.Addr().String())
		if err != nil {
			return err
		}
		s.links = append(s.links, l)
	}
	b.index = index
	var err error
	b.agent, err = newAgent(run.entries(index))
	return err
}

// endpoint is the broker as an end of links.
func (run *runner) endpoint(b *brokerProcess) links.Endpoint {
	return links.Endpoint{Name: b.name, Site: run.Sites[b.site].Name}
}

// addGossipLinks gives each broker links to the gossip addresses of all others.
func (run *runner) addGossipLinks() error {
	for i, b := range run.brokers {
		b.gossipLinks = map[string]string{}
		for j, other := range run.brokers {
			if i == j {
				continue
			}
			l, err := run.network.AddWithDatagrams(run.endpoint(b), run.endpoint(other), run.gossipAddress(j))
			if err != nil {
				return err
			}
			b.gossipLinks[run.gossipAddress(j)] = l.Address()
		}
	}
	return nil
}

// entries is the list of servers as one broker receives it: with the addresses of its links.
func (run *runner) entries(broker int) (list []fakeservers.Instance) {
	for _, s := range run.servers {
		list = append(list, run.entry(s, broker))
	}
	return list
}

// entry is the list entry of a server, for one broker.
func (run *runner) entry(s *server, broker int) fakeservers.Instance {
	e := fakeservers.Instance{ID: s.id, Address: s.links[broker].Address(), Zone: run.Sites[s.Site].Name, Cell: s.Cell, Lifecycle: s.lifecycle, Weight: 1}
	if s.startedAtMs > 0 {
		e.StartedAtMs = run.startedAt.UnixMilli() + int64(s.startedAtMs)
	}
	return e
}

// run runs the time line under load.
func (run *runner) run(ctx context.Context) {
	run.mutex.Lock()
	run.resetCounts()
	run.mutex.Unlock()
	ctx, end := context.WithTimeout(ctx, time.Duration(run.Seconds*1e9))
	defer end()
	for _, f := range run.fronts {
		f.generateLoad(ctx)
	}
	if run.leases != nil {
		run.tasks.Go(func() { run.leases.watchReturnStages(ctx) })
	}
	steps := run.Schedule(run.resolvePattern)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for at := 0; ; {
		wait := time.Hour
		if at < len(steps) {
			wait = time.Duration((steps[at].AtS*1000 - run.now()) * 1e6)
		}
		t := time.NewTimer(max(wait, 0))
		select {
		case <-ctx.Done():
			t.Stop()
			run.removeFaults()
			run.tasks.Wait()
			return
		case <-tick.C:
			t.Stop()
			run.printProgress()
		case <-t.C:
			run.options.Printf("%v", steps[at])
			if err := run.applyStep(steps[at]); err != nil {
				run.options.Printf("that failed: %v", err)
			}
			at++
		}
	}
}

// removeFaults removes the remaining faults, so that the last queries end.
func (run *runner) removeFaults() {
	run.mutex.Lock()
	list := run.activeFaults
	run.activeFaults = map[string]func(){}
	run.mutex.Unlock()
	for _, u := range list {
		u()
	}
}

// resetCounts starts the clock and the counts, once the brokers run. run.mutex must be held.
func (run *runner) resetCounts() {
	run.startedAt = time.Now()
	run.counts = newCounts(run.File)
	for i, s := range run.servers {
		s.model = run.newServerModel(i)
		s.frames.Serve = s.model.Serve
	}
}

// resolvePattern returns the names of the instances that a pattern selects: a share of them, the first ones.
func (run *runner) resolvePattern(pattern string, share float64) (list []string) {
	kind, site, _ := strings.Cut(pattern, "@")
	if kind != "" && kind != "*" && kind != "servers" && kind != "brokers" {
		return []string{pattern}
	}
	here := func(at int) bool { return site == "" || run.Sites[at].Name == site }
	if kind != "brokers" {
		for _, s := range run.servers {
			if here(s.Site) {
				list = append(list, s.Name)
			}
		}
	}
	if kind != "servers" {
		for _, b := range run.brokers {
			if here(b.site) {
				list = append(list, b.name)
			}
		}
	}
	return list[:int(math.Ceil(share*float64(len(list))))]
}

// server is the server of a name; nil: there is none.
func (run *runner) server(name string) *server {
	for _, s := range run.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// broker is the broker of a name; nil: there is none.
func (run *runner) broker(name string) *brokerProcess {
	for _, b := range run.brokers {
		if b.name == name {
			return b
		}
	}
	return nil
}

// gossipAddress is the address that a broker's gossip listens on: one of its own, in this process's part of 127.0.0.0/8. The others
// reach it over links.
func (run *runner) gossipAddress(broker int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7946", 16+pid%200, pid/200%250, broker+1)
}

// Fleet is the file's fleet, as input of package lossplan.
func (f *File) Fleet() *lossplan.Fleet {
	p := &lossplan.Fleet{Shards: f.ShardCount, Replicas: f.ReplicaCount, Headroom: f.Headroom}
	for _, s := range f.Sites {
		p.Sites = append(p.Sites, s.Name)
	}
	for _, s := range f.ServerLayout() {
		p.Servers = append(p.Servers, lossplan.Server{Site: s.Site, Cell: s.Cell, CapacityPerS: f.ServerModel().CapacityPerS()})
	}
	for _, t := range f.Types {
		p.Loads = append(p.Loads, lossplan.Load{Name: t.Name, SearchesPerS: t.RatePerS, ShardsPerSearch: t.ShardsPerQuery, Value: t.Value, MinAnsweredShare: *t.MinCompleteness})
	}
	return p
}
