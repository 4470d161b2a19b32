package upstream

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kestrelspread/internal/node/netmap"
	"kestrelspread/internal/node/sockopt"
)

// Options configure a Pool. Zero values take the defaults.
type Options struct {
	// MaxIdle bounds the idle connections to all brokers together.
	MaxIdle int
	// MaxOpen bounds the connections to all brokers together, in use, idle and being opened.
	MaxOpen int
	// IdleTime is how long a connection may be idle before it is closed.
	IdleTime time.Duration
	// UnstatedIdleTime is how long a connection whose broker gave no Keep-Alive time may be idle
	// and still be used.
	UnstatedIdleTime time.Duration
	// KeepAliveMargin is how long before the broker an idle connection is closed here.
	KeepAliveMargin time.Duration
	// ConnectTimeout bounds the time in which a connection must be established.
	ConnectTimeout time.Duration
	// InitialConnectWait is how long a request waits for a connection while nothing is known of the
	// usual time, and MinConnectWait how long it waits at least.
	InitialConnectWait time.Duration
	MinConnectWait     time.Duration
	// ResetWait is how long Conn.AwaitReset waits for a reset, in addition to a round trip.
	ResetWait time.Duration
	// SendTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged. Twice as long
	// after the last byte arrived, a machine that doesn't answer the kernel's probes counts as
	// dead. Clients give up unresponsive streams after two seconds, so that a longer time saves no
	// request, and a shorter one lets another broker take over what may be repeated.
	SendTimeout time.Duration
	// MaxHeadBytes bounds the head of an answer.
	MaxHeadBytes int
	// NetworkMap rewrites the addresses that are dialed; the zero value rewrites none.
	NetworkMap netmap.Map
}

// Defaults of Options.
const (
	DefaultMaxIdle            = 512
	DefaultMaxOpen            = 2048
	DefaultIdleTime           = 20 * time.Second
	DefaultUnstatedIdleTime   = 4 * time.Second
	DefaultKeepAliveMargin    = 300 * time.Millisecond
	DefaultConnectTimeout     = time.Second
	DefaultInitialConnectWait = 300 * time.Millisecond
	DefaultMinConnectWait     = 60 * time.Millisecond
	DefaultResetWait          = time.Millisecond
	DefaultSendTimeout        = time.Second
	DefaultMaxHeadBytes       = 64 << 10
)

// A dead machine sends nothing: the kernel's keep-alive probes detect it while an answer is awaited.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// minUnstatedIdleTime is the least idle time that is learnt of a broker without Keep-Alive times.
const minUnstatedIdleTime = 100 * time.Millisecond

// sweepInterval is the least time between two searches for expired idle connections.
const sweepInterval = 2 * time.Second

// withDefaults replaces zero values.
func (o Options) withDefaults() Options {
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
	o.MaxOpen = cmp.Or(o.MaxOpen, DefaultMaxOpen)
	o.IdleTime = cmp.Or(o.IdleTime, DefaultIdleTime)
	o.UnstatedIdleTime = cmp.Or(o.UnstatedIdleTime, DefaultUnstatedIdleTime)
	o.KeepAliveMargin = cmp.Or(o.KeepAliveMargin, DefaultKeepAliveMargin)
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, DefaultConnectTimeout)
	o.InitialConnectWait = cmp.Or(o.InitialConnectWait, DefaultInitialConnectWait)
	o.MinConnectWait = cmp.Or(o.MinConnectWait, DefaultMinConnectWait)
	o.ResetWait = cmp.Or(o.ResetWait, DefaultResetWait)
	o.SendTimeout = cmp.Or(o.SendTimeout, DefaultSendTimeout)
	o.MaxHeadBytes = cmp.Or(o.MaxHeadBytes, DefaultMaxHeadBytes)
	return o
}

// Target is one incarnation of a broker. Its address may be given to another broker later, so
// connections belong to the instance and not to the address.
type Target struct {
	InstanceID string
	Address    string
	// MaxConnections bounds the connections of this proxy to the instance, in use and idle; 0: no
	// bound.
	MaxConnections int
	// EarlierAttempts counts the attempts that the request has made before this one. After each it
	// waits longer for a connection.
	EarlierAttempts int
}

