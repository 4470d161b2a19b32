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
	"kestrelspread/internal/rig/links"
	"kestrelspread/internal/standin/rules"
	"kestrelspread/internal/standin/sockets"
	"kestrelspread/internal/standin/station"
)

// Options are how a scenario is played.
type Options struct {
	Program []string // a broker and its arguments; Policy goes behind them
	Policy  string   // in the module's place; none: the module
	Dir     string   // for configurations and logs; it is kept
	Printf  func(form string, args ...any)
}

// runner is a run.
type runner struct {
	*File
	options         Options
	startedAt       time.Time
	network         *links.Network
	servers         []*server
	brokers         []*brokerProcess
	fronts          []*frontEnd
	mutex           sync.Mutex
	invariants      *rules.Book
	counts          *counts
	loadFactor      float64 // of the load
	activeFaults    map[string]func()
	siteLostSinceMs []float64 // by site: since when it is lost, or negative infinity
	sitePartitioned []bool    // and whether only the way to it is
	siteLosses      []siteLoss
	injectedFaults  []injectedFault
	random          *rand.Rand
	frozenServers   map[string]bool
	discoveryLagMs  map[string]float64 // by broker, ms
	tasks           sync.WaitGroup
	leases          *leaseRun
}

// siteLoss is when a site was lost, in ms of the run. cut: only the way there was, and both sides served what they hold.
type siteLoss struct {
	site           int
	startMs, endMs float64
	partitioned    bool
}

type server struct {
	Server
	id                  string
	model               *station.Station
	frames              *sockets.Frames
	links               []*links.Link // by broker
	lifecycle           string
	startedAtMs         float64
	discoveryGeneration int
	idGeneration        int
}

func (run *runner) now() float64 { return float64(time.Since(run.startedAt).Microseconds()) / 1000 }

// Play runs a scenario to its end and tells what happened.
func Play(ctx context.Context, f *File, opt Options) (*Report, error) {
	if opt.Printf == nil {
		opt.Printf = func(string, ...any) {}
	}
	run := &runner{File: f, options: opt, startedAt: time.Now(), network: links.New(f.Seed), invariants: rules.New(), loadFactor: 1, activeFaults: map[string]func(){},
		random: rand.New(rand.NewPCG(f.Seed, 5)), frozenServers: map[string]bool{}, discoveryLagMs: map[string]float64{}}
	run.invariants.Slack = f.answerSlackMs // this process's own scheduling and the links' are no fault of a broker's
	run.network.Base = links.BySite(f.Links.Within, f.Links.Between)
	for range f.Sites {
		run.siteLostSinceMs, run.sitePartitioned = append(run.siteLostSinceMs, math.Inf(-1)), append(run.sitePartitioned, false)
	}
	defer run.close()
	if err := run.start(); err != nil {
		return nil, err
	}
	run.run(ctx)
	return run.report(), ctx.Err()
}

func (run *runner) close() {
	for _, b := range run.brokers {
		b.shutDown()
	}
	for _, b := range run.brokers {
		b.agent.close()
	}
	run.network.Close()
	for _, s := range run.servers {
		s.frames.Die()
	}
	if run.leases != nil {
		run.leases.receiver.CloseClientConnections()
		run.leases.receiver.Close()
	}
	for _, f := range run.fronts {
		f.close()
	}
}

