package grpcproxy

import (
	"slices"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/transport"
)

// serverConn is a connection to a server.
type serverConn struct {
	proxy       *Proxy
	conn        transport.Conn
	http2       *h2.Conn
	serverIndex int
	poolID      int // the pool's identifier
	connected   bool
	queuedBytes int64 // given to the network
	sentBytes   int64 // that the network has taken
	attempts    map[*attempt]bool
	waiting     []*attempt // whose headers are not written yet: they can be withdrawn
	drainedAt   float64    // when the network had last taken all
	closed      bool
}

var (
	_ engine.ConnHandler = (*serverConn)(nil)
	_ h2.Handler         = (*serverConn)(nil)
)

// Opened implements engine.ConnHandler: it is connected. The pool waits for the server's SETTINGS.
func (c *serverConn) Opened() {
	c.connected = true
	c.proxy.scheduleFlush(c)
}

// Received implements engine.ConnHandler: bytes have come.
func (c *serverConn) Received(b []byte, arrivedAt float64) {
	if c.closed || b == nil {
		return
	}
	c.proxy.pool.Received(c.proxy.router.Now(), c.poolID)
	if err := c.http2.Feed(b, arrivedAt); err != nil && !c.closed {
		c.proxy.Counters.ServerProtocolErrors++
		c.proxy.router.Warn("bad gRPC server", "%s: %v", c.proxy.servers[c.serverIndex].address, err)
		c.abort()
		return
	}
	c.proxy.scheduleFlush(c)
}

// Written implements engine.ConnHandler: the network has taken bytes.
func (c *serverConn) Written(sentBytes int64) {
	c.sentBytes = sentBytes
	c.sendWaiting()
	if c.http2.HasPendingOutput() {
		c.proxy.scheduleFlush(c)
	}
}

// Closed implements engine.ConnHandler: the connection is gone.
func (c *serverConn) Closed(sentBytes int64) {
	c.sentBytes = max(c.sentBytes, sentBytes)
	c.teardown(true)
}

// abort closes the connection at once, and ends its attempts.
func (c *serverConn) abort() {
	if c.closed {
		return
	}
	c.teardown(true)
	c.proxy.router.CloseConn(c.conn)
}

// closeByPool closes a connection that the pool has removed.
func (c *serverConn) closeByPool() {
	c.teardown(false)
	c.proxy.router.CloseConn(c.conn)
}

// teardown ends the attempts: one whose headers the network has taken may have been executed, the
// others never were.
func (c *serverConn) teardown(tellPool bool) {
	if c.closed {
		return
	}
	c.closed = true
	if c.poolID < len(c.proxy.serverConns) && c.proxy.serverConns[c.poolID] == c {
		c.proxy.serverConns[c.poolID] = nil
	}
	for _, s := range c.http2.Streams() {
		a, ok := s.UserData.(*attempt)
		if !ok || a.ended {
			continue
		}
		if c.sentBytes >= a.headersEnd {
			a.finish(grpcwire.ConnectionLost)
		} else {
			a.finish(grpcwire.NotSent)
		}
	}
	c.finishWaiting(grpcwire.NotSent)
	if tellPool {
		c.proxy.pool.ConnectionLost(c.proxy.router.Now(), c.poolID)
	}
}

// finishWaiting ends the attempts whose headers are not written.
func (c *serverConn) finishWaiting(result grpcwire.Result) {
	for _, a := range slices.Clone(c.waiting) {
		a.finish(result)
	}
}

// withdrawWaiting ends the attempts whose headers are not written, as the server drains.
func (c *serverConn) withdrawWaiting() { c.finishWaiting(grpcwire.ServerDraining) }

// hasUnsentHeaders reports whether headers were written of which the network has taken nothing.
func (c *serverConn) hasUnsentHeaders() bool {
	if c.queuedBytes == c.sentBytes {
		return false
	}
	for a := range c.attempts {
		if a.stream != nil && a.headersStart >= c.sentBytes {
			return true
		}
	}
	return false
}

// enqueue takes an attempt. Its headers wait, and can be withdrawn, while the network takes nothing.
func (c *serverConn) enqueue(a *attempt) {
	a.conn = c
	c.attempts[a] = true
	c.waiting = append(c.waiting, a)
	c.sendWaiting()
}

// sendWaiting starts the attempts that wait, if the network had taken all at some time in this turn.
func (c *serverConn) sendWaiting() {
	now := c.proxy.router.Now()
	if c.queuedBytes == c.sentBytes {
		c.drainedAt = now
	}
	for len(c.waiting) > 0 && c.drainedAt == now && !c.closed && c.http2.CanStartStream() {
		a := c.waiting[0]
		c.waiting = append(c.waiting[:0], c.waiting[1:]...)
		c.sendHeaders(a)
	}
}

