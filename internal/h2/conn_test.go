package h2

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"golang.org/x/net/http2"
)

// side is one side of a connection. A server's echoes the bodies that it gets.
type side struct {
	t              testing.TB
	conn           *Conn
	rng            *rand.Rand
	received       map[uint32]*bytes.Buffer
	headerBlocks   map[uint32]int
	ended          map[uint32]bool
	resets         map[uint32]ErrorCode
	bodies         map[uint32]*body
	uncredited     map[*Stream]int
	goAwayReceived bool
}

// body is a DataSource that a test fills.
type body struct {
	data     []byte
	end      bool
	trailers []Field
}

func (s *body) Next(maxBytes int) ([]byte, bool, []Field) {
	n := min(maxBytes, len(s.data))
	out := s.data[:n:n]
	s.data = s.data[n:]
	return out, s.end && len(s.data) == 0, s.trailers
}

func newSide(t testing.TB, server bool, rng *rand.Rand, limits Limits) *side {
	s := &side{t: t, rng: rng, received: map[uint32]*bytes.Buffer{}, headerBlocks: map[uint32]int{}, ended: map[uint32]bool{},
		resets: map[uint32]ErrorCode{}, bodies: map[uint32]*body{}, uncredited: map[*Stream]int{}}
	s.conn = New(server, limits, s)
	return s
}

func (s *side) HeadersReceived(st *Stream, _ []Field, end bool) {
	s.headerBlocks[st.ID]++
	if s.received[st.ID] == nil {
		s.received[st.ID] = &bytes.Buffer{}
	}
	if s.conn.server && s.headerBlocks[st.ID] == 1 {
		b := &body{trailers: []Field{{Name: "x-end", Value: "1"}}}
		s.bodies[st.ID] = b
		s.conn.Respond(st, []Field{{Name: ":status", Value: "200"}}, false, b)
	}
	s.end(st, end)
}

func (s *side) end(st *Stream, end bool) {
	if end {
		s.ended[st.ID] = true
		if b := s.bodies[st.ID]; b != nil && s.conn.server {
			b.end = true
			st.Ready()
		}
	}
}

func (s *side) DataReceived(st *Stream, b []byte, end bool) {
	s.received[st.ID].Write(b)
	s.uncredited[st] += len(b)
	if s.uncredited[st] > s.conn.limits.InitialWindowSize {
		s.t.Fatalf("%d bytes of a stream with a window of %d", s.uncredited[st], s.conn.limits.InitialWindowSize)
	}
	if s.conn.server {
		s.bodies[st.ID].data = append(s.bodies[st.ID].data, b...)
		st.Ready()
	}
	s.end(st, end)
}

func (s *side) HeaderListTooLarge(_ *Stream)           {}
func (s *side) StreamReset(st *Stream, code ErrorCode) { s.resets[st.ID] = code }
func (s *side) StreamUnprocessed(st *Stream)           { s.resets[st.ID] = http2.ErrCodeRefusedStream }
func (s *side) GoAwayReceived(ErrorCode)               { s.goAwayReceived = true }
func (s *side) SettingsReceived()                      {}

// transfer hands over what one side writes, in pieces of any size.
func transfer(source, destination *side, maxOutput int) error {
	source.conn.Pump(maxOutput)
	b := append([]byte(nil), source.conn.TakeOutput()...)
	for len(b) > 0 {
		n := 1 + source.rng.IntN(len(b))
		if err := destination.conn.Feed(b[:n], 0); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func TestStreamsArriveCompleteForAnyFragmentsAndWindows(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		limits := func() Limits {
			return Limits{
				MaxConcurrentStreams:      1 + rng.IntN(8),
				InitialWindowSize:         64 + rng.IntN(1<<uint(1+rng.IntN(17))),
				MaxHeaderListSize:         32 << 10,
				MaxResetsPerSecond:        1000,
				MaxControlFramesPerSecond: 1 << 30,
			}
		}
		server, client := newSide(t, true, rng, limits()), newSide(t, false, rng, limits())
		sent := map[uint32][]byte{}
		for step := 0; step < 40000; step++ {
			mayStart := len(sent) < 20 && client.conn.SettingsReceived() && client.conn.CanStartStream() &&
				client.conn.localStreams < server.conn.limits.MaxConcurrentStreams
			if mayStart && rng.IntN(3) == 0 {
				b := make([]byte, rng.IntN(1<<uint(rng.IntN(17))))
				for i := range b {
					b[i] = byte(rng.Uint32())
				}
				fields := []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"},
					{Name: "x-long", Value: string(bytes.Repeat([]byte("v"), rng.IntN(20000)))}}
				st := client.conn.StartStream(fields, &body{data: b, end: true}, nil)
				sent[st.ID] = b
			}
			for _, s := range []*side{server, client} {
				for _, st := range s.conn.Streams() {
					if n := s.uncredited[st]; n > 0 && rng.IntN(2) == 0 {
						n = 1 + rng.IntN(n)
						s.uncredited[st] -= n
						st.Credit(n)
					}
				}
			}
			if err := transfer(client, server, 1+rng.IntN(20000)); err != nil {
				t.Fatal(seed, err)
			}
			if err := transfer(server, client, 1+rng.IntN(20000)); err != nil {
				t.Fatal(seed, err)
			}
			if len(sent) == 20 && len(client.ended) == 20 {
				break
			}
		}
		for id, b := range sent {
			if !client.ended[id] || !bytes.Equal(client.received[id].Bytes(), b) || client.headerBlocks[id] != 2 {
				t.Fatalf("seed %d: stream %d: %d bytes echoed of %d, ended %v, reset %v", seed, id, client.received[id].Len(), len(b),
					client.ended[id], client.resets)
			}
		}
		if server.conn.OpenStreams()+client.conn.OpenStreams() != 0 {
			t.Fatalf("seed %d: %d and %d streams are open", seed, server.conn.OpenStreams(), client.conn.OpenStreams())
		}
	}
}

