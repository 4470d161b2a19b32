package grpcproxy

import (
	"golang.org/x/net/http2"

	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/routes"
	"kestrelspread/internal/transport"
)

// serverConn is a channel's connection to a server.
type serverConn struct {
	proxy       *Proxy
	conn        transport.Conn
	http2       *h2.Conn
	serverIndex int
	poolID      int
	connected   bool // connected
	queuedBytes int64
	sentBytes   int64
	attempts    map[*attempt]bool
	waiting     []*attempt // none of their head is given to the network
	drainedAt   float64    // when the network had last taken all
	closed      bool
}

// Opened: connected; the channel is up when the server's SETTINGS have come.
func (l *serverConn) Opened() {
	l.connected = true
	l.proxy.scheduleFlush(l)
}

// Bytes implements routing.Party: bytes have come.
func (l *serverConn) Bytes(b []byte, came float64) {
	if l.closed || b == nil {
		return
	}
	l.proxy.pool.Received(l.proxy.router.Now(), l.poolID)
	if err := l.http2.Feed(b, came); err != nil && !l.closed {
		l.proxy.Counters.ServerProtocolErrors++
		l.proxy.router.Warn("bad gRPC server", "%s: %v", l.proxy.servers[l.serverIndex].addr, err)
		l.abort(err.Error())
		return
	}
	l.proxy.scheduleFlush(l)
}

// Written implements routing.Party: the network has taken so many bytes.
func (l *serverConn) Written(upTo int64) {
	l.sentBytes = upTo
	l.sendWaiting()
	if l.http2.HasPendingOutput() {
		l.proxy.scheduleFlush(l)
	}
}

// Closed implements routing.Party: the connection is gone.
func (l *serverConn) Closed(upTo int64) {
	l.sentBytes = max(l.sentBytes, upTo)
	l.teardown(true)
}

// abort closes a connection that is of no further use, and ends what was on it.
func (l *serverConn) abort(string) {
	if l.closed {
		return
	}
	conn := l.conn
	l.teardown(true)
	l.proxy.router.CloseConn(conn)
}

// closeByPool: the pool has let the channel go.
func (l *serverConn) closeByPool() {
	conn := l.conn
	l.teardown(false)
	l.proxy.router.CloseConn(conn)
}

// teardown ends what was on a connection: a call whose head was written whole may have run, the rest never did.
func (l *serverConn) teardown(tell bool) {
	if l.closed {
		return
	}
	l.closed = true
	if int(l.poolID) < len(l.proxy.serverConns) && l.proxy.serverConns[l.poolID] == l {
		l.proxy.serverConns[l.poolID] = nil
	}
	for _, s := range l.http2.Streams() {
		a, ok := s.UserData.(*attempt)
		if !ok || a.ended {
			continue
		}
		if l.sentBytes >= a.headersEnd {
			a.finish(grpcwire.ConnectionLost)
		} else {
			a.finish(grpcwire.NotSent)
		}
	}
	for _, a := range append([]*attempt(nil), l.waiting...) {
		a.finish(grpcwire.NotSent)
	}
	if tell {
		l.proxy.pool.ConnectionLost(l.proxy.router.Now(), l.poolID)
	}
}

// withdrawWaiting takes back the calls of which nothing has begun.
func (l *serverConn) withdrawWaiting() {
	for _, a := range append([]*attempt(nil), l.waiting...) {
		a.finish(grpcwire.ServerDraining)
	}
}

// hasUnsentHeaders tells whether the head of some call waits here of which the network has taken nothing.
func (l *serverConn) hasUnsentHeaders() bool {
	if l.queuedBytes == l.sentBytes {
		return false
	}
	for a := range l.attempts {
		if a.stream != nil && a.headersStart >= l.sentBytes {
			return true
		}
	}
	return false
}

// enqueue gives a call its place. While the network takes nothing its head waits here, from where it can be taken back.
func (l *serverConn) enqueue(a *attempt) {
	a.conn = l
	l.attempts[a] = true
	l.waiting = append(l.waiting, a)
	l.sendWaiting()
}

// sendWaiting begins what waits, as long as the network has taken all that came before this turn.
func (l *serverConn) sendWaiting() {
	if l.queuedBytes == l.sentBytes {
		l.drainedAt = l.proxy.router.Now()
	}
	for len(l.waiting) > 0 && l.drainedAt == l.proxy.router.Now() && !l.closed && l.http2.CanStartStream() {
		a := l.waiting[0]
		l.waiting = append(l.waiting[:0], l.waiting[1:]...)
		l.sendHeaders(a)
	}
}

// sendHeaders sends a call's head.
func (l *serverConn) sendHeaders(a *attempt) {
	f, now := l.proxy, l.proxy.router.Now()
	f.Counters.AttemptsStarted++
	// What is pumped before goes out first, so that the places of this head are known.
	l.writeOutput()
	a.headersStart = l.queuedBytes
	a.stream = l.http2.StartStream(grpcwire.ForwardedRequestHeaders(a.call.requestHeaders, a.sub.Deadline()-now-deadlineMargin, a.sub.Number()), a, a)
	l.writeOutput()
	a.headersEnd = l.queuedBytes
	f.scheduleFlush(l)
}

