package grpcproxy

import (
	"math"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/must"
	"kestrelspread/internal/transport"
)

// clientConn is a connection on which calls come.
type clientConn struct {
	proxy          *Proxy
	conn           transport.Conn
	http2          *h2.Conn
	queuedBytes    int64
	sentBytes      int64
	lastSentAt     float64 // when the network last took something
	idleSince      float64 // when it came to have no call, or connected
	lastReceivedAt float64
	arrivedAt      float64 // when the bytes at hand did
	partialSince   float64 // since when half a frame waits
	timer          engine.Timer
	timerAt        float64
	readStopped    bool // nothing more is read
	closed         bool
	bufferedBytes  int // bytes of its calls
}

// Opened implements routing.Party: the connection is up.
func (c *clientConn) Opened() {}

// Bytes implements routing.Party: bytes have come.
func (c *clientConn) Bytes(b []byte, came float64) {
	if c.closed {
		return
	}
	c.lastReceivedAt, c.arrivedAt = c.proxy.router.Now(), came
	if c.readStopped || b == nil {
		return // it is being turned away: what it still sends goes nowhere
	}
	was := c.http2.Incomplete()
	if err := c.http2.Feed(b, came); err != nil {
		c.proxy.Counters.ProtocolErrors++
		c.proxy.router.Warn("bad gRPC client", "%v", err)
		c.closeAfterGoAway()
		return
	}
	if !was && c.http2.Incomplete() {
		c.partialSince = c.lastReceivedAt
	} else if !c.http2.Incomplete() {
		c.partialSince = 0
	} else if c.partialSince == 0 {
		c.partialSince = c.lastReceivedAt
	}
	c.proxy.scheduleFlush(c)
	c.armTimer()
}

// closeAfterGoAway turns a client away that can't be read any more: its calls are over, and the GOAWAY that tells why is out before
// the connection closes.
func (c *clientConn) closeAfterGoAway() {
	c.cancelCalls()
	c.readStopped = true
	c.proxy.scheduleFlush(c)
}

// cancelCalls ends all calls: nobody is there to hear of them.
func (c *clientConn) cancelCalls() {
	for _, s := range c.http2.Streams() {
		if k, ok := s.UserData.(*call); ok {
			k.clientCancelled()
		}
	}
}

// Written implements routing.Party: the network has taken so many bytes.
func (c *clientConn) Written(upTo int64) {
	c.sentBytes, c.lastSentAt = upTo, c.proxy.router.Now()
	if c.http2.HasPendingOutput() {
		c.proxy.scheduleFlush(c)
	}
}

// Closed implements routing.Party: the connection is gone.
func (c *clientConn) Closed(int64) {
	c.teardown()
}

func (c *clientConn) teardown() {
	if c.closed {
		return
	}
	c.closed = true
	c.cancelCalls()
	delete(c.proxy.clientConns, c)
	c.proxy.router.CancelTimer(c.timer)
}

// abort drops the connection.
func (c *clientConn) abort() {
	if c.closed {
		return
	}
	c.teardown()
	c.proxy.router.CloseConn(c.conn)
}

// flush lets streams send, as far as the client reads, and closes a connection that is done with.
func (c *clientConn) flush() {
	if c.closed {
		return
	}
	c.http2.Pump(c.proxy.settings.Limits.WriteBufferBytes - int(c.queuedBytes-c.sentBytes))
	if b := c.http2.TakeOutput(); len(b) > 0 {
		if c.queuedBytes == c.sentBytes {
			c.lastSentAt = c.proxy.router.Now()
		}
		c.queuedBytes += int64(len(b))
		c.proxy.router.WriteConn(c.conn, b)
	}
	if c.queuedBytes-c.sentBytes > maxUnsentBytes {
		c.proxy.Counters.WriteTimeouts++
		c.abort()
		return
	}
	if c.http2.OpenStreams() > 0 {
		c.idleSince = 0
	} else if c.idleSince == 0 {
		c.idleSince = c.proxy.router.Now()
	}
	if c.readStopped || c.http2.GoAwaySent() && c.http2.OpenStreams() == 0 {
		c.closeGracefully()
		return
	}
	c.armTimer()
}

