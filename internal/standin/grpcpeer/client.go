package grpcpeer

import (
	"strconv"

	"golang.org/x/net/http2"

	"kestrelspread/internal/h2"
	"kestrelspread/internal/standin/simnet"
)

// statusUnknown is gRPC's status UNKNOWN, of a response without a status.
const statusUnknown = 2

// ClientCall is a call as a client makes it, and its result.
type ClientCall struct {
	Path       string
	TimeoutMs  float64 // of grpc-timeout; 0: not sent
	Fields     []string
	Body       [][]byte
	KeepsOpen  bool // the stream is half-closed by End, not after Body
	NeverReads bool // it grants no flow-control credit for the response

	StartedAtMs   float64
	Headers       []h2.Field
	ReceivedBody  []byte
	Trailers      []h2.Field
	Status        int // of gRPC; -1 until it has arrived
	HTTPStatus    string
	FinalStatuses int // ends of stream that arrived: more than one is a fault
	DoneAtMs      float64
	ResetBy       http2.ErrCode
	WasReset      bool
	ConnLost      bool // its connection closed before its end
	Canceled      bool // the client reset it
	SentBytes     int
	client        *Client
	stream        *h2.Stream
	pending       [][]byte
	halfClosed    bool
}

// Trailer returns the first trailer of that name, or "".
func (c *ClientCall) Trailer(name string) string {
	for _, f := range c.Trailers {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Done reports whether the call has ended.
func (c *ClientCall) Done() bool { return c.FinalStatuses > 0 || c.WasReset || c.ConnLost }

// Next implements h2.Source: the body of the request.
func (c *ClientCall) Next(maxBytes int) (chunk []byte, end bool, trailers []h2.Field) {
	if len(c.pending) > 0 {
		chunk = c.pending[0][:min(maxBytes, len(c.pending[0]))]
		c.pending[0] = c.pending[0][len(chunk):]
		if len(c.pending[0]) == 0 {
			c.pending = c.pending[1:]
		}
		c.SentBytes += len(chunk)
	}
	return chunk, len(c.pending) == 0 && c.halfClosed, nil
}

// Client is one connection of a gRPC client to the broker.
type Client struct {
	Network  *simnet.Network
	Endpoint *simnet.PeerConn
	HTTP2    *h2.Conn
	IsClosed bool
	Draining bool // GOAWAY was received
	waiting  []*ClientCall
	OnEnd    func(call *ClientCall)
}

// Dial connects to the broker's gRPC port.
func Dial(network *simnet.Network, port int) *Client {
	c := &Client{Network: network}
	c.HTTP2 = h2.New(false, h2.Limits{InitialWindowSize: 64 << 10, MaxHeaderListSize: 64 << 10,
		MaxResetsPerSecond: unlimitedRate, MaxControlFramesPerSecond: unlimitedRate}, c)
	c.Endpoint = network.Dial(port, (*clientPeer)(c))
	return c
}

// clientPeer is the Client as its connection's simnet.Peer.
type clientPeer Client

// Opened implements simnet.Peer: the broker has accepted the connection.
func (e *clientPeer) Opened(*simnet.PeerConn) {
	c := (*Client)(e)
	for _, call := range c.waiting {
		c.start(call)
	}
	c.waiting = nil
	c.Flush()
}

// Bytes implements simnet.Peer: bytes of the broker have arrived.
func (e *clientPeer) Bytes(_ *simnet.PeerConn, b []byte) {
	c := (*Client)(e)
	c.HTTP2.Feed(b, c.Network.NowMs)
	c.Flush()
}

// Closed implements simnet.Peer: the connection is closed, and its open calls are lost.
func (e *clientPeer) Closed(*simnet.PeerConn) {
	c := (*Client)(e)
	if c.IsClosed {
		return
	}
	c.IsClosed = true
	for _, call := range c.waiting {
		call.ConnLost, call.DoneAtMs = true, c.Network.NowMs
		c.notifyEnd(call)
	}
	for _, stream := range c.HTTP2.Streams() {
		call := stream.UserData.(*ClientCall)
		if !call.Done() {
			call.ConnLost, call.DoneAtMs = true, c.Network.NowMs
			c.notifyEnd(call)
		}
	}
}

// Close closes the connection from this side; its open calls are lost.
func (c *Client) Close() {
	c.Endpoint.Close()
	(*clientPeer)(c).Closed(c.Endpoint)
}

func (c *Client) notifyEnd(call *ClientCall) {
	if c.OnEnd != nil {
		c.OnEnd(call)
	}
}

// Flush sends all output that is pending.
func (c *Client) Flush() {
	if c.IsClosed || c.Endpoint.IsClosed() {
		return
	}
	c.HTTP2.Pump(maxPumpBytes)
	if b := c.HTTP2.TakeOutput(); len(b) > 0 {
		c.Endpoint.Send(b)
	}
}

// Call starts a call, once the connection is open, and returns it.
func (c *Client) Call(call *ClientCall) *ClientCall {
	call.Status, call.StartedAtMs, call.client = -1, c.Network.NowMs, c
	call.pending, call.halfClosed = call.Body, !call.KeepsOpen
	if c.Endpoint.OpenedAtMs() == 0 {
		c.waiting = append(c.waiting, call)
		return call
	}
	c.start(call)
	c.Flush()
	return call
}

func (c *Client) start(call *ClientCall) {
	call.StartedAtMs = c.Network.NowMs
	headers := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: call.Path},
		{Name: ":authority", Value: "api"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}}
	if call.TimeoutMs > 0 {
		headers = append(headers, h2.Field{Name: "grpc-timeout", Value: strconv.Itoa(int(call.TimeoutMs)) + "m"})
	}
	if !c.HTTP2.CanStartStream() {
		call.ConnLost, call.DoneAtMs = true, c.Network.NowMs
		c.notifyEnd(call)
		return
	}
	call.stream = c.HTTP2.StartStream(append(headers, pairs(call.Fields)...), call, call)
}

