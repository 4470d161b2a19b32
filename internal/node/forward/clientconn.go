package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a client's connection as net/http reads it. It follows the framing of requests, and sets the times that a
// client may rest or take for a head; they come from the configuration, which may change while the connection is open, and
// so can't be given to http.Server.
type clientConn struct {
	*net.TCPConn
	timeouts func() clientTimeouts

	scanner requestScanner
	surplus []byte // read from the socket; belongs to requests after the one that is being read
	failed  error
	// handling: a request is with the handler, whose deadlines hold.
	handling bool
	// headUntil is when the head that has begun must be whole.
	headUntil time.Time

	// request is the framing of the request that is with the handler.
	request framing
	// received: the whole request had come when the handler began.
	received bool
}

// clientTimeouts are how long a client may rest between requests, and take for the head of one.
type clientTimeouts struct{ idle, header time.Duration }

// Read implements net.Conn. It gives bytes of one request at a time, so that the framing of the request with the handler is
// never that of a request behind it. net/http calls it from one goroutine at a time.
func (c *clientConn) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	if c.failed != nil {
		return 0, c.failed
	}
	c.limitTime()
	count, err := c.fetch(into)
	if count == 0 {
		return 0, err
	}
	taken, scanErr := c.scanner.scan(into[:count])
	c.keep(into[taken:count])
	if scanErr != nil {
		c.failed = scanErr
	} else if c.scanner.state == scanRefused {
		c.failed = io.EOF
	}
	return taken, nil
}

// fetch takes bytes that were read before, or reads the socket.
func (c *clientConn) fetch(into []byte) (int, error) {
	if len(c.surplus) == 0 {
		return c.TCPConn.Read(into)
	}
	count := copy(into, c.surplus)
	c.surplus = c.surplus[count:]
	return count, nil
}

// keep puts bytes back that belong to the requests behind the current one.
func (c *clientConn) keep(rest []byte) {
	if len(rest) == 0 {
		return
	}
	c.surplus = append(append(make([]byte, 0, len(rest)+len(c.surplus)), rest...), c.surplus...)
}

func (c *clientConn) limitTime() {
	switch {
	case c.handling || len(c.surplus) > 0:
	case c.scanner.between():
		c.headUntil = time.Time{}
		c.TCPConn.SetReadDeadline(time.Now().Add(c.timeouts().idle))
	default:
		if c.headUntil.IsZero() {
			c.headUntil = time.Now().Add(c.timeouts().header)
		}
		c.TCPConn.SetReadDeadline(c.headUntil)
	}
}

// stateChanged follows the server's states of the connection; net/http calls it between its own reads.
func (c *clientConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.handling = true
		c.request = c.scanner.current
		c.received = c.scanner.between()
	case http.StateIdle:
		c.handling = false
		c.headUntil = time.Time{}
	}
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, connection)
}

func clientConnOf(ctx context.Context) *clientConn {
	connection, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return connection
}

// clientListener wraps the connections that it accepts.
type clientListener struct {
	*net.TCPListener
	timeouts func() clientTimeouts
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	connection, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: connection, timeouts: l.timeouts}, nil
}
