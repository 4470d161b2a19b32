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
	Say     func(form string, args ...any)
}

// world is a run.
type world struct {
	*File
	opt      Options
	zero     time.Time
	net      *links.Net
	servers  []*server
	brokers  []*process
	fronts   []*front
	lock     sync.Mutex
	book     *rules.Book
	counts   *counts
	times    float64 // of the load
	undo     map[string]func()
	lostNow  []float64 // by site: since when it is lost, or negative infinity
	cutNow   []bool    // and whether only the way to it is
	lostEver []span
	truths   []truth
	rng      *rand.Rand
	frozen   map[string]bool
	late     map[string]float64 // by broker, ms
	asked    sync.WaitGroup
	quorum   *quorum
}

// span is when a site was lost, in ms of the run. cut: only the way there was, and both sides served what they hold.
type span struct {
	site     int
	from, to float64
	cut      bool
}

type server struct {
	Server
	id      string
	station *station.Station
	frames  *sockets.Frames
	links   []*links.Link // by broker
	state   string
	started float64
	gen     int
	serial  int
}

func (w *world) now() float64 { return float64(time.Since(w.zero).Microseconds()) / 1000 }

// Play runs a scenario to its end and tells what happened.
func Play(ctx context.Context, f *File, opt Options) (*Report, error) {
	if opt.Say == nil {
		opt.Say = func(string, ...any) {}
	}
	w := &world{File: f, opt: opt, zero: time.Now(), net: links.New(f.Seed), book: rules.New(), times: 1, undo: map[string]func(){},
		rng: rand.New(rand.NewPCG(f.Seed, 5)), frozen: map[string]bool{}, late: map[string]float64{}}
	w.book.Slack = f.slack // this process's own scheduling and the links' are no fault of a broker's
	w.net.Base = links.Between(f.Links.Within, f.Links.Between)
	for range f.Sites {
		w.lostNow, w.cutNow = append(w.lostNow, math.Inf(-1)), append(w.cutNow, false)
	}
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	w.run(ctx)
	return w.report(), ctx.Err()
}

func (w *world) close() {
	for _, b := range w.brokers {
		b.end()
	}
	for _, b := range w.brokers {
		b.agent.close()
	}
	w.net.Close()
	for _, s := range w.servers {
		s.frames.Die()
	}
	if w.quorum != nil {
		w.quorum.to.CloseClientConnections()
		w.quorum.to.Close()
	}
	for _, f := range w.fronts {
		f.close()
	}
}

func (w *world) start() error {
	for i, s := range w.Layouts() {
		f, err := sockets.StartFrames(0, 0)
		if err != nil {
			return err
		}
		v := &server{Server: s, id: s.Name, frames: f, state: "ready", station: station.New(w.Kind(), w.zero, w.Seed*1000+uint64(i))}
		f.Work = v.station.Work
		f.Seen = func(id string) func(how string) {
			search, part, _ := strings.Cut(id, ".")
			w.lock.Lock()
			defer w.lock.Unlock()
			if w.counts != nil {
				s := w.book.Sent(search, part, v.Name, w.now())
				return func(how string) {
					if how == "REJECTED" { // its queue was full: that was never begun, and may go elsewhere
						w.lock.Lock()
						s.Never, s.NeverAt = true, w.now()
						w.lock.Unlock()
					}
				}
			}
			return nil
		}
		w.servers = append(w.servers, v)
	}
	n := 0
	for at, s := range w.Sites {
		for range s.Brokers {
			b := &process{w: w, name: fmt.Sprintf("b%d", n), site: at, dir: w.opt.Dir}
			n++
			w.brokers = append(w.brokers, b)
		}
	}
	for i, b := range w.brokers {
		for _, s := range w.servers {
			l, err := w.net.Add(links.Party{Name: b.name, Site: w.Sites[b.site].Name}, links.Party{Name: s.Name, Site: w.Sites[s.Site].Name}, s.frames.Addr().String())
			if err != nil {
				return err
			}
			s.links = append(s.links, l)
		}
		b.at = i
		var err error
		if b.agent, err = newAgent(w.entries(i)); err != nil {
			return err
		}
	}
	w.addOwners()
	if w.quorum != nil {
		for _, b := range w.brokers {
			var err error
			if b.owner, err = w.quorum.part(b); err != nil {
				return err
			}
		}
	}
	if w.Talk {
		for i, b := range w.brokers {
			b.via = map[string]string{}
			for j, o := range w.brokers {
				if i == j {
					continue
				}
				l, err := w.net.AddBoth(links.Party{Name: b.name, Site: w.Sites[b.site].Name}, links.Party{Name: o.name, Site: w.Sites[o.site].Name}, w.talker(j))
				if err != nil {
					return err
				}
				b.via[w.talker(j)] = l.Addr()
			}
		}
	}
	for _, b := range w.brokers {
		if err := b.start(); err != nil {
			return err
		}
	}
	for at, s := range w.Sites {
		f, err := w.newFront(at)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
		_ = s
	}
	return nil
}

