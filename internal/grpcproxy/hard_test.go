package grpcproxy

import (
	"bytes"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/routes"
	p "kestrelspread/internal/standin/grpcpeer"
	"kestrelspread/internal/standin/virtual"
)

func (s *scene) subs() (n int) {
	for _, v := range s.servers {
		n += len(v.Calls)
	}
	return n
}

func (s *scene) all(script func(k *p.Got) []p.Act) {
	for _, v := range s.servers {
		v.Script = script
	}
}

func (s *scene) end(c *p.Client) {
	s.t.Helper()
	c.E.Close()
	s.w.Run(100)
	s.clean()
}

func TestACopyAndTheFirstAnswerAtOnce(t *testing.T) {
	// Both begin to answer in the same turn: one reaches the client, the other is called off, whichever it is.
	s := newScene(t, 5, 2, "")
	s.warm(60)
	s.all(func(k *p.Got) []p.Act {
		if k.Get("grpc-previous-rpc-attempts") == "" {
			return acts(p.Act{After: 0})
		}
		var list []p.Act
		for _, v := range s.servers {
			for _, o := range v.Calls {
				if o.Get("x-id") == k.Get("x-id") && o != k {
					list = append(list, p.Act{After: 0, Do: func(*p.Server, *p.Got) {
						p.Head(0).Do(o.S, o)
						p.Say(0, "one").Do(o.S, o)
						p.End(0, 0).Do(o.S, o)
						o.Conn().Flush()
					}})
				}
			}
		}
		return append(list, p.Head(0), p.Say(0, "two"), p.End(0, 0))
	})
	c := p.Dial(s.w, 1)
	since := s.w.R.Count.Outcomes
	a := c.Call(&p.Ask{Path: "/quick.message/Get", Fields: []string{"x-id", "7"}, Body: [][]byte{p.Message("q")}})
	s.w.Run(1100)
	if a.Finals != 1 || a.Status != 0 || texts(a.Got) != "one" && texts(a.Got) != "two" {
		t.Errorf("%d finals, status %d, %q", a.Finals, a.Status, a.Got)
	}
	if told := strings.Join(s.told(since), " "); s.f.Counters.LateResponses == 0 && told != "answered cancelled" {
		t.Errorf("told %q, %d late answers", told, s.f.Counters.LateResponses)
	}
	if s.subs() < 2 {
		t.Error("no second sub-request")
	}
	s.end(c)
}

func TestAStreamBothWays(t *testing.T) {
	s := newScene(t, 6, 2, "")
	for _, v := range s.servers {
		v.Early = true
		v.Script = func(_ *p.Got) []p.Act { return acts(p.Head(1), p.Say(5, "first"), p.Say(50, "second"), p.End(60, 0)) }
	}
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: "/quick.headers/Talk", Timeout: 2000, Open: true, Body: [][]byte{p.Message("a")}})
	s.w.Run(30)
	if texts(a.Got) != "first" || a.Done() {
		t.Fatalf("%q while open", a.Got)
	}
	a.Write(p.Message("b"))
	a.End()
	s.w.Run(300)
	if a.Status != 0 || texts(a.Got) != "first,second" || texts(s.gotBody()) != "a,b" {
		t.Errorf("status %d, client %q, server %q", a.Status, a.Got, s.gotBody())
	}
	s.end(c)
}

func (s *scene) gotBody() []byte {
	for _, v := range s.servers {
		for _, k := range v.Calls {
			return k.Body
		}
	}
	return nil
}

func TestAClientThatIsSlowToEndIsNoSlowServer(t *testing.T) {
	// A client stream stays open for most of a second, on one server after the other: none of them is set aside for it, and
	// no copy is made. When the client has ended, the server's clock begins.
	s := newScene(t, 7, 2, "")
	s.warm(60)
	c := p.Dial(s.w, 1)
	for range 4 {
		before := s.subs()
		a := c.Call(&p.Ask{Path: "/quick.message/Put", Timeout: 1000, Open: true, Body: [][]byte{p.Message("a")}})
		s.w.Run(700)
		if n := s.subs() - before; n != 1 {
			t.Fatalf("%d sub-requests while the client was sending", n)
		}
		a.End()
		s.w.Run(100)
		if a.Status != 0 {
			t.Fatal("status", a.Status)
		}
	}
	if strings.Contains(s.w.Log.String(), "aside") {
		t.Error("a server was set aside:", s.w.Log)
	}
	s.end(c)
}

