// Package grpcpeer provides scripted gRPC clients and servers on HTTP/2 for the virtual network. A script defines
// what a server does with a call and when, down to single frames and bytes.
package grpcpeer

import (
	"encoding/binary"
	"strconv"

	"golang.org/x/net/http2"

	"kestrelspread/internal/h2"
	"kestrelspread/internal/standin/simnet"
)

// maxPumpBytes is how many bytes of bodies one Flush frames at most.
const maxPumpBytes = 1 << 20

// unlimitedRate is a rate limit of frames a second that no test reaches.
const unlimitedRate = 1 << 30

// EncodeMessage frames one gRPC message: the uncompressed flag, its length and its payload.
func EncodeMessage(b string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(b))), b...)
}

// Action is one thing that a server does with a call.
type Action struct {
	AfterMs float64 // since the previous action, or since the script began
	Run     func(s *Server, call *ServerCall)
}

// ServerCall is a call as a server sees it.
type ServerCall struct {
	Server       *Server
	Stream       *h2.Stream
	Fields       []h2.Field
	Body         []byte
	HalfClosed   bool // the client's end of stream has arrived
	ReceivedAtMs float64
	Started      bool // the script has run its first action
	WasReset     bool // the broker reset its stream or closed its connection
	ResetAtMs    float64
	pending      [][]byte
	ended        bool
	trailers     []h2.Field
}

