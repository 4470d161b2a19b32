package transport

import (
	"fmt"
	"math"
	"net/netip"

	"golang.org/x/sys/unix"
)

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
	// When a search came must be known even if this process stood still meanwhile: its client waits
	// from then on. Connections have this from their listener.
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
		conn := &l.conns[c]
		conn.open, conn.accepted, conn.timestamped, conn.door = true, true, l.timestamped, l.conns[at].door
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

// Unlisten takes what has connected already and closes the addresses. False: for want of a
// descriptor some could not be taken. Closing their address would end them without a word, so it
// stays open, and is to be closed by another call.
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

// dropConnects keeps further connections from coming up at an address. One that came up after the
// last was taken and before the address is closed would be reset, and with it a request that its
// client believes to be on its way. Barred, its client asks the system for the connection again,
// and is refused as by any address that is closed. It has the system drop what asks for a
// connection (SYN without ACK, in the byte of flags at 13 of TCP's header); where it is not
// allowed, the gap stays.
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