func TestATokenedCallPastItsWindow(t *testing.T) {
	s := newScene(t, 8, 2, "")
	s.all(func(_ *p.Got) []p.Act { return acts(p.Only(0, 14)) })
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: "/keyed.message/Put", Timeout: 900, Open: true, Body: [][]byte{p.Message("a")}})
	s.w.Run(450)
	a.End()
	s.w.Run(300)
	if a.Status != 14 || s.subs() != 1 || a.Get("grpc-retry-pushback-ms") != "-1" {
		t.Errorf("status %d, %d sub-requests, pushback %q", a.Status, s.subs(), a.Get("grpc-retry-pushback-ms"))
	}
	s.end(c)
}

func TestTheRepeatBufferOutgrown(t *testing.T) {
	// 4 KiB are kept. A server that dies before that is replaced and gets all of it; after that it is not.
	for _, sent := range []int{3 << 10, 6 << 10} {
		s := newScene(t, 9, 2, "")
		for _, v := range s.servers {
			v.Early = true
		}
		s.byAttempt(func(_ *p.Got) []p.Act { return acts(p.Die(50)) },
			func(_ *p.Got) []p.Act { return acts(p.Head(100), p.Say(0, "ok"), p.End(0, 0)) })
		c := p.Dial(s.w, 1)
		body := p.Message(strings.Repeat("x", sent))
		a := c.Call(&p.Ask{Path: "/quick.message/Put", Timeout: 900, Open: true, Body: [][]byte{body}})
		s.w.Run(80)
		a.End()
		s.w.Run(600)
		if small := sent < 4<<10; small && (a.Status != 0 || s.subs() != 2) || !small && (a.Status != 14 || s.subs() != 1) {
			t.Errorf("%d sent: status %d, %d sub-requests", sent, a.Status, s.subs())
		}
		if sent < 4<<10 {
			for _, v := range s.servers {
				for _, k := range v.Calls {
					if k.Get("grpc-previous-rpc-attempts") != "" && !bytes.Equal(k.Body, body) {
						t.Errorf("the second had %d bytes of %d", len(k.Body), len(body))
					}
				}
			}
		}
		s.end(c)
	}
}

func TestAClientThatLeavesFreesAll(t *testing.T) {
	s := newScene(t, 10, 2, "")
	s.all(func(_ *p.Got) []p.Act {
		return acts(p.Head(1), p.Say(0, strings.Repeat("m", 30<<10)), p.Say(20, strings.Repeat("n", 60<<10)), p.Say(500, "x"), p.End(0, 0))
	})
	c := p.Dial(s.w, 1)
	half := c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
	s.w.Run(10)
	at := s.w.Now
	half.Cancel()
	s.w.Run(5)
	for _, v := range s.servers {
		for _, k := range v.Calls {
			if !k.Reset || k.ResetAt > at+2 {
				t.Errorf("the server heard of it at %.1f, the client left at %.1f", k.ResetAt, at)
			}
		}
	}
	if s.f.openCalls != 0 || s.f.bufferedBytes != 0 {
		t.Errorf("%d open, %d bytes held", s.f.openCalls, s.f.bufferedBytes)
	}
	// And with its connection.
	c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
	s.w.Run(10)
	s.end(c)
	if s.f.Counters.ClientCancelled != 2 {
		t.Error("left:", s.f.Counters.ClientCancelled)
	}
}

func TestAClientThatReadsNothingHasItsStatusInTime(t *testing.T) {
	// The server's messages fill the client's window and its own; the rest of the answer waits there. The status needs no
	// window.
	s := newScene(t, 11, 2, "")
	s.all(func(_ *p.Got) []p.Act {
		list := acts(p.Head(1))
		for range 20 {
			list = append(list, p.Say(1, strings.Repeat("m", 30<<10)))
		}
		return append(list, p.End(0, 0))
	})
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: quick, Timeout: 600, Slow: true, Body: [][]byte{p.Message("q")}})
	b := c.Call(&p.Ask{Path: whole, Timeout: 600, Slow: true, Body: [][]byte{p.Message("q")}})
	s.w.Run(300)
	if s.f.bufferedBytes > 2*(64<<10+32<<10) {
		t.Errorf("%d bytes held for two calls", s.f.bufferedBytes)
	}
	s.w.Run(700)
	for _, a := range []*p.Ask{a, b} {
		if a.Finals != 1 || a.Status != 4 || a.DoneAt > a.At+600 {
			t.Errorf("%d finals, status %d after %.1f ms", a.Finals, a.Status, a.DoneAt-a.At)
		}
	}
	s.end(c)
}