func (run *runner) start() error {
	for i, s := range run.ServerLayout() {
		f, err := sockets.StartFrames(0, 0)
		if err != nil {
			return err
		}
		v := &server{Server: s, id: s.Name, frames: f, lifecycle: "ready", model: station.New(run.ServerModel(), run.startedAt, run.Seed*1000+uint64(i))}
		f.Work = v.model.Work
		f.Seen = func(id string) func(how string) {
			search, part, _ := strings.Cut(id, ".")
			run.mutex.Lock()
			defer run.mutex.Unlock()
			if run.counts != nil {
				s := run.invariants.Sent(search, part, v.Name, run.now())
				return func(how string) {
					if how == "REJECTED" { // its queue was full: that was never begun, and may go elsewhere
						run.mutex.Lock()
						s.Never, s.NeverAt = true, run.now()
						run.mutex.Unlock()
					}
				}
			}
			return nil
		}
		run.servers = append(run.servers, v)
	}
	n := 0
	for at, s := range run.Sites {
		for range s.Brokers {
			b := &brokerProcess{run: run, name: fmt.Sprintf("b%d", n), site: at, dir: run.options.Dir}
			n++
			run.brokers = append(run.brokers, b)
		}
	}
	for i, b := range run.brokers {
		for _, s := range run.servers {
			l, err := run.network.Add(links.Endpoint{Name: b.name, Site: run.Sites[b.site].Name}, links.Endpoint{Name: s.Name, Site: run.Sites[s.Site].Name}, s.frames.Addr().String())
			if err != nil {
				return err
			}
			s.links = append(s.links, l)
		}
		b.index = i
		var err error
		if b.agent, err = newAgent(run.entries(i)); err != nil {
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
		for i, b := range run.brokers {
			b.gossipLinks = map[string]string{}
			for j, o := range run.brokers {
				if i == j {
					continue
				}
				l, err := run.network.AddWithDatagrams(links.Endpoint{Name: b.name, Site: run.Sites[b.site].Name}, links.Endpoint{Name: o.name, Site: run.Sites[o.site].Name}, run.gossipAddress(j))
				if err != nil {
					return err
				}
				b.gossipLinks[run.gossipAddress(j)] = l.Address()
			}
		}
	}
	for _, b := range run.brokers {
		if err := b.start(); err != nil {
			return err
		}
	}
	for at, s := range run.Sites {
		f, err := run.newFront(at)
		if err != nil {
			return err
		}
		run.fronts = append(run.fronts, f)
		_ = s
	}
	return nil
}

// entries is the list as one broker is to find it.
func (run *runner) entries(broker int) (list []sockets.Instance) {
	for _, s := range run.servers {
		list = append(list, run.entry(s, broker))
	}
	return list
}

func (run *runner) entry(s *server, broker int) sockets.Instance {
	e := sockets.Instance{ID: s.id, Addr: s.links[broker].Address(), Zone: run.Sites[s.Site].Name, Cell: s.Cell, Lifecycle: s.lifecycle, Weight: 1}
	if s.startedAtMs > 0 {
		e.Started = run.startedAt.UnixMilli() + int64(s.startedAtMs)
	}
	return e
}

// run plays the time line under load.
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

// removeFaults undoes what is still laid, so that the last searches end.
func (run *runner) removeFaults() {
	run.mutex.Lock()
	list := run.activeFaults
	run.activeFaults = map[string]func(){}
	run.mutex.Unlock()
	for _, u := range list {
		u()
	}
}

// resetCounts starts the clock of what is counted: brokers took their time to come up. The lock is held.
func (run *runner) resetCounts() {
	run.startedAt = time.Now()
	run.counts = newCounts(run.File)
	for i, s := range run.servers {
		s.model = station.New(run.ServerModel(), run.startedAt, run.Seed*1000+uint64(i))
		s.frames.Work = s.model.Work
	}
}

// resolvePattern gives the names that a pattern stands for.
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

func (run *runner) server(name string) *server {
	for _, s := range run.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (run *runner) broker(name string) *brokerProcess {
	for _, b := range run.brokers {
		if b.name == name {
			return b
		}
	}
	return nil
}

// gossipAddress is where a broker talks to others: an address of its own in this process's part of the loopback range. What is said
// there passes links, as each reaches the others by addresses of its own.
func (run *runner) gossipAddress(broker int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7946", 16+pid%200, pid/200%250, broker+1)
}

// Fleet is the file's fleet as a plan sees it.
func (f *File) Fleet() *lossplan.Fleet {
	p := &lossplan.Fleet{Shards: f.ShardCount, Replicas: f.ReplicaCount, Headroom: f.Headroom}
	for _, s := range f.Sites {
		p.Sites = append(p.Sites, s.Name)
	}
	for _, s := range f.ServerLayout() {
		p.Servers = append(p.Servers, lossplan.Server{Site: s.Site, Cell: s.Cell, CapacityPerS: f.ServerModel().Bears()})
	}
	for _, t := range f.Types {
		p.Loads = append(p.Loads, lossplan.Load{Name: t.Name, SearchesPerS: t.RatePerS, ShardsPerSearch: t.ShardsPerQuery, Value: t.Value, MinAnsweredShare: *t.MinCompleteness})
	}
	return p
}
