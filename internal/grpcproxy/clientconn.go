package grpcproxy

import (
	"math"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/transport"
)

// clientConn is a connection of a client. Times are in ms of the loop.
type clientConn struct {
	proxy         *Proxy
	conn          transport.Conn
	http2         *h2.Conn
	queuedBytes   int64        // given to the network
	sentBytes     int64        // that the network has taken
	lastSentAt    float64      // when it last took some, or had taken all
	idleSince     float64      // since when there is no call, or the connect; 0: there are calls
	arrivedAt     float64      // when the bytes that are being read arrived
	partialSince  float64      // since when a part of a frame waits for its rest; 0: none does
	timer         engine.Timer // checks nextTimeout
	timerAt       float64      // 0: no timer
	hasCalled     bool         // it has begun a call
	readStopped   bool         // what still comes is ignored, and the connection closes
	closed        bool
	bufferedBytes int // of its calls
}

var (
	_ engine.ConnHandler = (*clientConn)(nil)
	_ h2.Handler         = (*clientConn)(nil)
)

// Opened implements engine.ConnHandler.
func (c *clientConn) Opened() {}

// Received implements engine.ConnHandler: bytes have come.
func (c *clientConn) Received(b []byte, arrivedAt float64) {
	if c.closed {
		return
	}
	c.arrivedAt = arrivedAt
	if c.readStopped || b == nil {
		return
	}
	wasIncomplete := c.http2.Incomplete()
	if err := c.http2.Feed(b, arrivedAt); err != nil {
		c.proxy.Counters.ProtocolErrors++
		c.proxy.router.Warn("bad gRPC client", "%v", err)
		c.closeAfterGoAway()
		return
	}
	switch {
	case !c.http2.Incomplete():
		c.partialSince = 0
	case !wasIncomplete || c.partialSince == 0:
		c.partialSince = c.proxy.router.Now()
	}
	c.proxy.scheduleFlush(c)
	c.armTimer()
}

// closeAfterGoAway ends the calls of a client that isn't read any more. The GOAWAY that says why goes
// out before the connection closes.
func (c *clientConn) closeAfterGoAway() {
	c.cancelCalls()
	c.readStopped = true
	c.proxy.scheduleFlush(c)
}

// cancelCalls ends all calls: nobody waits for them.
func (c *clientConn) cancelCalls() {
	for _, s := range c.http2.Streams() {
		if k, ok := s.UserData.(*call); ok {
			k.clientCancelled()
		}
	}
}

// Written implements engine.ConnHandler: the network has taken bytes.
func (c *clientConn) Written(sentBytes int64) {
	c.sentBytes, c.lastSentAt = sentBytes, c.proxy.router.Now()
	if c.http2.HasPendingOutput() {
		c.proxy.scheduleFlush(c)
	}
}

// Closed implements engine.ConnHandler: the connection is gone.
func (c *clientConn) Closed(int64) { c.teardown() }

// teardown ends the calls and forgets the connection.
func (c *clientConn) teardown() {
	if c.closed {
		return
	}
	c.closed = true
	c.cancelCalls()
	delete(c.proxy.clientConns, c)
	c.proxy.router.CancelTimer(c.timer)
}

// abort closes the connection at once.
func (c *clientConn) abort() {
	if c.closed {
		return
	}
	c.teardown()
	c.proxy.router.CloseConn(c.conn)
}

// flush writes what streams have, as far as the client reads, and closes a connection that has ended.
func (c *clientConn) flush() {
	if c.closed {
		return
	}
	c.writeOutput()
	if c.queuedBytes-c.sentBytes > maxUnsentBytes {
		c.proxy.Counters.WriteTimeouts++
		c.abort()
		return
	}
	openStreams := c.http2.OpenStreams()
	if openStreams > 0 {
		c.idleSince = 0
	} else if c.idleSince == 0 {
		c.idleSince = c.proxy.router.Now()
	}
	if c.readStopped || c.http2.GoAwaySent() && openStreams == 0 {
		c.closeGracefully()
		return
	}
	c.armTimer()
}

func (c *clientConn) writeOutput() {
	c.http2.Pump(c.proxy.settings.Limits.WriteBufferBytes - int(c.queuedBytes-c.sentBytes))
	output := c.http2.TakeOutput()
	if len(output) == 0 {
		return
	}
	if c.queuedBytes == c.sentBytes {
		c.lastSentAt = c.proxy.router.Now()
	}
	c.queuedBytes += int64(len(output))
	c.proxy.router.WriteConn(c.conn, output)
}

// closeGracefully closes the connection once all that was written has arrived.
func (c *clientConn) closeGracefully() {
	c.teardown()
	c.proxy.router.SetHandler(c.conn, (*closingConn)(c))
	c.proxy.router.FinishConn(c.conn)
	// A rejected client may go on sending at full speed for long. It isn't read any more, so that it
	// stalls until it closes, or its time is up.
	c.proxy.router.SetReading(c.conn, false)
	c.timer = c.proxy.router.AfterFunc(c.proxy.settings.Limits.HandshakeTimeout, func() { (*closingConn)(c).abort() })
	c.closed = false
	c.proxy.addClosing((*closingConn)(c))
}