func TestTimeRunsOutWhileARepeatIsOpened(t *testing.T) {
	s := newScene(t, 12, 2, "")
	s.all(func(_ *p.Got) []p.Act { return acts(p.Only(270, 14)) })
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: quick, Timeout: 300, Body: [][]byte{p.Message("q")}})
	s.w.Run(20)
	for i := range s.servers { // whoever is connected to next does not come up
		s.w.Swallow[s.f.servers[i].addr] = true
		for _, x := range s.servers[i].Conns {
			if len(s.servers[i].Calls) == 0 {
				x.Kill()
			}
		}
	}
	s.w.Run(600)
	if a.Finals != 1 || a.DoneAt > a.At+300 || a.Status == 0 {
		t.Errorf("%d finals, status %d after %.1f", a.Finals, a.Status, a.DoneAt-a.At)
	}
	s.end(c)
}

func TestAServerIsDrainedInTheMiddle(t *testing.T) {
	// What runs there goes on, what waits for a channel goes elsewhere, nothing new begins.
	s := newScene(t, 13, 2, "")
	s.all(func(_ *p.Got) []p.Act { return acts(p.Head(1), p.Say(0, "a"), p.Say(800, "b"), p.End(0, 0)) })
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: quick, Timeout: 3000, Body: [][]byte{p.Message("q")}})
	s.w.Run(50)
	at := 0
	if len(s.servers[1].Calls) > 0 {
		at = 1
	}
	s.w.Tell(func(list []virtual.Listed) []virtual.Listed { list[at].State = "draining"; return list })
	told := s.w.Now
	s.w.Run(1)
	for range 20 {
		c.Call(&p.Ask{Path: quick, Timeout: 500, Body: [][]byte{p.Message("q")}})
		s.w.Run(30)
	}
	s.w.Run(2000)
	if a.Status != 0 || texts(a.Got) != "a,b" {
		t.Errorf("the running call: status %d, %q", a.Status, a.Got)
	}
	for _, k := range s.servers[at].Calls {
		if k.At > told+1 {
			t.Errorf("begun %.1f ms after the server was told to drain", k.At-told)
		}
	}
	s.end(c)
}

func TestAServerMovesAndOneIsReplaced(t *testing.T) {
	s := newScene(t, 14, 2, "")
	s.warm(5)
	moved := s.f.servers[0].addr.Addr().Next().Next().Next()
	s.w.Tell(func(list []virtual.Listed) []virtual.Listed {
		list[0].Addr = netipFrom(moved, 80)
		return list
	})
	next := &p.Server{W: s.w, Name: "moved", Script: echo}
	s.w.Listen(netipFrom(moved, 1080), next.Accept)
	old := len(s.servers[0].Calls)
	s.w.Run(5)
	c := p.Dial(s.w, 1)
	for range 30 {
		a := c.Call(&p.Ask{Path: quick, Body: [][]byte{p.Message("q")}})
		s.w.Run(10)
		if a.Status != 0 {
			t.Fatal(a.Status)
		}
	}
	if len(s.servers[0].Calls) != old || len(next.Calls) == 0 {
		t.Errorf("%d calls at the old address, %d at the new", len(s.servers[0].Calls)-old, len(next.Calls))
	}
	s.end(c)
}

func TestAServerThatIsDownCostsFewConnects(t *testing.T) {
	s := newScene(t, 15, 2, "")
	s.warm(10)
	s.w.Refuse[s.f.servers[0].addr] = true
	for _, x := range s.servers[0].Conns {
		x.Kill()
	}
	before := s.f.pool.Counters.Opened
	c := p.Dial(s.w, 1)
	for range 200 {
		a := c.Call(&p.Ask{Path: quick, Timeout: 500, Body: [][]byte{p.Message("q")}})
		s.w.Run(5)
		if a.Status != 0 {
			t.Fatalf("status %d: %v", a.Status, a.Trailers)
		}
	}
	if n := s.f.pool.Counters.Opened - before; n > 15 {
		t.Errorf("%d connects in a second", n)
	}
	s.end(c)
}