func TestStalledStreamLeavesConnectionWindowToOthers(t *testing.T) {
	// One stream stalls with its window full; another sends more than the connection's window.
	rng := rand.New(rand.NewPCG(1, 1))
	limits := Limits{MaxConcurrentStreams: 10, InitialWindowSize: 512 << 10, MaxHeaderListSize: 8 << 10, MaxResetsPerSecond: 10, MaxControlFramesPerSecond: 1000}
	server, client := newSide(t, true, rng, limits), newSide(t, false, rng, limits)
	head := []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"}}
	for range 3 {
		transfer(client, server, 1<<20)
		transfer(server, client, 1<<20)
	}
	stalled := client.conn.StartStream(head, &body{data: make([]byte, 2<<20)}, nil)
	for range 20 {
		transfer(client, server, 1<<20)
		transfer(server, client, 1<<20)
	}
	moving := client.conn.StartStream(head, &body{data: make([]byte, 4<<20), end: true}, nil)
	for range 200 {
		transfer(client, server, 1<<20)
		for _, st := range server.conn.Streams() {
			if st.ID == moving.ID {
				st.Credit(server.uncredited[st])
				server.uncredited[st] = 0
			}
		}
		transfer(server, client, 1<<20)
		for _, st := range client.conn.Streams() {
			st.Credit(client.uncredited[st])
			client.uncredited[st] = 0
		}
	}
	if n := server.received[moving.ID].Len(); n != 4<<20 {
		t.Errorf("%d bytes of the moving stream", n)
	}
	if n := server.received[stalled.ID].Len(); n != 512<<10 {
		t.Errorf("%d bytes of the stalled stream", n)
	}
}

