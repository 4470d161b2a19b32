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

// Broker is one life of a broker.
type Broker struct {
	options Options
	id      string
	address string
	server  *http.Server
	slots   slots
	kv      *kvAPI
	engine  engineState
	runs    atomic.Uint64
	beats   *announcer

	connections atomic.Int64
	leaving     atomic.Bool
	ended       sync.Once
	life        context.Context // ends with the broker
	endLife     context.CancelFunc
	saver       http.Client
}

// Start serves a broker and has it announce itself.
func Start(options Options) (*Broker, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	b := &Broker{options: options, id: "i-" + randomText(), address: listener.Addr().String()}
	b.life, b.endLife = context.WithCancel(context.Background())
	b.slots = slots{size: options.Slots, queue: options.Queue}
	if options.Engine != nil {
		b.engine.version = options.Engine.Version
		b.engine.running = map[uint64]*modelRun{}
		b.kv = newKVAPI(options.Engine.KVCapacityTokens, options.Engine.MaxConcurrency)
	}
	b.saver.Timeout = time.Second
	b.server = &http.Server{Handler: b, ConnState: b.connectionChanged}
	go func() { _ = b.server.Serve(listener) }()
	b.beats = newAnnouncer(b)
	go b.beats.run(b.life)
	return b, nil
}

func randomText() string {
	var bytes [6]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err) // the system's source of randomness does not fail on Linux
	}
	return hex.EncodeToString(bytes[:])
}

// ID is the broker's id in this life.
func (b *Broker) ID() string { return b.id }

// Address is where it listens.
func (b *Broker) Address() string { return b.address }

// Service is the name of its service.
func (b *Broker) Service() string { return b.options.Service }

// Zone is where it is.
func (b *Broker) Zone() string { return b.options.Zone }

// Version is that of its weights; 0 at a plain broker.
func (b *Broker) Version() uint64 { return b.engine.current() }

// Announced is closed once a node has acknowledged a heartbeat.
func (b *Broker) Announced() <-chan struct{} { return b.beats.announced }

// Crash ends the broker at once; nobody is told.
func (b *Broker) Crash() {
	b.ended.Do(func() {
		b.endLife()
		_ = b.server.Close()
		b.saver.CloseIdleConnections()
	})
}

// Drain says that the broker leaves until that is acknowledged, and gives the time of the acknowledgement.
func (b *Broker) Drain(ctx context.Context) (time.Time, error) {
	b.leaving.Store(true)
	return b.beats.drain(ctx)
}

// afterDrain is how much longer than the time of the drain a broker serves on.
const afterDrain = 500 * time.Millisecond

// Leave serves on for the time of the drain and a little longer, deregisters, finishes what it has begun and ends. It is
// called after Drain.
func (b *Broker) Leave(ctx context.Context) error {
	defer b.Crash()
	if !pause(ctx, b.options.Drain+afterDrain) {
		return ctx.Err()
	}
	if err := b.beats.deregister(ctx); err != nil {
		return err
	}
	return b.server.Shutdown(ctx)
}

// connectionChanged resets connections beyond the bound.
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
	case b.kv != nil && b.kv.serves(r.URL.Path):
		b.kv.ServeHTTP(w, r)
	case b.kv != nil && r.URL.Path == pathReport:
		b.report(w)
	case b.kv != nil && r.URL.Path == pathOrder:
		b.order(w, r)
	default:
		b.serveRequest(w, r)
	}
}

func (b *Broker) healthCheck(w http.ResponseWriter, r *http.Request) {
	if b.slots.enter(r.Context(), lowestPriority) != admitted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.slots.leave()
	w.Header().Set(HeaderInstanceID, b.id)
	b.tellLoad(w)
	if b.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Broker) tellLoad(w http.ResponseWriter) {
	if b.options.TellsLoad {
		running, waiting, size := b.slots.load()
		w.Header().Set(HeaderServerLoad, fmt.Sprintf("%d,%d,%d", running, waiting, size))
	}
}