func TestAServerThatSpeaksNoHTTP2NeverGetsACall(t *testing.T) {
	s := newScene(t, 16, 2, "")
	for _, v := range s.servers {
		v.Greet = func(c *p.Conn) bool { c.End.Send([]byte("SSH-2.0-x\r\n\r\n")); return false }
	}
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: once, Timeout: 400, Body: [][]byte{p.Message("q")}})
	s.w.Run(600)
	if a.Finals != 1 || a.Status == 0 || s.subs() != 0 || s.w.R.Count.Outcomes[policy.ConnectFailed] == 0 {
		t.Errorf("%d finals, status %d, outcomes %v", a.Finals, a.Status, s.w.R.Count.Outcomes)
	}
	s.end(c)
}

func TestWhatWaitsAtAServerIsBounded(t *testing.T) {
	// Channels take two streams each and twenty may wait: what comes beyond is refused at once, not kept.
	s := newScene(t, 17, 1, "")
	s.servers[0].Limits = h2Limits(2)
	s.all(func(_ *p.Got) []p.Act { return acts(p.Only(700, 0)) })
	c := p.Dial(s.w, 1)
	var asks []*p.Ask
	for range 60 {
		asks = append(asks, c.Call(&p.Ask{Path: once, Timeout: 900, Body: [][]byte{p.Message("q")}}))
	}
	s.w.Run(100)
	if n := s.f.pool.Waiting(); n > 20 || n == 0 {
		t.Errorf("%d wait", n)
	}
	if s.subs() > 4 {
		t.Errorf("%d streams at a server that takes two on each of two channels", s.subs())
	}
	s.w.Run(1500)
	for i, a := range asks {
		if a.Finals != 1 {
			t.Fatalf("call %d: %d finals", i, a.Finals)
		}
	}
	if s.f.pool.Counters.QueueFull == 0 {
		t.Error("none was refused for want of a place")
	}
	s.end(c)
}

func TestReloadLeavesOpenCallsTheirRoute(t *testing.T) {
	s := newScene(t, 18, 2, "")
	s.all(func(_ *p.Got) []p.Act {
		return acts(p.Head(1), p.Say(0, "a"), p.Say(300, strings.Repeat("b", 40<<10)), p.End(0, 0))
	})
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
	s.w.Run(50)
	next := defaultRules(&routes.Route{Name: "other", Service: "other", DefaultTimeout: 500, MaxTimeout: 500, MaxMessageBytes: 1 << 10})
	s.f.NextSettings.Store(next)
	s.w.After(0, s.f.Reload)
	s.w.Run(5)
	b := c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
	s.w.Run(900)
	if a.Status != 0 || len(a.Got) < 40<<10 {
		t.Errorf("the open call: status %d, %d bytes", a.Status, len(a.Got))
	}
	if b.Status != 12 {
		t.Errorf("its route is gone: status %d", b.Status)
	}
	s.end(c)
}

func TestStopGivesEveryCallItsStatus(t *testing.T) {
	s := newScene(t, 19, 2, "")
	s.all(func(_ *p.Got) []p.Act { return acts(p.Head(1), p.Say(0, "a"), p.Say(9000, "b"), p.End(0, 0)) })
	c := p.Dial(s.w, 1)
	long := c.Call(&p.Ask{Path: quick, Timeout: 5000, Body: [][]byte{p.Message("q")}})
	s.w.Run(50)
	s.w.After(0, func() { s.w.R.Told(0) })
	s.w.Run(50)
	if !c.Gone {
		t.Error("no GOAWAY at once")
	}
	s.all(func(_ *p.Got) []p.Act { return acts(p.Only(1, 0)) })
	short := p.Dial(s.w, 1)
	a := short.Call(&p.Ask{Path: quick, Timeout: 300, Body: [][]byte{p.Message("q")}})
	s.w.Run(4000)
	if a.Status != 0 {
		t.Errorf("a call in the grace: status %d", a.Status)
	}
	if long.Finals != 1 || long.Status != 14 || texts(long.Got) != "a" {
		t.Errorf("the long call: %d finals, status %d, %q", long.Finals, long.Status, long.Got)
	}
	if !s.w.Stopped {
		t.Error("the broker has not ended")
	}
	if long.DoneAt > s.w.R.Now() {
		t.Error("after the end")
	}
}

