// Package itemsize bounds the memory of single items in the state of a node: a broker in the registry and in the router, a member, a
// record of the prefix index, a tenant of the configuration. Sizes are bytes of the heap, or of a snapshot.
package itemsize

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/membership"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/standin/fleetoperator"
)

// The planned size of a fleet, which the items are distributed by. Source: docs/CAPACITY.md.
const (
	services         = 23
	zones            = 5
	machinesWithDisk = 8
	routesPerService = 4
	slots            = 32
	minBlockTokens   = 128
	maxBlockTokens   = 2048
)

// TestItemSizesAreBounded fits a line through the sizes of states with several counts of items: its slope is the size of one. Limits are
// above today's sizes, and below twice these.
func TestItemSizesAreBounded(t *testing.T) {
	for _, item := range []struct {
		name   string
		limit  float64 // bytes each
		counts []int
		bytes  func(count int) float64
	}{
		{"registry: a broker", 1500, []int{200, 600, 2000}, heapOf(func(n int) any { return registryOf(n) })},
		{"router: a broker", 1400, []int{200, 600, 2000}, heapOf(func(n int) any { return routerOf(n) })},
		{"membership: a member", 600, []int{100, 400, 1000}, heapOf(func(n int) any { return membershipOf(n) })},
		{"index: a record", 100, []int{10_000, 20_000, 40_000}, heapOf(func(n int) any { return indexOf(n) })},
		{"index home: a block of a broker", 600, []int{4000, 8000, 16000}, heapOf(func(n int) any { return homeOf(n) })},
		{"configuration: a tenant, stored and compiled", 800, []int{400, 1200, 3800}, heapOf(func(n int) any { return stateOf(t, n) })},
		{"configuration: bytes of a snapshot, a tenant", 150, []int{400, 1200, 3800},
			func(n int) float64 { return float64(len(stateOf(t, n).Snapshot())) }},
	} {
		t.Run(item.name, func(t *testing.T) {
			var counts, bytes []float64
			for _, count := range item.counts {
				counts, bytes = append(counts, float64(count)), append(bytes, item.bytes(count))
			}
			_, slope := stat.LinearRegression(counts, bytes, nil, false)
			t.Logf("%.0f bytes each", slope)
			assert.Check(t, slope < item.limit, "%.0f bytes each, at most %.0f are allowed", slope, item.limit)
			assert.Check(t, slope > item.limit/4, "%.0f bytes each: the items are missing", slope)
		})
	}
}

// heapOf measures by how much a state grows the heap.
func heapOf(build func(count int) any) func(count int) float64 {
	return func(count int) float64 {
		before := heapInUse()
		value := build(count)
		after := heapInUse()
		runtime.KeepAlive(value)
		return float64(after - before)
	}
}

// heapInUse is the size of the live heap.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// newRandom is a random source with a fixed seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func serviceName(i int) string { return fmt.Sprintf("assistant-%02d", i+1) }

func modelName(i int) string { return serviceName(i) + "-70b" }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones+1) }

// instanceOf is the first heartbeat of a broker.
func instanceOf(i int, random *rand.Rand) *nodepb.Instance {
	service := i % services
	return &nodepb.Instance{
		Id: fmt.Sprintf("i-%012x", random.Uint64()>>16), Service: serviceName(service), Zone: zoneName(i / services),
		Address: fmt.Sprintf("10.100.%d.%d:9000", i/250, i%250+1), Software: "engine-7.2", Slots: slots,
		Sequence: 1, Stage: "both", Models: []*nodepb.ModelOnInstance{{Name: modelName(service), Version: 1}},
	}
}

// registryOf is a registry of that many brokers.
func registryOf(brokers int) *registry.Registry {
	r := registry.New(0, registry.Options{SelfID: "self", SelfAddress: "10.1.0.1:7560", Zone: "zone-1"}, newRandom())
	random := newRandom()
	for i := range brokers {
		r.Heartbeat(core.Time(i), uint64(i), instanceOf(i, random))
	}
	r.Table()
	return r
}

// routerOf is a router that knows that many brokers.
func routerOf(brokers int) *routing.Router {
	router := routing.New(0, routing.Options{Zone: "zone-1", RetryBudgetRatio: 0.2, RetryBudgetSlack: 184, Random: newRandom()})
	router.SetTable(0, registryOf(brokers).Table())
	return router
}