// removeAttempt takes a call off, and its stream down if that is still open.
func (l *serverConn) removeAttempt(a *attempt, code h2.ErrorCode) {
	if !l.attempts[a] {
		return
	}
	delete(l.attempts, a)
	for i, o := range l.waiting {
		if o == a {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	if l.closed {
		return
	}
	if a.stream != nil {
		l.http2.ResetStream(a.stream, code)
	}
	l.proxy.scheduleFlush(l)
	l.proxy.pool.StreamDone(l.proxy.router.Now(), l.poolID)
	l.sendWaiting()
}

func (l *serverConn) writeOutput() {
	if b := l.http2.TakeOutput(); len(b) > 0 {
		l.queuedBytes += int64(len(b))
		l.proxy.router.WriteConn(l.conn, b)
	}
}

func (l *serverConn) flush() {
	if l.closed || !l.connected {
		return
	}
	if l.http2.StreamIDsRunningOut() {
		l.proxy.pool.GoAway(l.proxy.router.Now(), l.poolID)
		if l.closed {
			return
		}
	}
	l.http2.Pump(l.proxy.settings.Limits.WriteBufferBytes - int(l.queuedBytes-l.sentBytes))
	l.writeOutput()
	if l.queuedBytes-l.sentBytes > maxUnsentBytes {
		l.proxy.Counters.WriteTimeouts++
		l.abort("it reads nothing")
	}
}

// HeadersReceived is the beginning of a response, or its end.
func (l *serverConn) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	a := s.UserData.(*attempt)
	if a.ended {
		return
	}
	if s.HeaderBlocks() > 1 && a.responseHeaders != nil {
		if !end {
			a.fail(grpcwire.MalformedResponse)
			return
		}
		a.statusReceived(grpcwire.ForwardedResponseHeaders(fields))
		return
	}
	status, _ := grpcwire.FirstValue(fields, ":status")
	kind, _ := grpcwire.FirstValue(fields, "content-type")
	_, says := grpcwire.FirstValue(fields, "grpc-status")
	switch {
	case len(status) == 3 && status[0] == '1' && !end: // an interim response
		return
	case status != "200" && !says, status == "200" && !grpcwire.IsGRPCContentType(kind) && !says:
		a.fail(grpcwire.ResultFromHTTPStatus(status))
		return
	case end:
		a.statusReceived(grpcwire.ForwardedResponseHeaders(fields))
		return
	}
	a.responseHeaders = grpcwire.ForwardedResponseHeaders(fields)
	if a.call.committed == a || a.call.route.CommitPoint == routes.AtHeaders {
		if a.commit(); !a.ended {
			a.deliver()
		}
	}
}

// HeaderListTooLarge is metadata over the limit.
func (l *serverConn) HeaderListTooLarge(s *h2.Stream) {
	s.UserData.(*attempt).fail(grpcwire.MetadataTooLarge)
}

// DataReceived implements h2.Events: bytes of a body have come.
func (l *serverConn) DataReceived(s *h2.Stream, b []byte, end bool) {
	a := s.UserData.(*attempt)
	if a.ended {
		return
	}
	if a.responseHeaders == nil {
		a.fail(grpcwire.MalformedResponse)
		return
	}
	if len(b) > 0 {
		a.dataFromServer(b)
	}
	if end && !a.ended {
		a.statusReceived(nil)
	}
}

// StreamReset implements h2.Events: the stream was reset.
func (l *serverConn) StreamReset(s *h2.Stream, code h2.ErrorCode) {
	if a, ok := s.UserData.(*attempt); ok {
		a.finish(grpcwire.ResultFromReset(code))
	}
}

// StreamUnprocessed implements h2.Events: the peer says that it never looked at the stream.
func (l *serverConn) StreamUnprocessed(s *h2.Stream) {
	if a, ok := s.UserData.(*attempt); ok {
		a.finish(grpcwire.Unprocessed)
	}
}

// GoAwayReceived: what runs goes on, nothing new begins here.
func (l *serverConn) GoAwayReceived(code h2.ErrorCode) {
	if code != http2.ErrCodeNo {
		l.proxy.router.Warn("gRPC server leaves", "%s: %v", l.proxy.servers[l.serverIndex].addr, code)
	}
	l.proxy.pool.GoAway(l.proxy.router.Now(), l.poolID)
	for _, a := range append([]*attempt(nil), l.waiting...) {
		a.finish(grpcwire.Unprocessed)
	}
}

// SettingsReceived implements h2.Events: the peer's settings have come.
func (l *serverConn) SettingsReceived() {
	l.proxy.pool.Connected(l.proxy.router.Now(), l.poolID, l.http2.PeerMaxConcurrentStreams())
}
