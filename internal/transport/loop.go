// Package transport moves bytes: one loop over epoll, a timer finer than a millisecond, and a pool of buffers of
// one size. It performs what it is asked for and reports what happened; it knows no message.
package transport

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"kestrelspread/internal/must"
)

// Conn names a connection until it is closed, by either side; after that, from the next turn on, another one may have
// its number.
type Conn int32

// Handler is told of events, all of a turn between Begin and End. Times are milliseconds of Now.
type Handler interface {
	Begin(now float64)
	Accepted(c Conn)
	AcceptFailed() // accepting is off from here on
	Opened(c Conn)
	Bytes(c Conn, b []byte, came float64) // none of them: more came after Finish, and went nowhere
	Written(c Conn, upTo int64)           // bytes given to the network so far
	Closed(c Conn, upTo int64)            // by the other side, or for want of a connection
	Notified(what int32)
	Panicked(c Conn, what any, stack []byte)
	End() (again bool) // again: something waits for a turn that nothing else will bring
}

const (
	noConn   Conn = -1
	timerEvent   Conn = -2
	notifyEvent Conn = -3

	maxAcceptsPerTurn  = 64      // in one turn: those connected are served in between
	maxReadsAtEnd = 64      // reads in one turn, where the other side has ended
	maxDiscard  = 1 << 20 // of what nobody reads, at a time
	backlog  = 1024
	// clockZero lets times before the start stay above 0.
	clockZero = 24 * 3600 * 1000.
)

type conn struct {
	descriptor         int
	inUse       bool
	accepted   bool
	open       bool // or still connecting
	listener   bool
	door       int8 // which address it came in by, or is
	timestamped    bool
	readingOff       bool // reading is off
	blocked    bool // waits until the other side takes more
	flushPending      bool
	progressed bool
	finishing  bool // writes out what waits, ends its side and reads what comes into nothing
	writeClosed       bool
	failed     bool
	written    int64
	output        [][]byte
	outputOffset      int
}

// Loop is the one loop. Only Tell may be called from elsewhere.
type Loop struct {
	notifications              atomic.Uint32 // told and not yet read, by bit
	epoll, timerfd, eventfd int
	handler            Handler
	pool               *Pool
	conns              []conn
	free, freed        []Conn
	flushPending, progressed    []Conn
	failed             []Conn
	spareLists              [2][]Conn
	listeners          []Conn // by door; none where it is closed
	accepting, timestamped bool
	armedAt              float64
	start              time.Time
	now, wallLead      float64
	scratch, oob       []byte
	stopped              bool
	beforeUnlisten             func() // for tests: between the last connection that is taken and the closing of its address
	Received, Sent     int64
	Turns              int64
	Sockets            int // held now, the listener among them
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

// Notify brings a word from another goroutine into the loop. Told again before it is read, it is one word. The words stand
// apart from the wake-up: an eventfd adds up what is written to it, and two equal words there made a third.
func (l *Loop) Notify(what int32) {
	l.notifications.Or(1 << uint(what))
	unix.Write(l.eventfd, binary.NativeEndian.AppendUint64(nil, 1))
}

// Listen opens an address on which connections are taken, the next door from 0.
func (l *Loop) Listen(addr netip.AddrPort) error {
	c, err := l.socket(addr)
	if err != nil {
		return err
	}
	fd := l.conns[c].descriptor
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, sockaddr(addr)); err != nil {
		l.Close(c)
		return fmt.Errorf("bind: %w", err)
	}
	if err := unix.Listen(fd, backlog); err != nil {
		l.Close(c)
		return fmt.Errorf("listen: %w", err)
	}
	// When a search came must be known even if this process stood still meanwhile: its client waits from then
	// on. Connections have this from their listener.
	l.timestamped = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) == nil
	l.conns[c].listener, l.conns[c].open = true, true
	l.conns[c].door = int8(len(l.listeners))
	l.listeners, l.accepting = append(l.listeners, c), true
	return l.setEvents(c, unix.EPOLL_CTL_ADD)
}

// Door tells by which address a connection came in, 0 for the first that was listened on.
func (l *Loop) Door(c Conn) int { return int(l.conns[c].door) }

