package h2

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// frameLog collects the bytes that a connection writes, by the call that had it write them.
type frameLog struct {
	t    *testing.T
	text strings.Builder
}

// add pumps a connection and logs what it writes then.
func (l *frameLog) add(what string, conn *Conn) []byte {
	l.t.Helper()
	conn.Pump(1 << 20)
	written := append([]byte(nil), conn.TakeOutput()...)
	fmt.Fprintf(&l.text, "%s: %s\n", what, hex.EncodeToString(written))
	return written
}

// pass has one side read what the other has written.
func (l *frameLog) pass(written []byte, destination *Conn) {
	l.t.Helper()
	assert.NilError(l.t, destination.Feed(written, 0))
}

func goldenLimits() Limits {
	return Limits{MaxConcurrentStreams: 3, InitialWindowSize: 1 << 10, MaxHeaderListSize: 32 << 10, MaxResetsPerSecond: 1, MaxControlFramesPerSecond: 20}
}

// TestFramesKeepTheirBytes freezes each kind of frame and header block that a connection writes.
func TestFramesKeepTheirBytes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	log := &frameLog{t: t}
	server, client := newSide(t, true, rng, goldenLimits()), newSide(t, false, rng, goldenLimits())

	fromClient := log.add("client preface", client.conn)
	fromServer := log.add("server preface", server.conn)
	log.pass(fromClient, server.conn)
	log.pass(fromServer, client.conn)
	log.pass(log.add("server acknowledges", server.conn), client.conn)
	log.pass(log.add("client acknowledges", client.conn), server.conn)

	request := []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"},
		{Name: "te", Value: "trailers"}}
	client.conn.StartStream(request, &body{data: []byte("question"), end: true}, nil)
	log.pass(log.add("request", client.conn), server.conn)
	log.pass(log.add("response with trailers", server.conn), client.conn)

	long := append(request[:len(request):len(request)], Field{Name: "x-long", Value: strings.Repeat("\x7f", 20000)})
	client.conn.StartStream(long, &body{data: make([]byte, 900)}, nil)
	log.pass(log.add("request with CONTINUATION", client.conn), server.conn)
	log.add("response that goes on", server.conn)
	second := server.conn.Streams()[0]
	second.Credit(900)
	log.add("window update", server.conn)
	server.conn.EndWithTrailers(second, []Field{{Name: "grpc-status", Value: "4"}})
	log.pass(log.add("trailers at once", server.conn), client.conn)

	third := client.conn.StartStream(request, &body{}, nil)
	log.pass(log.add("third request", client.conn), server.conn)
	client.conn.ResetStream(third, http2.ErrCodeCancel)
	log.pass(log.add("reset", client.conn), server.conn)
	client.conn.StartStream(request, &body{}, nil)
	log.pass(log.add("fourth request", client.conn), server.conn)
	server.conn.Respond(server.conn.Streams()[0], []Field{{Name: ":status", Value: "405"}}, true, nil)
	server.conn.Ping()
	log.pass(log.add("ping", server.conn), client.conn)
	log.pass(log.add("ping acknowledged", client.conn), server.conn)
	server.conn.StartGracefulShutdown()
	log.pass(log.add("graceful GOAWAY", server.conn), client.conn)
	server.conn.GoAway(http2.ErrCodeNo)
	log.add("last GOAWAY", server.conn)

	golden.Assert(t, log.text.String(), "golden/frames.txt")
}

// goldenFrame builds a frame by hand.
func goldenFrame(kind http2.FrameType, flags byte, stream uint32, payload ...byte) []byte {
	size := len(payload)
	header := []byte{byte(size >> 16), byte(size >> 8), byte(size), byte(kind), flags, byte(stream >> 24),
		byte(stream >> 16), byte(stream >> 8), byte(stream)}
	return append(header, payload...)
}

