// Package virtual is a network and a clock in memory for one broker: routing and its fronts run in it unchanged, against
// scripted peers. All chance comes from a seed and all order from one queue, so a run replays exactly.
package simnet

import (
	"bytes"
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/transport"
)

// Peer is who stands at the other end of a connection.
type Peer interface {
	Opened(c *End)
	Bytes(c *End, b []byte)
	Closed(c *End)
}

// End is a connection as the other side has it.
type End struct {
	w       *World
	id      transport.Conn
	door    int
	to      netip.AddrPort
	peer    Peer
	open    bool // for the broker
	gone    bool
	muted   bool
	waiting [][]byte // sent to the broker while it does not read
	out     []byte   // from the broker, not yet taken by the network
	upTo    int64
	told    bool
	Stuck   bool // the network takes nothing from the broker
	Takes   int  // or so many bytes in a turn; 0: all
	ended   bool // the broker has ended its side
	opened  float64
}

// Since tells when the connection was made.
func (e *End) Since() float64 { return e.opened }

// World is the network, its clock and the broker in it.
type World struct {
	Now      float64
	R        *engine.Engine
	Pool     *transport.Pool
	Rand     *rand.Rand
	Delay    float64                 // of each piece, one way
	Pieces   bool                    // bytes come to the broker in pieces of any size
	Refuse   map[netip.AddrPort]bool // connects are refused
	Swallow  map[netip.AddrPort]bool // connects never come up
	OnTurn   func()                  // after each turn: checkers
	Log      *bytes.Buffer
	ends     []*End
	free     []transport.Conn
	freed    []transport.Conn
	listen   map[netip.AddrPort]func(*End) Peer
	queue    events
	serial   int
	armed    float64
	progress []*End
	Stopped  bool
	Deaf     bool
	Least    int // descriptors; Connect fails past them. 0: no limit
	Turns    int
	list     []Listed
	version  int
	watches  []*End
	dirty    []*End
	turn     []func()
	again    bool
}

// Listed is one server of discovery's list.
type Listed struct {
	ID      string
	Addr    netip.AddrPort
	Cell    int
	State   string
	Started float64 // ms of the world's clock; 0: long ago
}

// Discovery is where the world's list is told.
var Discovery = netip.MustParseAddrPort("127.0.0.9:85")

type event struct {
	at     float64
	serial int
	do     func()
}

type events []event

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New makes a world with a broker that knows the list; its fronts are added by the caller before Run.
func New(set settings.Values, seed uint64, sockets int, list []Listed) *World {
	w := &World{Now: 1e6, Rand: rand.New(rand.NewPCG(seed, 11)), Delay: 0.2, listen: map[netip.AddrPort]func(*End) Peer{},
		Refuse: map[netip.AddrPort]bool{}, Swallow: map[netip.AddrPort]bool{}, armed: math.Inf(1), list: list,
		Pool: &transport.Pool{Size: 80 << 10, Max: 400}, Log: &bytes.Buffer{}}
	w.R = engine.New(w, w.Pool, zerolog.New(io.MultiWriter(w.Log)), set, seed, sockets, []byte(w.line(true)), Discovery, 0)
	w.listen[Discovery] = func(*End) Peer { return (*lister)(w) }
	return w
}

