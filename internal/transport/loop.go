// Package transport sends and receives bytes over TCP: an event loop over epoll, a timer with a
// resolution below a millisecond, and a pool of buffers of one size. It reports events to a Handler,
// and knows nothing of the messages in the bytes.
//
// The loop runs in turns: each waits for events, calls the handler for each of them, and then sends
// what the handler has written.
//
// Invariants: one goroutine runs the loop and calls the handler, and other goroutines may only
// call Notify and read the clock; bytes are sent in the order in which they were written; the number of a closed
// connection is not reused before the next turn; a panic of the handler ends the handling of one
// event, not the process.
package transport

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"kestrelspread/internal/invariant"
)

// Conn is the number of a connection until either side closes it. From the next turn on, a new
// connection may have the same number.
type Conn int32

// Handler receives the events of a loop. All events of a turn come between the calls that start and
// end it. Times are in milliseconds of Loop.Now. Offsets count the bytes written to a connection
// since it was opened.
type Handler interface {
	// BeginTurn starts a turn at time now.
	BeginTurn(now float64)
	// Accepted reports that a client has connected.
	Accepted(c Conn)
	// AcceptFailed reports that no descriptor or memory was left to accept a client. Accepting is off
	// from here on, until the handler switches it on again.
	AcceptFailed()
	// Opened reports that a connection started by Connect is established.
	Opened(c Conn)
	// Received reports that b was received on a connection; b is valid during the call. receivedAt is
	// the kernel's time of arrival where it timestamps, else the time of the turn. A nil b reports
	// that bytes were received after Finish and discarded.
	Received(c Conn, b []byte, receivedAt float64)
	// Written reports that the system has accepted all bytes before offset upTo for sending.
	Written(c Conn, upTo int64)
	// Closed reports that a connection failed to open, failed, or was closed by the other side. Bytes
	// from offset upTo on were never handed to the system.
	Closed(c Conn, upTo int64)
	// Notified reports a call of Notify with the same number.
	Notified(notification int32)
	// Panicked reports that the handling of an event panicked with the value reason. c is the event's
	// connection, or negative if the event has none.
	Panicked(c Conn, reason any, stack []byte)
	// EndTurn ends a turn. If it returns true, the next turn begins at once, without waiting for events.
	EndTurn() (again bool)
}

const (
	// No connection, and in place of a connection's number the loop's own descriptors in epoll.
	noConn      Conn = -1
	timerEvent  Conn = -2
	notifyEvent Conn = -3

	maxAcceptsPerTurn = 64      // of a listener, so that established connections are served in between
	maxReadsAtEnd     = 64      // reads per turn of a connection whose other side has closed
	maxDiscard        = 1 << 20 // bytes discarded by one read of a finishing connection
	backlog           = 1024    // connections that the system queues until they are accepted
	eventsPerTurn     = 256     // taken from epoll
	// clockZero is Now at the start of the loop, in milliseconds: a day, so that times before the
	// start are positive as well.
	clockZero = 24 * 3600 * 1000.
	// controlBufferSize has room in bytes for the control messages of one read, of which the
	// timestamp is one.
	controlBufferSize = 64
)

// connState is the state of one connection or listener.
type connState struct {
	descriptor    int  // -1: none
	inUse         bool // its number has not been freed
	accepted      bool // came in at a listener
	open          bool // false: still connecting
	listener      bool
	listenerIndex int8 // number of the listener that it is or was accepted by
	timestamped   bool // the kernel reports when bytes arrived
	readingOff    bool
	blocked       bool     // has output that the system's socket buffer has no room for
	flushPending  bool     // in Loop.flushPending
	progressed    bool     // in Loop.progressed
	finishing     bool     // sends what is queued, then closes its side; discards what it receives
	writeClosed   bool     // its side is closed
	failed        bool     // in Loop.failed
	written       int64    // offset up to which the system has accepted bytes
	output        [][]byte // buffers of the pool, not yet accepted by the system
	outputOffset  int      // bytes of the first buffer of output that the system has accepted
}

