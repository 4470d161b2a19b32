package grpcproxy

import (
	"golang.org/x/net/http2"

	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/routes"
	"kestrelspread/internal/transport"
)

// line is a channel's connection to a server.
type line struct {
	f        *Front
	conn     transport.Conn
	h        *h2.Conn
	server   int
	channel  int
	up       bool // connected
	asked    int64
	written  int64
	attempts map[*attempt]bool
	waiting  []*attempt // none of their head is given to the network
	clear    float64    // when the network had last taken all
	gone     bool
}

// Opened: connected; the channel is up when the server's SETTINGS have come.
func (l *line) Opened() {
	l.up = true
	l.f.touch(l)
}

// Bytes implements routing.Party: bytes have come.
func (l *line) Bytes(b []byte, came float64) {
	if l.gone || b == nil {
		return
	}
	l.f.pool.Heard(l.f.r.Now(), l.channel)
	if err := l.h.Feed(b, came); err != nil && !l.gone {
		l.f.Count.BadServers++
		l.f.r.Warn("bad gRPC server", "%s: %v", l.f.servers[l.server].addr, err)
		l.drop(err.Error())
		return
	}
	l.f.touch(l)
}

// Written implements routing.Party: the network has taken so many bytes.
func (l *line) Written(upTo int64) {
	l.written = upTo
	l.proceed()
	if l.h.HasPendingOutput() {
		l.f.touch(l)
	}
}

// Closed implements routing.Party: the connection is gone.
func (l *line) Closed(upTo int64) {
	l.written = max(l.written, upTo)
	l.lost(true)
}

// drop closes a connection that is of no further use, and ends what was on it.
func (l *line) drop(string) {
	if l.gone {
		return
	}
	conn := l.conn
	l.lost(true)
	l.f.r.CloseConn(conn)
}

// closing: the pool has let the channel go.
func (l *line) closing() {
	conn := l.conn
	l.lost(false)
	l.f.r.CloseConn(conn)
}

// lost ends what was on a connection: a call whose head was written whole may have run, the rest never did.
func (l *line) lost(tell bool) {
	if l.gone {
		return
	}
	l.gone = true
	if int(l.channel) < len(l.f.lines) && l.f.lines[l.channel] == l {
		l.f.lines[l.channel] = nil
	}
	for _, s := range l.h.Streams() {
		a, ok := s.UserData.(*attempt)
		if !ok || a.over {
			continue
		}
		if l.written >= a.begun {
			a.ended(grpcwire.ConnectionLost)
		} else {
			a.ended(grpcwire.NotSent)
		}
	}
	for _, a := range append([]*attempt(nil), l.waiting...) {
		a.ended(grpcwire.NotSent)
	}
	if tell {
		l.f.pool.Lost(l.f.r.Now(), l.channel)
	}
}

// withdraw takes back the calls of which nothing has begun.
func (l *line) withdraw() {
	for _, a := range append([]*attempt(nil), l.waiting...) {
		a.ended(grpcwire.ServerDraining)
	}
}

// unbegun tells whether the head of some call waits here of which the network has taken nothing.
func (l *line) unbegun() bool {
	if l.asked == l.written {
		return false
	}
	for a := range l.attempts {
		if a.s != nil && a.start >= l.written {
			return true
		}
	}
	return false
}

// begin gives a call its place. While the network takes nothing its head waits here, from where it can be taken back.
func (l *line) begin(a *attempt) {
	a.l = l
	l.attempts[a] = true
	l.waiting = append(l.waiting, a)
	l.proceed()
}

// proceed begins what waits, as long as the network has taken all that came before this turn.
func (l *line) proceed() {
	if l.asked == l.written {
		l.clear = l.f.r.Now()
	}
	for len(l.waiting) > 0 && l.clear == l.f.r.Now() && !l.gone && l.h.CanStartStream() {
		a := l.waiting[0]
		l.waiting = append(l.waiting[:0], l.waiting[1:]...)
		l.send(a)
	}
}

// send sends a call's head.
func (l *line) send(a *attempt) {
	f, now := l.f, l.f.r.Now()
	f.Count.Begun++
	// What is pumped before goes out first, so that the places of this head are known.
	l.put()
	a.start = l.asked
	a.s = l.h.StartStream(grpcwire.ForwardedRequestHeaders(a.k.head, a.sub.Deadline()-now-margin, a.sub.Number()), a, a)
	l.put()
	a.begun = l.asked
	f.touch(l)
}