// sendHeaders starts an attempt.
func (c *serverConn) sendHeaders(a *attempt) {
	c.proxy.Counters.AttemptsStarted++
	// What was written before goes first, so that the offsets of the headers are known.
	c.writeOutput()
	a.headersStart = c.queuedBytes
	timeout := a.sub.Deadline() - c.proxy.router.Now() - deadlineMargin
	fields := grpcwire.ForwardedRequestHeaders(a.call.requestHeaders, timeout, a.sub.Number())
	a.stream = c.http2.StartStream(fields, a, a)
	c.writeOutput()
	a.headersEnd = c.queuedBytes
	c.proxy.scheduleFlush(c)
}

// removeAttempt gives up an attempt's stream, and resets it if it is open.
func (c *serverConn) removeAttempt(a *attempt, code h2.ErrorCode) {
	if !c.attempts[a] {
		return
	}
	delete(c.attempts, a)
	if i := slices.Index(c.waiting, a); i >= 0 {
		c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	}
	if c.closed {
		return
	}
	if a.stream != nil {
		c.http2.ResetStream(a.stream, code)
	}
	c.proxy.scheduleFlush(c)
	c.proxy.pool.StreamDone(c.proxy.router.Now(), c.poolID)
	c.sendWaiting()
}

func (c *serverConn) writeOutput() {
	if output := c.http2.TakeOutput(); len(output) > 0 {
		c.queuedBytes += int64(len(output))
		c.proxy.router.WriteConn(c.conn, output)
	}
}

// flush writes what streams have, as far as the server reads.
func (c *serverConn) flush() {
	if c.closed || !c.connected {
		return
	}
	if c.http2.StreamIDsRunningOut() {
		c.proxy.pool.GoAway(c.proxy.router.Now(), c.poolID)
		if c.closed {
			return
		}
	}
	c.http2.Pump(c.proxy.settings.Limits.WriteBufferBytes - int(c.queuedBytes-c.sentBytes))
	c.writeOutput()
	if c.queuedBytes-c.sentBytes > maxUnsentBytes {
		c.proxy.Counters.WriteTimeouts++
		c.abort()
	}
}

// HeadersReceived implements h2.Handler: response headers, an interim response, or trailers.
func (c *serverConn) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	a := s.UserData.(*attempt)
	if a.ended {
		return
	}
	if s.HeaderBlocks() > 1 && a.responseHeaders != nil {
		if !end {
			a.fail(grpcwire.MalformedResponse)
			return
		}
		a.endedByServer(grpcwire.ForwardedResponseHeaders(fields))
		return
	}
	status, _ := grpcwire.FirstValue(fields, ":status")
	contentType, _ := grpcwire.FirstValue(fields, "content-type")
	_, hasGRPCStatus := grpcwire.FirstValue(fields, "grpc-status")
	isGRPC := hasGRPCStatus || status == "200" && grpcwire.IsGRPCContentType(contentType)
	switch {
	case isInterim(status) && !end:
	case !isGRPC:
		a.fail(grpcwire.ResultFromHTTPStatus(status))
	case end:
		a.endedByServer(grpcwire.ForwardedResponseHeaders(fields))
	default:
		a.headersFromServer(fields)
	}
}

// isInterim reports whether an HTTP status is that of an interim response.
func isInterim(status string) bool { return len(status) == 3 && status[0] == '1' }

// HeaderListTooLarge implements h2.Handler: the attempt ends.
func (c *serverConn) HeaderListTooLarge(s *h2.Stream) {
	s.UserData.(*attempt).fail(grpcwire.MetadataTooLarge)
}

// DataReceived implements h2.Handler.
func (c *serverConn) DataReceived(s *h2.Stream, data []byte, end bool) {
	a := s.UserData.(*attempt)
	if a.ended {
		return
	}
	if a.responseHeaders == nil {
		a.fail(grpcwire.MalformedResponse)
		return
	}
	if len(data) > 0 {
		a.dataFromServer(data)
	}
	if end && !a.ended {
		a.endedByServer(nil)
	}
}

// StreamReset implements h2.Handler: the server has reset the stream, or violated the protocol.
func (c *serverConn) StreamReset(s *h2.Stream, code h2.ErrorCode) {
	if a, ok := s.UserData.(*attempt); ok {
		a.finish(grpcwire.ResultFromReset(code))
	}
}

// StreamUnprocessed implements h2.Handler: the server has not processed the stream.
func (c *serverConn) StreamUnprocessed(s *h2.Stream) {
	if a, ok := s.UserData.(*attempt); ok {
		a.finish(grpcwire.Unprocessed)
	}
}

// GoAwayReceived implements h2.Handler: streams that run go on, nothing new starts here.
func (c *serverConn) GoAwayReceived(code h2.ErrorCode) {
	if code != http2.ErrCodeNo {
		c.proxy.router.Warn("gRPC server leaves", "%s: %v", c.proxy.servers[c.serverIndex].address, code)
	}
	c.proxy.pool.GoAway(c.proxy.router.Now(), c.poolID)
	c.finishWaiting(grpcwire.Unprocessed)
}

// SettingsReceived implements h2.Handler: the connection is established, or its peer accepts another
// number of streams.
func (c *serverConn) SettingsReceived() {
	c.proxy.pool.Connected(c.proxy.router.Now(), c.poolID, c.http2.PeerMaxConcurrentStreams())
}
