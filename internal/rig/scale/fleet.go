package scale

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Fleet is hollow nodes and what stands around them, in one process and on one thread.
type Fleet struct {
	shape     Shape
	clock     *timeline
	random    *rand.Rand
	nodes     []*node // the core first
	byAddress map[string]*node
	byControl map[string]*node
	brokers   []*standInBroker
	byBroker  map[string]*standInBroker // by address
	seeds     []string                  // internal addresses

	nodesByID   map[string]*node
	loss        float64 // share of messages between nodes that get lost
	cutRegion   string  // the region that is out of contact with the others; empty: none
	lookupEach  time.Duration
	askedIndex  bool
	relay       relay
	eventsOn    bool // brokers keep and drop parts
	unencodable int
	versions    map[string]uint64 // newest named version by model
	watch       watch
}

// The figures of the retry budget, as the deployments have them.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 184
)

// Options of a hollow fleet besides its shape.
type Options struct {
	Seed uint64
	// Chatter is for tests: each node sends a message to all others so often; 0: never.
	Chatter time.Duration
	// AskedIndex and Relayed try designs that the nodes do not have: see lookups.go and relay.go.
	AskedIndex bool
	Relayed    bool
	// Until is when the last phase may begin, by the real clock; the zero time: no bound.
	Until time.Time
	// Spans of the phases; zero values stand for the defaults.
	Spans Spans
}

// Spans are how long phases last, in virtual time.
type Spans struct {
	// Settle is how long nodes are left alone before the first reading; by default until the first exchanges of whole lists of
	// members are over.
	Settle     time.Duration
	Quiet      time.Duration
	BusyWarmUp time.Duration
	Busy       time.Duration
	Loss       time.Duration
}

// The defaults of Spans.
var defaultSpans = Spans{
	Settle: 45 * time.Second, Quiet: 20 * time.Second, BusyWarmUp: 3 * time.Second, Busy: 5 * time.Second, Loss: 60 * time.Second,
}

func (s Spans) withDefaults() Spans {
	s.Settle = cmp.Or(s.Settle, defaultSpans.Settle)
	s.Quiet = cmp.Or(s.Quiet, defaultSpans.Quiet)
	s.BusyWarmUp = cmp.Or(s.BusyWarmUp, defaultSpans.BusyWarmUp)
	s.Busy = cmp.Or(s.Busy, defaultSpans.Busy)
	s.Loss = cmp.Or(s.Loss, defaultSpans.Loss)
	return s
}

const seedMachines = 3

// NewFleet lays a fleet out; nothing runs yet.
func NewFleet(shape Shape, options Options) *Fleet {
	f := &Fleet{
		shape: shape, clock: &timeline{}, random: rand.New(rand.NewPCG(options.Seed, 0x5ca1e)),
		byAddress: map[string]*node{}, byControl: map[string]*node{}, byBroker: map[string]*standInBroker{},
		versions: map[string]uint64{}, nodesByID: map[string]*node{}, askedIndex: options.AskedIndex,
		relay: relay{on: options.Relayed, homes: map[string]*node{}, counted: map[relayKey]bool{}},
	}
	for i := range shape.Core {
		f.addNode(i, true, options.Chatter)
	}
	for i := range shape.Proxies {
		f.addNode(shape.Core+i, false, options.Chatter)
	}
	for _, n := range f.nodes[:min(seedMachines, shape.Core)] {
		f.seeds = append(f.seeds, n.self.Address)
	}
	for i := range shape.Brokers {
		f.addBroker(i)
	}
	return f
}

// tolerance is how many machines of the core may be lost at one time.
func (f *Fleet) tolerance() int { return min(2, (f.shape.Core-1)/2) }

// placeOf spreads over the zones by turns; the first zones are those of the first region.
func (f *Fleet) placeOf(i int) place {
	zone := i % f.shape.Zones
	perRegion := (f.shape.Zones + f.shape.Regions - 1) / f.shape.Regions
	return place{zone: fmt.Sprintf("zone-%d", zone+1), region: fmt.Sprintf("region-%d", zone/perRegion+1)}
}

func (f *Fleet) addNode(i int, hasDisk bool, chatter time.Duration) {
	at := f.placeOf(i)
	ip := fmt.Sprintf("10.%d.%d.%d", i%f.shape.Zones+1, i/250, i%250+1)
	name := fmt.Sprintf("front-%s-%d", at.zone, i+1)
	n := &node{
		fleet: f, place: at, random: rand.New(rand.NewPCG(f.random.Uint64(), uint64(i))), meter: &meter{}, chatter: chatter,
		requests: map[uint64]func(core.Time, core.Reply){},
		callers:  map[uint64]func(core.RegistryReply){}, asked: map[lookupKey]core.Time{}, armedAt: never,
		self: &nodepb.Member{
			NodeId: fmt.Sprintf("%s/%012x", name, f.random.Uint64()>>16), Name: name, Address: ip + ":7560", ControlAddress: ip + ":8381",
			Zone: at.zone, Region: at.region, CountsForQuorum: hasDisk, ServesFront: true, Incarnation: 1,
		},
	}
	if hasDisk {
		n.self.DiskId = fmt.Sprintf("%032x", f.random.Uint64())
	}
	f.nodes = append(f.nodes, n)
	f.byAddress[n.self.Address] = n
	f.byControl[n.self.ControlAddress] = n
	f.nodesByID[n.self.NodeId] = n
}

// startWithin is the span in which all machines start.
const startWithin = 300 * time.Millisecond

// Start starts all nodes, and then the brokers.
func (f *Fleet) Start() {
	for _, n := range f.nodes {
		f.clock.after(f.randomSpan(startWithin), n.start)
	}
	for _, b := range f.brokers {
		f.clock.after(time.Second+f.randomSpan(Heartbeat), b.beat)
	}
}

func (f *Fleet) randomSpan(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// running lists the nodes that run.
func (f *Fleet) running() []*node {
	list := make([]*node, 0, len(f.nodes))
	for _, n := range f.nodes {
		if n.running {
			list = append(list, n)
		}
	}
	return list
}

// anyNode picks a node that runs.
func (f *Fleet) anyNode() *node {
	running := f.running()
	return running[f.random.IntN(len(running))]
}

// agreed reports whether all nodes know all others, the view and all brokers.
func (f *Fleet) agreed() bool {
	running := f.running()
	for _, n := range running {
		if len(n.control.Members()) != len(running) || n.control.View() == nil {
			return false
		}
		if len(n.control.Registry().Table().ByID) != len(f.brokers) {
			return false
		}
	}
	return true
}

// startChatter has a node tell all others something each so often. Only tests ask for it: it is what CheckSlopes must find.
func (n *node) startChatter() {
	if n.chatter == 0 {
		return
	}
	n.fleet.clock.after(n.chatter, n.chat)
}

func (n *node) chat() {
	if !n.running {
		return
	}
	n.turn(&n.meter.ticks, func(core.Time) {
		for _, member := range n.control.Members() {
			if member.NodeId != n.self.NodeId {
				poll := &nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdateAck{InstanceUpdateAck: &nodepb.InstanceUpdateAck{Nonce: 1}}}
				n.fleet.send(n, core.Send{Destination: member.Address, Message: poll})
			}
		}
	})
	n.startChatter()
}
