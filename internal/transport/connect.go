package transport

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// sockaddr converts an address to the form of the system calls.
func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Unmap().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().Unmap().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// socket opens a non-blocking TCP socket and gives it a connection number. Beside an error the
// connection is valid, but has no descriptor.
func (l *Loop) socket(addr netip.AddrPort) (Conn, error) {
	family := unix.AF_INET
	if !addr.Addr().Unmap().Is4() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return l.newConn(-1), fmt.Errorf("open socket for %s: %w", addr, err)
	}
	return l.newConn(fd), nil
}

// Connect starts to open a connection to an address. The handler's Opened or Closed follows in a
// later turn.
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