func TestUnsoundCalls(t *testing.T) {
	s := newScene(t, 20, 2, "", append(tableRoutes(), &routes.Route{Name: "by key", Service: "shards", DefaultTimeout: 500, MaxTimeout: 500,
		MaxMessageBytes: 1 << 10, Shard: routes.ShardRule{MetadataKey: "x-shard"}})...)
	c := p.Dial(s.w, 1)
	for _, r := range []struct {
		name   string
		ask    p.Ask
		status int
	}{
		{"no route", p.Ask{Path: "/none/Get"}, 12},
		{"a time that can't be read", p.Ask{Path: quick, Fields: []string{"grpc-timeout", "soon"}}, 3},
		{"no time", p.Ask{Path: quick, Fields: []string{"grpc-timeout", "0n"}}, 4},
		{"no shard", p.Ask{Path: "/shards/Get"}, 3},
		{"a shard that is none", p.Ask{Path: "/shards/Get", Fields: []string{"x-shard", "4"}}, 3},
		{"a shard", p.Ask{Path: "/shards/Get", Fields: []string{"x-shard", "3"}}, 0},
		{"a message over the limit", p.Ask{Path: "/shards/Get", Fields: []string{"x-shard", "3"}, Body: [][]byte{p.Message(strings.Repeat("x", 2<<10))}}, 8},
		{"a wrong flag", p.Ask{Path: quick, Body: [][]byte{{9, 0, 0, 0, 0}}}, 13},
		{"half a message", p.Ask{Path: quick, Body: [][]byte{{0, 0, 0, 0, 5, 1}}}, 13},
		{"metadata over the limit", p.Ask{Path: quick, Fields: []string{"x-big", strings.Repeat("y", 9<<10)}}, 8},
		{"a huge time", p.Ask{Path: quick, Fields: []string{"grpc-timeout", "99999999H"}}, 0},
	} {
		a := c.Call(&r.ask)
		s.w.Run(300)
		if a.Status != r.status || a.Finals != 1 {
			t.Errorf("%s: %d finals, status %d, want %d", r.name, a.Finals, a.Status, r.status)
		}
	}
	for _, v := range s.servers {
		for _, k := range v.Calls {
			if k.Get("x-big") != "" {
				t.Error("passed on")
			}
		}
	}
	s.end(c)
}

func TestLimitsOfCallsAndBytes(t *testing.T) {
	s := newScene(t, 21, 2, "")
	s.rules.Limits.MaxCalls, s.rules.Limits.MaxCallsPerCustomer = 10, 6
	for _, v := range s.servers {
		v.Limits = h2Limits(100)
		v.Limits.InitialWindowSize = 4 << 10
	}
	s.all(func(_ *p.Got) []p.Act { return acts(p.Only(60, 0)) })
	c := p.Dial(s.w, 1)
	var asks []*p.Ask
	for range 12 {
		asks = append(asks, c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}}))
	}
	s.w.Run(800)
	ok, over := 0, 0
	for _, a := range asks {
		if a.Status == 0 {
			ok++
		} else if a.Status == 8 && a.Get("grpc-retry-pushback-ms") != "" && a.DoneAt < a.At+10 {
			over++
		}
	}
	if ok != 6 || over != 6 {
		t.Errorf("%d answered, %d over the limit", ok, over)
	}
	// Bytes: bodies that nobody takes in are bounded in all, not only each.
	s.rules.Limits.MaxCallsPerCustomer, s.rules.Limits.MaxBufferedBytes = 0, 256<<10
	for _, v := range s.servers {
		v.Holds, v.Early = true, true
		v.Script = func(*p.Got) []p.Act { return nil }
	}
	for range 10 {
		c.Call(&p.Ask{Path: quick, Timeout: 900, Open: true, Body: [][]byte{p.Message(strings.Repeat("x", 60<<10))}})
		s.w.Run(5)
	}
	if s.f.bufferedBytes > 256<<10 || s.f.Counters.OverBufferLimit == 0 {
		t.Errorf("%d bytes held, %d turned away; %+v", s.f.bufferedBytes, s.f.Counters.OverBufferLimit, s.f.Counters)
	}
	s.w.Run(1000)
	s.end(c)
}