// closingConn is a client connection that only waits for the client to close it.
type closingConn clientConn

// Opened implements engine.ConnHandler.
func (c *closingConn) Opened() {}

// Received implements engine.ConnHandler.
func (c *closingConn) Received([]byte, float64) {}

// Written implements engine.ConnHandler.
func (c *closingConn) Written(int64) {}

// Closed implements engine.ConnHandler: the connection is gone.
func (c *closingConn) Closed(int64) {
	c.closed = true
	c.proxy.closingConns--
	c.proxy.router.CancelTimer(c.timer)
}

// abort closes the connection at once.
func (c *closingConn) abort() {
	if c.closed {
		return
	}
	c.closed = true
	c.proxy.router.CancelTimer(c.timer)
	c.proxy.closingConns--
	c.proxy.router.CloseConn(c.conn)
}

// nextTimeout returns when the connection will have been idle or at fault for too long.
func (c *clientConn) nextTimeout() float64 {
	limits := &c.proxy.settings.Limits
	at := math.Inf(1)
	if !c.http2.SettingsReceived() {
		at = c.idleSince + limits.HandshakeTimeout
	} else if c.idleSince > 0 {
		at = c.idleSince + limits.IdleTimeout
	}
	if c.partialSince > 0 {
		at = min(at, c.partialSince+limits.PartialFrameTimeout)
	}
	if c.queuedBytes > c.sentBytes {
		at = min(at, c.lastSentAt+limits.WriteTimeout)
	}
	return at
}

// armTimer has the timeouts checked. One timer is enough; it may fire too soon.
func (c *clientConn) armTimer() {
	at := c.nextTimeout()
	if c.closed || c.timerAt > 0 && c.timerAt <= at || math.IsInf(at, 1) {
		return
	}
	c.proxy.router.CancelTimer(c.timer)
	c.timerAt = at
	c.timer = c.proxy.router.AfterFunc(max(at-c.proxy.router.Now(), minTimerDelay), c.timerFired)
}

func (c *clientConn) timerFired() {
	c.timerAt = 0
	if c.closed {
		return
	}
	now, limits := c.proxy.router.Now(), &c.proxy.settings.Limits
	switch {
	case now < c.nextTimeout():
		c.armTimer()
	case c.queuedBytes > c.sentBytes && now >= c.lastSentAt+limits.WriteTimeout:
		c.proxy.Counters.WriteTimeouts++
		c.abort()
	case !c.http2.SettingsReceived() || c.partialSince > 0 && now >= c.partialSince+limits.PartialFrameTimeout:
		c.proxy.Counters.Unresponsive++
		c.http2.GoAway(http2.ErrCodeEnhanceYourCalm)
		c.closeAfterGoAway()
	default:
		c.proxy.Counters.IdleClosed++
		c.http2.GoAway(http2.ErrCodeNo)
		c.proxy.scheduleFlush(c)
	}
}

// HeadersReceived implements h2.Handler: it starts a call. Trailers of a request have no meaning in
// gRPC, but for its end.
func (c *clientConn) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	if k, ok := s.UserData.(*call); ok {
		k.dataFromClient(nil, end)
		return
	}
	c.hasCalled = true
	c.startCall(s, fields, end)
}

// HeaderListTooLarge implements h2.Handler: the call ends.
func (c *clientConn) HeaderListTooLarge(s *h2.Stream) {
	const message = "metadata over the limit"
	if k, ok := s.UserData.(*call); ok {
		k.terminate(grpcwire.ResourceExhausted, message, noRetry)
		return
	}
	c.proxy.Counters.Calls++
	c.rejectCall(s, grpcwire.ResourceExhausted, message, noRetry)
}

// DataReceived implements h2.Handler.
func (c *clientConn) DataReceived(s *h2.Stream, data []byte, end bool) {
	if k, ok := s.UserData.(*call); ok {
		k.dataFromClient(data, end)
	}
}

// StreamReset implements h2.Handler: the client has cancelled the call, or violated the protocol.
func (c *clientConn) StreamReset(s *h2.Stream, _ h2.ErrorCode) {
	c.proxy.Counters.ClientResets++
	if k, ok := s.UserData.(*call); ok {
		k.clientCancelled()
	}
}

// StreamUnprocessed implements h2.Handler: this side starts no streams.
func (c *clientConn) StreamUnprocessed(*h2.Stream) {}

// SettingsReceived implements h2.Handler.
func (c *clientConn) SettingsReceived() {}

// GoAwayReceived implements h2.Handler: the client starts no more calls; open ones go on.
func (c *clientConn) GoAwayReceived(h2.ErrorCode) {}