// Write sends more of the body of a call that KeepsOpen.
func (c *ClientCall) Write(b []byte) {
	c.pending = append(c.pending, b)
	if c.stream != nil {
		c.stream.Ready()
		c.client.Flush()
	}
}

// End half-closes the stream.
func (c *ClientCall) End() {
	c.halfClosed = true
	if c.stream != nil {
		c.stream.Ready()
		c.client.Flush()
	}
}

// Cancel resets the call's stream.
func (c *ClientCall) Cancel() {
	if !c.Done() && c.stream != nil {
		c.Canceled = true
		c.client.HTTP2.ResetStream(c.stream, http2.ErrCodeCancel)
		c.client.Flush()
	}
}

// HeadersReceived implements h2.Events: the first headers of a stream, or its trailers, have arrived.
func (c *Client) HeadersReceived(stream *h2.Stream, fields []h2.Field, end bool) {
	call := stream.UserData.(*ClientCall)
	fields = append([]h2.Field(nil), fields...)
	if stream.HeaderBlocks() == 1 {
		call.Headers = fields
		for _, f := range fields {
			if f.Name == ":status" {
				call.HTTPStatus = f.Value
			}
		}
	}
	if !end {
		return
	}
	call.Trailers = fields
	call.FinalStatuses++
	call.DoneAtMs = c.Network.NowMs
	call.Status = statusUnknown
	for _, f := range fields {
		if f.Name == "grpc-status" {
			call.Status, _ = strconv.Atoi(f.Value)
		}
	}
	c.notifyEnd(call)
}

// DataReceived implements h2.Events: bytes of a body have arrived.
func (c *Client) DataReceived(stream *h2.Stream, b []byte, end bool) {
	call := stream.UserData.(*ClientCall)
	call.ReceivedBody = append(call.ReceivedBody, b...)
	if !call.NeverReads {
		stream.Credit(len(b))
	}
	if end {
		call.FinalStatuses++
		call.DoneAtMs = c.Network.NowMs
		c.notifyEnd(call)
	}
}

// HeaderListTooLarge implements h2.Events: a block of headers was too large; it is ignored.
func (c *Client) HeaderListTooLarge(*h2.Stream) {}

// StreamReset implements h2.Events: the peer has reset a stream.
func (c *Client) StreamReset(stream *h2.Stream, code h2.ErrorCode) {
	call := stream.UserData.(*ClientCall)
	if call.FinalStatuses == 0 {
		call.WasReset, call.ResetBy, call.DoneAtMs = true, code, c.Network.NowMs
		c.notifyEnd(call)
	}
}

// StreamUnprocessed implements h2.Events: the peer has not processed a stream.
func (c *Client) StreamUnprocessed(stream *h2.Stream) {
	call := stream.UserData.(*ClientCall)
	call.WasReset, call.ResetBy, call.DoneAtMs = true, http2.ErrCodeRefusedStream, c.Network.NowMs
	c.notifyEnd(call)
}

// GoAwayReceived implements h2.Events: the peer takes no new streams.
func (c *Client) GoAwayReceived(h2.ErrorCode) { c.Draining = true }

// SettingsReceived implements h2.Events: the peer's settings have arrived; they are ignored.
func (c *Client) SettingsReceived() {}
