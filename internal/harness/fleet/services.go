package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"kestrelspread/internal/harness/links"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// The services of the fleet.
const (
	serviceModel = "assistant" // model brokers
	servicePlain = "printer"   // plain brokers
	serviceStore = "prompts"   // the store of cached prefixes
	serviceSlow  = "reports"   // plain brokers that take long; only where the fleet has clients that leave
	modelName    = "assistant-8b"
)

// Names that callers of other packages need.
const (
	ModelName    = modelName
	PlainService = servicePlain
	SharedTenant = tenantShared
	// KeyIsolatedLater is the API key of the tenant of IsolatedLater.
	KeyIsolatedLater = keyLater
)

// SharedKeys are the API keys of SharedTenant in the first configuration.
func SharedKeys() []string { return []string{keyShared, keyRevoked} }

// routeHost is the host of all routes.
const routeHost = "demo.example"

// The sizes of the services.
const (
	modelBrokers     = 4
	plainBrokers     = 3
	slowBrokers      = 2
	modelSlots       = 16
	plainSlots       = 6
	queueLength      = 8
	connections      = 200
	storeTokens      = 200_000
	brokerTokens     = 100_000
	maxConcurrency   = 12
	kvTokenBytes     = 18_432
	brokerLinkMbps   = 550_000 // Mbit/s
	plainServiceTime = 25 * time.Millisecond
	slowServiceTime  = 1200 * time.Millisecond
	firstEventDelay  = 40 * time.Millisecond
	eventInterval    = 20 * time.Millisecond
	weightsLoadTime  = 300 * time.Millisecond
)

// The prefixes of the routes.
const (
	prefixLookup  = "/lookup/"  // safe
	prefixPrint   = "/print/"   // unsafe
	prefixDraft   = "/draft/"   // a stream that may be resumed
	prefixVerdict = "/verdict/" // a stream that may not be resumed
	prefixOld     = "/old/"     // safe; a later configuration removes it
	prefixNew     = "/new/"     // safe; a later configuration adds it
	prefixReport  = "/report/"  // safe and public, to the slow brokers, without hedges or retries
	prefixStatus  = "/status/"  // safe and public
)

// FirstVersion is the version of the first configuration.
const FirstVersion = 5

// route is the route of a prefix.
func route(prefix string) config.Route {
	r := config.Route{
		Name: "r" + prefix[:len(prefix)-1], Host: routeHost, PathPrefix: prefix, Kind: config.KindSafe, TimeoutMs: 2000,
		TargetLatencyMs: 300, Priority: 1, Service: servicePlain, MaxAttempts: 3,
	}
	switch prefix {
	case prefixReport:
		r.Service, r.TimeoutMs, r.MaxAttempts, r.Public = serviceSlow, 4000, 1, true
	case prefixStatus:
		r.Public = true
	case prefixPrint:
		r.Kind, r.MaxAttempts, r.Priority = config.KindUnsafe, 2, 0
	case prefixDraft, prefixVerdict:
		r.Kind, r.Service, r.Sticky = config.KindStreaming, serviceModel, true
		r.TimeoutMs, r.TargetLatencyMs, r.GapTargetMs = 8000, 500, 300
		r.Resumable = prefix == prefixDraft
	}
	return r
}

// Tenants and their keys.
const (
	tenantShared   = "north"
	tenantIsolated = "south"
	tenantLater    = "west" // shares prefixes until a later configuration isolates it
	keyShared      = "key-north-1"
	keyRevoked     = "key-north-2" // a later configuration revokes it
	keyIsolated    = "key-south-1"
	keyLater       = "key-west-1"
)

// FirstTenants are the tenants of the first configuration.
func FirstTenants() []config.Tenant {
	return []config.Tenant{
		{Name: tenantShared, APIKeys: []string{keyShared, keyRevoked}},
		{Name: tenantIsolated, APIKeys: []string{keyIsolated}, Isolated: true},
		{Name: tenantLater, APIKeys: []string{keyLater}},
	}
}

// IsolatedLater is the tenant that shares prefixes in the first configuration, as a later one isolates it.
func IsolatedLater() config.Tenant {
	return config.Tenant{Name: tenantLater, APIKeys: []string{keyLater}, Isolated: true}
}

// SharedKeyPrefix begins API keys that changes give to SharedTenant.
const SharedKeyPrefix = "order-"

// tenantOf is the tenant of an API key; empty: no configuration has it.
func tenantOf(key string) string {
	switch {
	case key == keyShared, key == keyRevoked, strings.HasPrefix(key, SharedKeyPrefix):
		return tenantShared
	case key == keyIsolated:
		return tenantIsolated
	case key == keyLater:
		return tenantLater
	default:
		return ""
	}
}