// Counters count events of connections since the start of the Pool.
type Counters struct {
	Opened   atomic.Uint64 // new connections that were established
	Failed   atomic.Uint64 // new connections that were not
	Reused   atomic.Uint64 // requests sent on a kept connection
	Stale    atomic.Uint64 // idle connections found closed when they were to be used, or likely to be
	Surplus  atomic.Uint64 // bytes that belong to no request, and answers to earlier requests
	Unframed atomic.Uint64 // answers without a length or chunks, of which nobody can tell whether they are complete
}

// Pool keeps connections to brokers. It is safe for concurrent use.
type Pool struct {
	options  Options
	connect  func(ctx context.Context, address string) (net.Conn, error)
	Counters Counters

	mutex          sync.Mutex
	hosts          map[string]*host
	openCount      int // of all hosts
	idle           int
	abandonedDials int // dials whose requests no longer wait
	sweeping       bool
	sweeper        *time.Timer
	closed         bool
	connectTimes   connectTimes
}

// host holds the connections to one instance. The Pool's mutex guards it.
type host struct {
	target Target
	open   int     // in use, idle and being opened
	idle   []*Conn // in the order of last use, the most recent at the end
	// learnedIdleTime is how long connections without a Keep-Alive time may be idle; it falls when
	// one was found closed.
	learnedIdleTime time.Duration
}

// NewPool returns an empty pool. Close closes it.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	pool := &Pool{options: options, hosts: make(map[string]*host)}
	pool.connectTimes = connectTimes{
		mean:    options.InitialConnectWait / waitFactor,
		minWait: options.MinConnectWait,
		maxWait: options.ConnectTimeout,
	}
	dialer := net.Dialer{
		Control:         pool.setSendTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	pool.connect = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", options.NetworkMap.Rewrite(address))
	}
	return pool
}

// setSendTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func (p *Pool) setSendTimeout(_, _ string, raw syscall.RawConn) error {
	return sockopt.SetUserTimeout(raw, p.options.SendTimeout)
}

// Get returns a connection without a request in progress: the idle one that was used last, or a new
// one, which must be established before the deadline and while the context lasts. The error is of
// type ErrExhausted or ErrConnectFailed.
func (p *Pool) Get(ctx context.Context, target Target, deadline time.Time) (*Conn, error) {
	now := time.Now()
	for {
		conn, rested := p.takeIdle(target, now)
		if conn == nil {
			break
		}
		if conn.isQuiet() {
			conn.reused = true
			p.Counters.Reused.Add(1)
			return conn, nil
		}
		p.Counters.Stale.Add(1)
		p.learnIdleTime(conn, rested)
		conn.Close()
	}
	return p.open(ctx, target, deadline)
}

// takeIdle takes the idle connection that was used last out of the pool, and returns how long it
// was idle. Expired connections are closed on the way.
func (p *Pool) takeIdle(target Target, now time.Time) (*Conn, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.hosts[target.InstanceID]
	if h == nil {
		return nil, 0
	}
	if h.target.Address != target.Address {
		p.closeIdle(h, len(h.idle))
		return nil, 0
	}
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		conn := h.idle[last]
		h.idle[last] = nil
		h.idle = h.idle[:last]
		p.idle--
		if now.Before(conn.usableUntil) {
			return conn, now.Sub(conn.idleSince)
		}
		p.discard(conn)
	}
	return nil, 0
}

// learnIdleTime learns how soon a broker without Keep-Alive times closes idle connections.
func (p *Pool) learnIdleTime(conn *Conn, rested time.Duration) {
	if conn.keepAlive > 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conn.host.learnedIdleTime = min(conn.host.learnedIdleTime, max(rested/2, minUnstatedIdleTime))
}

// reserve counts a new connection to the instance, within its bound and that of all connections.
func (p *Pool) reserve(target Target) (*host, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.hosts[target.InstanceID]
	if h == nil {
		h = &host{learnedIdleTime: p.options.UnstatedIdleTime}
		p.hosts[target.InstanceID] = h
	}
	h.target = target
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		return nil, fmt.Errorf("%w: %d connections to %s are open", ErrExhausted, h.open, target.InstanceID)
	}
	if p.openCount >= p.options.MaxOpen && !p.closeLongestIdle() {
		if h.open == 0 {
			delete(p.hosts, target.InstanceID)
		}
		return nil, fmt.Errorf("%w: %d connections to all brokers are open", ErrExhausted, p.openCount)
	}
	h.open++
	p.openCount++
	return h, nil
}

