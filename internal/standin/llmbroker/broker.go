package llmbroker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Broker is one incarnation of a broker.
type Broker struct {
	options   Options
	id        string
	address   string
	server    *http.Server
	slots     slots
	kvCache   *kvAPI
	engine    engineState
	lastRun   atomic.Uint64
	announcer *announcer

	connections atomic.Int64
	draining    atomic.Bool
	closeOnce   sync.Once
	lifetime    context.Context // cancelled as the broker ends
	cancel      context.CancelFunc
	saveClient  http.Client
}

// Start starts a broker, which registers itself by heartbeats.
func Start(options Options) (*Broker, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	b := &Broker{options: options, id: "i-" + randomID(), address: listener.Addr().String()}
	b.lifetime, b.cancel = context.WithCancel(context.Background())
	b.slots = slots{capacity: options.Slots, queue: options.QueueLength}
	if options.Engine != nil {
		b.engine.version = options.Engine.Version
		b.engine.runs = map[uint64]*modelRun{}
		b.kvCache = newKVAPI(options.Engine.KVCapacityTokens, options.Engine.MaxConcurrency)
	}
	b.saveClient.Timeout = time.Second
	b.server = &http.Server{Handler: b, ConnState: b.connectionChanged}
	go func() { _ = b.server.Serve(listener) }()
	b.announcer = newAnnouncer(b)
	go b.announcer.run(b.lifetime)
	return b, nil
}

// randomID is a random text for IDs.
func randomID() string {
	var bytes [6]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err) // the system's source of randomness does not fail on Linux
	}
	return hex.EncodeToString(bytes[:])
}

// ID is the instance ID of this incarnation.
func (b *Broker) ID() string { return b.id }

// Address is the address that it listens on.
func (b *Broker) Address() string { return b.address }

// Service is the name of its service.
func (b *Broker) Service() string { return b.options.Service }

// Zone is its zone.
func (b *Broker) Zone() string { return b.options.Zone }

// Version is the version of its weights; 0 for a plain broker.
func (b *Broker) Version() uint64 { return b.engine.currentVersion() }

// Announced is closed once a node has acknowledged a heartbeat.
func (b *Broker) Announced() <-chan struct{} { return b.announcer.announced }

// Crash ends the broker at once, without notice.
func (b *Broker) Crash() {
	b.closeOnce.Do(func() {
		b.cancel()
		_ = b.server.Close()
		b.saveClient.CloseIdleConnections()
	})
}

// Drain announces that the broker drains until that is acknowledged, and returns the time of the acknowledgement.
func (b *Broker) Drain(ctx context.Context) (time.Time, error) {
	b.draining.Store(true)
	return b.announcer.drain(ctx)
}

// serveAfterDrain is how long a broker serves after the drain time.
const serveAfterDrain = 500 * time.Millisecond

// Leave serves for the drain time and serveAfterDrain, deregisters, finishes the running requests and ends the broker. It is called
// after Drain.
func (b *Broker) Leave(ctx context.Context) error {
	defer b.Crash()
	if !sleep(ctx, b.options.DrainTime+serveAfterDrain) {
		return ctx.Err()
	}
	if _, err := b.announcer.deregister(ctx); err != nil {
		return err
	}
	return b.server.Shutdown(ctx)
}

// Prefer has the next call go to the node at a control address first, as if its last acknowledgement had named it.
func (b *Broker) Prefer(node string) { b.announcer.prefer(node) }

// Deregister announces that the broker is gone until that is acknowledged, and returns the time of the acknowledgement. The broker
// serves on; it needs no Drain before. Source: PROTOCOL.md, "Service discovery".
func (b *Broker) Deregister(ctx context.Context) (time.Time, error) {
	return b.announcer.deregister(ctx)
}

// End serves for a while, finishes the running requests and ends the broker. It is called after Deregister.
func (b *Broker) End(ctx context.Context, serves time.Duration) error {
	defer b.Crash()
	if !sleep(ctx, serves) {
		return ctx.Err()
	}
	return b.server.Shutdown(ctx)
}

// connectionChanged resets connections beyond the limit.
func (b *Broker) connectionChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		count := b.connections.Add(1)
		if b.options.MaxConnections > 0 && count > int64(b.options.MaxConnections) {
			if tcp, ok := connection.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = connection.Close()
		}
	case http.StateClosed, http.StateHijacked:
		b.connections.Add(-1)
	}
}

// ServeHTTP implements http.Handler.
func (b *Broker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == b.options.HealthCheck && r.Method == http.MethodGet:
		b.healthCheck(w, r)
	case b.kvCache != nil && b.kvCache.serves(r.URL.Path):
		b.kvCache.ServeHTTP(w, r)
	case b.kvCache != nil && r.URL.Path == pathReport:
		b.serveReport(w)
	case b.kvCache != nil && r.URL.Path == pathOrder:
		b.serveOrder(w, r)
	default:
		b.serveRequest(w, r)
	}
}

// healthCheck answers a health check. It takes a slot, as a request does.
func (b *Broker) healthCheck(w http.ResponseWriter, r *http.Request) {
	if b.slots.enter(r.Context(), lowestPriority) != admitted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.slots.leave()
	w.Header().Set(HeaderInstanceID, b.id)
	b.setLoadHeader(w)
	if b.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// setLoadHeader reports the load, if the broker is configured to.
func (b *Broker) setLoadHeader(w http.ResponseWriter) {
	if b.options.ReportsLoad {
		running, waiting, size := b.slots.load()
		w.Header().Set(HeaderServerLoad, fmt.Sprintf("%d,%d,%d", running, waiting, size))
	}
}
