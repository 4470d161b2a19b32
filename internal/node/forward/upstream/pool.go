package upstream

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bound what a Pool keeps. Zero values take the defaults.
type Options struct {
	// MaxIdle bounds the connections at rest to all brokers together.
	MaxIdle int
	// IdleTime is how long a connection may rest before it is closed.
	IdleTime time.Duration
	// UnstatedIdleTime is how long a connection whose broker gave no Keep-Alive time may rest and be used again.
	UnstatedIdleTime time.Duration
	// KeepAliveMargin is how much sooner than the broker a resting connection is given up.
	KeepAliveMargin time.Duration
	// ConnectTimeout bounds the time in which a connection must come up.
	ConnectTimeout time.Duration
	// InitialConnectWait is how long a request waits for a connection to come up while nothing is known of how long that usually
	// takes, and LeastPatience how long it waits at least.
	InitialConnectWait time.Duration
	MinConnectWait     time.Duration
	// ResetWait is how long Conn.Settle waits for a reset, beside a round trip.
	ResetWait time.Duration
	// SendTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay without acknowledgement. Twice as long after the last byte came,
	// a machine that does not answer the kernel's probes is taken for dead. Clients give silent streams up after two seconds, so
	// that a longer time saves no request, and a shorter one lets another broker take up what may be repeated.
	SendTimeout time.Duration
	// MaxHeadBytes bounds the head of an answer.
	MaxHeadBytes int
}

// Defaults of Options.
const (
	DefaultMaxIdle            = 512
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

// A dead machine says nothing: probes of the kernel detect it while an answer is awaited.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// minUnstatedIdleTime bounds from below what is learned of brokers that give no Keep-Alive time.
const minUnstatedIdleTime = 100 * time.Millisecond

// sweepInterval is the shortest time between two searches for connections that have rested too long.
const sweepInterval = 2 * time.Second

func (o Options) withDefaults() Options {
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
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

// Target is a broker in one of its lives. An address may be given to another broker later, so connections belong to the
// instance and not to the address.
type Target struct {
	InstanceID string
	Address    string
	// MaxConnections bounds the connections of this proxy to the instance, in use and at rest; 0: no bound.
	MaxConnections int
	// EarlierAttempts counts the attempts that the request has made before this one. After each it waits longer for a connection.
	EarlierAttempts int
}

// Counters count what happened to connections.
type Counters struct {
	Opened   atomic.Uint64 // new connections that came up
	Failed   atomic.Uint64 // new connections that did not
	Reused   atomic.Uint64 // requests sent on a kept connection
	Stale    atomic.Uint64 // kept connections found closed when they were to be used, or likely to be
	Surplus  atomic.Uint64 // bytes found that belong to no request, and answers to earlier requests
	Unframed atomic.Uint64 // answers without a length or chunks, of which nobody can tell whether they are whole
}

// Pool keeps connections to brokers. It is safe for concurrent use.
type Pool struct {
	options  Options
	connect  func(ctx context.Context, address string) (net.Conn, error)
	Counters Counters

	mutex          sync.Mutex
	hosts          map[string]*host
	idle           int
	abandonedDials int // being opened, for no request any more
	sweeping       bool
	sweeper        *time.Timer
	closed         bool
	connectTimes   connectTimes
}

// host holds the connections to one instance.
type host struct {
	target Target
	open   int     // in use and at rest
	idle   []*Conn // the one used last stands at the end
	// learnedIdleTime is how long connections without a Keep-Alive time have been seen to last; it falls when one was closed.
	learnedIdleTime time.Duration
}

// NewPool returns an empty pool.
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
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return pool
}

func (p *Pool) setSendTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		milliseconds := int(p.options.SendTimeout / time.Millisecond)
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return failure
}

// Get gives a connection on which nothing is under way: the kept one that was used last, or a new one, which must come up
// before the time given and while the context lasts.
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

// takeIdle takes the connection that was used last out of the pool, and says how long it has rested. Connections that have
// rested too long are closed on the way.
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

// learnIdleTime learns how soon a broker that gives no Keep-Alive time closes connections.
func (p *Pool) learnIdleTime(conn *Conn, rested time.Duration) {
	if conn.keepAlive > 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conn.host.learnedIdleTime = min(conn.host.learnedIdleTime, max(rested/2, minUnstatedIdleTime))
}

// reserve counts a new connection to the instance.
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
		return nil, Exhausted.New("%d connections to %s are open", h.open, target.InstanceID)
	}
	h.open++
	return h, nil
}

func (p *Pool) release(h *host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.releaseLocked(h)
}

func (p *Pool) releaseLocked(h *host) {
	h.open--
	if h.open == 0 && p.hosts[h.target.InstanceID] == h {
		delete(p.hosts, h.target.InstanceID)
	}
}

// put keeps a connection for later requests.
func (p *Pool) put(conn *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.putLocked(conn)
}

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

// maxIdleTime is how long a connection may rest, so that it isn't used just when its broker closes it.
func (p *Pool) maxIdleTime(conn *Conn) time.Duration {
	if conn.keepAlive == 0 {
		return min(p.options.IdleTime, conn.host.learnedIdleTime)
	}
	return min(p.options.IdleTime, conn.keepAlive-p.options.KeepAliveMargin)
}

// discard closes a connection that is in no list. The lock is held.
func (p *Pool) discard(conn *Conn) {
	if conn.closeSocket() {
		p.releaseLocked(conn.host)
	}
}

// closeIdle closes the first connections of those at rest. The lock is held.
func (p *Pool) closeIdle(h *host, count int) {
	for _, conn := range h.idle[:count] {
		p.discard(conn)
	}
	rest := copy(h.idle, h.idle[count:])
	clear(h.idle[rest:])
	h.idle = h.idle[:rest]
	p.idle -= count
}

// closeIdleSince closes the connections to an instance that have rested since before the time given.
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

// scheduleSweep sets the timer that closes connections at rest; it runs only while there are some. The lock is held.
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

// expired counts the connections at the front of the list that have rested too long. They stand in the order of their
// last use, so that a later one with a shorter time waits for its turn in Get.
func expired(idle []*Conn, now time.Time) int {
	for i, conn := range idle {
		if now.Before(conn.usableUntil) {
			return i
		}
	}
	return len(idle)
}

// Close closes the connections at rest; those in use are closed when they are given back.
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

// Connections counts connections by what they are there for.
type Connections struct {
	// Open are all that are up or being opened.
	Open int
	// Idle of them are at rest, and Abandoned are being opened for requests that no longer wait for them.
	Idle, Abandoned int
}

// Connections tells how many connections there are just now.
func (p *Pool) Connections() Connections {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := Connections{Idle: p.idle, Abandoned: p.abandonedDials}
	for _, h := range p.hosts {
		count.Open += h.open
	}
	return count
}