// Loop is an event loop. Its methods may be called only from the handler or before Run, except for
// Notify, and for Now and Epoch, which read nothing that changes.
type Loop struct {
	notifications            atomic.Uint32 // bit set of the notifications not yet delivered
	epoll, timerfd, eventfd  int           // descriptors
	handler                  Handler
	pool                     *Pool
	conns                    []connState // by Conn
	free, freed              []Conn      // numbers of closed connections: reusable now; reusable from the next turn on
	flushPending, progressed []Conn      // connections to flush in this turn; to report as Written in the next turn
	failed                   []Conn      // connections to report as Closed in the next turn
	spareLists               [2][]Conn   // of failed and progressed, reused in alternate turns
	listeners                []Conn      // by number; noConn where closed
	accepting, timestamped   bool
	armedAt                  float64 // when the timer expires; 0: unarmed
	start                    time.Time
	now                      float64 // time of this turn
	readBuffer, oob          []byte  // of one read: its bytes and its control messages
	stopped                  bool
	beforeCloseListener      func() // for tests: called between the last accept of a listener and its closing
	BytesReceived, BytesSent int64  // bytes since the start
	Turns                    int64  // since the start
	Sockets                  int    // open sockets, including listeners
}

// New returns a loop that takes its output buffers from pool. One read takes at most pool.Size bytes.
func New(pool *Pool) (*Loop, error) {
	l := &Loop{pool: pool, start: time.Now(), readBuffer: make([]byte, pool.Size), oob: make([]byte, controlBufferSize)}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("create epoll instance: %w", err)
	}
	if l.timerfd, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("create timerfd: %w", err)
	}
	if l.eventfd, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("create eventfd: %w", err)
	}
	for c, fd := range [...]int{l.timerfd, l.eventfd} {
		e := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(timerEvent) - int32(c)}
		if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &e); err != nil {
			return nil, fmt.Errorf("add descriptor %d to epoll: %w", fd, err)
		}
	}
	return l, nil
}

// Now returns the time in milliseconds of a monotonic clock.
func (l *Loop) Now() float64 { return clockZero + float64(time.Since(l.start))/1e6 }

// Epoch returns the Unix time in milliseconds at which Now would have been 0.
func (l *Loop) Epoch() float64 { return float64(l.start.UnixNano())/1e6 - clockZero }

// Notify has the loop call the handler's Notified with a number from 0 to 31. It may be called from any
// goroutine. Equal notifications are delivered once if they come before the loop reads the
// first. The numbers are kept in a bit set and the eventfd only wakes the loop, because an eventfd
// adds up the values written to it: two equal numbers would read as another one.
func (l *Loop) Notify(notification int32) {
	l.notifications.Or(1 << uint(notification))
	unix.Write(l.eventfd, binary.NativeEndian.AppendUint64(nil, 1))
}

// SetTimer sets the timer so that a turn begins at a time, in place of the time set before.
func (l *Loop) SetTimer(at float64) {
	if at == l.armedAt {
		return
	}
	l.armedAt = at
	in := max(time.Duration((at-l.Now())*1e6), 1)
	unix.TimerfdSettime(l.timerfd, 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(int64(in))}, nil)
}

// Stop has Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Run runs the loop with a handler until Stop is called or epoll fails.
func (l *Loop) Run(h Handler) error {
	l.handler = h
	events := make([]unix.EpollEvent, eventsPerTurn)
	wait := 0
	for !l.stopped {
		n, err := unix.EpollWait(l.epoll, events, wait)
		if err == unix.EINTR {
			continue
		} else if err != nil {
			return fmt.Errorf("wait for epoll events: %w", err)
		}
		l.Turns++
		l.now = l.Now()
		l.begin()
		failed, progressed := l.failed, l.progressed
		l.failed, l.progressed = l.spareLists[0][:0], l.spareLists[1][:0]
		l.spareLists = [2][]Conn{failed, progressed}
		for _, c := range failed {
			if l.conns[c].failed {
				l.handle(c, eventFailed)
			}
		}
		for _, c := range progressed {
			if l.conns[c].progressed {
				l.handle(c, eventWritten)
			}
		}
		for _, e := range events[:n] {
			l.handle(Conn(e.Fd), e.Events)
		}
		again := l.end()
		for i := 0; i < len(l.flushPending); i++ {
			c := l.flushPending[i]
			if conn := &l.conns[c]; conn.flushPending {
				conn.flushPending = false
				l.flush(c)
			}
		}
		l.flushPending = l.flushPending[:0]
		wait = -1
		if again || len(l.failed) > 0 {
			wait = 0
		}
		l.free = append(l.free, l.freed...)
		l.freed = l.freed[:0]
	}
	return nil
}

