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

// Front is all of a broker's gRPC.
type Front struct {
	Next  atomic.Pointer[Rules] // set by others before they tell Reread
	Count Counters

	r       *engine.Engine
	rules   *Rules
	shards  int
	pool    *connpool.Pool
	rand    uint64
	servers []target
	lines   []*line // by channel
	clients map[*client]bool
	order   []*client
	open    int
	byOwner map[int]int // calls open, by customer
	held    int         // bytes
	owing   []*call     // whose credit waits until less is held
	dirty   []flusher
	timer   engine.Timer
	tickAt  float64
	killed  float64
	leaving bool
	parting int // connections that wait for the other side to close
}

// target is a server of the list.
type target struct {
	id     string
	listed netip.AddrPort
	addr   netip.AddrPort
	has    bool
	state  policy.State
}

type flusher interface{ flush() }

// New makes the front of a broker; shards is how many there are, seed draws the backoff's jitter.
func New(r *engine.Engine, rules *Rules, shards int, seed uint64) *Front {
	f := &Front{r: r, rules: rules, shards: shards, rand: seed | 1, clients: map[*client]bool{}, byOwner: map[int]int{},
		killed: math.Inf(1), tickAt: math.Inf(1)}
	f.pool = connpool.New((*carrier)(f), rules.Channels, f.roll)
	return f
}

// roll draws from the seed alone (xorshift64*), so that a run replays.
func (f *Front) roll() float64 {
	f.rand ^= f.rand >> 12
	f.rand ^= f.rand << 25
	f.rand ^= f.rand >> 27
	return float64((f.rand*2685821657736338717)>>11) / (1 << 53)
}

func statusName(i int) string { return grpcwire.Status(i).String() }

// Reload takes new rules whole. Calls that are open keep the ones they began under; connections that are open keep their
// limits, which they have told the other side.
func (f *Front) Reload() {
	next := f.Next.Swap(nil)
	if next == nil {
		return
	}
	f.rules = next
	f.pool.Set(next.Channels)
	for i := range f.servers {
		f.aim(i)
	}
	f.tick()
}

// Server is news of the list.
func (f *Front) Server(at int, id string, addr netip.AddrPort, state policy.State) {
	for at >= len(f.servers) {
		f.servers = append(f.servers, target{state: policy.Gone})
	}
	t := &f.servers[at]
	t.id, t.state = id, state
	if addr.IsValid() {
		t.listed = addr
	}
	f.aim(at)
}

// aim tells the pool where a server is.
func (f *Front) aim(at int) {
	t := &f.servers[at]
	if t.id == "" {
		return
	}
	was := t.addr
	t.addr, t.has = f.rules.Addresses.Of(t.id, t.listed)
	f.pool.Server(f.r.Now(), at, t.has && (t.state == policy.Ready || plantDrain), was.IsValid() && was != t.addr)
	if !t.has || t.state != policy.Ready {
		for _, l := range append([]*line(nil), f.lines...) {
			if l != nil && l.server == at {
				l.withdraw()
			}
		}
	}
	f.tick()
}

// GraceEnded ends connections to a server that wants nothing new: what has been given to the network, and of
// which the network has taken none, can only be taken back with its connection. Only one that stands still
// has such.
func (f *Front) GraceEnded(at int) {
	for _, l := range append([]*line(nil), f.lines...) {
		if l != nil && l.server == at && l.unbegun() {
			l.drop("draining")
		}
	}
}

// ServerRemoved drops a server; its index will be another's.
func (f *Front) ServerRemoved(at int) {
	if at < len(f.servers) {
		f.pool.Forgotten(at)
		f.servers[at] = target{state: policy.Gone}
	}
}

// Stopping has clients go elsewhere, and still serves them. What is open has its last status before the
// time killed.
func (f *Front) Stopping(killed float64) {
	f.killed = killed
	for _, c := range f.inOrder() {
		c.h.StartGracefulShutdown()
		f.touch(c)
		for _, s := range c.h.Streams() {
			if k, ok := s.UserData.(*call); ok {
				k.mind()
			}
		}
	}
}

// Leaving tells that the address is closed; nothing more is taken on connections either.
func (f *Front) Leaving() {
	f.leaving = true
	for _, c := range f.inOrder() {
		c.h.GoAway(http2.ErrCodeNo)
		f.touch(c)
	}
}

// Idle tells whether no client is connected.
func (f *Front) Idle() bool { return len(f.clients)+f.parting == 0 }