// memberOf is a member; the first ones have disks.
func memberOf(i int, random *rand.Rand) *nodepb.Member {
	name, ip := fmt.Sprintf("proxy-%04d", i), fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
	member := &nodepb.Member{
		NodeId: fmt.Sprintf("%s/%012x", name, random.Uint64()>>16), Name: name, Address: ip + ":7560", ControlAddress: ip + ":8381",
		Zone: zoneName(i), Region: fmt.Sprintf("region-%d", i%2+1), CountsForQuorum: i < machinesWithDisk, ServesFront: true, Incarnation: 1,
	}
	if member.CountsForQuorum {
		member.DiskId = fmt.Sprintf("%032x", random.Uint64())
	}
	return member
}

// membershipOf is the membership of a node beside that many proxies and the machines with disks.
func membershipOf(proxies int) *membership.Membership {
	random := newRandom()
	self, sync := memberOf(0, random), &nodepb.MemberSync{}
	for i := range proxies + machinesWithDisk - 1 {
		sync.Members = append(sync.Members, memberOf(i+1, random))
	}
	m := membership.New(0, membership.Options{Self: self}, newRandom())
	from := sync.Members[0]
	m.Receive(0, core.Peer{NodeID: from.NodeId, Address: from.Address}, &nodepb.Envelope{Body: &nodepb.Envelope_MemberSync{MemberSync: sync}})
	m.Members()
	return m
}

// indexOf is a prefix index of that many records.
func indexOf(records int) *kvindex.Index {
	index := kvindex.NewIndex(records)
	random := newRandom()
	for i := range records {
		index.SetCachedTokens(fmt.Sprintf("i-%03d", i%100), 1, random.Uint64(), maxBlockTokens)
	}
	return index
}

// homeOf is the home of one broker that has reported that many blocks, and that has forwarded them.
func homeOf(blocks int) *kvindex.Home {
	home := kvindex.NewHome(kvindex.HomeOptions{Epoch: 1, BytesPerSecond: 1 << 30})
	home.SetSources(0, []kvindex.Source{{Instance: "i-1", Address: "10.100.0.1:9000", Service: "s", Zone: "z"}})
	random := newRandom()
	events := &kvindex.Events{Epoch: 1, NextPageToken: uint64(blocks)}
	for range blocks {
		events.List = append(events.List, kvindex.Event{Salt: 1, Part: random.Uint64(), Tokens: minBlockTokens + random.IntN(maxBlockTokens)})
	}
	for _, output := range home.Tick(time.Second) {
		if fetch, ok := output.(core.FetchEvents); ok {
			home.HandleEvents(time.Second, fetch.Token, events, nil)
		}
	}
	home.Tick(3 * time.Second)
	return home
}

// stateOf is the configuration state with that many tenants.
func stateOf(t *testing.T, tenants int) *config.State {
	t.Helper()
	body, err := json.Marshal(configurationOf(tenants))
	assert.NilError(t, err)
	state := config.NewState(schema.NewChecker())
	state.Apply(&nodepb.Entry{Index: 1, Command: &nodepb.Command{
		Id:     "change-1",
		Change: &nodepb.Command_ConfigChange{ConfigChange: &nodepb.ConfigChange{Replace: true, Version: 1, Body: body}},
	}})
	state.Compile()
	assert.Equal(t, state.Version(), uint64(1))
	return state
}

// configurationOf is a configuration with that many tenants, and the routes and services of the planned fleet.
func configurationOf(tenants int) fleetoperator.Configuration {
	c := fleetoperator.Configuration{
		Version: 1,
		Limits:  config.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for i := range tenants {
		c.Tenants = append(c.Tenants, config.Tenant{
			Name: fmt.Sprintf("tenant-%05d", i), Isolated: i%10 == 0,
			APIKeys: []string{fmt.Sprintf("key-%05d-a0000-7f3c9e5d1b", i), fmt.Sprintf("key-%05d-b0000-2a8e6c4f0d", i)},
		})
	}
	for i := range services * routesPerService {
		c.Routes = append(c.Routes, config.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: "api.example", PathPrefix: fmt.Sprintf("/v1/product-%04d/", i),
			Kind: config.KindStreaming, TimeoutMs: 8000, TargetLatencyMs: 500, GapTargetMs: 300, Priority: i % 3,
			Service: serviceName(i % services), MaxAttempts: 3, Sticky: true, Resumable: i%2 == 0,
		})
	}
	for i := range services {
		c.Services = append(c.Services, config.Service{
			Name: serviceName(i), HealthCheck: "/healthz", MaxConnections: 620, Protocol: "h1",
			Engine: &config.Engine{
				Slots: slots, KVCapacityTokens: 1_700_000, KVTokenBytes: 18_432, LinkMbps: 550_000, Stride: 1,
				MaxConcurrency: 12, Models: []config.EngineModel{{Name: modelName(i)}},
			},
		})
	}
	return c
}