// Header returns the first request header of that name, or "".
func (c *ServerCall) Header(name string) string {
	for _, f := range c.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Next implements h2.Source: the body of the response and its trailers.
func (c *ServerCall) Next(maxBytes int) (chunk []byte, end bool, trailers []h2.Field) {
	if len(c.pending) > 0 {
		chunk = c.pending[0][:min(maxBytes, len(c.pending[0]))]
		c.pending[0] = c.pending[0][len(chunk):]
		if len(c.pending[0]) == 0 {
			c.pending = c.pending[1:]
		}
	}
	if len(c.pending) > 0 || !c.ended {
		return chunk, false, nil
	}
	return chunk, true, c.trailers
}

// Server is one scripted server; Script is called once for each call and returns its actions.
type Server struct {
	Network       *simnet.Network
	Name          string
	Script        func(call *ServerCall) []Action
	ActsOnHeaders bool // it runs the script on a call's headers, without waiting for the end of its body
	NeverReads    bool // it grants no flow-control credit for bodies
	Calls         []*ServerCall
	Conns         []*Conn
	Limits        h2.Limits
	// OnCall and OnReset, where set, notify a test's checker.
	OnCall  func(call *ServerCall)
	OnReset func(call *ServerCall)
	OnOpen  func(c *Conn) bool // runs before SETTINGS are sent; false: send none and ignore the connection
}

// Conn is one connection of a server.
type Conn struct {
	Server   *Server
	Endpoint *simnet.PeerConn
	HTTP2    *h2.Conn
	Dead     bool // neither reads nor writes any more
}

// Accept takes a connection of the broker; it is passed to simnet's Listen.
func (s *Server) Accept(e *simnet.PeerConn) simnet.Peer {
	if s.Limits.InitialWindowSize == 0 {
		s.Limits = h2.Limits{MaxConcurrentStreams: 100, InitialWindowSize: 64 << 10, MaxHeaderListSize: 64 << 10,
			MaxResetsPerSecond: unlimitedRate, MaxControlFramesPerSecond: unlimitedRate}
	}
	c := &Conn{Server: s, Endpoint: e}
	c.HTTP2 = h2.New(true, s.Limits, c)
	s.Conns = append(s.Conns, c)
	return c
}

// Opened implements simnet.Peer: the broker has connected.
func (c *Conn) Opened(*simnet.PeerConn) {
	if c.Server.OnOpen != nil && !c.Server.OnOpen(c) {
		c.HTTP2.TakeOutput()
		c.Dead = true
		return
	}
	c.Flush()
}

// Bytes implements simnet.Peer: bytes of the broker have arrived.
func (c *Conn) Bytes(_ *simnet.PeerConn, b []byte) {
	if c.Dead {
		return
	}
	c.HTTP2.Feed(b, c.Server.Network.NowMs)
	c.Flush()
}

// Closed implements simnet.Peer: the broker has closed the connection, which resets its open calls.
func (c *Conn) Closed(*simnet.PeerConn) {
	if c.Dead {
		return
	}
	c.Dead = true
	for _, stream := range c.HTTP2.Streams() {
		if call, ok := stream.UserData.(*ServerCall); ok && !call.WasReset {
			call.WasReset, call.ResetAtMs = true, c.Server.Network.NowMs
			if c.Server.OnReset != nil {
				c.Server.OnReset(call)
			}
		}
	}
}

// Flush sends all output that is pending.
func (c *Conn) Flush() {
	if c.Dead {
		return
	}
	c.HTTP2.Pump(maxPumpBytes)
	if b := c.HTTP2.TakeOutput(); len(b) > 0 {
		c.Endpoint.Send(b)
	}
}

// Kill closes the connection abruptly, as the exit of its process does.
func (c *Conn) Kill() {
	c.Dead = true
	c.Endpoint.Close()
}

// HeadersReceived implements h2.Events: the first headers of a stream, or its trailers, have arrived.
func (c *Conn) HeadersReceived(stream *h2.Stream, fields []h2.Field, end bool) {
	if stream.UserData != nil {
		return
	}
	call := &ServerCall{Server: c.Server, Stream: stream, Fields: append([]h2.Field(nil), fields...), HalfClosed: end,
		ReceivedAtMs: c.Server.Network.NowMs}
	stream.UserData = call
	c.Server.Calls = append(c.Server.Calls, call)
	if c.Server.OnCall != nil {
		c.Server.OnCall(call)
	}
	if end || c.Server.ActsOnHeaders {
		call.runScript()
	}
}

// DataReceived implements h2.Events: bytes of a body have arrived.
func (c *Conn) DataReceived(stream *h2.Stream, b []byte, end bool) {
	call := stream.UserData.(*ServerCall)
	call.Body = append(call.Body, b...)
	if !c.Server.NeverReads {
		stream.Credit(len(b))
	}
	if end {
		call.HalfClosed = true
	}
	if end && !c.Server.ActsOnHeaders {
		call.runScript()
	}
}

// HeaderListTooLarge implements h2.Events: a block of headers was too large; it is ignored.
func (c *Conn) HeaderListTooLarge(*h2.Stream) {}

// StreamReset implements h2.Events: the peer has reset a stream.
func (c *Conn) StreamReset(stream *h2.Stream, _ h2.ErrorCode) {
	if call, ok := stream.UserData.(*ServerCall); ok {
		call.WasReset, call.ResetAtMs = true, c.Server.Network.NowMs
		if c.Server.OnReset != nil {
			c.Server.OnReset(call)
		}
	}
}

// StreamUnprocessed implements h2.Events: the peer has not processed a stream.
func (c *Conn) StreamUnprocessed(*h2.Stream) {}

// GoAwayReceived implements h2.Events: the peer takes no new streams.
func (c *Conn) GoAwayReceived(h2.ErrorCode) {}

// SettingsReceived implements h2.Events: the peer's settings have arrived; they are ignored.
func (c *Conn) SettingsReceived() {}

// runScript runs the script of a call.
func (c *ServerCall) runScript() {
	c.runActions(c.Server.Script(c))
}

// runActions runs the actions one after the other, each after its delay.
func (c *ServerCall) runActions(actions []Action) {
	if len(actions) == 0 {
		return
	}
	c.Server.Network.After(actions[0].AfterMs, func() {
		conn := c.Conn()
		if conn == nil || conn.Dead {
			return
		}
		c.Started = true
		if actions[0].Run != nil {
			actions[0].Run(c.Server, c)
		}
		conn.Flush()
		c.runActions(actions[1:])
	})
}

// Conn returns the connection of a call: once its stream has ended, any that is alive; nil if there is none.
func (c *ServerCall) Conn() *Conn {
	for _, conn := range c.Server.Conns {
		for _, s := range conn.HTTP2.Streams() {
			if s == c.Stream {
				return conn
			}
		}
	}
	// Its stream has ended: actions on the connection are still possible.
	for _, conn := range c.Server.Conns {
		if !conn.Dead {
			return conn
		}
	}
	return nil
}

// SendHeaders sends initial metadata.
func SendHeaders(afterMs float64, fields ...string) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) {
		headers := []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
		call.Conn().HTTP2.Respond(call.Stream, append(headers, pairs(fields)...), false, call)
	}}
}

