package grpcproxy

import (
	"bytes"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"kestrelspread/internal/routes"
	p "kestrelspread/internal/standin/grpcpeer"
	"kestrelspread/internal/standin/simnet"
)

func TestCancelledCallReleasesEverything(t *testing.T) {
	s := newHarness(t, 10, 2, "")
	s.scriptAll(func(_ *p.ServerCall) []p.Action {
		return acts(p.SendHeaders(1), p.SendMessage(0, strings.Repeat("m", 30<<10)), p.SendMessage(20, strings.Repeat("n", 60<<10)), p.SendMessage(500, "x"), p.SendTrailers(0, 0))
	})
	c := p.Dial(s.world, 1)
	half := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(10)
	at := s.world.NowMs
	half.Cancel()
	s.world.Run(5)
	for _, v := range s.servers {
		for _, k := range v.Calls {
			if !k.WasReset || k.ResetAtMs > at+2 {
				t.Errorf("the server heard of it at %.1f, the client left at %.1f", k.ResetAtMs, at)
			}
		}
	}
	if s.proxy.openCalls != 0 || s.proxy.bufferedBytes != 0 {
		t.Errorf("%d open, %d bytes buffered", s.proxy.openCalls, s.proxy.bufferedBytes)
	}
	// And with its connection.
	c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(10)
	s.closeAndCheck(c)
	if s.proxy.Counters.ClientCancelled != 2 {
		t.Error("left:", s.proxy.Counters.ClientCancelled)
	}
}

func TestStalledClientGetsStatusBeforeDeadline(t *testing.T) {
	// The server's messages fill the client's window and the server's own; the rest of the response waits
	// there. The status needs no window.
	s := newHarness(t, 11, 2, "")
	s.scriptAll(func(_ *p.ServerCall) []p.Action {
		list := acts(p.SendHeaders(1))
		for range 20 {
			list = append(list, p.SendMessage(1, strings.Repeat("m", 30<<10)))
		}
		return append(list, p.SendTrailers(0, 0))
	})
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 600, NeverReads: true, Body: [][]byte{p.EncodeMessage("q")}})
	b := c.Call(&p.ClientCall{Path: quickAtEnd, TimeoutMs: 600, NeverReads: true, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(300)
	if s.proxy.bufferedBytes > 2*(64<<10+32<<10) {
		t.Errorf("%d bytes buffered for two calls", s.proxy.bufferedBytes)
	}
	s.world.Run(700)
	for _, a := range []*p.ClientCall{a, b} {
		if a.FinalStatuses != 1 || a.Status != 4 || a.DoneAtMs > a.StartedAtMs+600 {
			t.Errorf("%d finals, status %d after %.1f ms", a.FinalStatuses, a.Status, a.DoneAtMs-a.StartedAtMs)
		}
	}
	s.closeAndCheck(c)
}

func TestInvalidCallsAreRejected(t *testing.T) {
	s := newHarness(t, 20, 2, "", append(testRoutes(), &routes.Route{Name: "by key", Service: "shards", DefaultTimeout: 500, MaxTimeout: 500,
		MaxMessageBytes: 1 << 10, Shard: routes.ShardRule{MetadataKey: "x-shard"}})...)
	c := p.Dial(s.world, 1)
	for _, r := range []struct {
		name   string
		ask    p.ClientCall
		status int
	}{
		{"no route", p.ClientCall{Path: "/none/Get"}, 12},
		{"a time that can't be read", p.ClientCall{Path: quickPath, Fields: []string{"grpc-timeout", "soon"}}, 3},
		{"no time", p.ClientCall{Path: quickPath, Fields: []string{"grpc-timeout", "0n"}}, 4},
		{"no shard", p.ClientCall{Path: "/shards/Get"}, 3},
		{"a shard that is none", p.ClientCall{Path: "/shards/Get", Fields: []string{"x-shard", "4"}}, 3},
		{"a shard", p.ClientCall{Path: "/shards/Get", Fields: []string{"x-shard", "3"}}, 0},
		{"a message over the limit", p.ClientCall{Path: "/shards/Get", Fields: []string{"x-shard", "3"}, Body: [][]byte{p.EncodeMessage(strings.Repeat("x", 2<<10))}}, 8},
		{"a wrong flag", p.ClientCall{Path: quickPath, Body: [][]byte{{9, 0, 0, 0, 0}}}, 13},
		{"half a message", p.ClientCall{Path: quickPath, Body: [][]byte{{0, 0, 0, 0, 5, 1}}}, 13},
		{"metadata over the limit", p.ClientCall{Path: quickPath, Fields: []string{"x-big", strings.Repeat("y", 9<<10)}}, 8},
		{"a huge time", p.ClientCall{Path: quickPath, Fields: []string{"grpc-timeout", "99999999H"}}, 0},
	} {
		a := c.Call(&r.ask)
		s.world.Run(300)
		if a.Status != r.status || a.FinalStatuses != 1 {
			t.Errorf("%s: %d finals, status %d, want %d", r.name, a.FinalStatuses, a.Status, r.status)
		}
	}
	for _, v := range s.servers {
		for _, k := range v.Calls {
			if k.Header("x-big") != "" {
				t.Error("passed on")
			}
		}
	}
	s.closeAndCheck(c)
}

// TestMetadataOfCallsIsLimited: it counted nowhere, so that calls that no server answers held the metadata of a thousand.
func TestMetadataOfCallsIsLimited(t *testing.T) {
	s := newHarness(t, 23, 2, "")
	s.settings.Limits.MaxBufferedBytes = 64 << 10
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return nil })
	c := p.Dial(s.world, 1)
	metadata := []string{"x-filler", strings.Repeat("y", 7<<10)}
	for range 20 {
		c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Fields: metadata, Body: [][]byte{p.EncodeMessage("q")}})
	}
	s.world.Run(100)
	if s.proxy.metadataBytes > 64<<10/metadataDivisor+8<<10 || s.proxy.Counters.OverBufferLimit < 10 {
		t.Errorf("%d bytes of metadata, %d calls rejected", s.proxy.metadataBytes, s.proxy.Counters.OverBufferLimit)
	}
	s.world.Run(1500)
	s.closeAndCheck(c)
	if s.proxy.metadataBytes != 0 {
		t.Errorf("%d bytes of metadata of no call", s.proxy.metadataBytes)
	}
}

