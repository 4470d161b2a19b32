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

// client is a connection on which calls come.
type client struct {
	f       *Front
	conn    transport.Conn
	h       *h2.Conn
	asked   int64
	written int64
	moved   float64 // when the network last took something
	since   float64 // when it came to have no call, or connected
	heard   float64
	came    float64 // when the bytes at hand did
	half    float64 // since when half a frame waits
	timer   engine.Timer
	timerAt float64
	ending  bool // nothing more is read
	gone    bool
	held    int // bytes of its calls
}

// Opened implements routing.Party: the connection is up.
func (c *client) Opened() {}

// Bytes implements routing.Party: bytes have come.
func (c *client) Bytes(b []byte, came float64) {
	if c.gone {
		return
	}
	c.heard, c.came = c.f.r.Now(), came
	if c.ending || b == nil {
		return // it is being turned away: what it still sends goes nowhere
	}
	was := c.h.Incomplete()
	if err := c.h.Feed(b, came); err != nil {
		c.f.Count.Rude++
		c.f.r.Warn("bad gRPC client", "%v", err)
		c.abandon()
		return
	}
	if !was && c.h.Incomplete() {
		c.half = c.heard
	} else if !c.h.Incomplete() {
		c.half = 0
	} else if c.half == 0 {
		c.half = c.heard
	}
	c.f.touch(c)
	c.mind()
}

// abandon turns a client away that can't be read any more: its calls are over, and the GOAWAY that tells why is out before
// the connection closes.
func (c *client) abandon() {
	c.leave()
	c.ending = true
	c.f.touch(c)
}

// leave ends all calls: nobody is there to hear of them.
func (c *client) leave() {
	for _, s := range c.h.Streams() {
		if k, ok := s.UserData.(*call); ok {
			k.left()
		}
	}
}

// Written implements routing.Party: the network has taken so many bytes.
func (c *client) Written(upTo int64) {
	c.written, c.moved = upTo, c.f.r.Now()
	if c.h.HasPendingOutput() {
		c.f.touch(c)
	}
}

// Closed implements routing.Party: the connection is gone.
func (c *client) Closed(int64) {
	c.end()
}

func (c *client) end() {
	if c.gone {
		return
	}
	c.gone = true
	c.leave()
	delete(c.f.clients, c)
	c.f.r.CancelTimer(c.timer)
}

// hang drops the connection.
func (c *client) hang() {
	if c.gone {
		return
	}
	c.end()
	c.f.r.CloseConn(c.conn)
}

// flush lets streams send, as far as the client reads, and closes a connection that is done with.
func (c *client) flush() {
	if c.gone {
		return
	}
	c.h.Pump(c.f.rules.Limits.Lag - int(c.asked-c.written))
	if b := c.h.TakeOutput(); len(b) > 0 {
		if c.asked == c.written {
			c.moved = c.f.r.Now()
		}
		c.asked += int64(len(b))
		c.f.r.WriteConn(c.conn, b)
	}
	if c.asked-c.written > lagMost {
		c.f.Count.Stuck++
		c.hang()
		return
	}
	if c.h.OpenStreams() > 0 {
		c.since = 0
	} else if c.since == 0 {
		c.since = c.f.r.Now()
	}
	if c.ending || c.h.GoAwaySent() && c.h.OpenStreams() == 0 {
		c.finish()
		return
	}
	c.mind()
}

// finish closes so that what was written arrives.
func (c *client) finish() {
	c.end()
	c.f.parting++
	c.f.r.SetHandler(c.conn, (*parting)(c))
	c.f.r.FinishConn(c.conn)
	// Who is turned away may still be sending for long, at full speed: it is not read any more, so that it stands still
	// until it closes or is cut off.
	c.f.r.Reading(c.conn, false)
	c.timer = c.f.r.After(c.f.rules.Limits.Handshake, func() { (*parting)(c).hang() })
	c.gone = false
}

// parting is a connection that only waits for the other side to close.
type parting client

// Opened implements routing.Party: the connection is up.
func (p *parting) Opened() {}

// Bytes implements routing.Party: bytes have come.
func (p *parting) Bytes([]byte, float64) {}

// Written implements routing.Party: the network has taken so many bytes.
func (p *parting) Written(int64) {}

// Closed implements routing.Party: the connection is gone.
func (p *parting) Closed(int64) { p.gone = true; p.f.parting--; p.f.r.CancelTimer(p.timer) }
func (p *parting) hang() {
	if !p.gone {
		p.gone = true
		p.f.parting--
		p.f.r.CloseConn(p.conn)
	}
}

// patience tells when something is amiss or the connection has been idle for too long.
func (c *client) patience() float64 {
	m := &c.f.rules.Limits
	at := math.Inf(1)
	if !c.h.SettingsReceived() {
		at = c.since + m.Handshake
	} else if c.since > 0 {
		at = c.since + m.Idle
	}
	if c.half > 0 {
		at = min(at, c.half+m.Half)
	}
	if c.asked > c.written {
		at = min(at, c.moved+m.Stuck)
	}
	return at
}

// mind has it looked at when patience ends; one timer is enough, and it may come too soon.
func (c *client) mind() {
	at := c.patience()
	if c.gone || c.timerAt > 0 && c.timerAt <= at || math.IsInf(at, 1) {
		return
	}
	c.f.r.CancelTimer(c.timer)
	c.timerAt = at
	c.timer = c.f.r.After(max(at-c.f.r.Now(), firstLook), func() { c.weary() })
}