// pairs makes fields of alternating names and values.
func pairs(list []string) (fields []h2.Field) {
	for i := 0; i+1 < len(list); i += 2 {
		fields = append(fields, h2.Field{Name: list[i], Value: list[i+1]})
	}
	return fields
}

// SendMessage sends a message.
func SendMessage(afterMs float64, text string) Action { return SendBody(afterMs, EncodeMessage(text)) }

// SendBody sends bytes of a body, which need not be a gRPC message.
func SendBody(afterMs float64, data []byte) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) {
		call.pending = append(call.pending, data)
		call.Stream.Ready()
	}}
}

// SendTrailers ends the body with trailers that carry a gRPC status.
func SendTrailers(afterMs float64, status int, fields ...string) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) {
		call.trailers = append([]h2.Field{{Name: "grpc-status", Value: strconv.Itoa(status)}}, pairs(fields)...)
		call.ended = true
		call.Stream.Ready()
	}}
}

// EndWithoutTrailers ends the body without trailers.
func EndWithoutTrailers(afterMs float64) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) {
		call.ended = true
		call.Stream.Ready()
	}}
}

// SendTrailersOnly sends a gRPC status in the only header block of the response.
func SendTrailersOnly(afterMs float64, status int, fields ...string) Action {
	return SendHeadersOnly(afterMs, append([]string{":status", "200", "content-type", "application/grpc", "grpc-status",
		strconv.Itoa(status)}, fields...)...)
}

// SendHeadersOnly sends one header block that ends the stream.
func SendHeadersOnly(afterMs float64, fields ...string) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) { call.Conn().HTTP2.Respond(call.Stream, pairs(fields), true, nil) }}
}

// ResetStream resets the stream.
func ResetStream(afterMs float64, code http2.ErrCode) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) { call.Conn().HTTP2.ResetStream(call.Stream, code) }}
}

// Crash closes all connections of the server, as the exit of its process does.
func Crash(afterMs float64) Action {
	return Action{afterMs, func(s *Server, _ *ServerCall) {
		for _, c := range s.Conns {
			if !c.Dead {
				c.Kill()
			}
		}
	}}
}

// SendRawBytes writes bytes to the call's connection, past HTTP/2.
func SendRawBytes(afterMs float64, data []byte) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) {
		conn := call.Conn()
		conn.Flush()
		conn.Endpoint.Send(data)
	}}
}

// SendGoAway sends GOAWAY: the server processes no stream above last.
func SendGoAway(afterMs float64, last uint32, code http2.ErrCode) Action {
	return Action{afterMs, func(_ *Server, call *ServerCall) {
		conn := call.Conn()
		conn.Flush()
		conn.Endpoint.Send(GoAwayFrame(last, code))
	}}
}

// GoAwayFrame encodes a GOAWAY frame.
func GoAwayFrame(last uint32, code http2.ErrCode) []byte {
	b := []byte{0, 0, 8, byte(http2.FrameGoAway), 0, 0, 0, 0, 0}
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, last), uint32(code))
}

// Frame encodes a frame of any type.
func Frame(frameType http2.FrameType, flags byte, stream uint32, body []byte) []byte {
	size := len(body)
	b := []byte{byte(size >> 16), byte(size >> 8), byte(size), byte(frameType), flags}
	return append(binary.BigEndian.AppendUint32(b, stream), body...)
}
