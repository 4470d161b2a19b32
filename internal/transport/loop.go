// Package transport moves bytes: one loop over epoll, a timer finer than a millisecond, and a pool
// of buffers of one size. It performs what it is asked for and reports what happened to a Handler;
// it knows no message.
//
// Invariants: one goroutine runs the loop and calls the handler, and only Notify may be called from
// others; bytes are written in their order; a connection's number is not used again before the next
// turn; a panic of the handler ends an event, not the process.
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

// Conn names a connection until it is closed, by either side; after that, from the next turn on,
// another one may have its number.
type Conn int32

// Handler is notified of events, all of a turn between Begin and End. Times are milliseconds of Now.
type Handler interface {
	// Begin begins a turn.
	Begin(now float64)
	// Accepted: a client has connected.
	Accepted(c Conn)
	// AcceptFailed: no descriptor was left for a client, and accepting is off from here on.
	AcceptFailed()
	// Opened: a connection that was asked for is up.
	Opened(c Conn)
	// Bytes came at a time by the system's stamp; none: more came after Finish, and was discarded.
	Bytes(c Conn, b []byte, came float64)
	// Written: the system has taken what was written up to an offset.
	Written(c Conn, upTo int64)
	// Closed: by the other side, or for want of a connection; what was written from upTo on never
	// left.
	Closed(c Conn, upTo int64)
	// Notified of something by another goroutine.
	Notified(what int32)
	// Panicked: handling an event of a connection (or of none, below 0) panicked.
	Panicked(c Conn, what any, stack []byte)
	// End ends a turn. again: something waits for a turn that nothing else will bring.
	End() (again bool)
}

const (
	noConn      Conn = -1
	timerEvent  Conn = -2
	notifyEvent Conn = -3

	maxAcceptsPerTurn = 64      // in one turn: those connected are served in between
	maxReadsAtEnd     = 64      // reads in one turn, where the other side has ended
	maxDiscard        = 1 << 20 // bytes of what nobody reads, at a time
	backlog           = 1024    // connections that the system keeps until they are accepted
	eventsPerTurn     = 256
	// clockZero lets times before the start stay above 0.
	clockZero = 24 * 3600 * 1000.
)

// connState is what the loop keeps of one connection.
type connState struct {
	descriptor   int
	inUse        bool
	accepted     bool
	open         bool // or still connecting
	listener     bool
	door         int8 // which address it came in by, or is
	timestamped  bool
	readingOff   bool
	blocked      bool // waits until the other side takes more
	flushPending bool
	progressed   bool
	finishing    bool // writes out what is queued, ends its side and discards what comes
	writeClosed  bool
	failed       bool
	written      int64
	output       [][]byte
	outputOffset int
}

// Loop is the one loop. Only Tell may be called from elsewhere.
type Loop struct {
	notifications            atomic.Uint32 // not yet read, by bit
	epoll, timerfd, eventfd  int
	handler                  Handler
	pool                     *Pool
	conns                    []connState
	free, freed              []Conn
	flushPending, progressed []Conn
	failed                   []Conn
	spareLists               [2][]Conn
	listeners                []Conn // by door; none where it is closed
	accepting, timestamped   bool
	armedAt                  float64
	start                    time.Time
	now                      float64
	scratch, oob             []byte
	stopped                  bool
	beforeUnlisten           func() // for tests: between the last connection that is taken and the closing of its address
	Received, Sent           int64
	Turns                    int64
	Sockets                  int // open now, the listeners among them
}

// New makes a loop with an epoll instance and a timer of its own; buffers come from the pool.
func New(pool *Pool) (*Loop, error) {
	l := &Loop{pool: pool, start: time.Now(), scratch: make([]byte, pool.Size), oob: make([]byte, 64)}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.timerfd, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("timerfd: %w", err)
	}
	if l.eventfd, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	for c, fd := range [...]int{l.timerfd, l.eventfd} {
		e := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(timerEvent) - int32(c)}
		if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &e); err != nil {
			return nil, fmt.Errorf("epoll: %w", err)
		}
	}
	return l, nil
}

// Now reads the clock, which never goes back.
func (l *Loop) Now() float64 { return clockZero + float64(time.Since(l.start))/1e6 }

// Epoch is the Unix time in milliseconds at which Now was 0.
func (l *Loop) Epoch() float64 { return float64(l.start.UnixNano())/1e6 - clockZero }

// Notify brings a notification from another goroutine into the loop. Repeated before it is read, it
// is one. The notifications stand apart from the wake-up: an eventfd adds up what is written to it,
// and two equal ones there made a third.
func (l *Loop) Notify(what int32) {
	l.notifications.Or(1 << uint(what))
	unix.Write(l.eventfd, binary.NativeEndian.AppendUint64(nil, 1))
}

// Arm has a turn come at a time.
func (l *Loop) Arm(at float64) {
	if at == l.armedAt {
		return
	}
	l.armedAt = at
	in := max(time.Duration((at-l.Now())*1e6), 1)
	unix.TimerfdSettime(l.timerfd, 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(int64(in))}, nil)
}

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Run turns until Stop.
func (l *Loop) Run(h Handler) error {
	l.handler = h
	events := make([]unix.EpollEvent, eventsPerTurn)
	wait := 0
	for !l.stopped {
		n, err := unix.EpollWait(l.epoll, events, wait)
		if err == unix.EINTR {
			continue
		} else if err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		l.Turns++
		l.now = l.Now()
		l.begin()
		failed, progress := l.failed, l.progressed
		l.failed, l.progressed = l.spareLists[0][:0], l.spareLists[1][:0]
		l.spareLists = [2][]Conn{failed, progress}
		for _, c := range failed {
			if l.conns[c].failed {
				l.handle(c, eventFailed)
			}
		}
		for _, c := range progress {
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

// Events of the loop's own, where epoll's would be.
const (
	eventFailed  = 0
	eventWritten = 1 << 31
)

// begin and end keep a failure of the handler from ending the process.
func (l *Loop) begin() {
	defer l.recoverPanic(noConn)
	l.handler.Begin(l.now)
}

func (l *Loop) end() (again bool) {
	defer l.recoverPanic(noConn)
	return l.handler.End()
}

func (l *Loop) recoverPanic(c Conn) {
	if what := recover(); what != nil {
		l.handler.Panicked(c, what, debug.Stack())
	}
}

func (l *Loop) handle(c Conn, events uint32) {
	defer l.recoverPanic(c)
	switch {
	case c == timerEvent:
		var word [8]byte
		unix.Read(l.timerfd, word[:])
		l.armedAt = 0
	case c == notifyEvent:
		var word [8]byte
		unix.Read(l.eventfd, word[:]) // before the notifications: one that comes in between wakes again
		for what, bits := int32(0), l.notifications.Swap(0); bits != 0; what, bits = what+1, bits>>1 {
			if bits&1 != 0 {
				l.handler.Notified(what)
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

// newConn gives a descriptor its number.
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

func (l *Loop) fail(c Conn) {
	if conn := &l.conns[c]; !conn.failed {
		conn.failed = true
		l.failed = append(l.failed, c)
	}
}

// Close drops a connection with all that waits on it.
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

func (l *Loop) closed(c Conn) {
	upTo := l.conns[c].written
	l.Close(c)
	l.handler.Closed(c, upTo)
}