func (c *client) weary() {
	if c.timerAt = 0; c.gone {
		return
	}
	now, m := c.f.r.Now(), &c.f.rules.Limits
	switch {
	case now < c.patience():
		c.mind()
	case c.asked > c.written && now >= c.moved+m.Stuck:
		c.f.Count.Stuck++
		c.hang()
	case !c.h.SettingsReceived() || c.half > 0 && now >= c.half+m.Half:
		c.f.Count.Mute++
		c.h.GoAway(http2.ErrCodeEnhanceYourCalm)
		c.abandon()
	default:
		c.f.Count.Idle++
		c.h.GoAway(http2.ErrCodeNo)
		c.f.touch(c)
	}
}

// HeadersReceived begins a call, or is what no gRPC client sends: trailers.
func (c *client) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	if k, ok := s.UserData.(*call); ok {
		k.fromClient(nil, end) // trailers of a request say nothing in gRPC
		return
	}
	c.begin(s, fields, end)
}

// HeaderListTooLarge is metadata over the limit.
func (c *client) HeaderListTooLarge(s *h2.Stream) {
	if k, ok := s.UserData.(*call); ok {
		k.finish(grpcwire.ResourceExhausted, "metadata over the limit", -1)
		return
	}
	c.f.Count.Calls++
	c.refuse(s, grpcwire.ResourceExhausted, "metadata over the limit", -1)
}

// DataReceived implements h2.Events: bytes of a body have come.
func (c *client) DataReceived(s *h2.Stream, b []byte, end bool) {
	if k, ok := s.UserData.(*call); ok {
		k.fromClient(b, end)
	}
}

// StreamReset implements h2.Events: the stream was reset.
func (c *client) StreamReset(s *h2.Stream, _ h2.ErrorCode) {
	c.f.Count.Resets++
	if k, ok := s.UserData.(*call); ok {
		k.left()
	}
}

// StreamUnprocessed implements h2.Events: the peer says that it never looked at the stream.
func (c *client) StreamUnprocessed(*h2.Stream) {}

// SettingsReceived implements h2.Events: the peer's settings have come.
func (c *client) SettingsReceived() {}

// GoAwayReceived: a client that says GOAWAY asks nothing new; what is open goes on.
func (c *client) GoAwayReceived(h2.ErrorCode) {}

// refuse ends a call that no search was made of.
func (c *client) refuse(s *h2.Stream, code grpcwire.Status, why string, back float64) {
	c.f.Count.Statuses[code]++
	if code == grpcwire.Unavailable || code == grpcwire.ResourceExhausted && back > 0 {
		c.f.Count.Shed++
	} else {
		c.f.Count.Errored++
	}
	c.h.Respond(s, grpcwire.AppendTrailers(grpcwire.NewResponseHeaders(), code, why, back), true, nil)
	c.f.touch(c)
}

// begin takes a call, once its head has proved sound.
func (c *client) begin(s *h2.Stream, fields []h2.Field, end bool) {
	f := c.f
	f.Count.Calls++
	path, _ := grpcwire.FirstValue(fields, ":path")
	method, _ := grpcwire.FirstValue(fields, ":method")
	kind, _ := grpcwire.FirstValue(fields, "content-type")
	unsound := func(status string) {
		f.Count.Unsound++
		f.Count.Errored++
		c.h.Respond(s, []h2.Field{{Name: ":status", Value: status}}, true, nil)
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
	route := f.rules.Table.Find(path, look)
	if route == nil {
		f.Count.Unrouted++
		c.refuse(s, grpcwire.Unimplemented, "no route for "+path, 0)
		return
	}
	timeout := route.DefaultTimeout
	if v, found := look("grpc-timeout"); found {
		var ok bool
		if timeout, ok = grpcwire.ParseTimeout(v); !ok {
			f.Count.Unsound++
			c.refuse(s, grpcwire.InvalidArgument, "grpc-timeout can't be read", -1)
			return
		}
	}
	if timeout = min(timeout, route.MaxTimeout); timeout <= lastCall {
		f.Count.Expired++
		c.refuse(s, grpcwire.DeadlineExceeded, "no time is left", 0)
		return
	}
	shard, err := route.ShardOf(look, f.shards)
	if err != nil {
		f.Count.Unsound++
		c.refuse(s, grpcwire.InvalidArgument, err.Error(), -1)
		return
	}
	customer := route.DefaultCustomer
	if route.CustomerMetadata != "" {
		if v, found := look(route.CustomerMetadata); found {
			customer = f.r.Customer(v)
		}
	}
	// Over a limit of this broker's own the call has not begun anywhere, and a little later there may be room.
	m := &f.rules.Limits
	switch {
	case f.open >= m.Calls:
		f.Count.OverCalls++
		c.refuse(s, grpcwire.Unavailable, "too many calls are open", f.later())
		return
	case m.PerCustomer > 0 && f.byOwner[customer] >= m.PerCustomer:
		f.Count.OverCustomer++
		c.refuse(s, grpcwire.ResourceExhausted, "too many calls of this customer are open", f.later())
		return
	case f.tight():
		f.Count.OverHeld++
		c.refuse(s, grpcwire.Unavailable, "too much is held", f.later())
		return
	}
	k := &call{f: f, c: c, s: s, route: route, rules: f.rules, customer: customer, until: c.came + timeout,
		head: append([]h2.Field(nil), fields...), reqEnd: end}
	s.UserData = k
	f.open++
	f.byOwner[customer]++
	must.Hold(f.open <= m.Calls, "no more calls are open than may be")
	k.mind()
	k.start(shard, look)
}

// later is a time to come back, spread so that those turned away together do not come together.
func (f *Front) later() float64 { return laterLeast + laterMore*f.roll() }
