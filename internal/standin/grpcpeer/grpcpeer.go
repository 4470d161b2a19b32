// Package grpcpeer is scripted gRPC clients and servers on HTTP/2, for the virtual network: what a server does with a
// call, and when, is said by a script, down to single frames and bytes.
package grpcpeer

import (
	"encoding/binary"
	"strconv"

	"golang.org/x/net/http2"

	"kestrelspread/internal/h2"
	"kestrelspread/internal/standin/simnet"
)

// Message frames one gRPC message.
func Message(b string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(b))), b...)
}

// Act is one thing that a server does with a call.
type Act struct {
	After float64 // ms after the one before
	Do    func(s *Server, k *Got)
}

// Got is a call as a server has it.
type Got struct {
	S       *Server
	Stream  *h2.Stream
	Fields  []h2.Field
	Body    []byte
	EndIn   bool
	At      float64
	Ran     bool // the script has begun to act on it
	Reset   bool // the broker called it off
	ResetAt float64
	out     [][]byte
	end     bool
	trail   []h2.Field
	waits   []func()
}

// Get gives a field of its head.
func (k *Got) Get(name string) string {
	for _, f := range k.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Next is the body of the response (h2.Source).
func (k *Got) Next(most int) (b []byte, end bool, trailers []h2.Field) {
	if len(k.out) > 0 {
		b = k.out[0][:min(most, len(k.out[0]))]
		if k.out[0] = k.out[0][len(b):]; len(k.out[0]) == 0 {
			k.out = k.out[1:]
		}
	}
	if len(k.out) > 0 || !k.end {
		return b, false, nil
	}
	return b, true, k.trail
}

// Server is one scripted server; its script is asked for with each call.
type Server struct {
	W      *simnet.Network
	Name   string
	Script func(k *Got) []Act
	Early  bool // it acts on a call's head, without waiting for its end
	Holds  bool // it does not read bodies: windows stay shut
	Calls  []*Got
	Conns  []*Conn
	Limits h2.Limits
	// OnCall and OnReset tell checkers.
	OnCall  func(k *Got)
	OnReset func(k *Got)
	Greet   func(c *Conn) bool // what a connection begins with in place of SETTINGS; true: go on with those
}

// Conn is one connection of a server.
type Conn struct {
	S    *Server
	End  *simnet.PeerConn
	H    *h2.Conn
	Dead bool // reads and says nothing more
}

// Accept is for World.Listen.
func (s *Server) Accept(e *simnet.PeerConn) simnet.Peer {
	if s.Limits.InitialWindowSize == 0 {
		s.Limits = h2.Limits{MaxConcurrentStreams: 100, InitialWindowSize: 64 << 10, MaxHeaderListSize: 64 << 10, MaxResetsPerSecond: 1 << 30, MaxControlFramesPerSecond: 1 << 30}
	}
	c := &Conn{S: s, End: e}
	c.H = h2.New(true, s.Limits, c)
	s.Conns = append(s.Conns, c)
	return c
}

// Opened implements simnet.Peer: the broker has connected.
func (c *Conn) Opened(*simnet.PeerConn) {
	if c.S.Greet != nil && !c.S.Greet(c) {
		c.H.TakeOutput()
		c.Dead = true
		return
	}
	c.Flush()
}

// Bytes implements simnet.Peer: bytes of the broker have come.
func (c *Conn) Bytes(_ *simnet.PeerConn, b []byte) {
	if c.Dead {
		return
	}
	c.H.Feed(b, c.S.W.NowMs)
	c.Flush()
}

// Closed implements simnet.Peer: the broker has gone, and its calls with it.
func (c *Conn) Closed(*simnet.PeerConn) {
	if c.Dead {
		return
	}
	c.Dead = true
	for _, s := range c.H.Streams() {
		if k, ok := s.UserData.(*Got); ok && !k.Reset {
			k.Reset, k.ResetAt = true, c.S.W.NowMs
			if c.S.OnReset != nil {
				c.S.OnReset(k)
			}
		}
	}
}

// Flush sends what waits.
func (c *Conn) Flush() {
	if c.Dead {
		return
	}
	c.H.Pump(1 << 20)
	if b := c.H.TakeOutput(); len(b) > 0 {
		c.End.Send(b)
	}
}

// Kill ends a connection as a process's death does.
func (c *Conn) Kill() {
	c.Dead = true
	c.End.Close()
}

// HeadersReceived implements h2.Events: the first headers of a stream, or its trailers, have come.
func (c *Conn) HeadersReceived(s *h2.Stream, fields []h2.Field, end bool) {
	if s.UserData != nil {
		return
	}
	k := &Got{S: c.S, Stream: s, Fields: append([]h2.Field(nil), fields...), EndIn: end, At: c.S.W.NowMs}
	s.UserData = k
	c.S.Calls = append(c.S.Calls, k)
	if c.S.OnCall != nil {
		c.S.OnCall(k)
	}
	if end || c.S.Early {
		k.act()
	}
}

// DataReceived implements h2.Events: bytes of a body have come.
func (c *Conn) DataReceived(s *h2.Stream, b []byte, end bool) {
	k := s.UserData.(*Got)
	k.Body = append(k.Body, b...)
	if !c.S.Holds {
		s.Credit(len(b))
	}
	if end {
		k.EndIn = true
	}
	for _, w := range k.waits {
		w()
	}
	if end && !c.S.Early {
		k.act()
	}
}

// HeaderListTooLarge implements h2.Events: a block of headers was too large; nothing is done about it.
func (c *Conn) HeaderListTooLarge(*h2.Stream) {}

// StreamReset implements h2.Events: the peer has reset a stream.
func (c *Conn) StreamReset(s *h2.Stream, _ h2.ErrorCode) {
	if k, ok := s.UserData.(*Got); ok {
		k.Reset, k.ResetAt = true, c.S.W.NowMs
		if c.S.OnReset != nil {
			c.S.OnReset(k)
		}
	}
}

// StreamUnprocessed implements h2.Events: the peer says that it never looked at a stream.
func (c *Conn) StreamUnprocessed(*h2.Stream) {}

// GoAwayReceived implements h2.Events: the peer takes no new streams.
func (c *Conn) GoAwayReceived(h2.ErrorCode) {}

// SettingsReceived implements h2.Events: the peer's settings have come; they are of no interest here.
func (c *Conn) SettingsReceived() {}

// act runs the script of a call.
func (k *Got) act() {
	acts := k.S.Script(k)
	k.next(acts)
}

func (k *Got) next(acts []Act) {
	if len(acts) == 0 {
		return
	}
	k.S.W.After(acts[0].After, func() {
		c := k.Conn()
		if c == nil || c.Dead {
			return
		}
		k.Ran = true
		if acts[0].Do != nil {
			acts[0].Do(k.S, k)
		}
		c.Flush()
		k.next(acts[1:])
	})
}

// Conn finds the connection of a call.
func (k *Got) Conn() *Conn {
	for _, c := range k.S.Conns {
		for _, s := range c.H.Streams() {
			if s == k.Stream {
				return c
			}
		}
	}
	// Its stream is over: the connection can still be acted on.
	for _, c := range k.S.Conns {
		if !c.Dead {
			return c
		}
	}
	return nil
}

// The acts.

// Head sends initial metadata.
func Head(after float64, fields ...string) Act {
	return Act{after, func(_ *Server, k *Got) {
		list := []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
		k.Conn().H.Respond(k.Stream, append(list, pairs(fields)...), false, k)
	}}
}

func pairs(list []string) (fields []h2.Field) {
	for i := 0; i+1 < len(list); i += 2 {
		fields = append(fields, h2.Field{Name: list[i], Value: list[i+1]})
	}
	return fields
}

// Say sends a message.
func Say(after float64, text string) Act { return Raw(after, Message(text)) }

// Raw sends bytes of a body, whatever they are.
func Raw(after float64, b []byte) Act {
	return Act{after, func(_ *Server, k *Got) {
		k.out = append(k.out, b)
		k.Stream.Ready()
	}}
}

// End sends trailers with a status.
func End(after float64, status int, fields ...string) Act {
	return Act{after, func(_ *Server, k *Got) {
		k.trail = append([]h2.Field{{Name: "grpc-status", Value: strconv.Itoa(status)}}, pairs(fields)...)
		k.end = true
		k.Stream.Ready()
	}}
}

// EndBare ends the body without trailers.
func EndBare(after float64) Act {
	return Act{after, func(_ *Server, k *Got) { k.end = true; k.Stream.Ready() }}
}

// Only sends a response of nothing but a status.
func Only(after float64, status int, fields ...string) Act {
	return OnlyFields(after, append([]string{":status", "200", "content-type", "application/grpc", "grpc-status",
		strconv.Itoa(status)}, fields...)...)
}

// OnlyFields sends one header block and the end.
func OnlyFields(after float64, fields ...string) Act {
	return Act{after, func(_ *Server, k *Got) { k.Conn().H.Respond(k.Stream, pairs(fields), true, nil) }}
}

// Reset resets the stream.
func Reset(after float64, code http2.ErrCode) Act {
	return Act{after, func(_ *Server, k *Got) { k.Conn().H.ResetStream(k.Stream, code) }}
}

// Die ends the process: all connections close, and nobody listens.
func Die(after float64) Act {
	return Act{after, func(s *Server, _ *Got) {
		for _, c := range s.Conns {
			if !c.Dead {
				c.Kill()
			}
		}
	}}
}

// Bytes sends what is no HTTP/2 down the call's connection.
func Bytes(after float64, b []byte) Act {
	return Act{after, func(_ *Server, k *Got) {
		c := k.Conn()
		c.Flush()
		c.End.Send(b)
	}}
}

// Bye says GOAWAY: takes only the streams so far, or none of those that it has not answered.
func Bye(after float64, last uint32, code http2.ErrCode) Act {
	return Act{after, func(_ *Server, k *Got) {
		c := k.Conn()
		c.Flush()
		c.End.Send(GoAway(last, code))
	}}
}

// GoAway is the frame alone.
func GoAway(last uint32, code http2.ErrCode) []byte {
	b := []byte{0, 0, 8, byte(http2.FrameGoAway), 0, 0, 0, 0, 0}
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, last), uint32(code))
}

// Frame is any frame.
func Frame(kind http2.FrameType, flags byte, stream uint32, body []byte) []byte {
	n := len(body)
	b := []byte{byte(n >> 16), byte(n >> 8), byte(n), byte(kind), flags}
	return append(binary.BigEndian.AppendUint32(b, stream), body...)
}
