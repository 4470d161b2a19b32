// Package grpcproxy is the gRPC front and its carrier: calls in over HTTP/2, each a search of one part, and on to the
// servers that the module chooses. It is a reducer like routing, in the same loop: connections' bytes in, effects out,
// no goroutine, no clock and no socket of its own, so that it runs unchanged under a virtual clock.
//
// It decides nothing about servers. Which gets a call, whether a call is repeated, copied or shed is the module's, asked
// through routing; which connection a stream takes is the channels' pool's; what is said of a call is its route's. What is
// here is the bytes: they pass as they came, messages are never taken apart.
package grpcproxy

import (
	"math"
	"net/netip"
	"sync/atomic"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/must"
	"kestrelspread/internal/transport"
)

// Proxy is all of a broker's gRPC.
type Proxy struct {
	NextSettings atomic.Pointer[Settings] // set by others before they tell Reread
	Counters     Counters

	router           *engine.Engine
	settings         *Settings
	shards           int
	pool             *connpool.Pool
	randomState      uint64
	servers          []serverEntry
	serverConns      []*serverConn // by channel
	clientConns      map[*clientConn]bool
	clientOrder      []*clientConn
	openCalls        int
	callsByCustomer  map[int]int // calls open, by customer
	bufferedBytes    int         // bytes
	deferredCredit   []*call     // whose credit waits until less is held
	pendingFlush     []flusher
	poolTimer        engine.Timer
	poolTimerAt      float64
	killAt           float64
	stoppedAccepting bool
	closingConns     int // connections that wait for the other side to close
}

// serverEntry is a server of the list.
type serverEntry struct {
	id         string
	listed     netip.AddrPort
	addr       netip.AddrPort
	hasAddress bool
	state      policy.State
}

type flusher interface{ flush() }

// New makes the front of a broker; shards is how many there are, seed draws the backoff's jitter.
func New(r *engine.Engine, rules *Settings, shards int, seed uint64) *Proxy {
	f := &Proxy{router: r, settings: rules, shards: shards, randomState: seed | 1, clientConns: map[*clientConn]bool{}, callsByCustomer: map[int]int{},
		killAt: math.Inf(1), poolTimerAt: math.Inf(1)}
	f.pool = connpool.New((*poolEffects)(f), rules.ConnPool, f.random)
	return f
}

// random draws from the seed alone (xorshift64*), so that a run replays.
func (f *Proxy) random() float64 {
	f.randomState ^= f.randomState >> 12
	f.randomState ^= f.randomState << 25
	f.randomState ^= f.randomState >> 27
	return float64((f.randomState*2685821657736338717)>>11) / (1 << 53)
}

func statusName(i int) string { return grpcwire.Status(i).String() }

// Reload takes new rules whole. Calls that are open keep the ones they began under; connections that are open keep their
// limits, which they have told the other side.
func (f *Proxy) Reload() {
	next := f.NextSettings.Swap(nil)
	if next == nil {
		return
	}
	f.settings = next
	f.pool.UpdateSettings(next.ConnPool)
	for i := range f.servers {
		f.updateServer(i)
	}
	f.tickPool()
}

// Server is news of the list.
func (f *Proxy) Server(at int, id string, addr netip.AddrPort, state policy.State) {
	for at >= len(f.servers) {
		f.servers = append(f.servers, serverEntry{state: policy.Gone})
	}
	t := &f.servers[at]
	t.id, t.state = id, state
	if addr.IsValid() {
		t.listed = addr
	}
	f.updateServer(at)
}

// updateServer tells the pool where a server is.
func (f *Proxy) updateServer(at int) {
	t := &f.servers[at]
	if t.id == "" {
		return
	}
	was := t.addr
	t.addr, t.hasAddress = f.settings.Addresses.AddressOf(t.id, t.listed)
	f.pool.UpdateServer(f.router.Now(), at, t.hasAddress && (t.state == policy.Ready || plantDrain), was.IsValid() && was != t.addr)
	if !t.hasAddress || t.state != policy.Ready {
		for _, l := range append([]*serverConn(nil), f.serverConns...) {
			if l != nil && l.serverIndex == at {
				l.withdrawWaiting()
			}
		}
	}
	f.tickPool()
}

// Late ends connections to a server that wants nothing new: what has been given to the network, and of
// which the network has taken none, can only be taken back with its connection. Only one that stands still
// has such.
func (f *Proxy) GraceEnded(at int) {
	for _, l := range append([]*serverConn(nil), f.serverConns...) {
		if l != nil && l.serverIndex == at && l.hasUnsentHeaders() {
			l.abort("draining")
		}
	}
}

// Forgotten drops a server; its index will be another's.
func (f *Proxy) ServerRemoved(at int) {
	if at < len(f.servers) {
		f.pool.RemoveServer(at)
		f.servers[at] = serverEntry{state: policy.Gone}
	}
}

// Stopping has clients go elsewhere, and still serves them. What is open has its last status before the
// time killed.
func (f *Proxy) Stopping(killed float64) {
	f.killAt = killed
	for _, c := range f.clientsInOrder() {
		c.http2.StartGracefulShutdown()
		f.scheduleFlush(c)
		for _, s := range c.http2.Streams() {
			if k, ok := s.UserData.(*call); ok {
				k.armDeadline()
			}
		}
	}
}

// Leaving tells that the address is closed; nothing more is taken on connections either.
func (f *Proxy) Leaving() {
	f.stoppedAccepting = true
	for _, c := range f.clientsInOrder() {
		c.http2.GoAway(http2.ErrCodeNo)
		f.scheduleFlush(c)
	}
}

