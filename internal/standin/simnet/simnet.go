// Package simnet is a simulated network and clock for one broker: the engine and its fronts run on it unchanged, against scripted peers.
// All random draws come from a seed, and all order from one event queue, so that a run is repeated exactly. It carries no datagrams and
// has no disk.
package simnet

import (
	"bytes"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/eventqueue"
	"kestrelspread/internal/transport"
)

// Network is the network with its clock, and the broker on it.
type Network struct {
	NowMs               float64
	Engine              *engine.Engine
	Pool                *transport.Pool
	Random              *rand.Rand
	DelayMs             float64                 // one way
	SplitsBytes         bool                    // bytes arrive at the broker in pieces of random size
	RefusedAddresses    map[netip.AddrPort]bool // connects are refused
	UnansweredAddresses map[netip.AddrPort]bool // connects are never answered
	OnTurn              func()                  // called after each turn
	Log                 *bytes.Buffer
	conns               []*PeerConn
	freeIDs             []transport.Conn
	releasedIDs         []transport.Conn
	listeners           map[netip.AddrPort]func(*PeerConn) Peer
	events              eventqueue.Queue[float64] // by time, ms
	wakeAtMs            float64
	written             []*PeerConn
	Stopped             bool
	Unreachable         bool
	Turns               int
	instances           []Instance
	generation          int
	subscribers         []*PeerConn
	pendingWrites       []*PeerConn
	hasMoreWork         bool
}

// New returns a network with a broker that knows the list of instances. The caller adds its fronts before Run.
func New(set settings.Values, seed uint64, sockets int, list []Instance) *Network {
	n := &Network{NowMs: 1e6, Random: rand.New(rand.NewPCG(seed, 11)), DelayMs: 0.2, listeners: map[netip.AddrPort]func(*PeerConn) Peer{},
		RefusedAddresses: map[netip.AddrPort]bool{}, UnansweredAddresses: map[netip.AddrPort]bool{}, wakeAtMs: math.Inf(1), instances: list,
		Pool: &transport.Pool{Size: 80 << 10, Max: 400}, Log: &bytes.Buffer{}}
	n.Engine = engine.New(n, n.Pool, zerolog.New(io.MultiWriter(n.Log)), set, seed, sockets, []byte(n.listMessage(true)), DiscoveryAddress, 0)
	n.listeners[DiscoveryAddress] = func(*PeerConn) Peer { return (*discoveryPeer)(n) }
	return n
}

// Listen has peers accept connections at an address.
func (n *Network) Listen(at netip.AddrPort, accept func(*PeerConn) Peer) { n.listeners[at] = accept }

// StopListening has connects to an address refused.
func (n *Network) StopListening(at netip.AddrPort) { delete(n.listeners, at) }

// addConn adds a connection of the broker, with a number that was released, or a new one.
func (n *Network) addConn(c *PeerConn) *PeerConn {
	c.network, c.openedAtMs = n, n.NowMs
	if last := len(n.freeIDs) - 1; last >= 0 {
		c.id, n.freeIDs = n.freeIDs[last], n.freeIDs[:last]
		n.conns[c.id] = c
	} else {
		c.id = transport.Conn(len(n.conns))
		n.conns = append(n.conns, c)
	}
	return c
}

// Dial connects a peer to a listening address of the broker, by its number.
func (n *Network) Dial(listenIndex int, p Peer) *PeerConn {
	c := &PeerConn{listenIndex: listenIndex, peer: p}
	if n.Unreachable {
		c.closed = true
		n.After(n.DelayMs, func() { p.Closed(c) })
		return c
	}
	n.After(n.DelayMs, func() {
		if n.Unreachable || c.closed {
			c.closed = true
			p.Closed(c)
			return
		}
		n.addConn(c)
		c.open = true
		n.Engine.Accepted(c.id)
		p.Opened(c)
	})
	return c
}

// Step runs one turn of the broker, at the next event or deadline. false: there is none until the given time.
func (n *Network) Step(untilMs float64) bool {
	next := n.nextTurnMs()
	if next > untilMs || math.IsInf(next, 1) || n.Stopped {
		return false
	}
	n.NowMs = max(n.NowMs, next)
	if n.wakeAtMs <= n.NowMs {
		n.wakeAtMs = math.Inf(1)
	}
	n.Turns++
	n.hasMoreWork = false
	n.Engine.BeginTurn(n.NowMs)
	n.reportWritten()
	for runAtMs, ok := n.events.Next(); ok && runAtMs <= n.NowMs; runAtMs, ok = n.events.Next() {
		_, run := n.events.Take()
		run()
	}
	n.hasMoreWork = n.Engine.EndTurn()
	n.transmitAll()
	n.freeIDs = append(n.freeIDs, n.releasedIDs...)
	n.releasedIDs = n.releasedIDs[:0]
	if n.OnTurn != nil {
		n.OnTurn()
	}
	return true
}

// After schedules a function after a delay.
func (n *Network) After(delayMs float64, run func()) { n.events.Add(n.NowMs+max(delayMs, 0), run) }

// nextTurnMs is the time of the next turn; positive infinity: there is nothing to do.
func (n *Network) nextTurnMs() float64 {
	if len(n.written)+len(n.pendingWrites) > 0 || n.hasMoreWork {
		return n.NowMs
	}
	next := n.wakeAtMs
	if runAtMs, ok := n.events.Next(); ok {
		next = min(next, runAtMs)
	}
	return next
}

// Run runs the network for a duration.
func (n *Network) Run(durationMs float64) {
	until := n.NowMs + durationMs
	for n.Step(until) {
	}
	n.NowMs = max(n.NowMs, until)
}