// closeGracefully closes so that what was written arrives.
func (c *clientConn) closeGracefully() {
	c.teardown()
	c.proxy.closingConns++
	c.proxy.router.SetHandler(c.conn, (*closingConn)(c))
	c.proxy.router.FinishConn(c.conn)
	// Who is turned away may still be sending for long, at full speed: it is not read any more, so that it stands still
	// until it closes or is cut off.
	c.proxy.router.Reading(c.conn, false)
	c.timer = c.proxy.router.After(c.proxy.settings.Limits.HandshakeTimeout, func() { (*closingConn)(c).abort() })
	c.closed = false
}

// closingConn is a connection that only waits for the other side to close.
type closingConn clientConn

// Opened implements routing.Party: the connection is up.
func (p *closingConn) Opened() {}

// Bytes implements routing.Party: bytes have come.
func (p *closingConn) Bytes([]byte, float64) {}

// Written implements routing.Party: the network has taken so many bytes.
func (p *closingConn) Written(int64) {}

// Closed implements routing.Party: the connection is gone.
func (p *closingConn) Closed(int64) {
	p.closed = true
	p.proxy.closingConns--
	p.proxy.router.CancelTimer(p.timer)
}
func (p *closingConn) abort() {
	if !p.closed {
		p.closed = true
		p.proxy.closingConns--
		p.proxy.router.CloseConn(p.conn)
	}
}

// nextTimeout tells when something is amiss or the connection has been idle for too long.
func (c *clientConn) nextTimeout() float64 {
	m := &c.proxy.settings.Limits
	at := math.Inf(1)
	if !c.http2.SettingsReceived() {
		at = c.idleSince + m.HandshakeTimeout
	} else if c.idleSince > 0 {
		at = c.idleSince + m.IdleTimeout
	}
	if c.partialSince > 0 {
		at = min(at, c.partialSince+m.PartialFrameTimeout)
	}
	if c.queuedBytes > c.sentBytes {
		at = min(at, c.lastSentAt+m.WriteTimeout)
	}
	return at
}

// armTimer has it looked at when patience ends; one timer is enough, and it may come too soon.
func (c *clientConn) armTimer() {
	at := c.nextTimeout()
	if c.closed || c.timerAt > 0 && c.timerAt <= at || math.IsInf(at, 1) {
		return
	}
	c.proxy.router.CancelTimer(c.timer)
	c.timerAt = at
	c.timer = c.proxy.router.After(max(at-c.proxy.router.Now(), minTimerDelay), func() { c.timerFired() })
}

func (c *clientConn) timerFired() {
	if c.timerAt = 0; c.closed {
		return
	}
	now, m := c.proxy.router.Now(), &c.proxy.settings.Limits
	switch {
	case now < c.nextTimeout():
		c.armTimer()
	case c.queuedBytes > c.sentBytes && now >= c.lastSentAt+m.WriteTimeout:
		c.proxy.Counters.WriteTimeouts++
		c.abort()
	case !c.http2.SettingsReceived() || c.partialSince > 0 && now >= c.partialSince+m.PartialFrameTimeout:
		c.proxy.Counters.Unresponsive++
		c.http2.GoAway(http2.ErrCodeEnhanceYourCalm)
		c.closeAfterGoAway()
	default:
		c.proxy.Counters.IdleClosed++
		c.http2.GoAway(http2.ErrCodeNo)
		c.proxy.scheduleFlush(c)
	}
}

// HeadersReceived begins a call, or is what no gRPC client sends: trailers.
func (c *clientConn) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	if k, ok := s.UserData.(*call); ok {
		k.dataFromClient(nil, end) // trailers of a request say nothing in gRPC
		return
	}
	c.startCall(s, fields, end)
}

// HeaderListTooLarge is metadata over the limit.
func (c *clientConn) HeaderListTooLarge(s *h2.Stream) {
	if k, ok := s.UserData.(*call); ok {
		k.terminate(grpcwire.ResourceExhausted, "metadata over the limit", -1)
		return
	}
	c.proxy.Counters.Calls++
	c.rejectCall(s, grpcwire.ResourceExhausted, "metadata over the limit", -1)
}

// DataReceived implements h2.Events: bytes of a body have come.
func (c *clientConn) DataReceived(s *h2.Stream, b []byte, end bool) {
	if k, ok := s.UserData.(*call); ok {
		k.dataFromClient(b, end)
	}
}

// StreamReset implements h2.Events: the stream was reset.
func (c *clientConn) StreamReset(s *h2.Stream, _ h2.ErrorCode) {
	c.proxy.Counters.ClientResets++
	if k, ok := s.UserData.(*call); ok {
		k.clientCancelled()
	}
}

// StreamUnprocessed implements h2.Events: the peer says that it never looked at the stream.
func (c *clientConn) StreamUnprocessed(*h2.Stream) {}