// Idle tells whether no client is connected.
func (f *Proxy) Idle() bool { return len(f.clientConns)+f.closingConns == 0 }

func (f *Proxy) clientsInOrder() []*clientConn {
	kept := f.clientOrder[:0]
	for _, c := range f.clientOrder {
		if f.clientConns[c] {
			kept = append(kept, c)
		}
	}
	clear(f.clientOrder[len(kept):])
	f.clientOrder = kept
	return append([]*clientConn(nil), kept...)
}

// Accepted is a new client. Over the limit it is told so at once, in the few bytes that this takes.
func (f *Proxy) Accepted(conn transport.Conn) {
	f.Counters.Accepted++
	c := &clientConn{proxy: f, conn: conn, idleSince: f.router.Now(), lastReceivedAt: f.router.Now()}
	c.http2 = h2.New(true, f.settings.clientLimits(), c)
	f.router.SetHandler(conn, c)
	f.clientConns[c] = true
	f.clientOrder = append(f.clientOrder, c)
	if len(f.clientOrder) > 2*len(f.clientConns)+16 {
		f.clientsInOrder()
	}
	if len(f.clientConns) > min(f.settings.Limits.MaxConnections, f.router.MaxFrontClients()) || f.stoppedAccepting {
		f.Counters.ConnectionsRejected++
		c.http2.GoAway(http2.ErrCodeEnhanceYourCalm)
		c.readStopped = true
	}
	if !math.IsInf(f.killAt, 1) {
		c.http2.StartGracefulShutdown()
	}
	f.scheduleFlush(c)
	c.armTimer()
}

func (f *Proxy) scheduleFlush(w flusher) { f.pendingFlush = append(f.pendingFlush, w) }

// Flush writes what this turn has brought. What pumping one connection frees may have another go on.
func (f *Proxy) Flush() {
	for i := 0; i < len(f.pendingFlush); i++ {
		f.pendingFlush[i].flush()
	}
	clear(f.pendingFlush)
	f.pendingFlush = f.pendingFlush[:0]
	f.tickPool()
}

// tickPool has the pool look after its channels.
func (f *Proxy) tickPool() {
	next := f.pool.Tick(f.router.Now())
	if next == f.poolTimerAt {
		return
	}
	f.router.CancelTimer(f.poolTimer)
	if f.poolTimerAt = next; !math.IsInf(next, 1) {
		f.poolTimer = f.router.After(next-f.router.Now(), func() {
			f.poolTimerAt = math.Inf(1)
			f.tickPool()
		})
	}
}

// addBuffered accounts for bytes that are held, and tells whether there is room for them.
func (f *Proxy) addBuffered(n int) bool {
	f.bufferedBytes += n
	must.Hold(f.bufferedBytes >= 0, "what is held is accounted for")
	f.Counters.MaxBufferedBytes = max(f.Counters.MaxBufferedBytes, int64(f.bufferedBytes))
	if n < 0 && len(f.deferredCredit) > 0 && !f.aboveSoftLimit() {
		owing := f.deferredCredit
		f.deferredCredit = nil
		for _, k := range owing {
			k.creditDeferred = false
			k.creditClient()
		}
	}
	return f.bufferedBytes <= f.settings.Limits.MaxBufferedBytes
}

// aboveSoftLimit: so much is held that nobody is given more room.
func (f *Proxy) aboveSoftLimit() bool {
	return float64(f.bufferedBytes) > softLimitRatio*float64(f.settings.Limits.MaxBufferedBytes)
}

// poolEffects is the front as the pool's way out.
type poolEffects Proxy

func (o *poolEffects) proxy() *Proxy { return (*Proxy)(o) }

// Dial implements connpool.Out: a connection to a server is begun.
func (o *poolEffects) Dial(server, channel int) bool {
	f := o.proxy()
	l := &serverConn{proxy: f, serverIndex: server, poolID: channel, attempts: map[*attempt]bool{}}
	l.http2 = h2.New(false, f.settings.serverLimits(), l)
	conn, ok := f.router.Connect(l, f.servers[server].addr)
	if !ok {
		return false
	}
	l.conn = conn
	for channel >= len(f.serverConns) {
		f.serverConns = append(f.serverConns, nil)
	}
	f.serverConns[channel] = l
	return true
}

// StartStream implements connpool.Out: an attempt has its place on a connection.
func (o *poolEffects) StartStream(channel int, t connpool.StreamRequest) {
	o.proxy().serverConns[channel].enqueue(t.(*attempt))
}

// Reject implements connpool.Out: an attempt gets no place, and ends.
func (o *poolEffects) Reject(t connpool.StreamRequest, why connpool.Reason) {
	a := t.(*attempt)
	switch why {
	case connpool.Unreachable:
		a.finish(grpcwire.ConnectFailed)
	case connpool.QueueFull:
		a.finish(grpcwire.NoStreamAvailable)
	case connpool.NoDescriptor:
		a.finish(grpcwire.NotSent)
	default:
		if !o.proxy().servers[a.serverIndex].hasAddress {
			a.finish(grpcwire.NoAddress)
			return
		}
		a.finish(grpcwire.ServerDraining)
	}
}

// Close implements connpool.Out: a connection is given up.
func (o *poolEffects) Close(channel int) {
	f := o.proxy()
	l := f.serverConns[channel]
	f.serverConns[channel] = nil
	l.closeByPool()
}

// Ping implements connpool.Out: a connection is asked for a sign of life.
func (o *poolEffects) Ping(channel int) {
	f := o.proxy()
	f.serverConns[channel].http2.Ping()
	f.scheduleFlush(f.serverConns[channel])
}
