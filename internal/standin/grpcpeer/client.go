package grpcpeer

import (
	"strconv"

	"golang.org/x/net/http2"

	"kestrelspread/internal/h2"
	"kestrelspread/internal/standin/simnet"
)

// Ask is a call as a client makes it, and what came of it.
type Ask struct {
	Path    string
	Timeout float64 // ms; 0: none named
	Fields  []string
	Body    [][]byte
	Open    bool // the client goes on sending: the end comes with End
	Slow    bool // it reads nothing: windows stay shut

	At       float64
	Head     []h2.Field
	Got      []byte
	Trailers []h2.Field
	Status   int // of gRPC; -1 while there is none
	HTTP     string
	Finals   int // how many final statuses came
	DoneAt   float64
	ResetBy  http2.ErrCode
	WasReset bool
	Lost     bool // its connection went first
	Left     bool // the client gave it up
	Sent     int
	c        *Client
	s        *h2.Stream
	out      [][]byte
	end      bool
}

// Get gives a trailer's value.
func (a *Ask) Get(name string) string {
	for _, f := range a.Trailers {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Done tells whether the call has its end.
func (a *Ask) Done() bool { return a.Finals > 0 || a.WasReset || a.Lost }

// Next is the request's body (h2.Source).
func (a *Ask) Next(most int) (b []byte, end bool, trailers []h2.Field) {
	if len(a.out) > 0 {
		b = a.out[0][:min(most, len(a.out[0]))]
		if a.out[0] = a.out[0][len(b):]; len(a.out[0]) == 0 {
			a.out = a.out[1:]
		}
		a.Sent += len(b)
	}
	return b, len(a.out) == 0 && a.end, nil
}

// Client is one connection of a gRPC client to the broker.
type Client struct {
	W     *simnet.Network
	E     *simnet.PeerConn
	H     *h2.Conn
	Shut  bool
	Gone  bool // GOAWAY was heard
	wait  []*Ask
	OnEnd func(a *Ask)
}

// Dial connects to the broker's gRPC door.
func Dial(w *simnet.Network, door int) *Client {
	c := &Client{W: w}
	c.H = h2.New(false, h2.Limits{InitialWindowSize: 64 << 10, MaxHeaderListSize: 64 << 10, MaxResetsPerSecond: 1 << 30, MaxControlFramesPerSecond: 1 << 30}, c)
	c.E = w.Dial(door, (*clientEnd)(c))
	return c
}

type clientEnd Client

// Opened implements simnet.Peer: the broker has taken the connection.
func (e *clientEnd) Opened(*simnet.PeerConn) {
	c := (*Client)(e)
	for _, a := range c.wait {
		c.begin(a)
	}
	c.wait = nil
	c.Flush()
}

// Bytes implements simnet.Peer: bytes of the broker have come.
func (e *clientEnd) Bytes(_ *simnet.PeerConn, b []byte) {
	c := (*Client)(e)
	c.H.Feed(b, c.W.NowMs)
	c.Flush()
}

// Closed implements simnet.Peer: the connection is gone, and its calls with it.
func (e *clientEnd) Closed(*simnet.PeerConn) {
	c := (*Client)(e)
	if c.Shut {
		return
	}
	c.Shut = true
	for _, a := range c.wait {
		a.Lost, a.DoneAt = true, c.W.NowMs
		c.ended(a)
	}
	for _, s := range c.H.Streams() {
		a := s.UserData.(*Ask)
		if !a.Done() {
			a.Lost, a.DoneAt = true, c.W.NowMs
			c.ended(a)
		}
	}
}

// Hang ends the connection from this side; what is open is given up with it.
func (c *Client) Hang() {
	c.E.Close()
	(*clientEnd)(c).Closed(c.E)
}

func (c *Client) ended(a *Ask) {
	if c.OnEnd != nil {
		c.OnEnd(a)
	}
}

// Flush sends what waits.
func (c *Client) Flush() {
	if c.Shut || c.E.IsClosed() {
		return
	}
	c.H.Pump(1 << 20)
	if b := c.H.TakeOutput(); len(b) > 0 {
		c.E.Send(b)
	}
}

// Call makes a call.
func (c *Client) Call(a *Ask) *Ask {
	a.Status, a.At, a.c = -1, c.W.NowMs, c
	a.out, a.end = a.Body, !a.Open
	if c.E.OpenedAtMs() == 0 {
		c.wait = append(c.wait, a)
		return a
	}
	c.begin(a)
	c.Flush()
	return a
}

func (c *Client) begin(a *Ask) {
	a.At = c.W.NowMs
	list := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: a.Path},
		{Name: ":authority", Value: "api"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}}
	if a.Timeout > 0 {
		list = append(list, h2.Field{Name: "grpc-timeout", Value: strconv.Itoa(int(a.Timeout)) + "m"})
	}
	if !c.H.CanStartStream() {
		a.Lost, a.DoneAt = true, c.W.NowMs
		c.ended(a)
		return
	}
	a.s = c.H.StartStream(append(list, pairs(a.Fields)...), a, a)
}

