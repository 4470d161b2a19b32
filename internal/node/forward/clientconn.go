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

	scanner   requestScanner
	pipelined []byte // read from the socket; belongs to requests after the one that is being read
	readErr   error
	// requestActive: a request is with the handler, whose deadlines hold.
	requestActive bool
	// headDeadline is when the head that has begun must be whole.
	headDeadline time.Time

	// requestFraming is the framing of the request that is with the handler.
	requestFraming framing
	// requestComplete: the whole request had come when the handler began.
	requestComplete bool
}

// clientTimeouts are how long a client may rest between requests, and take for the head of one.
type clientTimeouts struct{ idle, header time.Duration }

// Read implements net.Conn. It gives bytes of one request at a time, so that the framing of the request with the handler is
// never that of a request behind it. net/http calls it from one goroutine at a time.
func (c *clientConn) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	c.applyReadDeadline()
	count, err := c.fetch(into)
	if count == 0 {
		return 0, err
	}
	taken, scanErr := c.scanner.scan(into[:count])
	c.unread(into[taken:count])
	if scanErr != nil {
		c.readErr = scanErr
	} else if c.scanner.state == scanRejected {
		c.readErr = io.EOF
	}
	return taken, nil
}

// fetch takes bytes that were read before, or reads the socket.
func (c *clientConn) fetch(into []byte) (int, error) {
	if len(c.pipelined) == 0 {
		return c.TCPConn.Read(into)
	}
	count := copy(into, c.pipelined)
	c.pipelined = c.pipelined[count:]
	return count, nil
}

// unread puts bytes back that belong to the requests behind the current one.
func (c *clientConn) unread(rest []byte) {
	if len(rest) == 0 {
		return
	}
	c.pipelined = append(append(make([]byte, 0, len(rest)+len(c.pipelined)), rest...), c.pipelined...)
}

func (c *clientConn) applyReadDeadline() {
	switch {
	case c.requestActive || len(c.pipelined) > 0:
	case c.scanner.betweenRequests():
		c.headDeadline = time.Time{}
		c.TCPConn.SetReadDeadline(time.Now().Add(c.timeouts().idle))
	default:
		if c.headDeadline.IsZero() {
			c.headDeadline = time.Now().Add(c.timeouts().header)
		}
		c.TCPConn.SetReadDeadline(c.headDeadline)
	}
}

// stateChanged follows the server's states of the connection; net/http calls it between its own reads.
func (c *clientConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.requestActive = true
		c.requestFraming = c.scanner.current
		c.requestComplete = c.scanner.betweenRequests()
	case http.StateIdle:
		c.requestActive = false
		c.headDeadline = time.Time{}
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
