package grpcproxy

import (
	"bytes"
	"strings"
	"testing"

	p "kestrelspread/internal/standin/grpcpeer"
)

func TestHedgeAndFirstAttemptAnswerInOneTurn(t *testing.T) {
	// Both begin to answer in one turn: one reaches the client, the other is cancelled, whichever it is.
	s := newHarness(t, 5, 2, "")
	s.warmUp(60)
	s.scriptAll(func(k *p.Got) []p.Act {
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
	c := p.Dial(s.world, 1)
	since := s.world.Engine.Count.Outcomes
	a := c.Call(&p.Ask{Path: "/quick.message/Get", Fields: []string{"x-id", "7"}, Body: [][]byte{p.Message("q")}})
	s.world.Run(1100)
	if a.Finals != 1 || a.Status != 0 || messagesOf(a.Got) != "one" && messagesOf(a.Got) != "two" {
		t.Errorf("%d finals, status %d, %q", a.Finals, a.Status, a.Got)
	}
	if outcomes := strings.Join(s.outcomesSince(since), " "); s.proxy.Counters.LateResponses == 0 && outcomes != "answered cancelled" {
		t.Errorf("outcomes %q, %d late responses", outcomes, s.proxy.Counters.LateResponses)
	}
	if s.attemptsSeen() < 2 {
		t.Error("no second sub-request")
	}
	s.closeAndCheck(c)
}

func TestBidirectionalStream(t *testing.T) {
	s := newHarness(t, 6, 2, "")
	for _, v := range s.servers {
		v.Early = true
		v.Script = func(_ *p.Got) []p.Act { return acts(p.Head(1), p.Say(5, "first"), p.Say(50, "second"), p.End(60, 0)) }
	}
	c := p.Dial(s.world, 1)
	a := c.Call(&p.Ask{Path: "/quick.headers/Talk", Timeout: 2000, Open: true, Body: [][]byte{p.Message("a")}})
	s.world.Run(30)
	if messagesOf(a.Got) != "first" || a.Done() {
		t.Fatalf("%q while open", a.Got)
	}
	a.Write(p.Message("b"))
	a.End()
	s.world.Run(300)
	if a.Status != 0 || messagesOf(a.Got) != "first,second" || messagesOf(s.requestBody()) != "a,b" {
		t.Errorf("status %d, client %q, server %q", a.Status, a.Got, s.requestBody())
	}
	s.closeAndCheck(c)
}

func TestSlowClientStreamDoesNotCountAgainstServer(t *testing.T) {
	// A client stream stays open for most of a second, on one server after the other: none of them is
	// ejected for it, and no hedge is made. The server's time counts from the end of the request.
	s := newHarness(t, 7, 2, "")
	s.warmUp(60)
	c := p.Dial(s.world, 1)
	for range 4 {
		before := s.attemptsSeen()
		a := c.Call(&p.Ask{Path: "/quick.message/Put", Timeout: 1000, Open: true, Body: [][]byte{p.Message("a")}})
		s.world.Run(700)
		if n := s.attemptsSeen() - before; n != 1 {
			t.Fatalf("%d sub-requests while the client was sending", n)
		}
		a.End()
		s.world.Run(100)
		if a.Status != 0 {
			t.Fatal("status", a.Status)
		}
	}
	if strings.Contains(s.world.Log.String(), "aside") {
		t.Error("a server was ejected:", s.world.Log)
	}
	s.closeAndCheck(c)
}

func TestTokenedCallIsNotRetriedPastItsWindow(t *testing.T) {
	s := newHarness(t, 8, 2, "")
	s.scriptAll(func(_ *p.Got) []p.Act { return acts(p.Only(0, 14)) })
	c := p.Dial(s.world, 1)
	a := c.Call(&p.Ask{Path: "/keyed.message/Put", Timeout: 900, Open: true, Body: [][]byte{p.Message("a")}})
	s.world.Run(450)
	a.End()
	s.world.Run(300)
	if a.Status != 14 || s.attemptsSeen() != 1 || a.Get("grpc-retry-pushback-ms") != "-1" {
		t.Errorf("status %d, %d sub-requests, pushback %q", a.Status, s.attemptsSeen(), a.Get("grpc-retry-pushback-ms"))
	}
	s.closeAndCheck(c)
}

func TestCallIsCommittedPastRetryBuffer(t *testing.T) {
	// 4 KiB are kept. If a server dies before that, another gets all of it; after that none does.
	for _, sent := range []int{3 << 10, 6 << 10} {
		s := newHarness(t, 9, 2, "")
		for _, v := range s.servers {
			v.Early = true
		}
		s.scriptByAttempt(func(_ *p.Got) []p.Act { return acts(p.Die(50)) },
			func(_ *p.Got) []p.Act { return acts(p.Head(100), p.Say(0, "ok"), p.End(0, 0)) })
		c := p.Dial(s.world, 1)
		body := p.Message(strings.Repeat("x", sent))
		a := c.Call(&p.Ask{Path: "/quick.message/Put", Timeout: 900, Open: true, Body: [][]byte{body}})
		s.world.Run(80)
		a.End()
		s.world.Run(600)
		if small := sent < 4<<10; small && (a.Status != 0 || s.attemptsSeen() != 2) || !small && (a.Status != 14 || s.attemptsSeen() != 1) {
			t.Errorf("%d sent: status %d, %d sub-requests", sent, a.Status, s.attemptsSeen())
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
		s.closeAndCheck(c)
	}
}

func TestDeadlinePassesWhileRetryConnects(t *testing.T) {
	s := newHarness(t, 12, 2, "")
	s.scriptAll(func(_ *p.Got) []p.Act { return acts(p.Only(270, 14)) })
	c := p.Dial(s.world, 1)
	a := c.Call(&p.Ask{Path: quickPath, Timeout: 300, Body: [][]byte{p.Message("q")}})
	s.world.Run(20)
	for i := range s.servers { // the next connect is not answered
		s.world.UnansweredAddresses[s.proxy.servers[i].address] = true
		for _, x := range s.servers[i].Conns {
			if len(s.servers[i].Calls) == 0 {
				x.Kill()
			}
		}
	}
	s.world.Run(600)
	if a.Finals != 1 || a.DoneAt > a.At+300 || a.Status == 0 {
		t.Errorf("%d finals, status %d after %.1f", a.Finals, a.Status, a.DoneAt-a.At)
	}
	s.closeAndCheck(c)
}