// FirstConfiguration is the configuration that the operator sends first.
func (f *Fleet) FirstConfiguration() fleetoperator.Configuration {
	c := fleetoperator.Configuration{
		Version: FirstVersion,
		Limits:  config.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: FirstTenants(),
	}
	for _, prefix := range []string{prefixLookup, prefixPrint, prefixDraft, prefixVerdict, prefixOld} {
		c.Routes = append(c.Routes, route(prefix))
	}
	c.Services = []config.Service{
		{Name: servicePlain, HealthCheck: "/healthz", MaxConnections: connections, Protocol: "h1"},
		{Name: serviceModel, HealthCheck: "/healthz", MaxConnections: connections, Protocol: "h1", Engine: &config.Engine{
			Slots: modelSlots, KVCapacityTokens: brokerTokens, KVTokenBytes: kvTokenBytes, LinkMbps: brokerLinkMbps, Stride: 1,
			MaxConcurrency: maxConcurrency, Models: []config.EngineModel{{Name: modelName}},
		}},
		{Name: serviceStore, KVStoreAddr: f.Store.Address(), Zone: Zones[0], KVCapacityTokens: storeTokens,
			LinkMbps: brokerLinkMbps, MaxConcurrency: maxConcurrency},
	}
	if f.options.LeavingClients {
		c.Routes = append(c.Routes, route(prefixReport), route(prefixStatus))
		c.Services = append(c.Services, config.Service{Name: serviceSlow, HealthCheck: "/healthz", MaxConnections: connections, Protocol: "h1"})
	}
	return c
}

// nextVersion is a version above that of a configuration; versions rise in uneven steps.
func nextVersion(c fleetoperator.Configuration) uint64 { return c.Version + 2 + c.Version%3 }

// RoutesChange removes the old route, adds the new one and revokes a key.
func RoutesChange(before fleetoperator.Configuration) fleetoperator.Update {
	return fleetoperator.Update{
		Version: nextVersion(before),
		Upsert: fleetoperator.Items{
			Routes:  []config.Route{route(prefixNew)},
			Tenants: []config.Tenant{{Name: tenantShared, APIKeys: []string{keyShared}}},
		},
		Remove: fleetoperator.Names{Routes: []string{route(prefixOld).Name}},
	}
}

// startServices starts the store and the brokers.
func (f *Fleet) startServices() error {
	var err error
	if f.Store, err = llmbroker.StartStore(f.layout.broker(lastHost-firstBrokerHost-1)+":0", storeTokens, maxConcurrency); err != nil {
		return fmt.Errorf("%w: store: %w", ErrNotStarted, err)
	}
	if f.options.Relayed {
		if err := f.relayToAll(links.Endpoint{Name: storeName, Site: Zones[0]}, f.Store.Address()); err != nil {
			return err
		}
	}
	for i := range modelBrokers {
		if _, err := f.StartBroker(serviceModel, Zones[i%len(Zones)]); err != nil {
			return err
		}
	}
	for i := range plainBrokers {
		if _, err := f.StartBroker(servicePlain, Zones[i%len(Zones)]); err != nil {
			return err
		}
	}
	if f.options.LeavingClients {
		for i := range slowBrokers {
			if _, err := f.StartBroker(serviceSlow, Zones[i%len(Zones)]); err != nil {
				return err
			}
		}
	}
	return nil
}

// initialBrokers is how many brokers are started with the fleet.
func (f *Fleet) initialBrokers() int {
	if f.options.LeavingClients {
		return modelBrokers + plainBrokers + slowBrokers
	}
	return modelBrokers + plainBrokers
}

// StartBroker starts one more broker of a service.
func (f *Fleet) StartBroker(service, zone string) (*llmbroker.Broker, error) {
	f.startingBroker.Lock()
	defer f.startingBroker.Unlock()
	options := llmbroker.Options{
		Service: service, Zone: zone, Listen: f.layout.broker(f.startedBrokers) + ":0", Slots: plainSlots, QueueLength: queueLength,
		MaxConnections: connections, ReportsLoad: true, ServiceTime: plainServiceTime, HeartbeatInterval: f.options.Bounds.Heartbeat,
		ControlAddresses: f.ControlAddresses, DrainTime: f.options.Bounds.Drain, Log: f.ArrivalLog,
	}
	if service == serviceSlow {
		options.ServiceTime = slowServiceTime
	}
	if service == serviceModel {
		options.Slots = modelSlots
		options.Engine = &llmbroker.Engine{
			Weights: f.Weights, Model: modelName, FirstEventDelay: firstEventDelay, EventInterval: eventInterval, LoadTime: weightsLoadTime,
			Fencing: true, KVCapacityTokens: brokerTokens, MaxConcurrency: maxConcurrency,
		}
	}
	if f.options.Relayed {
		relayed, err := f.relayControl(brokerName(f.startedBrokers), zone)
		if err != nil {
			return nil, err
		}
		options.ReachedAt = func(address string) string { return relayed[address] }
	}
	broker, err := llmbroker.Start(options)
	if err != nil {
		return nil, fmt.Errorf("%w: broker of %s: %w", ErrNotStarted, service, err)
	}
	if f.options.Relayed {
		if err := f.relayToAll(links.Endpoint{Name: brokerName(f.startedBrokers), Site: zone}, broker.Address()); err != nil {
			broker.Crash()
			return nil, err
		}
	}
	f.startedBrokers++
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Brokers = append(f.Brokers, broker)
	return broker, nil
}

