package transport

import (
	"fmt"
	"math"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Listen starts accepting connections on an address. Listeners are numbered from 0 in the order of
// these calls.
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
	// The kernel timestamps what arrives, so that the arrival time of a search is known even if this
	// process was stalled meanwhile: the client's wait starts at the arrival. Accepted connections
	// inherit the option from their listener.
	l.timestamped = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) == nil
	l.conns[c].listener, l.conns[c].open = true, true
	l.conns[c].listenerIndex = int8(len(l.listeners))
	l.listeners, l.accepting = append(l.listeners, c), true
	return l.setEvents(c, unix.EPOLL_CTL_ADD)
}

// ListenerIndex returns the number of the listener that accepted a connection.
func (l *Loop) ListenerIndex(c Conn) int { return int(l.conns[c].listenerIndex) }

// Port returns the TCP port of a listener that is open, as the system chose it if Listen was called
// with port 0.
func (l *Loop) Port(listener int) int {
	local, _ := unix.Getsockname(l.conns[l.listeners[listener]].descriptor)
	switch local := local.(type) {
	case *unix.SockaddrInet4:
		return local.Port
	case *unix.SockaddrInet6:
		return local.Port
	}
	return 0
}

// SetAccepting switches the accepting of connections on or off, for all listeners.
func (l *Loop) SetAccepting(on bool) {
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

// accept accepts up to maxAcceptsPerTurn connections of a listener and reports whether more may be
// waiting.
func (l *Loop) accept(listener Conn) (more bool) {
	for range maxAcceptsPerTurn {
		fd, _, err := unix.Accept4(l.conns[listener].descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EAGAIN:
			return false
		case unix.EINTR, unix.ECONNABORTED:
			continue
		default: // out of descriptors or memory: retrying at once would be a busy loop
			l.SetAccepting(false)
			l.handler.AcceptFailed()
			return false
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := l.newConn(fd)
		conn := &l.conns[c]
		conn.open, conn.accepted, conn.timestamped, conn.listenerIndex = true, true, l.timestamped, l.conns[listener].listenerIndex
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

// CloseListeners accepts the connections that are already established and closes all listeners. It
// returns false if some could not be accepted, for lack of descriptors or memory. Closing their
// listener would reset them, so it stays open, and the caller has to try again.
func (l *Loop) CloseListeners() (closed bool) {
	closed = true
	for index, c := range l.listeners {
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
		if l.beforeCloseListener != nil {
			l.beforeCloseListener()
		}
		l.listeners[index] = noConn
		l.Close(c)
	}
	return closed
}

// dropConnects keeps further connections from being established with a listener. Closing a listener
// resets a connection that was established after the last accept and before the close, and with it
// a request that its client believes to have been sent. dropConnects attaches a socket filter that
// drops packets with SYN and without ACK; the client's system then sends its SYN again, and is
// refused as by any closed address. If the process may not attach a filter, that gap remains.
func (l *Loop) dropConnects(c Conn) {
	const flags, syn, synAck = 13, 0x02, 0x12 // offset of the flags in the TCP header; bits of the flags
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