// end takes a call off, and its stream down if that is still open.
func (l *line) end(a *attempt, code h2.ErrorCode) {
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
	if l.gone {
		return
	}
	if a.s != nil {
		l.h.ResetStream(a.s, code)
	}
	l.f.touch(l)
	l.f.pool.Done(l.f.r.Now(), l.channel)
	l.proceed()
}

func (l *line) put() {
	if b := l.h.TakeOutput(); len(b) > 0 {
		l.asked += int64(len(b))
		l.f.r.WriteConn(l.conn, b)
	}
}

func (l *line) flush() {
	if l.gone || !l.up {
		return
	}
	if l.h.StreamIDsRunningOut() {
		l.f.pool.Leaving(l.f.r.Now(), l.channel)
		if l.gone {
			return
		}
	}
	l.h.Pump(l.f.rules.Limits.Lag - int(l.asked-l.written))
	l.put()
	if l.asked-l.written > lagMost {
		l.f.Count.Stuck++
		l.drop("it reads nothing")
	}
}

// HeadersReceived is the beginning of a response, or its end.
func (l *line) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	a := s.UserData.(*attempt)
	if a.over {
		return
	}
	if s.HeaderBlocks() > 1 && a.head != nil {
		if !end {
			a.broken(grpcwire.MalformedResponse)
			return
		}
		a.status(grpcwire.ForwardedResponseHeaders(fields))
		return
	}
	status, _ := grpcwire.FirstValue(fields, ":status")
	kind, _ := grpcwire.FirstValue(fields, "content-type")
	_, says := grpcwire.FirstValue(fields, "grpc-status")
	switch {
	case len(status) == 3 && status[0] == '1' && !end: // an interim response
		return
	case status != "200" && !says, status == "200" && !grpcwire.IsGRPCContentType(kind) && !says:
		a.broken(grpcwire.ResultFromHTTPStatus(status))
		return
	case end:
		a.status(grpcwire.ForwardedResponseHeaders(fields))
		return
	}
	a.head = grpcwire.ForwardedResponseHeaders(fields)
	if a.k.winner == a || a.k.route.CommitPoint == routes.AtHeaders {
		if a.commit(); !a.over {
			a.release()
		}
	}
}

// HeaderListTooLarge is metadata over the limit.
func (l *line) HeaderListTooLarge(s *h2.Stream) {
	s.UserData.(*attempt).broken(grpcwire.MetadataTooLarge)
}

// DataReceived implements h2.Events: bytes of a body have come.
func (l *line) DataReceived(s *h2.Stream, b []byte, end bool) {
	a := s.UserData.(*attempt)
	if a.over {
		return
	}
	if a.head == nil {
		a.broken(grpcwire.MalformedResponse)
		return
	}
	if len(b) > 0 {
		a.fromServer(b)
	}
	if end && !a.over {
		a.status(nil)
	}
}

// StreamReset implements h2.Events: the stream was reset.
func (l *line) StreamReset(s *h2.Stream, code h2.ErrorCode) {
	if a, ok := s.UserData.(*attempt); ok {
		a.ended(grpcwire.ResultFromReset(code))
	}
}

// StreamUnprocessed implements h2.Events: the peer says that it never looked at the stream.
func (l *line) StreamUnprocessed(s *h2.Stream) {
	if a, ok := s.UserData.(*attempt); ok {
		a.ended(grpcwire.Unprocessed)
	}
}

// GoAwayReceived: what runs goes on, nothing new begins here.
func (l *line) GoAwayReceived(code h2.ErrorCode) {
	if code != http2.ErrCodeNo {
		l.f.r.Warn("gRPC server leaves", "%s: %v", l.f.servers[l.server].addr, code)
	}
	l.f.pool.Leaving(l.f.r.Now(), l.channel)
	for _, a := range append([]*attempt(nil), l.waiting...) {
		a.ended(grpcwire.Unprocessed)
	}
}

// SettingsReceived implements h2.Events: the peer's settings have come.
func (l *line) SettingsReceived() {
	l.f.pool.Up(l.f.r.Now(), l.channel, l.h.PeerMaxConcurrentStreams())
}