func (w *World) line(whole bool) string {
	w.version++
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"generation":%d,"reset":%v,"instances":[`, w.version, whole)
	first := true
	for _, s := range w.list {
		if whole && s.State == "gone" {
			continue
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		fmt.Fprintf(&b, `{"instanceId":%q,"hostPort":%q,"zone":"a","cell":%d,"lifecycle":%q,"weight":1,"startedAtMs":%.0f}`,
			s.ID, s.Addr, s.Cell, s.State, s.Started)
	}
	b.WriteString("]}")
	return b.String()
}

// Tell changes the list, and has discovery tell it now.
func (w *World) Tell(change func(list []Listed) []Listed) {
	w.list = change(w.list)
	line := w.line(false) + "\n"
	for _, e := range w.watches {
		e.Send([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line)))
	}
}

// lister is discovery's agent.
type lister World

// Opened implements Peer; the list is only sent once it is asked for.
func (l *lister) Opened(*End) {}

// Bytes implements Peer: the list is asked for, and answered with a stream of lists.
func (l *lister) Bytes(e *End, _ []byte) {
	w := (*World)(l)
	line := w.line(true) + "\n"
	e.Send([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)))
	w.watches = append(w.watches, e)
	w.beat(e)
}

func (w *World) beat(e *End) {
	w.After(1000, func() {
		if !e.gone {
			e.Send([]byte("1\r\n\n\r\n"))
			w.beat(e)
		}
	})
}

// Closed implements Peer: the stream gets no further lists.
func (l *lister) Closed(e *End) {
	w := (*World)(l)
	for i, o := range w.watches {
		if o == e {
			w.watches = append(w.watches[:i], w.watches[i+1:]...)
			break
		}
	}
}

// After has something happen in so many milliseconds.
func (w *World) After(in float64, do func()) {
	w.serial++
	heap.Push(&w.queue, event{w.Now + max(in, 0), w.serial, do})
}

// Listen has a peer stand at an address.
func (w *World) Listen(at netip.AddrPort, accept func(*End) Peer) { w.listen[at] = accept }

// Deafen has nobody stand at an address any more.
func (w *World) Deafen(at netip.AddrPort) { delete(w.listen, at) }

func (w *World) take(e *End) *End {
	e.w, e.opened = w, w.Now
	if n := len(w.free); n > 0 {
		e.id, w.free = w.free[n-1], w.free[:n-1]
		w.ends[e.id] = e
	} else {
		e.id = transport.Conn(len(w.ends))
		w.ends = append(w.ends, e)
	}
	return e
}

// Dial connects a client to the broker's address by its number.
func (w *World) Dial(door int, p Peer) *End {
	e := &End{door: door, peer: p}
	if w.Deaf {
		e.gone = true
		w.After(w.Delay, func() { p.Closed(e) })
		return e
	}
	w.After(w.Delay, func() {
		if w.Deaf || e.gone {
			e.gone = true
			p.Closed(e)
			return
		}
		w.take(e)
		e.open = true
		w.R.Accepted(e.id)
		p.Opened(e)
	})
	return e
}

// Send has bytes arrive at the broker.
func (e *End) Send(b []byte) {
	w := e.w
	if w == nil || e.gone {
		return
	}
	b = append([]byte(nil), b...)
	at := w.Delay
	for len(b) > 0 {
		n := len(b)
		if w.Pieces && n > 1 {
			n = 1 + w.Rand.IntN(n)
		}
		piece := b[:n]
		b = b[n:]
		w.After(at, func() { e.arrive(piece) })
	}
}

func (e *End) arrive(b []byte) {
	if e.gone || e.ended && !e.open {
		return
	}
	if e.muted {
		e.waiting = append(e.waiting, b)
		return
	}
	if e.ended {
		e.w.R.Bytes(e.id, nil, e.w.Now)
		return
	}
	e.w.R.Bytes(e.id, b, e.w.Now)
}

// Close ends the connection from the other side, at once for both.
func (e *End) Close() {
	if e.w == nil || e.gone {
		e.gone = true
		return
	}
	e.w.After(e.w.Delay, func() {
		if !e.gone {
			e.drop()
			e.w.R.Closed(e.id, e.upTo)
		}
	})
}

// drop takes a connection out of the world; its number is used again from the next turn on.
func (e *End) drop() {
	e.gone = true
	e.open = false
	e.w.ends[e.id] = nil
	e.w.freed = append(e.w.freed, e.id)
}

// Gone tells whether the connection is no more.
func (e *End) Gone() bool { return e.gone }

// What follows is the network as the broker uses it (engine.Net).

// Connect implements engine.Net: the broker connects to an address, which may answer later or never.
func (w *World) Connect(addr netip.AddrPort) transport.Conn {
	e := w.take(&End{to: addr, door: -1})
	accept := w.listen[addr]
	switch {
	case w.Swallow[addr]:
	case accept == nil || w.Refuse[addr]:
		w.After(w.Delay, func() {
			if !e.gone {
				e.drop()
				w.R.Closed(e.id, 0)
			}
		})
	default:
		w.After(w.Delay, func() {
			if e.gone {
				return
			}
			e.open = true
			e.peer = accept(e)
			w.R.Opened(e.id)
			e.peer.Opened(e)
		})
	}
	return e.id
}

func (w *World) end(c transport.Conn) *End {
	if int(c) >= len(w.ends) || w.ends[c] == nil {
		panic(fmt.Sprintf("connection %d is not held", c))
	}
	return w.ends[c]
}

// Write implements routing.Net: bytes go out as far as the network takes them.
func (w *World) Write(c transport.Conn, b []byte) {
	e := w.end(c)
	if !e.open || e.ended {
		panic("written to a connection that is not open")
	}
	e.out = append(e.out, b...)
	w.mark(e)
}

// Retract implements engine.Net: it takes back what was written from there on, if the network has taken
// none of it.
func (w *World) Retract(c transport.Conn, from int64) bool {
	e := w.end(c)
	if !e.open || e.ended || from < e.upTo {
		return false
	}
	e.out = e.out[:min(int64(len(e.out)), from-e.upTo)]
	return true
}

func (w *World) mark(e *End) {
	for _, o := range w.dirty {
		if o == e {
			return
		}
	}
	w.dirty = append(w.dirty, e)
}

// Finish implements engine.Net: what is written still goes out, then the connection closes.
func (w *World) Finish(c transport.Conn) {
	e := w.end(c)
	e.ended = true
	e.muted = false
	w.mark(e)
}

// Close implements engine.Net: the connection is gone at once.
func (w *World) Close(c transport.Conn) {
	e := w.end(c)
	e.drop()
	if e.peer != nil {
		w.After(w.Delay, func() { e.peer.Closed(e) })
	}
}

// Reading implements engine.Net: it stops or goes on to take bytes from a connection.
func (w *World) Reading(c transport.Conn, on bool) {
	e := w.end(c)
	e.muted = !on
	if waiting := e.waiting; on && len(waiting) > 0 {
		e.waiting = nil
		for _, b := range waiting {
			w.After(0, func() { e.arrive(b) })
		}
	}
}

// Accept implements routing.Net; connections are always accepted here.
func (w *World) Accept(bool) {}

// Unlisten implements engine.Net: nobody can connect to the broker any more.
func (w *World) Unlisten() bool { w.Deaf = true; return true }

// Arm implements engine.Net: the broker is woken at a time.
func (w *World) Arm(at float64) { w.armed = at }

// Stop implements engine.Net: the broker ends.
func (w *World) Stop() { w.Stopped = true }

// Door implements engine.Net: the number of the listening address by which a client came.
func (w *World) Door(c transport.Conn) int { return w.end(c).door }

// End is the broker's end of a connection.
func (w *World) End(c transport.Conn) *End { return w.ends[c] }

// give has the network take what the broker wrote, as far as it does.
func (w *World) give(e *End) {
	if e.Stuck || len(e.out) == 0 {
		return
	}
	n := len(e.out)
	if e.Takes > 0 {
		n = min(n, e.Takes)
	}
	b := e.out[:n:n]
	e.out = e.out[n:]
	e.upTo += int64(n)
	peer := e.peer
	w.After(w.Delay, func() { peer.Bytes(e, b) })
	if !e.gone {
		w.progress = append(w.progress, e)
	}
}

// Unstick has the network take again.
func (e *End) Unstick() {
	e.Stuck = false
	if !e.gone {
		e.w.mark(e)
	}
}

// Backlog is how much the network has not taken yet.
func (e *End) Backlog() int { return len(e.out) }

// Step runs one turn: to the next event or time, whichever is sooner. False: nothing will ever happen, or not until then.
func (w *World) Step(until float64) bool {
	next := w.armed
	if len(w.queue) > 0 {
		next = min(next, w.queue[0].at)
	}
	if len(w.progress)+len(w.turn)+len(w.dirty) > 0 || w.again {
		next = w.Now
	}
	if next > until || math.IsInf(next, 1) || w.Stopped {
		return false
	}
	w.Now = max(w.Now, next)
	if w.armed <= w.Now {
		w.armed = math.Inf(1)
	}
	w.Turns++
	w.again = false
	w.R.Begin(w.Now)
	progress := w.progress
	w.progress = nil
	for _, e := range progress {
		if !e.gone {
			w.R.Written(e.id, e.upTo)
		}
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.Now {
		heap.Pop(&w.queue).(event).do()
	}
	w.again = w.R.End()
	dirty := w.dirty
	w.dirty = nil
	for _, e := range dirty {
		if e.gone {
			continue
		}
		w.give(e)
		if len(e.out) > 0 && !e.Stuck {
			w.After(0.1, func() { w.mark(e) })
		}
		if e.ended && len(e.out) == 0 && !e.told {
			e.told = true
			e.Close() // the other side closes once it has read the end
			peer := e.peer
			w.After(w.Delay, func() { peer.Closed(e) })
		}
	}
	w.free = append(w.free, w.freed...)
	w.freed = w.freed[:0]
	if w.OnTurn != nil {
		w.OnTurn()
	}
	return true
}

// Run runs for so many milliseconds.
func (w *World) Run(ms float64) {
	until := w.Now + ms
	for w.Step(until) {
	}
	w.Now = max(w.Now, until)
}

// Now is the world's time.
func (e *End) Now() float64 { return e.w.Now }