func TestCallsAndBufferedBytesAreLimited(t *testing.T) {
	s := newHarness(t, 21, 2, "")
	s.settings.Limits.MaxCalls, s.settings.Limits.MaxCallsPerCustomer = 10, 6
	for _, v := range s.servers {
		v.Limits = h2Limits(100)
		v.Limits.InitialWindowSize = 4 << 10
	}
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(60, 0)) })
	c := p.Dial(s.world, 1)
	var calls []*p.ClientCall
	for range 12 {
		calls = append(calls, c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}}))
	}
	s.world.Run(800)
	ok, over := 0, 0
	for _, a := range calls {
		if a.Status == 0 {
			ok++
		} else if a.Status == 8 && a.Trailer("grpc-retry-pushback-ms") != "" && a.DoneAtMs < a.StartedAtMs+10 {
			over++
		}
	}
	if ok != 6 || over != 6 {
		t.Errorf("%d answered, %d over the limit", ok, over)
	}
	// Bodies that no server reads are bounded all together, not only each.
	s.settings.Limits.MaxCallsPerCustomer, s.settings.Limits.MaxBufferedBytes = 0, 256<<10
	for _, v := range s.servers {
		v.NeverReads, v.ActsOnHeaders = true, true
		v.Script = func(*p.ServerCall) []p.Action { return nil }
	}
	for range 10 {
		c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, KeepsOpen: true, Body: [][]byte{p.EncodeMessage(strings.Repeat("x", 60<<10))}})
		s.world.Run(5)
	}
	if s.proxy.bufferedBytes > 256<<10 || s.proxy.Counters.OverBufferLimit == 0 {
		t.Errorf("%d bytes buffered, %d rejected; %+v", s.proxy.bufferedBytes, s.proxy.Counters.OverBufferLimit, s.proxy.Counters)
	}
	s.world.Run(1000)
	s.closeAndCheck(c)
}

