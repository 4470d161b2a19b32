package grpcproxy

import (
	"math"
	"sync/atomic"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

// Proxy is the gRPC reverse proxy of one process.
type Proxy struct {
	// NextSettings are set by others before they have Reload called.
	NextSettings atomic.Pointer[Settings]
	Counters     Counters

	router           *engine.Engine
	settings         *Settings
	shards           int
	randomState      uint64
	killAt           float64 // +Inf, unless this process was told to stop
	stoppedAccepting bool

	pool        *connpool.Pool
	poolTimer   engine.Timer
	poolTimerAt float64
	servers     []serverEntry // by the list's index
	serverConns []*serverConn // by the pool's identifier

	clientConns  map[*clientConn]bool
	clientOrder  []*clientConn  // as they came; some are closed
	closingConns int            // that wait for the client to close
	closingOrder []*closingConn // as they came; some are closed

	openCalls       int
	callsByCustomer map[int]int // open ones
	bufferedBytes   int         // of all calls
	metadataBytes   int         // of all calls
	deferredCredit  []*call     // to be credited once less is buffered

	pendingFlush []flusher
}

// flusher is a connection with something to write at the end of the turn.
type flusher interface{ flush() }

var _ engine.Frontend = (*Proxy)(nil)

// New returns a proxy for so many shards. seed draws jitter.
func New(router *engine.Engine, settings *Settings, shards int, seed uint64) *Proxy {
	p := &Proxy{
		router:          router,
		settings:        settings,
		shards:          shards,
		randomState:     seed | 1,
		killAt:          math.Inf(1),
		poolTimerAt:     math.Inf(1),
		clientConns:     map[*clientConn]bool{},
		callsByCustomer: map[int]int{},
	}
	p.pool = connpool.New((*poolEffects)(p), settings.ConnPool, p.random)
	return p
}

// random draws from 0 to 1 (xorshift64*).
func (p *Proxy) random() float64 {
	p.randomState ^= p.randomState >> 12
	p.randomState ^= p.randomState << 25
	p.randomState ^= p.randomState >> 27
	return float64((p.randomState*2685821657736338717)>>11) / (1 << 53)
}

// ReloadSettings takes over NextSettings. Open calls keep the settings that they began with; open connections
// keep their HTTP/2 limits, which they have told the peer.
func (p *Proxy) ReloadSettings() {
	next := p.NextSettings.Swap(nil)
	if next == nil {
		return
	}
	p.settings = next
	p.pool.UpdateSettings(next.ConnPool)
	for i := range p.servers {
		p.updateServer(i)
	}
	p.tickPool()
}

// ShutdownStarted begins a graceful shutdown: clients are asked to connect elsewhere, and are still served.
// Open calls get their status before killAt.
func (p *Proxy) ShutdownStarted(killAt float64) {
	p.killAt = killAt
	for _, c := range p.clientsInOrder() {
		c.http2.StartGracefulShutdown()
		p.scheduleFlush(c)
		for _, s := range c.http2.Streams() {
			if k, ok := s.UserData.(*call); ok {
				k.armDeadline()
			}
		}
	}
}

// ListenersClosed ends the acceptance of calls: the listening address is closed.
func (p *Proxy) ListenersClosed() {
	p.stoppedAccepting = true
	for _, c := range p.clientsInOrder() {
		c.http2.GoAway(http2.ErrCodeNo)
		p.scheduleFlush(c)
	}
}

// Idle reports whether no client is connected.
func (p *Proxy) Idle() bool { return len(p.clientConns)+p.closingConns == 0 }

// clientsInOrder returns the open client connections as they came: what happens to them must not
// depend on the order of a map.
func (p *Proxy) clientsInOrder() []*clientConn {
	open := p.clientOrder[:0]
	for _, c := range p.clientOrder {
		if p.clientConns[c] {
			open = append(open, c)
		}
	}
	clear(p.clientOrder[len(open):])
	p.clientOrder = open
	return append([]*clientConn(nil), open...)
}

// Accepted takes a new client connection, within the limits of admit.
func (p *Proxy) Accepted(conn transport.Conn) {
	p.Counters.Accepted++
	c := &clientConn{proxy: p, conn: conn, idleSince: p.router.Now()}
	c.http2 = h2.New(true, p.settings.clientLimits(), c)
	p.router.SetHandler(conn, c)
	p.clientConns[c] = true
	p.clientOrder = append(p.clientOrder, c)
	if len(p.clientOrder) > 2*len(p.clientConns)+16 {
		p.clientsInOrder() // forgets those that are closed
	}
	p.admit(c)
	if c.closed || c.readStopped {
		return
	}
	if !math.IsInf(p.killAt, 1) {
		c.http2.StartGracefulShutdown()
	}
	p.scheduleFlush(c)
	c.armTimer()
}

func (p *Proxy) scheduleFlush(f flusher) { p.pendingFlush = append(p.pendingFlush, f) }

// Flush writes what this turn has brought. A flush may schedule that of other connections.
func (p *Proxy) Flush() {
	for i := 0; i < len(p.pendingFlush); i++ {
		p.pendingFlush[i].flush()
	}
	clear(p.pendingFlush)
	p.pendingFlush = p.pendingFlush[:0]
	p.tickPool()
}

// addBuffered counts bytes that are buffered for calls, or no longer are (n < 0), and reports whether
// they are within the limit.
func (p *Proxy) addBuffered(n int) bool {
	p.bufferedBytes += n
	invariant.Check(p.bufferedBytes >= 0, "what is held is accounted for")
	p.Counters.MaxBufferedBytes = max(p.Counters.MaxBufferedBytes, int64(p.bufferedBytes))
	if n < 0 && len(p.deferredCredit) > 0 && !p.aboveSoftLimit() {
		p.giveDeferredCredit()
	}
	return p.bufferedBytes <= p.settings.Limits.MaxBufferedBytes
}

func (p *Proxy) giveDeferredCredit() {
	calls := p.deferredCredit
	p.deferredCredit = nil
	for _, k := range calls {
		k.creditDeferred = false
		k.creditClient()
	}
}

// aboveSoftLimit reports whether so much is buffered that no client may send more.
func (p *Proxy) aboveSoftLimit() bool {
	return float64(p.bufferedBytes) > softLimitRatio*float64(p.settings.Limits.MaxBufferedBytes)
}

// retryPushback draws when a call over a limit may come again, so that those rejected together don't
// come together.
func (p *Proxy) retryPushback() float64 { return minPushback + pushbackSpread*p.random() }