// entries is the list as one broker is to find it.
func (w *world) entries(broker int) (list []sockets.Instance) {
	for _, s := range w.servers {
		list = append(list, w.entry(s, broker))
	}
	return list
}

func (w *world) entry(s *server, broker int) sockets.Instance {
	e := sockets.Instance{ID: s.id, Addr: s.links[broker].Addr(), Zone: w.Sites[s.Site].Name, Cell: s.Cell, Lifecycle: s.state, Weight: 1}
	if s.started > 0 {
		e.Started = w.zero.UnixMilli() + int64(s.started)
	}
	return e
}

// run plays the time line under load.
func (w *world) run(ctx context.Context) {
	w.lock.Lock()
	w.zeroCounts()
	w.lock.Unlock()
	ctx, end := context.WithTimeout(ctx, time.Duration(w.Seconds*1e9))
	defer end()
	for _, f := range w.fronts {
		f.load(ctx)
	}
	if w.quorum != nil {
		w.asked.Go(func() { w.quorum.watch(ctx) })
	}
	steps := w.Schedule(w.parties)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for at := 0; ; {
		wait := time.Hour
		if at < len(steps) {
			wait = time.Duration((steps[at].At*1000 - w.now()) * 1e6)
		}
		t := time.NewTimer(max(wait, 0))
		select {
		case <-ctx.Done():
			t.Stop()
			w.lift()
			w.asked.Wait()
			return
		case <-tick.C:
			t.Stop()
			w.progress()
		case <-t.C:
			w.opt.Say("%v", steps[at])
			if err := w.take(steps[at]); err != nil {
				w.opt.Say("that failed: %v", err)
			}
			at++
		}
	}
}

// lift undoes what is still laid, so that the last searches end.
func (w *world) lift() {
	w.lock.Lock()
	list := w.undo
	w.undo = map[string]func(){}
	w.lock.Unlock()
	for _, u := range list {
		u()
	}
}

// zeroCounts starts the clock of what is counted: brokers took their time to come up. The lock is held.
func (w *world) zeroCounts() {
	w.zero = time.Now()
	w.counts = newCounts(w.File)
	for i, s := range w.servers {
		s.station = station.New(w.Kind(), w.zero, w.Seed*1000+uint64(i))
		s.frames.Work = s.station.Work
	}
}

// parties gives the names that a pattern stands for.
func (w *world) parties(pattern string, share float64) (list []string) {
	kind, site, _ := strings.Cut(pattern, "@")
	if kind != "" && kind != "*" && kind != "servers" && kind != "brokers" {
		return []string{pattern}
	}
	here := func(at int) bool { return site == "" || w.Sites[at].Name == site }
	if kind != "brokers" {
		for _, s := range w.servers {
			if here(s.Site) {
				list = append(list, s.Name)
			}
		}
	}
	if kind != "servers" {
		for _, b := range w.brokers {
			if here(b.site) {
				list = append(list, b.name)
			}
		}
	}
	return list[:int(math.Ceil(share*float64(len(list))))]
}

func (w *world) server(name string) *server {
	for _, s := range w.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (w *world) broker(name string) *process {
	for _, b := range w.brokers {
		if b.name == name {
			return b
		}
	}
	return nil
}

// talker is where a broker talks to others: an address of its own in this process's part of the loopback range. What is said
// there passes links, as each reaches the others by addresses of its own.
func (w *world) talker(broker int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7946", 16+pid%200, pid/200%250, broker+1)
}

// Fleet is the file's fleet as a plan sees it.
func (f *File) Fleet() *lossplan.Fleet {
	p := &lossplan.Fleet{Shards: f.Places, Replicas: f.Copies, Headroom: f.Headroom}
	for _, s := range f.Sites {
		p.Sites = append(p.Sites, s.Name)
	}
	for _, s := range f.Layouts() {
		p.Servers = append(p.Servers, lossplan.Server{Site: s.Site, Cell: s.Cell, CapacityPerS: f.Kind().Bears()})
	}
	for _, t := range f.Types {
		p.Loads = append(p.Loads, lossplan.Load{Name: t.Name, SearchesPerS: t.PerS, ShardsPerSearch: t.Parts, Value: t.Value, MinAnsweredShare: *t.Floor})
	}
	return p
}
