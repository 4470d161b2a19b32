package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/membership"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/nodestatus"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// Unit is what one more item takes at a node: a line through several numbers of items. Base and Slope are in Unit.
type Unit struct {
	Fit
	// AtCount is the number of items at a node at the target, and AtTarget what they take.
	AtCount float64 `json:"atCount"`
}

// unit is a measurement of a state or a piece of work by the number of items in it.
type unit struct {
	name    string
	unit    string
	counts  []int
	measure func(count int) float64
	at      float64 // items at a node at the target
}

// mostPartsOfHome is how many parts of one broker its home remembers.
const mostPartsOfHome = 16384

// Units measures what single items take in the cores' state, in bytes of the heap, and in processor time.
func Units(target Target) []Unit {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	brokers := float64(target.ModelBrokers)
	nodes := float64(target.Proxies + target.ControlMachines)
	list := []unit{
		{"registry: a broker", "B", []int{200, 600, 2000}, func(n int) float64 { return heapOf(func() any { return registryOf(n) }) }, brokers},
		{"router: a broker known", "B", []int{200, 600, 2000}, func(n int) float64 { return heapOf(func() any { return routerOf(n, false) }) }, brokers},
		{"router: a broker heard of", "B", []int{200, 600, 2000}, func(n int) float64 { return heapOf(func() any { return routerOf(n, true) }) }, brokers},
		{"membership: a member", "B", []int{100, 400, 1000}, func(n int) float64 { return heapOf(func() any { return membershipOf(n) }) }, nodes},
		{"index: a record", "B", []int{10_000, 20_000, 40_000}, func(n int) float64 { return heapOf(func() any { return indexOf(n) }) }, indexRecords},
		{"index home: a part of a broker", "B", []int{4000, 8000, 16000}, func(n int) float64 { return heapOf(func() any { return homeOf(n) }) }, mostPartsOfHome},
		{"configuration: a tenant, held and compiled", "B", []int{400, 1200, 3800}, func(n int) float64 { return heapOf(func() any { return stateOf(n) }) }, float64(target.Tenants)},
		{"configuration: bytes of a snapshot, a tenant", "B", []int{400, 1200, 3800}, func(n int) float64 { return float64(len(stateOf(n).Snapshot())) }, float64(target.Tenants)},
		{"configuration: a change of one tenant, checked", "µs", []int{400, 1200, 3800}, func(n int) float64 { return changeTime(n, checked) }, float64(target.Tenants)},
		{"configuration: a change of one tenant, applied and compiled", "µs", []int{400, 1200, 3800}, func(n int) float64 { return changeTime(n, applied) }, float64(target.Tenants)},
		{"configuration: read back, with its snapshot opened", "µs", []int{400, 1200, 3800}, fetchTime, float64(target.Tenants)},
		{"operator: bytes of a node's status, a node of the fleet", "B", []int{100, 400, 1000}, func(n int) float64 { return float64(len(encoded(statusOf(n, 0)))) }, nodes},
		{"operator: bytes of a node's status, a broker", "B", []int{200, 600, 2000}, func(n int) float64 { return float64(len(encoded(statusOf(0, n)))) }, brokers},
		{"events: read and taken in by the home", "µs", []int{150, 450, 1500}, eventsTime, target.EventsPerS / float64(target.ModelBrokers)},
	}
	units := make([]Unit, 0, len(list))
	for _, u := range list {
		units = append(units, u.run())
	}
	return units
}

func (u unit) run() Unit {
	var x, y []float64
	for _, count := range u.counts {
		x, y = append(x, float64(count)), append(y, u.measure(count))
	}
	fit, _ := fitLine(u.name, u.unit, x, y, u.at, 0)
	return Unit{Fit: fit, AtCount: u.at}
}

// Print writes a line of a unit.
func (u Unit) Print(w io.Writer) {
	fmt.Fprintf(w, "%-62s %10.4g + %8.4g %s an item  (off by %2.0f%%)  -> %.4g %s for %.0f\n", u.Metric, u.Base, u.Slope, u.Unit, 100*u.Error,
		u.AtTarget, u.Unit, u.AtCount)
}