func TestProtocolViolationsEndStreamOrConnection(t *testing.T) {
	frame := func(kind http2.FrameType, flags byte, stream uint32, body ...byte) []byte {
		n := len(body)
		return append([]byte{byte(n >> 16), byte(n >> 8), byte(n), byte(kind), flags, byte(stream >> 24), byte(stream >> 16),
			byte(stream >> 8), byte(stream)}, body...)
	}
	hello := append([]byte(http2.ClientPreface), frame(http2.FrameSettings, 0, 0)...)
	get := []byte{0x83, 0x86, 0x84} // POST, http, /
	for _, r := range []struct {
		name string
		send [][]byte
		code ErrorCode // of the connection; noError: it goes on
		rst  bool      // the stream is reset
	}{
		{"a valid request", [][]byte{frame(http2.FrameHeaders, 5, 1, get...)}, noError, false},
		{"a request without path", [][]byte{frame(http2.FrameHeaders, 5, 1, 0x83, 0x86)}, noError, true},
		{"a status in a request", [][]byte{frame(http2.FrameHeaders, 5, 1, 0x83, 0x86, 0x84, 0x88)}, noError, true},
		{"upper case", [][]byte{frame(http2.FrameHeaders, 5, 1, append(get[:3:3], 0, 1, 'A', 1, 'x')...)}, noError, true},
		{"connection", [][]byte{frame(http2.FrameHeaders, 5, 1, append(append(get[:3:3], 0, 10), "connection\x01x"...)...)}, noError, true},
		{"a line feed in a value", [][]byte{frame(http2.FrameHeaders, 5, 1, append(get[:3:3], 0, 1, 'a', 1, '\n')...)}, noError, true},
		{"data after the end", [][]byte{frame(http2.FrameHeaders, 5, 1, get...), frame(http2.FrameData, 0, 1, 'x')}, noError, true},
		{"a stream with a lower identifier", [][]byte{frame(http2.FrameHeaders, 5, 3, get...), frame(http2.FrameHeaders, 5, 1, get...)}, noError, false},
		{"stream 0", [][]byte{frame(http2.FrameHeaders, 5, 0, get...)}, http2.ErrCodeProtocol, false},
		{"data on stream 0", [][]byte{frame(http2.FrameData, 0, 0, 'x')}, http2.ErrCodeProtocol, false},
		{"another frame within a header block", [][]byte{frame(http2.FrameHeaders, 1, 1, get...), frame(http2.FramePing, 0, 0, make([]byte, 8)...)}, http2.ErrCodeProtocol, false},
		{"CONTINUATION without HEADERS", [][]byte{frame(http2.FrameContinuation, 4, 1, get...)}, http2.ErrCodeProtocol, false},
		{"a PING of 7 bytes", [][]byte{frame(http2.FramePing, 0, 0, make([]byte, 7)...)}, http2.ErrCodeFrameSize, false},
		{"a window update of 0", [][]byte{frame(http2.FrameWindowUpdate, 0, 0, 0, 0, 0, 0)}, http2.ErrCodeProtocol, false},
		{"a window update of 0 on a stream", [][]byte{frame(http2.FrameHeaders, 4, 1, get...), frame(http2.FrameWindowUpdate, 0, 1, 0, 0, 0, 0)}, noError, true},
		{"reset of an idle stream", [][]byte{frame(http2.FrameRSTStream, 0, 1, 0, 0, 0, 0)}, http2.ErrCodeProtocol, false},
		{"padding longer than the frame", [][]byte{frame(http2.FrameData, 8, 1, 9, 'x')}, http2.ErrCodeProtocol, false},
		{"an initial window over the maximum", [][]byte{frame(http2.FrameSettings, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff)}, http2.ErrCodeFlowControl, false},
		{"a frame of an unknown type", [][]byte{frame(0xcc, 0, 0, 'x')}, noError, false},
	} {
		s := newSide(t, true, rand.New(rand.NewPCG(1, 1)), Limits{MaxConcurrentStreams: 10, InitialWindowSize: 1 << 16, MaxHeaderListSize: 8 << 10, MaxResetsPerSecond: 10, MaxControlFramesPerSecond: 100})
		err := s.conn.Feed(hello, 0)
		for _, b := range r.send {
			if err == nil {
				err = s.conn.Feed(b, 0)
			}
		}
		code := noError
		if e, ok := err.(*ConnectionError); ok {
			code = e.Code
		}
		// A value over what SETTINGS allow is answered by the framer's own code or by PROTOCOL_ERROR.
		if code != r.code && !(r.code == http2.ErrCodeFlowControl && code == http2.ErrCodeProtocol) {
			t.Errorf("%s: %v, want %v", r.name, err, r.code)
		}
		s.conn.Pump(1 << 20)
		rst := bytes.Contains(s.conn.TakeOutput(), []byte{0, 0, 4, byte(http2.FrameRSTStream), 0})
		if rst != r.rst {
			t.Errorf("%s: reset %v", r.name, rst)
		}
	}
}

// noError stands for a connection that goes on.
const noError ErrorCode = 1 << 30

func FuzzFeed(f *testing.F) {
	f.Add([]byte(http2.ClientPreface), true)
	f.Add(append([]byte(http2.ClientPreface), 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 3, 1, 5, 0, 0, 0, 1, 0x83, 0x86, 0x84), true)
	f.Add([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}, false)
	f.Fuzz(func(t *testing.T, b []byte, server bool) {
		s := newSide(t, server, rand.New(rand.NewPCG(1, 1)), Limits{MaxConcurrentStreams: 4, InitialWindowSize: 1 << 10, MaxHeaderListSize: 1 << 10, MaxResetsPerSecond: 10, MaxControlFramesPerSecond: 50})
		if !server {
			s.conn.Feed([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}, 0)
			s.conn.StartStream([]Field{{Name: ":method", Value: "POST"}}, &body{data: make([]byte, 100), end: true}, nil)
		}
		for len(b) > 0 {
			n := min(len(b), 1+int(b[0])%16)
			if s.conn.Feed(b[:n], 0) != nil {
				break
			}
			s.conn.Pump(1 << 12)
			if n := len(s.conn.TakeOutput()); n > 1<<16 {
				t.Fatal(n, "bytes out for a few in")
			}
			b = b[n:]
		}
		if s.conn.OpenStreams() > 5 {
			t.Fatal(fmt.Sprint(s.conn.OpenStreams(), " streams"))
		}
	})
}