// TestAnswersToBrokenPeersKeepTheirBytes freezes the GOAWAY and RST_STREAM frames that a peer gets
// for what it does wrong: the reason is on the wire too, as debug data.
func TestAnswersToBrokenPeersKeepTheirBytes(t *testing.T) {
	hello := append([]byte(http2.ClientPreface), goldenFrame(http2.FrameSettings, 0, 0)...)
	hello = hello[:len(hello):len(hello)] // appends copy
	get := []byte{0x83, 0x86, 0x84}       // POST, http, /
	headers := goldenFrame(http2.FrameHeaders, 5, 1, get...)
	open := goldenFrame(http2.FrameHeaders, 4, 1, get...)
	widest := []byte{0x7f, 0xff, 0xff, 0xff}
	repeat := func(frame []byte, n int) []byte { return []byte(strings.Repeat(string(frame), n)) }
	requests := func(n int, block ...byte) (frames []byte) {
		for i := range n {
			frames = append(frames, goldenFrame(http2.FrameHeaders, 4, uint32(2*i+1), block...)...)
		}
		return frames
	}
	var text strings.Builder
	for _, c := range []struct {
		name   string
		client bool // the connection under test is a client's
		frames []byte
	}{
		{"no preface", false, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"no SETTINGS first", false, append([]byte(http2.ClientPreface), goldenFrame(http2.FramePing, 0, 0, make([]byte, 8)...)...)},
		{"too long", false, append(hello, goldenFrame(http2.FrameData, 0, 1, make([]byte, 17<<10)...)...)},
		{"too long in pieces", false, append(hello, 0xff, 0xff, 0xff)},
		{"unreadable", false, append(hello, goldenFrame(http2.FramePing, 0, 0, make([]byte, 7)...)...)},
		{"idle window update of nothing", false, append(hello, goldenFrame(http2.FrameWindowUpdate, 0, 1, 0, 0, 0, 0)...)},
		{"window update of nothing", false, append(append(hello, open...), goldenFrame(http2.FrameWindowUpdate, 0, 1, 0, 0, 0, 0)...)},
		{"push", true, append(goldenFrame(http2.FrameSettings, 0, 0), goldenFrame(http2.FramePushPromise, 4, 1, 0, 0, 0, 2, 0x88)...)},
		{"push to a server", false, append(hello, goldenFrame(http2.FramePushPromise, 4, 1, 0, 0, 0, 2, 0x88)...)},
		{"pings", false, append(hello, repeat(goldenFrame(http2.FramePing, 0, 0, make([]byte, 8)...), 30)...)},
		{"headers from a server", true, append(goldenFrame(http2.FrameSettings, 0, 0), goldenFrame(http2.FrameHeaders, 5, 2, 0x88)...)},
		{"endless header block", false, append(append(hello, goldenFrame(http2.FrameHeaders, 1, 1, get...)...),
			repeat(goldenFrame(http2.FrameContinuation, 0, 1, make([]byte, 16<<10)...), 4)...)},
		{"empty CONTINUATION", false, append(append(hello, goldenFrame(http2.FrameHeaders, 1, 1, get...)...),
			repeat(goldenFrame(http2.FrameContinuation, 0, 1), 30)...)},
		{"unreadable header block", false, append(hello, goldenFrame(http2.FrameHeaders, 5, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)...)},
		{"even stream", false, append(hello, goldenFrame(http2.FrameHeaders, 5, 2, get...)...)},
		{"refused stream", false, append(hello, requests(4, get...)...)},
		{"refused streams", false, append(hello, requests(6, get...)...)},
		{"malformed requests", false, append(hello, requests(4, 0x83)...)},
		{"headers after the end", false, append(append(hello, headers...), headers...)},
		{"request trailers without the end", false, append(append(hello, open...), open...)},
		{"data without a stream", false, append(hello, goldenFrame(http2.FrameData, 0, 1, 'x')...)},
		{"data after the end", false, append(append(hello, headers...), goldenFrame(http2.FrameData, 0, 1, 'x')...)},
		{"over the stream's window", false, append(append(hello, open...), goldenFrame(http2.FrameData, 0, 1, make([]byte, 1025)...)...)},
		{"setting out of range", false, append(hello, goldenFrame(http2.FrameSettings, 0, 0, 0, 2, 0, 0, 0, 7)...)},
		{"initial window over the range", false, append(append(append(hello, open...), goldenFrame(http2.FrameWindowUpdate, 0, 1, 0, 0, 0, 9)...),
			goldenFrame(http2.FrameSettings, 0, 0, append([]byte{0, 4}, widest...)...)...)},
		{"reset of an idle stream", false, append(hello, goldenFrame(http2.FrameRSTStream, 0, 1, 0, 0, 0, 8)...)},
		{"connection window over the range", false, append(hello, repeat(goldenFrame(http2.FrameWindowUpdate, 0, 0, widest...), 2)...)},
		{"stream window over the range", false, append(append(hello, open...), repeat(goldenFrame(http2.FrameWindowUpdate, 0, 1, widest...), 2)...)},
		{"window of an idle stream", false, append(hello, goldenFrame(http2.FrameWindowUpdate, 0, 1, widest...)...)},
		{"GOAWAY", true, append(goldenFrame(http2.FrameSettings, 0, 0), goldenFrame(http2.FrameGoAway, 0, 0, make([]byte, 8)...)...)},
	} {
		s := newSide(t, !c.client, rand.New(rand.NewPCG(1, 1)), goldenLimits())
		s.conn.TakeOutput()
		err := s.conn.Feed(c.frames, 0)
		fmt.Fprintf(&text, "%s: %v: %s\n", c.name, err, hex.EncodeToString(s.conn.TakeOutput()))
	}
	golden.Assert(t, text.String(), "golden/violations.txt")
}