// SettingsReceived implements h2.Events: the peer's settings have come.
func (c *clientConn) SettingsReceived() {}

// GoAwayReceived: a client that says GOAWAY asks nothing new; what is open goes on.
func (c *clientConn) GoAwayReceived(h2.ErrorCode) {}

// rejectCall ends a call that no search was made of.
func (c *clientConn) rejectCall(s *h2.Stream, code grpcwire.Status, why string, back float64) {
	c.proxy.Counters.Statuses[code]++
	if code == grpcwire.Unavailable || code == grpcwire.ResourceExhausted && back > 0 {
		c.proxy.Counters.Shed++
	} else {
		c.proxy.Counters.Errored++
	}
	c.http2.Respond(s, grpcwire.AppendTrailers(grpcwire.NewResponseHeaders(), code, why, back), true, nil)
	c.proxy.scheduleFlush(c)
}

// startCall takes a call, once its head has proved sound.
func (c *clientConn) startCall(s *h2.Stream, fields []h2.Field, end bool) {
	f := c.proxy
	f.Counters.Calls++
	path, _ := grpcwire.FirstValue(fields, ":path")
	method, _ := grpcwire.FirstValue(fields, ":method")
	kind, _ := grpcwire.FirstValue(fields, "content-type")
	unsound := func(status string) {
		f.Counters.InvalidCalls++
		f.Counters.Errored++
		c.http2.Respond(s, []h2.Field{{Name: ":status", Value: status}}, true, nil)
	}
	switch {
	case method != "POST":
		unsound("405")
		return
	case !grpcwire.IsGRPCContentType(kind):
		unsound("415")
		return
	}
	look := func(key string) (string, bool) { return grpcwire.FirstValue(fields, key) }
	route := f.settings.Routes.Find(path, look)
	if route == nil {
		f.Counters.Unrouted++
		c.rejectCall(s, grpcwire.Unimplemented, "no route for "+path, 0)
		return
	}
	timeout := route.DefaultTimeout
	if v, found := look("grpc-timeout"); found {
		var ok bool
		if timeout, ok = grpcwire.ParseTimeout(v); !ok {
			f.Counters.InvalidCalls++
			c.rejectCall(s, grpcwire.InvalidArgument, "grpc-timeout can't be read", -1)
			return
		}
	}
	if timeout = min(timeout, route.MaxTimeout); timeout <= finalStatusMargin {
		f.Counters.DeadlineExceeded++
		c.rejectCall(s, grpcwire.DeadlineExceeded, "no time is left", 0)
		return
	}
	shard, err := route.ShardOf(look, f.shards)
	if err != nil {
		f.Counters.InvalidCalls++
		c.rejectCall(s, grpcwire.InvalidArgument, err.Error(), -1)
		return
	}
	customer := route.DefaultCustomer
	if route.CustomerMetadata != "" {
		if v, found := look(route.CustomerMetadata); found {
			customer = f.router.Customer(v)
		}
	}
	// Over a limit of this broker's own the call has not begun anywhere, and a little later there may be room.
	m := &f.settings.Limits
	switch {
	case f.openCalls >= m.MaxCalls:
		f.Counters.OverCallLimit++
		c.rejectCall(s, grpcwire.Unavailable, "too many calls are open", f.retryPushback())
		return
	case m.MaxCallsPerCustomer > 0 && f.callsByCustomer[customer] >= m.MaxCallsPerCustomer:
		f.Counters.OverCustomerLimit++
		c.rejectCall(s, grpcwire.ResourceExhausted, "too many calls of this customer are open", f.retryPushback())
		return
	case f.aboveSoftLimit():
		f.Counters.OverBufferLimit++
		c.rejectCall(s, grpcwire.Unavailable, "too much is held", f.retryPushback())
		return
	}
	k := &call{proxy: f, client: c, stream: s, route: route, settings: f.settings, customer: customer, deadline: c.arrivedAt + timeout,
		requestHeaders: append([]h2.Field(nil), fields...), requestEnded: end}
	s.UserData = k
	f.openCalls++
	f.callsByCustomer[customer]++
	must.Hold(f.openCalls <= m.MaxCalls, "no more calls are open than may be")
	k.armDeadline()
	k.start(shard, look)
}

// retryPushback is a time to come back, spread so that those turned away together do not come together.
func (f *Proxy) retryPushback() float64 { return minPushback + pushbackSpread*f.random() }