// closeLongestIdle closes the connection that has been idle for longest, to make room for another one. It reports false where none is
// idle. The mutex must be held.
func (p *Pool) closeLongestIdle() bool {
	var longest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (longest == nil || h.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = h
		}
	}
	if longest == nil {
		return false
	}
	p.closeIdle(longest, 1)
	return true
}

// release uncounts a closed connection.
func (p *Pool) release(h *host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.releaseLocked(h)
}

// releaseLocked is release with the mutex held. An instance without connections is forgotten.
func (p *Pool) releaseLocked(h *host) {
	h.open--
	p.openCount--
	if h.open == 0 && p.hosts[h.target.InstanceID] == h {
		delete(p.hosts, h.target.InstanceID)
	}
}

// put makes a connection idle, for later requests.
func (p *Pool) put(conn *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.putLocked(conn)
}

// putLocked is put with the mutex held. A connection beyond the bounds is closed.
func (p *Pool) putLocked(conn *Conn) {
	now := time.Now()
	conn.clearDeadlines()
	conn.idleSince = now
	conn.usableUntil = now.Add(p.maxIdleTime(conn))
	if p.closed || p.idle >= p.options.MaxIdle || !now.Before(conn.usableUntil) {
		p.discard(conn)
		return
	}
	conn.host.idle = append(conn.host.idle, conn)
	p.idle++
	p.scheduleSweep()
}

// maxIdleTime returns how long a connection may be idle, so that it isn't used just when its broker
// closes it.
func (p *Pool) maxIdleTime(conn *Conn) time.Duration {
	if conn.keepAlive == 0 {
		return min(p.options.IdleTime, conn.host.learnedIdleTime)
	}
	return min(p.options.IdleTime, conn.keepAlive-p.options.KeepAliveMargin)
}

// discard closes a connection that is in no list. The mutex must be held.
func (p *Pool) discard(conn *Conn) {
	if conn.closeSocket() {
		p.releaseLocked(conn.host)
	}
}

// closeIdle closes the first count idle connections of a host. The mutex must be held.
func (p *Pool) closeIdle(h *host, count int) {
	for _, conn := range h.idle[:count] {
		p.discard(conn)
	}
	rest := copy(h.idle, h.idle[count:])
	clear(h.idle[rest:])
	h.idle = h.idle[:rest]
	p.idle -= count
}

// closeIdleSince closes the connections to an instance that have been idle since before the time
// given.
func (p *Pool) closeIdleSince(h *host, before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for count < len(h.idle) && h.idle[count].idleSince.Before(before) {
		count++
	}
	p.Counters.Stale.Add(uint64(count))
	p.closeIdle(h, count)
}

// scheduleSweep starts the timer that closes expired connections; it runs only while there are idle
// ones. The mutex must be held.
func (p *Pool) scheduleSweep() {
	if p.sweeping || p.idle == 0 || p.closed {
		return
	}
	p.sweeping = true
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(sweepInterval, p.sweep)
		return
	}
	p.sweeper.Reset(sweepInterval)
}

// sweep closes the expired connections of all hosts.
func (p *Pool) sweep() {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweeping = false
	for _, h := range p.hosts {
		p.closeIdle(h, expired(h.idle, now))
	}
	p.scheduleSweep()
}

// expired counts the expired connections at the front of the list. The list is in the order of last
// use, so that one with a shorter time behind one with a longer time waits for Get.
func expired(idle []*Conn, now time.Time) int {
	for i, conn := range idle {
		if now.Before(conn.usableUntil) {
			return i
		}
	}
	return len(idle)
}

// Close closes the idle connections; those in use are closed when they are returned.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	for _, h := range p.hosts {
		p.closeIdle(h, len(h.idle))
	}
}

// Connections counts connections by their state.
type Connections struct {
	// Open are all that are established or being opened.
	Open int
	// Idle of them carry no request; Abandoned of them are being opened for requests that no longer
	// wait.
	Idle, Abandoned int
}

// Connections returns the current numbers of connections.
func (p *Pool) Connections() Connections {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Connections{Open: p.openCount, Idle: p.idle, Abandoned: p.abandonedDials}
}