func TestClientsThatViolateTheProtocolAreClosed(t *testing.T) {
	preface := []byte(http2.ClientPreface)
	settings := p.Frame(http2.FrameSettings, 0, 0, nil)
	hello := append(append([]byte(nil), preface...), settings...)
	hello = hello[:len(hello):len(hello)]
	headers := func(flags byte, id uint32, n int) []byte {
		return p.Frame(http2.FrameHeaders, flags, id, make([]byte, n))
	}
	invalid := func(n int) (b []byte) { // each starts an invalid stream
		for i := range n {
			b = append(b, p.Frame(http2.FrameHeaders, 4, uint32(2*i+1), []byte{0x83, 0x86})...)
		}
		return b
	}
	repeat := func(b []byte, n int) []byte { return bytes.Repeat(b, n) }
	for _, r := range []struct {
		name   string
		send   []byte
		within float64
	}{
		{"silence", nil, 2200},
		{"a part of the preface", preface[:10], 2200},
		{"HTTP/1.1", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 50},
		{"no SETTINGS first", append(append([]byte(nil), preface...), p.Frame(http2.FramePing, 0, 0, make([]byte, 8))...), 50},
		{"a flood of SETTINGS", append(hello, repeat(settings, 500)...), 50},
		{"a flood of PING", append(hello, repeat(p.Frame(http2.FramePing, 0, 0, make([]byte, 8)), 500)...), 50},
		{"a flood of PRIORITY", append(hello, repeat(p.Frame(http2.FramePriority, 0, 1, make([]byte, 5)), 500)...), 50},
		{"endless CONTINUATION", append(append(hello, headers(0, 1, 100)...), repeat(p.Frame(http2.FrameContinuation, 0, 1, make([]byte, 1000)), 200)...), 50},
		{"empty CONTINUATION", append(append(hello, headers(0, 1, 1)...), repeat(p.Frame(http2.FrameContinuation, 0, 1, nil), 500)...), 50},
		{"a flood of invalid requests", append(hello, invalid(300)...), 50},
		{"a part of a header block", append(hello, headers(0, 1, 100)...), 1300},
		{"a part of a frame", append(hello, 0, 0, 9, 0, 0), 1300},
		{"a frame that is too long", append(hello, p.Frame(http2.FrameData, 0, 1, make([]byte, 20<<10))...), 50},
		{"data on no stream", append(hello, p.Frame(http2.FrameData, 0, 1, []byte("x"))...), 50},
		{"an even stream", append(hello, p.Frame(http2.FrameHeaders, 5, 2, []byte{0x88})...), 50},
		{"a window over the maximum", append(append(hello, p.Frame(http2.FrameWindowUpdate, 0, 0, []byte{0x7f, 255, 255, 255})...),
			p.Frame(http2.FrameWindowUpdate, 0, 0, []byte{0x7f, 255, 255, 255})...), 50},
		{"a header block that can't be read", append(hello, p.Frame(http2.FrameHeaders, 5, 1, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff})...), 50},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := newHarness(t, 22, 2, "")
			good := p.Dial(s.world, 1)
			got := &recordingPeer{}
			e := s.world.Dial(1, got)
			s.world.Run(2)
			at := s.world.NowMs
			e.Send(r.send)
			a := good.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
			s.world.Run(r.within)
			if got.closed == 0 || got.closed > at+r.within {
				t.Errorf("not closed after %.0f ms", r.within)
			}
			if a.Status != 0 || a.DoneAtMs > a.StartedAtMs+20 {
				t.Errorf("another client: status %d after %.1f ms", a.Status, a.DoneAtMs-a.StartedAtMs)
			}
			s.closeAndCheck(good)
		})
	}
}

// recordingPeer keeps what comes and when it was closed.
type recordingPeer struct {
	got    []byte
	closed float64
}

func (r *recordingPeer) Opened(*simnet.PeerConn) {}

func (r *recordingPeer) Bytes(_ *simnet.PeerConn, b []byte) { r.got = append(r.got, b...) }

func (r *recordingPeer) Closed(e *simnet.PeerConn) { r.closed = e.Now() }

func TestRapidResetsCloseTheConnection(t *testing.T) {
	s := newHarness(t, 23, 2, "")
	c := p.Dial(s.world, 1)
	s.world.Run(2)
	for i := range 400 {
		a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, KeepsOpen: true})
		a.Cancel()
		if i%10 == 9 {
			s.world.Run(1)
		}
	}
	s.world.Run(50)
	if !c.Draining || s.proxy.Counters.ProtocolErrors != 1 {
		t.Errorf("still open after 400 resets; %d protocol errors", s.proxy.Counters.ProtocolErrors)
	}
	if s.proxy.Counters.Calls > 120 {
		t.Errorf("%d calls were processed", s.proxy.Counters.Calls)
	}
	s.closeAndCheck(c)
}

func TestOneConnectionCannotUseTheWholeBuffer(t *testing.T) {
	s := newHarness(t, 24, 2, "")
	s.settings.Limits.MaxBufferedBytesPerConnection = 100 << 10
	for _, v := range s.servers {
		v.Limits = h2Limits(100)
		v.Limits.InitialWindowSize = 4 << 10
		v.NeverReads = true
		v.Script = func(*p.ServerCall) []p.Action { return nil }
	}
	greedy, other := p.Dial(s.world, 1), p.Dial(s.world, 1)
	var calls []*p.ClientCall
	for range 6 {
		calls = append(calls, greedy.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, KeepsOpen: true, Body: [][]byte{p.EncodeMessage(strings.Repeat("x", 50<<10))}}))
	}
	s.world.Run(20)
	over := 0
	for _, a := range calls {
		if a.Status == 8 {
			over++
		}
	}
	if over < 3 || s.proxy.bufferedBytes > 100<<10 {
		t.Errorf("%d of 6 rejected, %d bytes buffered", over, s.proxy.bufferedBytes)
	}
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(1, 0)) })
	if a := other.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900}); true {
		s.world.Run(50)
		if a.Status != 0 {
			t.Error("another connection:", a.Status)
		}
	}
	greedy.Close()
	s.world.Run(50)
	s.closeAndCheck(other)
}