// Port tells the port that was taken.
func (l *Loop) Port(door int) int {
	at, _ := unix.Getsockname(l.conns[l.listeners[door]].descriptor)
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return at.Port
	case *unix.SockaddrInet6:
		return at.Port
	}
	return 0
}

func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Unmap().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().Unmap().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

func (l *Loop) socket(addr netip.AddrPort) (Conn, error) {
	family := unix.AF_INET
	if !addr.Addr().Unmap().Is4() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return l.newConn(-1), fmt.Errorf("socket: %w", err)
	}
	return l.newConn(fd), nil
}

// newConn gives a descriptor its number.
func (l *Loop) newConn(fd int) Conn {
	c := Conn(len(l.conns))
	if n := len(l.free); n > 0 {
		c, l.free = l.free[n-1], l.free[:n-1]
	} else {
		l.conns = append(l.conns, conn{})
	}
	l.conns[c] = conn{descriptor: fd, inUse: true}
	if fd >= 0 {
		l.Sockets++
	}
	return c
}

func (l *Loop) setEvents(c Conn, op int) error {
	k := &l.conns[c]
	events := uint32(unix.EPOLLRDHUP)
	if k.listener {
		events = 0
		if l.accepting {
			events = unix.EPOLLIN
		}
	} else {
		if k.open && !k.readingOff {
			events |= unix.EPOLLIN
		}
		if !k.open || k.blocked {
			events |= unix.EPOLLOUT
		}
	}
	return unix.EpollCtl(l.epoll, op, k.descriptor, &unix.EpollEvent{Events: events, Fd: int32(c)})
}

// Accept switches the taking of connections on or off.
func (l *Loop) Accept(on bool) {
	if l.accepting == on {
		return
	}
	l.accepting = on
	for _, c := range l.listeners {
		if c != noConn {
			l.setEvents(c, unix.EPOLL_CTL_MOD)
		}
	}
}

// Unlisten takes what has connected already and closes the addresses. False: for want of a descriptor some could not be
// taken. Closing their address would end them without a word, so it stays open, and is to be closed by another call.
func (l *Loop) Unlisten() (closed bool) {
	closed = true
	for door, c := range l.listeners {
		if c == noConn {
			continue
		}
		l.dropConnects(c)
		for l.accepting = true; l.accept(c); {
		}
		if !l.accepting {
			closed = false
			continue
		}
		if l.beforeUnlisten != nil {
			l.beforeUnlisten()
		}
		l.listeners[door] = noConn
		l.Close(c)
	}
	return closed
}