// heapOf is what the heap holds more with a value than without.
func heapOf(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after - before)
}

// leastTime of processor time makes a measurement of time.
const leastTime = 50 * time.Millisecond

// timeOf is the processor time of one call, in µs, over as many calls as take leastTime.
func timeOf(call func()) float64 {
	calls := 0
	began := threadTime()
	for threadTime()-began < leastTime {
		call()
		calls++
	}
	return float64((threadTime() - began).Nanoseconds()) / 1000 / float64(calls)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// brokersOf are the heartbeats of the brokers of a fleet.
func brokersOf(shape Shape) []*nodepb.Instance {
	f := NewFleet(shape, Options{Seed: 1})
	list := make([]*nodepb.Instance, 0, shape.Brokers)
	for _, b := range f.brokers {
		list = append(list, b.instance())
	}
	return list
}

func registryOf(count int) *registry.Registry {
	shape := ShapeOf(TwoYears.Proxies, TwoYears)
	shape.Brokers = count
	return registryOfShape(shape)
}

func registryOfShape(shape Shape) *registry.Registry {
	r := registry.New(0, registry.Options{SelfID: "self", SelfAddress: "10.1.0.1:7560", Zone: "zone-1"}, newRandom())
	for i, instance := range brokersOf(shape) {
		r.Heartbeat(core.Time(i), uint64(i), instance)
	}
	r.Table()
	return r
}

func routerOf(count int, heard bool) *routing.Router {
	router := routing.New(0, routing.Options{Zone: "zone-1", RetryBudgetRatio: retryRatio, RetryBudgetSlack: retrySlack, Random: newRandom()})
	table := registryOf(count).Table()
	router.SetTable(0, table)
	if !heard {
		return router
	}
	route := &config.Route{Name: "r", Kind: config.KindSafe, TimeoutMs: 8000, MaxAttempts: 1}
	const now = time.Second
	var requests []routing.RequestID
	for _, instance := range table.ByID { // all at once, so that each broker gets one
		request, _ := router.Begin(now, routing.Request{
			Route: route, Service: instance.Service, Received: now, Deadline: now + 8*time.Second,
		})
		requests = append(requests, request)
	}
	load := &routing.Load{Running: 1, Slots: slotsOfBroker}
	for _, request := range requests {
		router.Started(now+time.Millisecond, request, 0, load)
		router.Finished(now+2*time.Millisecond, request, 0, routing.Outcome{Verdict: verdict.Ran, Answered: true, Status: 200, Load: load}, false)
		router.End(now+2*time.Millisecond, request)
	}
	return router
}

func membershipOf(count int) *membership.Membership {
	shape := ShapeOf(count, TwoYears)
	f := NewFleet(shape, Options{Seed: 1})
	m := membership.New(0, membership.Options{Self: f.nodes[0].self}, newRandom())
	message := &nodepb.Envelope{Body: &nodepb.Envelope_MemberSync{MemberSync: &nodepb.MemberSync{}}}
	for _, n := range f.nodes[1:] {
		message.GetMemberSync().Members = append(message.GetMemberSync().Members, n.self)
	}
	m.Receive(0, core.Peer{NodeID: f.nodes[1].self.NodeId, Address: f.nodes[1].self.Address}, message)
	m.Members()
	return m
}

func indexOf(count int) *kvindex.Index {
	index := kvindex.NewIndex(count)
	random := newRandom()
	for i := range count {
		index.Set(fmt.Sprintf("i-%03d", i%100), 1, random.Uint64(), mostPart)
	}
	return index
}

// eventsOf is the answer of a broker that tells of so many parts newly kept.
func eventsOf(count int) *kvindex.Events {
	random := newRandom()
	events := &kvindex.Events{Epoch: 1, Next: uint64(count)}
	for range count {
		events.List = append(events.List, kvindex.Event{Salt: 1, Part: random.Uint64(), Tokens: leastPart + random.IntN(mostPart)})
	}
	return events
}

// homeOf is the home of one broker that has told of so many parts, and that has told them on.
func homeOf(count int) *kvindex.Home {
	home := kvindex.NewHome(kvindex.HomeOptions{Epoch: 1, BytesPerSecond: 1 << 30})
	home.SetSources(0, []kvindex.Source{{Instance: "i-1", Address: "10.100.0.1:9000", Service: "s", Zone: "z"}})
	token := askedToken(home, time.Second)
	home.EventsDone(time.Second, token, eventsOf(count), nil)
	home.Tick(3 * time.Second)
	return home
}

// askedToken is the token of the call that the home makes at a time.
func askedToken(home *kvindex.Home, now core.Time) uint64 {
	for _, output := range home.Tick(now) {
		if ask, ok := output.(core.FetchEvents); ok {
			return ask.Token
		}
	}
	return 0
}

// eventsTime is the processor time of taking in an answer of so many events, in µs.
func eventsTime(count int) float64 {
	f := NewFleet(ShapeOf(leastServices, TwoYears), Options{Seed: 1})
	kept := f.brokers[0].kept
	text := []byte(`{"epoch":1,"nextPageToken":1,"lost":false,"events":[`)
	for i := range count {
		if i > 0 {
			text = append(text, ',')
		}
		text = kept.appendEvent(text)
	}
	text = append(text, `]}`...)
	return timeOf(func() {
		events := &kvindex.Events{}
		if json.Unmarshal(text, events) != nil {
			return
		}
		home := kvindex.NewHome(kvindex.HomeOptions{Epoch: 1})
		home.SetSources(0, []kvindex.Source{{Instance: "i-1", Address: "10.100.0.1:9000", Service: "s", Zone: "z"}})
		home.EventsDone(time.Second, askedToken(home, time.Second), events, nil)
		home.Tick(3 * time.Second)
	})
}

func shapeOfTenants(count int) Shape {
	shape := ShapeOf(TwoYears.Proxies, TwoYears)
	shape.Tenants = count
	return shape
}

func stateOf(tenants int) *config.State {
	state := config.NewState(schema.NewChecker())
	state.Apply(&nodepb.Entry{Index: 1, Command: replaceCommand(configurationOf(shapeOfTenants(tenants)))})
	state.Compile()
	return state
}

// part of the way of a change.
type part uint8

const (
	checked part = iota // at the head of the chain
	applied             // at every node
)

// changeTime is the processor time of one change among so many tenants, in µs.
func changeTime(tenants int, which part) float64 {
	state := stateOf(tenants)
	version := state.Version()
	return timeOf(func() {
		command := updateCommand(version, int(version)%tenants, int(version))
		if which == checked {
			state.Check(command)
			return
		}
		version++
		state.Apply(&nodepb.Entry{Index: version, Command: command})
		state.Compile()
	})
}

// fetchTime is the processor time of reading the configuration of so many tenants back, in µs.
func fetchTime(tenants int) float64 {
	state := stateOf(tenants)
	return timeOf(func() {
		if _, err := config.FetchFromSnapshot(state.Snapshot()); err != nil {
			panic(err) // the state's own snapshot can be read
		}
	})
}

// statusOf is what a node answers that knows so many nodes and brokers.
func statusOf(nodes, brokers int) *nodestatus.Status {
	shape := ShapeOf(max(nodes, 1), TwoYears)
	shape.Brokers = brokers
	f := NewFleet(shape, Options{Seed: 1})
	status := &nodestatus.Status{Node: f.nodes[0].self.Name, ID: f.nodes[0].self.NodeId}
	for _, n := range f.nodes[:nodes] {
		status.Members = append(status.Members, nodestatus.Member{
			Name: n.self.Name, Address: n.self.Address, Zone: n.self.Zone, CountsForQuorum: n.self.CountsForQuorum,
		})
	}
	for _, b := range f.brokers {
		status.Instances = append(status.Instances, nodestatus.Instance{
			ID: b.id, Service: b.service, Address: b.address, Zone: b.place.zone, State: b.state.String(), Models: map[string]uint64{b.model: b.version},
		})
	}
	return status
}