// Write sends more of an open call.
func (a *Ask) Write(b []byte) {
	a.out = append(a.out, b)
	if a.s != nil {
		a.s.Ready()
		a.c.Flush()
	}
}

// End half-closes.
func (a *Ask) End() {
	if a.end = true; a.s != nil {
		a.s.Ready()
		a.c.Flush()
	}
}

// Cancel gives a call up.
func (a *Ask) Cancel() {
	if !a.Done() && a.s != nil {
		a.Left = true
		a.c.H.ResetStream(a.s, http2.ErrCodeCancel)
		a.c.Flush()
	}
}

// HeadersReceived implements h2.Events: the first headers of a stream, or its trailers, have come.
func (c *Client) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	a := s.UserData.(*Ask)
	fields = append([]h2.Field(nil), fields...)
	if s.HeaderBlocks() == 1 {
		a.Head = fields
		for _, f := range fields {
			if f.Name == ":status" {
				a.HTTP = f.Value
			}
		}
	}
	if !end {
		return
	}
	a.Trailers = fields
	a.Finals++
	a.DoneAt = c.W.NowMs
	a.Status = 2
	for _, f := range fields {
		if f.Name == "grpc-status" {
			a.Status, _ = strconv.Atoi(f.Value)
		}
	}
	c.ended(a)
}

// DataReceived implements h2.Events: bytes of a body have come.
func (c *Client) DataReceived(s *h2.Stream, b []byte, end bool) {
	a := s.UserData.(*Ask)
	a.Got = append(a.Got, b...)
	if !a.Slow {
		s.Credit(len(b))
	}
	if end {
		a.Finals++
		a.DoneAt = c.W.NowMs
		c.ended(a)
	}
}

// HeaderListTooLarge implements h2.Events: a block of headers was too large; nothing is done about it.
func (c *Client) HeaderListTooLarge(*h2.Stream) {}

// StreamReset implements h2.Events: the peer has reset a stream.
func (c *Client) StreamReset(s *h2.Stream, code h2.ErrorCode) {
	a := s.UserData.(*Ask)
	if a.Finals == 0 {
		a.WasReset, a.ResetBy, a.DoneAt = true, code, c.W.NowMs
		c.ended(a)
	}
}

// StreamUnprocessed implements h2.Events: the peer says that it never looked at a stream.
func (c *Client) StreamUnprocessed(s *h2.Stream) {
	a := s.UserData.(*Ask)
	a.WasReset, a.ResetBy, a.DoneAt = true, http2.ErrCodeRefusedStream, c.W.NowMs
	c.ended(a)
}

// GoAwayReceived implements h2.Events: the peer takes no new streams.
func (c *Client) GoAwayReceived(h2.ErrorCode) { c.Gone = true }

// SettingsReceived implements h2.Events: the peer's settings have come; they are of no interest here.
func (c *Client) SettingsReceived() {}
