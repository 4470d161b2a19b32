package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"kestrelspread/internal/node/connlimit"
)

// clientConn is a client's connection as net/http reads it. It follows the framing of requests, hands
// over only complete heads, and applies the time-outs for an idle client and for a head. They and the
// bound on heads come from the configuration, which may change while the connection is open, and so
// can't be given to http.Server.
type clientConn struct {
	*net.TCPConn
	limits *clientLimits
	place  *connlimit.Conn

	// head is a head that arrives in several reads, of which net/http has headTaken bytes.
	head      []byte
	headTaken int
	// keptBytes and parsedBytes are what the head counts in clientLimits.
	keptBytes, parsedBytes int64

	scanner   requestScanner
	pipelined []byte // read from the socket; belongs to requests after the current one
	readErr   error
	// requestActive: the handler has a request, and sets the deadlines itself.
	requestActive bool
	// headDeadline is when a head that has started to arrive must be complete.
	headDeadline time.Time

	// denials are the latest requests in a row that were denied. The handler counts them.
	denials int

	// requestFraming is the framing of the request that the handler has.
	requestFraming framing
	// requestComplete: the complete request had arrived when the handler started.
	requestComplete bool
}

// clientLimits are what the connections of all clients share.
type clientLimits struct {
	timeouts     func() clientTimeouts
	maxHeadBytes func() int
	partialHeads budget // heads that have not arrived completely
	parsedHeads  budget // heads of requests under way
	retryAfter   time.Duration
	// refused counts an answer to a head that was not handed over.
	refused func(status int)
}

// clientTimeouts are how long a client may be idle between requests, and how long the head of a
// request may take to arrive.
type clientTimeouts struct{ idle, header time.Duration }

// Read implements net.Conn. It returns bytes of one request at a time, so that requestFraming is
// never that of a later request. net/http calls it from one goroutine at a time.
func (c *clientConn) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	if c.headTaken < len(c.head) && c.scanner.current.headComplete {
		return c.takeHead(into)
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	if !c.requestActive && c.scanner.inHead() {
		return c.readHead(into)
	}
	c.applyReadDeadline()
	count, err := c.fetch(into)
	if count == 0 {
		return 0, err
	}
	taken, scanErr := c.scanner.scan(into[:count])
	c.unread(into[taken:count])
	c.checkScan(scanErr)
	return taken, nil
}

// checkScan ends the connection after what was read, where it can't be parsed further.
func (c *clientConn) checkScan(scanErr error) {
	if scanErr != nil {
		c.readErr = scanErr
	} else if c.scanner.state == scanRejected {
		c.readErr = io.EOF
	}
}

// fetch returns bytes that were read before, or reads the socket.
func (c *clientConn) fetch(into []byte) (int, error) {
	if len(c.pipelined) == 0 {
		return c.TCPConn.Read(into)
	}
	count := copy(into, c.pipelined)
	c.pipelined = c.pipelined[count:]
	return count, nil
}

// unread puts back bytes that belong to later requests.
func (c *clientConn) unread(rest []byte) {
	if len(rest) == 0 {
		return
	}
	c.pipelined = append(append(make([]byte, 0, len(rest)+len(c.pipelined)), rest...), c.pipelined...)
}

// applyReadDeadline applies the time-out that holds for the next read, unless the handler has a
// request.
func (c *clientConn) applyReadDeadline() {
	switch {
	case c.requestActive || len(c.pipelined) > 0:
	case c.scanner.betweenRequests():
		c.headDeadline = time.Time{}
		c.TCPConn.SetReadDeadline(time.Now().Add(c.limits.timeouts().idle))
	default:
		if c.headDeadline.IsZero() {
			c.headDeadline = time.Now().Add(c.limits.timeouts().header)
		}
		c.TCPConn.SetReadDeadline(c.headDeadline)
	}
}

// stateChanged follows the server's states of the connection. net/http calls it between its own
// reads.
func (c *clientConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.requestActive = true
		c.requestFraming = c.scanner.current
		c.requestComplete = c.scanner.betweenRequests()
		c.place.SetState(stateWithBody(c.requestComplete))
	case http.StateIdle:
		c.requestActive = false
		c.headDeadline = time.Time{}
		c.releaseParsedHead()
		c.place.SetState(connlimit.Idle)
	case http.StateClosed:
		c.releaseCounts()
		c.place.Release()
	}
}

// stateWithBody is the state of a connection whose request has a head.
func stateWithBody(complete bool) connlimit.State {
	if complete {
		return connlimit.Serving
	}
	return connlimit.ReceivingBody
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// withClientConn adds the connection to the context of its requests.
func withClientConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, connection)
}

// clientConnOf returns the connection of a request; nil where another server accepted it.
func clientConnOf(ctx context.Context) *clientConn {
	connection, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return connection
}

// clientListener wraps the connections that it accepts in clientConn.
type clientListener struct {
	*connlimit.Listener
	limits *clientLimits
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	connection, place, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: connection.(*net.TCPConn), limits: l.limits, place: place}, nil
}
