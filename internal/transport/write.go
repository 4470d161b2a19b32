package transport

import (
	"golang.org/x/sys/unix"

	"kestrelspread/internal/invariant"
)

// Write queues a copy of b, which is sent at the end of the turn. If the pool has no buffer left for
// it, the connection fails.
func (l *Loop) Write(c Conn, b []byte) {
	conn := &l.conns[c]
	invariant.Check(conn.open && !conn.finishing, "only an open connection that is not finishing is written to")
	for len(b) > 0 && !conn.failed {
		last := len(conn.output) - 1
		if last < 0 || len(conn.output[last]) == cap(conn.output[last]) {
			buf := l.pool.Get()
			if buf == nil {
				l.flush(c)
				if buf = l.pool.Get(); buf == nil {
					l.fail(c) // its output can't be queued: losing one connection is better than running out of memory
					return
				}
			}
			conn.output = append(conn.output, buf)
			last = len(conn.output) - 1
		}
		used := len(conn.output[last])
		n := copy(conn.output[last][used:cap(conn.output[last])], b)
		conn.output[last] = conn.output[last][:used+n]
		b = b[n:]
	}
	if !conn.flushPending {
		conn.flushPending = true
		l.flushPending = append(l.flushPending, c)
	}
}

// Retract removes the bytes written from offset from on, if the system has accepted none of them. It
// reports whether it did.
func (l *Loop) Retract(c Conn, from int64) bool {
	conn := &l.conns[c]
	if !conn.open || conn.failed || conn.finishing || from < conn.written {
		return false
	}
	drop := conn.written - from - int64(conn.outputOffset)
	for _, b := range conn.output {
		drop += int64(len(b))
	}
	for drop > 0 {
		last := len(conn.output) - 1
		n := int64(len(conn.output[last]))
		if last == 0 {
			n -= int64(conn.outputOffset)
		}
		if drop < n {
			conn.output[last] = conn.output[last][:int64(len(conn.output[last]))-drop]
			break
		}
		drop -= n
		l.pool.Put(conn.output[last])
		conn.output[last], conn.output = nil, conn.output[:last]
		if last == 0 {
			conn.outputOffset = 0
		}
	}
	l.updateBlocked(c)
	return true
}

// updateBlocked has epoll report room in the system's socket buffer only while output is queued.
func (l *Loop) updateBlocked(c Conn) {
	conn := &l.conns[c]
	if len(conn.output) == 0 {
		conn.output = nil
	}
	if blocked := len(conn.output) > 0; blocked != conn.blocked {
		conn.blocked = blocked
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
}

// Finish sends what is queued, closes this side of the connection, and waits until the other side
// has closed too; Closed follows. What is received until then is discarded. Closing at once, with
// received bytes unread, would reset the connection and lose what was sent.
func (l *Loop) Finish(c Conn) {
	conn := &l.conns[c]
	conn.finishing = true
	if conn.readingOff {
		conn.readingOff = false
		l.setEvents(c, unix.EPOLL_CTL_MOD)
	}
	if !conn.flushPending {
		conn.flushPending = true
		l.flushPending = append(l.flushPending, c)
	}
}

// flush hands queued output to the system, as much as it accepts now.
func (l *Loop) flush(c Conn) {
	conn := &l.conns[c]
	if conn.failed {
		return
	}
	before := conn.written
	for len(conn.output) > 0 {
		n, err := unix.Write(conn.descriptor, conn.output[0][conn.outputOffset:])
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
		conn.written += int64(n)
		l.BytesSent += int64(n)
		if conn.outputOffset += n; conn.outputOffset == len(conn.output[0]) {
			l.pool.Put(conn.output[0])
			conn.output[0], conn.output, conn.outputOffset = nil, conn.output[1:], 0
		}
	}
	l.updateBlocked(c)
	if conn.written != before && !conn.progressed {
		conn.progressed = true
		l.progressed = append(l.progressed, c)
	}
	if conn.finishing && len(conn.output) == 0 && !conn.writeClosed {
		conn.writeClosed = true
		unix.Shutdown(conn.descriptor, unix.SHUT_WR)
	}
}