func TestRudeClients(t *testing.T) {
	preface := []byte(http2.ClientPreface)
	settings := p.Frame(http2.FrameSettings, 0, 0, nil)
	hello := append(append([]byte(nil), preface...), settings...)
	hello = hello[:len(hello):len(hello)]
	headers := func(flags byte, id uint32, n int) []byte {
		return p.Frame(http2.FrameHeaders, flags, id, make([]byte, n))
	}
	unsound := func(n int) (b []byte) { // each begins a stream that can't be
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
		{"half a preface", preface[:10], 2200},
		{"HTTP/1.1", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 50},
		{"no SETTINGS first", append(append([]byte(nil), preface...), p.Frame(http2.FramePing, 0, 0, make([]byte, 8))...), 50},
		{"a flood of SETTINGS", append(hello, repeat(settings, 500)...), 50},
		{"a flood of PING", append(hello, repeat(p.Frame(http2.FramePing, 0, 0, make([]byte, 8)), 500)...), 50},
		{"a flood of PRIORITY", append(hello, repeat(p.Frame(http2.FramePriority, 0, 1, make([]byte, 5)), 500)...), 50},
		{"endless CONTINUATION", append(append(hello, headers(0, 1, 100)...), repeat(p.Frame(http2.FrameContinuation, 0, 1, make([]byte, 1000)), 200)...), 50},
		{"empty CONTINUATION", append(append(hello, headers(0, 1, 1)...), repeat(p.Frame(http2.FrameContinuation, 0, 1, nil), 500)...), 50},
		{"a flood of unsound requests", append(hello, unsound(300)...), 50},
		{"half a header block", append(hello, headers(0, 1, 100)...), 1300},
		{"half a frame", append(hello, 0, 0, 9, 0, 0), 1300},
		{"a frame that is too long", append(hello, p.Frame(http2.FrameData, 0, 1, make([]byte, 20<<10))...), 50},
		{"data on no stream", append(hello, p.Frame(http2.FrameData, 0, 1, []byte("x"))...), 50},
		{"an even stream", append(hello, p.Frame(http2.FrameHeaders, 5, 2, []byte{0x88})...), 50},
		{"a window over the most", append(append(hello, p.Frame(http2.FrameWindowUpdate, 0, 0, []byte{0x7f, 255, 255, 255})...),
			p.Frame(http2.FrameWindowUpdate, 0, 0, []byte{0x7f, 255, 255, 255})...), 50},
		{"a header block that can't be read", append(hello, p.Frame(http2.FrameHeaders, 5, 1, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff})...), 50},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := newScene(t, 22, 2, "")
			good := p.Dial(s.w, 1)
			got := &rude{}
			e := s.w.Dial(1, got)
			s.w.Run(2)
			at := s.w.Now
			e.Send(r.send)
			a := good.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
			s.w.Run(r.within)
			if got.closed == 0 || got.closed > at+r.within {
				t.Errorf("not closed after %.0f ms", r.within)
			}
			if a.Status != 0 || a.DoneAt > a.At+20 {
				t.Errorf("another client: status %d after %.1f ms", a.Status, a.DoneAt-a.At)
			}
			s.end(good)
		})
	}
}

// rude takes what comes and notes when it was closed.
type rude struct {
	got    []byte
	closed float64
}

func (r *rude) Opened(*virtual.End)            {}
func (r *rude) Bytes(_ *virtual.End, b []byte) { r.got = append(r.got, b...) }
func (r *rude) Closed(e *virtual.End)          { r.closed = e.Now() }

