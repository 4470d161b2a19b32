package transport

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Reading switches the reading of a connection on or off; its end is reported all the same.
func (l *Loop) Reading(c Conn, on bool) {
	if conn := &l.conns[c]; conn.readingOff == on {
		conn.readingOff = !on
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
}

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
		// Who has ended already is read to the end in this turn. Else what it asked before it went
		// would begin in this one, for nobody, and be found out in the next.
		for range maxReadsAtEnd {
			l.read(c)
			conn = &l.conns[c]
			if events&unix.EPOLLRDHUP == 0 || conn.descriptor < 0 || conn.finishing || conn.failed {
				return
			}
			if conn.readingOff { // it sent more than is kept, and has ended: nobody waits for what it asked first
				l.closed(c)
				return
			}
		}
	case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0, events&unix.EPOLLRDHUP != 0 && conn.readingOff:
		l.closed(c)
	}
}

func (l *Loop) read(c Conn) {
	conn := &l.conns[c]
	came := l.now
	var n int
	var err error
	if conn.finishing {
		// Without copying: who is being turned away may still be sending for long.
		var word uintptr
		var errno unix.Errno
		if word, _, errno = unix.Syscall6(unix.SYS_RECVFROM, uintptr(conn.descriptor), 0, maxDiscard, unix.MSG_TRUNC, 0, 0); errno != 0 {
			err = errno
		}
		n = int(word)
	} else if conn.timestamped {
		var oobn int
		n, oobn, _, _, err = unix.Recvmsg(conn.descriptor, l.scratch, l.oob, 0)
		came = l.arrivalTime(l.oob[:oobn])
	} else {
		n, err = unix.Read(conn.descriptor, l.scratch)
	}
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil || n <= 0:
		if conn.accepted && err == nil {
			l.flush(c) // it may have ended its side alone, and was answered in this turn
		}
		l.closed(c)
	case conn.finishing:
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