// dropConnects keeps further connections from coming up at an address. One that came up after the last was taken and before the
// address is closed would be reset, and with it a request that its client believes to be on its way. Barred, its client asks
// the system for the connection again, and is refused as by any address that is closed. It has the system drop what asks for
// a connection (SYN without ACK, in the byte of flags at 13 of TCP's header); where it is not allowed, the gap stays.
func (l *Loop) dropConnects(c Conn) {
	const flags, syn, synAck = 13, 0x02, 0x12
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	}
	unix.SetsockoptSockFprog(l.conns[c].descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// Connect opens a connection; Opened or Closed tells in a later turn how that went.
func (l *Loop) Connect(addr netip.AddrPort) Conn {
	c, err := l.socket(addr)
	if err == nil {
		unix.SetsockoptInt(l.conns[c].descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if err = unix.Connect(l.conns[c].descriptor, sockaddr(addr)); err == unix.EINPROGRESS || err == nil {
			err = l.setEvents(c, unix.EPOLL_CTL_ADD)
		}
	}
	if err != nil {
		l.fail(c)
	}
	return c
}

func (l *Loop) fail(c Conn) {
	if k := &l.conns[c]; !k.failed {
		k.failed = true
		l.failed = append(l.failed, c)
	}
}

// Write has bytes sent at the end of the turn.
func (l *Loop) Write(c Conn, b []byte) {
	k := &l.conns[c]
	must.Hold(k.open && !k.finishing, "only an open connection is written to")
	for len(b) > 0 && !k.failed {
		last := len(k.output) - 1
		if last < 0 || len(k.output[last]) == cap(k.output[last]) {
			buf := l.pool.Get()
			if buf == nil {
				l.flush(c)
				if buf = l.pool.Get(); buf == nil {
					l.fail(c) // what it was to get cannot be kept: better one connection less than no memory
					return
				}
			}
			k.output = append(k.output, buf)
			last = len(k.output) - 1
		}
		at := len(k.output[last])
		n := copy(k.output[last][at:cap(k.output[last])], b)
		k.output[last] = k.output[last][:at+n]
		b = b[n:]
	}
	if !k.flushPending {
		k.flushPending = true
		l.flushPending = append(l.flushPending, c)
	}
}

// Retract takes back what was written from a place on, if the network has been given none of it.
func (l *Loop) Retract(c Conn, from int64) bool {
	k := &l.conns[c]
	if !k.open || k.failed || k.finishing || from < k.written {
		return false
	}
	drop := k.written - from - int64(k.outputOffset)
	for _, b := range k.output {
		drop += int64(len(b))
	}
	for drop > 0 {
		last := len(k.output) - 1
		n := int64(len(k.output[last]))
		if last == 0 {
			n -= int64(k.outputOffset)
		}
		if drop < n {
			k.output[last] = k.output[last][:int64(len(k.output[last]))-drop]
			break
		}
		drop -= n
		l.pool.Put(k.output[last])
		k.output[last], k.output = nil, k.output[:last]
		if last == 0 {
			k.outputOffset = 0
		}
	}
	l.updateBlocked(c)
	return true
}

// updateBlocked has epoll tell of room only while something waits for it.
func (l *Loop) updateBlocked(c Conn) {
	k := &l.conns[c]
	if len(k.output) == 0 {
		k.output = nil
	}
	if blocked := len(k.output) > 0; blocked != k.blocked {
		k.blocked = blocked
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
}

// Finish writes out what waits, ends this side, and closes once the other side has ended too: closing with bytes
// unread would throw away what was written.
func (l *Loop) Finish(c Conn) {
	k := &l.conns[c]
	k.finishing = true
	if k.readingOff {
		k.readingOff = false
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
	if !k.flushPending {
		k.flushPending = true
		l.flushPending = append(l.flushPending, c)
	}
}

// Reading switches the reading of a connection on or off; that it closes is told all the same.
func (l *Loop) Reading(c Conn, on bool) {
	if k := &l.conns[c]; k.readingOff == on {
		k.readingOff = !on
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
}

// Close drops a connection with all that waits on it.
func (l *Loop) Close(c Conn) {
	k := &l.conns[c]
	must.Hold(k.inUse, "a connection is closed once")
	if !k.inUse {
		return
	}
	if k.descriptor >= 0 {
		unix.Close(k.descriptor)
		l.Sockets--
	}
	for _, b := range k.output {
		l.pool.Put(b)
	}
	*k = conn{descriptor: -1}
	l.freed = append(l.freed, c)
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
	events := make([]unix.EpollEvent, 256)
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
		l.wallLead = -1
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
			if k := &l.conns[c]; k.flushPending {
				k.flushPending = false
				l.flush(c)
			}
		}
		l.flushPending = l.flushPending[:0]
		if wait = -1; again || len(l.failed) > 0 {
			wait = 0
		}
		l.free = append(l.free, l.freed...)
		l.freed = l.freed[:0]
	}
	return nil
}

// What the loop itself has to tell stands where epoll's events would.
const (
	eventFailed = 0
	eventWritten   = 1 << 31
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
		unix.Read(l.eventfd, word[:]) // before the words are: one told in between wakes again
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

func (l *Loop) closed(c Conn) {
	upTo := l.conns[c].written
	l.Close(c)
	l.handler.Closed(c, upTo)
}

// accept takes connections and tells whether there may be more.
func (l *Loop) accept(at Conn) (more bool) {
	for range maxAcceptsPerTurn {
		fd, _, err := unix.Accept4(l.conns[at].descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EAGAIN:
			return false
		case unix.EINTR, unix.ECONNABORTED:
			continue
		default: // out of descriptors or memory: asking again at once would spin
			l.Accept(false)
			l.handler.AcceptFailed()
			return false
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := l.newConn(fd)
		k := &l.conns[c]
		k.open, k.accepted, k.timestamped, k.door = true, true, l.timestamped, l.conns[at].door
		if err := l.setEvents(c, unix.EPOLL_CTL_ADD); err != nil {
			l.Close(c)
			continue
		}
		if l.handler.Accepted(c); !l.accepting {
			return false
		}
	}
	return true
}

func (l *Loop) ready(c Conn, events uint32) {
	k := &l.conns[c]
	if k.descriptor < 0 || k.failed {
		return // closed in this turn
	}
	if !k.open {
		if code, err := unix.GetsockoptInt(k.descriptor, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			l.closed(c)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			l.closed(c)
			return
		}
		k.open = true
		l.setEvents(c, unix.EPOLL_CTL_MOD)
		l.handler.Opened(c)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		if l.flush(c); k.failed {
			return
		}
		if k.progressed {
			k.progressed = false
			l.handler.Written(c, k.written)
			if k = &l.conns[c]; k.descriptor < 0 {
				return
			}
		}
	}
	switch {
	case events&unix.EPOLLIN != 0 && !k.readingOff:
		// Who has ended already is read to the end in this turn. Else what it asked before it went would begin in this one,
		// for nobody, and be found out in the next.
		for range maxReadsAtEnd {
			l.read(c)
			k = &l.conns[c]
			if events&unix.EPOLLRDHUP == 0 || k.descriptor < 0 || k.finishing || k.failed {
				return
			}
			if k.readingOff { // it sent more than is kept, and has ended: nobody waits for what it asked first
				l.closed(c)
				return
			}
		}
	case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0, events&unix.EPOLLRDHUP != 0 && k.readingOff:
		l.closed(c)
	}
}

func (l *Loop) read(c Conn) {
	k := &l.conns[c]
	came := l.now
	var n int
	var err error
	if k.finishing {
		// Without copying: who is being turned away may still be sending for long.
		var word uintptr
		var errno unix.Errno
		if word, _, errno = unix.Syscall6(unix.SYS_RECVFROM, uintptr(k.descriptor), 0, maxDiscard, unix.MSG_TRUNC, 0, 0); errno != 0 {
			err = errno
		}
		n = int(word)
	} else if k.timestamped {
		var oobn int
		n, oobn, _, _, err = unix.Recvmsg(k.descriptor, l.scratch, l.oob, 0)
		came = l.arrivalTime(l.oob[:oobn])
	} else {
		n, err = unix.Read(k.descriptor, l.scratch)
	}
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil || n <= 0:
		if k.accepted && err == nil {
			l.flush(c) // it may have ended its side alone, and was answered in this turn
		}
		l.closed(c)
	case k.finishing:
		l.Received += int64(n)
		l.handler.Bytes(c, nil, l.now)
	default:
		l.Received += int64(n)
		l.handler.Bytes(c, l.scratch[:n], came)
	}
}

// arrivalTime maps the kernel's time of arrival, which is by the wall clock, onto this loop's.
func (l *Loop) arrivalTime(oob []byte) float64 {
	const head = int(unsafe.Sizeof(unix.Cmsghdr{}))
	if len(oob) < head+int(unsafe.Sizeof(unix.Timespec{})) {
		return l.now
	}
	if h := (*unix.Cmsghdr)(unsafe.Pointer(&oob[0])); h.Level != unix.SOL_SOCKET || h.Type != unix.SO_TIMESTAMPNS {
		return l.now
	}
	stamp := (*unix.Timespec)(unsafe.Pointer(&oob[head]))
	lag := float64(time.Now().UnixNano()-stamp.Nano()) / 1e6
	return min(l.Now()-max(lag, 0), l.now)
}

// flush gives the network what it takes.
func (l *Loop) flush(c Conn) {
	k := &l.conns[c]
	if k.failed {
		return
	}
	was := k.written
	for len(k.output) > 0 {
		n, err := unix.Write(k.descriptor, k.output[0][k.outputOffset:])
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			l.fail(c)
			return
		}
		k.written += int64(n)
		l.Sent += int64(n)
		if k.outputOffset += n; k.outputOffset == len(k.output[0]) {
			l.pool.Put(k.output[0])
			k.output[0], k.output, k.outputOffset = nil, k.output[1:], 0
		}
	}
	l.updateBlocked(c)
	if k.written != was && !k.progressed {
		k.progressed = true
		l.progressed = append(l.progressed, c)
	}
	if k.finishing && len(k.output) == 0 && !k.writeClosed {
		k.writeClosed = true
		unix.Shutdown(k.descriptor, unix.SHUT_WR)
	}
}
