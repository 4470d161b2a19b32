package transport

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// SetReading switches the reading of a connection on or off. Its end is reported even while reading is
// off.
func (l *Loop) SetReading(c Conn, on bool) {
	if conn := &l.conns[c]; conn.readingOff == on {
		conn.readingOff = !on
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
}

// ready handles epoll's events of a connection: it completes a connect, sends queued output, reads,
// or closes the connection.
func (l *Loop) ready(c Conn, events uint32) {
	conn := &l.conns[c]
	if conn.descriptor < 0 || conn.failed {
		return // closed in this turn
	}
	if !conn.open {
		if code, err := unix.GetsockoptInt(conn.descriptor, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			l.closed(c)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			l.closed(c)
			return
		}
		conn.open = true
		l.setEvents(c, unix.EPOLL_CTL_MOD)
		l.handler.Opened(c)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		if l.flush(c); conn.failed {
			return
		}
		if conn.progressed {
			conn.progressed = false
			l.handler.Written(c, conn.written)
			if conn = &l.conns[c]; conn.descriptor < 0 {
				return
			}
		}
	}
	switch {
	case events&unix.EPOLLIN != 0 && !conn.readingOff:
		// A connection that the other side has closed is read to its end in this turn. Otherwise the
		// handler would start on a request whose client has gone, and learn of the end only in the
		// next turn.
		for range maxReadsAtEnd {
			l.read(c)
			conn = &l.conns[c]
			if events&unix.EPOLLRDHUP == 0 || conn.descriptor < 0 || conn.finishing || conn.failed {
				return
			}
			// The handler has stopped reading before the end, as it has received enough for now. The
			// other side has closed, so nobody waits for an answer.
			if conn.readingOff {
				l.closed(c)
				return
			}
		}
	case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0, events&unix.EPOLLRDHUP != 0 && conn.readingOff:
		l.closed(c)
	}
}

// read reads once from a connection and reports the bytes or the end to the handler.
func (l *Loop) read(c Conn) {
	conn := &l.conns[c]
	receivedAt := l.now
	var n int
	var err error
	if conn.finishing {
		// Discard without copying: the client of a connection that is being closed may go on sending
		// for a long time.
		var word uintptr
		var errno unix.Errno
		if word, _, errno = unix.Syscall6(unix.SYS_RECVFROM, uintptr(conn.descriptor), 0, maxDiscard, unix.MSG_TRUNC, 0, 0); errno != 0 {
			err = errno
		}
		n = int(word)
	} else if conn.timestamped {
		var oobn int
		n, oobn, _, _, err = unix.Recvmsg(conn.descriptor, l.readBuffer, l.oob, 0)
		receivedAt = l.arrivalTime(l.oob[:oobn])
	} else {
		n, err = unix.Read(conn.descriptor, l.readBuffer)
	}
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil || n <= 0:
		if conn.accepted && err == nil {
			l.flush(c) // the other side may have closed only its own direction, and been answered in this turn
		}
		l.closed(c)
	case conn.finishing:
		l.BytesReceived += int64(n)
		l.handler.Received(c, nil, l.now)
	default:
		l.BytesReceived += int64(n)
		l.handler.Received(c, l.readBuffer[:n], receivedAt)
	}
}

// arrivalTime converts the kernel's time of arrival, which is in a control message and on the wall
// clock, to the loop's clock. Without a timestamp it returns the time of the turn.
func (l *Loop) arrivalTime(oob []byte) float64 {
	const headerSize = int(unsafe.Sizeof(unix.Cmsghdr{}))
	if len(oob) < headerSize+int(unsafe.Sizeof(unix.Timespec{})) {
		return l.now
	}
	if h := (*unix.Cmsghdr)(unsafe.Pointer(&oob[0])); h.Level != unix.SOL_SOCKET || h.Type != unix.SO_TIMESTAMPNS {
		return l.now
	}
	stamp := (*unix.Timespec)(unsafe.Pointer(&oob[headerSize]))
	lag := float64(time.Now().UnixNano()-stamp.Nano()) / 1e6
	return min(l.Now()-max(lag, 0), l.now)
}