func TestRapidResets(t *testing.T) {
	s := newScene(t, 23, 2, "")
	c := p.Dial(s.w, 1)
	s.w.Run(2)
	for i := range 400 {
		a := c.Call(&p.Ask{Path: quick, Timeout: 900, Open: true})
		a.Cancel()
		if i%10 == 9 {
			s.w.Run(1)
		}
	}
	s.w.Run(50)
	if !c.Gone || s.f.Counters.ProtocolErrors != 1 {
		t.Errorf("still welcome after 400 resets; rude %d", s.f.Counters.ProtocolErrors)
	}
	if s.f.Counters.Calls > 120 {
		t.Errorf("%d calls were looked at", s.f.Counters.Calls)
	}
	s.end(c)
}

func TestOneConnectionDoesNotTakeWhatIsForAll(t *testing.T) {
	s := newScene(t, 24, 2, "")
	s.rules.Limits.MaxBufferedBytesPerConnection = 100 << 10
	for _, v := range s.servers {
		v.Limits = h2Limits(100)
		v.Limits.InitialWindowSize = 4 << 10
		v.Holds = true
		v.Script = func(*p.Got) []p.Act { return nil }
	}
	greedy, other := p.Dial(s.w, 1), p.Dial(s.w, 1)
	var asks []*p.Ask
	for range 6 {
		asks = append(asks, greedy.Call(&p.Ask{Path: quick, Timeout: 900, Open: true, Body: [][]byte{p.Message(strings.Repeat("x", 50<<10))}}))
	}
	s.w.Run(20)
	over := 0
	for _, a := range asks {
		if a.Status == 8 {
			over++
		}
	}
	if over < 3 || s.f.bufferedBytes > 100<<10 {
		t.Errorf("%d of 6 turned away, %d bytes held", over, s.f.bufferedBytes)
	}
	s.all(func(_ *p.Got) []p.Act { return acts(p.Only(1, 0)) })
	if a := other.Call(&p.Ask{Path: quick, Timeout: 900}); true {
		s.w.Run(50)
		if a.Status != 0 {
			t.Error("another connection:", a.Status)
		}
	}
	greedy.Hang()
	s.w.Run(50)
	s.end(other)
}

func TestAServerThatRestartsColdMidStream(t *testing.T) {
	// It dies with streams on it and comes back cold: streams that were committed end with a status, the others go on
	// elsewhere, and for its cold time it gets no more than the guard allows, by the module alone.
	const cold = `,"cold-from":0.2,"cold-ms":3000,"tip-multiple":1.2,"tip-after-ms":1000`
	counts := map[string]int{}
	for _, safety := range []string{"", cold} {
		s := newScene(t, 25, 4, safety)
		c := p.Dial(s.w, 1)
		ask := func(n int) {
			for range n {
				c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
				s.w.Run(10)
			}
		}
		ask(600) // what it can do is known by what it did
		s.all(func(k *p.Got) []p.Act {
			if k.Get("x-long") != "" {
				return acts(p.Head(1), p.Say(0, "a"), p.Say(2000, "b"), p.End(0, 0))
			}
			return echo(k)
		})
		var long []*p.Ask
		for range 8 {
			long = append(long, c.Call(&p.Ask{Path: quick, Timeout: 4000, Fields: []string{"x-long", "1"}}))
		}
		s.w.Run(100)
		dead := s.servers[1]
		had := 0
		for _, k := range dead.Calls {
			if k.Get("x-long") != "" {
				had++
			}
		}
		for _, x := range dead.Conns {
			if !x.Dead {
				x.Kill()
			}
		}
		back := s.w.Now
		s.w.Tell(func(list []virtual.Listed) []virtual.Listed { list[1].Started = back; return list })
		before := len(dead.Calls)
		ask(100)
		counts[safety] = len(dead.Calls) - before
		s.w.Run(4000)
		broke := 0
		for _, a := range long {
			if a.Finals != 1 || a.Status != 0 && a.Status != 14 {
				t.Errorf("a long call: %d finals, status %d", a.Finals, a.Status)
			}
			if a.Status == 14 {
				broke++
			}
		}
		if had == 0 || broke != had {
			t.Errorf("%d streams were on it, %d broke", had, broke)
		}
		s.end(c)
	}
	if counts[cold] == 0 || 2*counts[cold] > counts[""] {
		t.Errorf("in its cold second it got %d calls, without a guard %d", counts[cold], counts[""])
	}
	t.Logf("in its cold second: %d calls, without a guard %d", counts[cold], counts[""])
}