// Events that the loop itself passes to handle, in place of epoll's.
const (
	eventFailed  = 0
	eventWritten = 1 << 31
)

// begin calls the handler's BeginTurn and recovers from its panic.
func (l *Loop) begin() {
	defer l.recoverPanic(noConn)
	l.handler.BeginTurn(l.now)
}

// end calls the handler's EndTurn and recovers from its panic.
func (l *Loop) end() (again bool) {
	defer l.recoverPanic(noConn)
	return l.handler.EndTurn()
}

// recoverPanic, when deferred, recovers from a panic and reports it to the handler.
func (l *Loop) recoverPanic(c Conn) {
	if reason := recover(); reason != nil {
		l.handler.Panicked(c, reason, debug.Stack())
	}
}

// handle handles one event: of epoll, of the loop's own descriptors, or one of eventFailed and
// eventWritten.
func (l *Loop) handle(c Conn, events uint32) {
	defer l.recoverPanic(c)
	switch {
	case c == timerEvent:
		var word [8]byte
		unix.Read(l.timerfd, word[:])
		l.armedAt = 0
	case c == notifyEvent:
		var word [8]byte
		unix.Read(l.eventfd, word[:]) // read before the bit set: a notification in between wakes the loop again
		for notification, bits := int32(0), l.notifications.Swap(0); bits != 0; notification, bits = notification+1, bits>>1 {
			if bits&1 != 0 {
				l.handler.Notified(notification)
			}
		}
	case c >= 0 && l.conns[c].listener:
		l.accept(c)
	case events == eventFailed:
		l.closed(c)
	case events == eventWritten:
		l.conns[c].progressed = false
		l.handler.Written(c, l.conns[c].written)
	default:
		l.ready(c, events)
	}
}

// newConn gives a descriptor a connection number. fd is -1 if no socket could be opened.
func (l *Loop) newConn(fd int) Conn {
	c := Conn(len(l.conns))
	if n := len(l.free); n > 0 {
		c, l.free = l.free[n-1], l.free[:n-1]
	} else {
		l.conns = append(l.conns, connState{})
	}
	l.conns[c] = connState{descriptor: fd, inUse: true}
	if fd >= 0 {
		l.Sockets++
	}
	return c
}

// setEvents has epoll report the events that a connection needs in its present state. op is
// EPOLL_CTL_ADD or EPOLL_CTL_MOD.
func (l *Loop) setEvents(c Conn, op int) error {
	conn := &l.conns[c]
	events := uint32(unix.EPOLLRDHUP)
	if conn.listener {
		events = 0
		if l.accepting {
			events = unix.EPOLLIN
		}
	} else {
		if conn.open && !conn.readingOff {
			events |= unix.EPOLLIN
		}
		if !conn.open || conn.blocked {
			events |= unix.EPOLLOUT
		}
	}
	return unix.EpollCtl(l.epoll, op, conn.descriptor, &unix.EpollEvent{Events: events, Fd: int32(c)})
}

// fail marks a connection as failed; the handler's Closed follows in the next turn.
func (l *Loop) fail(c Conn) {
	if conn := &l.conns[c]; !conn.failed {
		conn.failed = true
		l.failed = append(l.failed, c)
	}
}

// Close closes a connection at once and discards its queued output. The handler's Closed does not
// follow.
func (l *Loop) Close(c Conn) {
	conn := &l.conns[c]
	invariant.Check(conn.inUse, "a connection is closed once")
	if !conn.inUse {
		return
	}
	if conn.descriptor >= 0 {
		unix.Close(conn.descriptor)
		l.Sockets--
	}
	for _, b := range conn.output {
		l.pool.Put(b)
	}
	*conn = connState{descriptor: -1}
	l.freed = append(l.freed, c)
}

// closed closes a connection that has ended or failed, and reports it to the handler.
func (l *Loop) closed(c Conn) {
	upTo := l.conns[c].written
	l.Close(c)
	l.handler.Closed(c, upTo)
}