// drainedBroker is a broker whose drain or deregistration was acknowledged.
type drainedBroker struct {
	instance string
	ackedAt  time.Time
}

// Drain has a broker announce that it drains, and returns the time of the acknowledgement. It still runs; see llmbroker.Leave.
func (f *Fleet) Drain(ctx context.Context, broker *llmbroker.Broker) (time.Time, error) {
	ackedAt, err := broker.Drain(ctx)
	if err == nil {
		f.recordLeaving(broker, ackedAt)
	}
	return ackedAt, err
}

// Deregister has a broker deregister that has not drained, and returns the time of the acknowledgement. It still runs; see
// llmbroker.End.
func (f *Fleet) Deregister(ctx context.Context, broker *llmbroker.Broker) (time.Time, error) {
	ackedAt, err := broker.Deregister(ctx)
	if err == nil {
		f.recordLeaving(broker, ackedAt)
	}
	return ackedAt, err
}

// DeregisterAt is Deregister with the first call to one node, as soon as that listens. It is to be called as its process is started.
func (f *Fleet) DeregisterAt(ctx context.Context, broker *llmbroker.Broker, node *Node) (time.Time, error) {
	if err := preferStarted(ctx, broker, node); err != nil {
		return time.Time{}, err
	}
	return f.Deregister(ctx, broker)
}

// DrainAt is Drain in the same way.
func (f *Fleet) DrainAt(ctx context.Context, broker *llmbroker.Broker, node *Node) (time.Time, error) {
	if err := preferStarted(ctx, broker, node); err != nil {
		return time.Time{}, err
	}
	return f.Drain(ctx, broker)
}

// preferStarted has the broker's next call go to a node that is starting, as soon as that listens.
func preferStarted(ctx context.Context, broker *llmbroker.Broker, node *Node) error {
	if err := node.AwaitListening(ctx); err != nil {
		return err
	}
	broker.Prefer(node.Control())
	return nil
}

// RecordIsolation records that the configuration was acknowledged which isolates the tenant of IsolatedLater. It stays isolated.
func (f *Fleet) RecordIsolation(ackedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isolatedAt.IsZero() || ackedAt.Before(f.isolatedAt) {
		f.isolatedAt = ackedAt
	}
}

// recordLeaving records that a drain or deregistration was acknowledged.
func (f *Fleet) recordLeaving(broker *llmbroker.Broker, ackedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.drainedBrokers = append(f.drainedBrokers, drainedBroker{instance: broker.ID(), ackedAt: ackedAt})
}

// Crash ends a broker without draining.
func (f *Fleet) Crash(broker *llmbroker.Broker) {
	f.mutex.Lock()
	f.crashedBrokers = append(f.crashedBrokers, broker.ID())
	f.mutex.Unlock()
	broker.Crash()
}

// Serving returns the brokers of a service that neither drain nor have ended.
func (f *Fleet) Serving(service string) []*llmbroker.Broker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.Brokers), func(b *llmbroker.Broker) bool {
		drains := slices.ContainsFunc(f.drainedBrokers, func(d drainedBroker) bool { return d.instance == b.ID() })
		return b.Service() != service || drains || slices.Contains(f.crashedBrokers, b.ID())
	})
}

// AwaitBrokers waits until all nodes know count ready brokers.
func (f *Fleet) AwaitBrokers(ctx context.Context, count int) error {
	return f.Await(ctx, "all nodes knowing all brokers", func(ctx context.Context) error {
		statuses, err := f.Statuses(ctx)
		if err != nil {
			return err
		}
		for _, status := range statuses {
			ready := 0
			for _, instance := range status.Instances {
				if instance.State == "READY" {
					ready++
				}
			}
			if ready != count {
				return fmt.Errorf("%s knows %d ready brokers of %d", status.Node, ready, count)
			}
		}
		return nil
	})
}

// AwaitWeights waits until all model brokers have a version.
func (f *Fleet) AwaitWeights(ctx context.Context, version uint64) error {
	return f.Await(ctx, "all brokers having the weights", func(context.Context) error {
		for _, broker := range f.Serving(serviceModel) {
			if broker.Version() != version {
				return fmt.Errorf("%s has version %d", broker.ID(), broker.Version())
			}
		}
		return nil
	})
}

// Bootstrap sends the first configuration, and waits until all nodes serve it, know all brokers and receive clients.
func (f *Fleet) Bootstrap(ctx context.Context) error {
	if _, err := f.Operator.Replace(ctx, 0, f.FirstConfiguration()); err != nil {
		return err
	}
	if err := f.AwaitAgreement(ctx); err != nil {
		return err
	}
	if err := f.AwaitBrokers(ctx, f.initialBrokers()); err != nil {
		return err
	}
	return f.Await(ctx, "the platform sending clients to all nodes", func(context.Context) error {
		for _, node := range f.Nodes {
			if !f.platform.receivesTraffic(node) {
				return fmt.Errorf("%s receives no clients", node.Name)
			}
		}
		return nil
	})
}