func (f *Front) inOrder() []*client {
	kept := f.order[:0]
	for _, c := range f.order {
		if f.clients[c] {
			kept = append(kept, c)
		}
	}
	clear(f.order[len(kept):])
	f.order = kept
	return append([]*client(nil), kept...)
}

// Accepted is a new client. Over the limit it is told so at once, in the few bytes that this takes.
func (f *Front) Accepted(conn transport.Conn) {
	f.Count.Accepted++
	c := &client{f: f, conn: conn, since: f.r.Now(), heard: f.r.Now()}
	c.h = h2.New(true, f.rules.toClients(), c)
	f.r.SetHandler(conn, c)
	f.clients[c] = true
	f.order = append(f.order, c)
	if len(f.order) > 2*len(f.clients)+16 {
		f.inOrder()
	}
	if len(f.clients) > min(f.rules.Limits.Connections, f.r.MaxFrontClients()) || f.leaving {
		f.Count.Refused++
		c.h.GoAway(http2.ErrCodeEnhanceYourCalm)
		c.ending = true
	}
	if !math.IsInf(f.killed, 1) {
		c.h.StartGracefulShutdown()
	}
	f.touch(c)
	c.mind()
}

func (f *Front) touch(w flusher) { f.dirty = append(f.dirty, w) }

// Flush writes what this turn has brought. What pumping one connection frees may have another go on.
func (f *Front) Flush() {
	for i := 0; i < len(f.dirty); i++ {
		f.dirty[i].flush()
	}
	clear(f.dirty)
	f.dirty = f.dirty[:0]
	f.tick()
}

// tick has the pool look after its channels.
func (f *Front) tick() {
	next := f.pool.Tick(f.r.Now())
	if next == f.tickAt {
		return
	}
	f.r.CancelTimer(f.timer)
	if f.tickAt = next; !math.IsInf(next, 1) {
		f.timer = f.r.After(next-f.r.Now(), func() {
			f.tickAt = math.Inf(1)
			f.tick()
		})
	}
}

// hold accounts for bytes that are held, and tells whether there is room for them.
func (f *Front) hold(n int) bool {
	f.held += n
	must.Hold(f.held >= 0, "what is held is accounted for")
	f.Count.Top = max(f.Count.Top, int64(f.held))
	if n < 0 && len(f.owing) > 0 && !f.tight() {
		owing := f.owing
		f.owing = nil
		for _, k := range owing {
			k.owes = false
			k.credit()
		}
	}
	return f.held <= f.rules.Limits.Held
}

// tight: so much is held that nobody is given more room.
func (f *Front) tight() bool { return float64(f.held) > fillSoft*float64(f.rules.Limits.Held) }

// carrier is the front as the pool's way out.
type carrier Front

func (o *carrier) front() *Front { return (*Front)(o) }

// Open implements connpool.Out: a connection to a server is begun.
func (o *carrier) Open(server, channel int) bool {
	f := o.front()
	l := &line{f: f, server: server, channel: channel, attempts: map[*attempt]bool{}}
	l.h = h2.New(false, f.rules.toServers(), l)
	conn, ok := f.r.Connect(l, f.servers[server].addr)
	if !ok {
		return false
	}
	l.conn = conn
	for channel >= len(f.lines) {
		f.lines = append(f.lines, nil)
	}
	f.lines[channel] = l
	return true
}

// Begin implements connpool.Out: an attempt has its place on a connection.
func (o *carrier) Begin(channel int, t connpool.Token) { o.front().lines[channel].begin(t.(*attempt)) }

// Refuse implements connpool.Out: an attempt gets no place, and ends.
func (o *carrier) Refuse(t connpool.Token, why connpool.Why) {
	a := t.(*attempt)
	switch why {
	case connpool.Unreachable:
		a.ended(grpcwire.ConnectFailed)
	case connpool.NoPlace:
		a.ended(grpcwire.NoStreamAvailable)
	case connpool.NoSocket:
		a.ended(grpcwire.NotSent)
	default:
		if !o.front().servers[a.server].has {
			a.ended(grpcwire.NoAddress)
			return
		}
		a.ended(grpcwire.ServerDraining)
	}
}

// Close implements connpool.Out: a connection is given up.
func (o *carrier) Close(channel int) {
	f := o.front()
	l := f.lines[channel]
	f.lines[channel] = nil
	l.closing()
}

// Ping implements connpool.Out: a connection is asked for a sign of life.
func (o *carrier) Ping(channel int) {
	f := o.front()
	f.lines[channel].h.Ping()
	f.touch(f.lines[channel])
}
