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
	s.scriptAll(func(k *p.ServerCall) []p.Action {
		if k.Header("grpc-previous-rpc-attempts") == "" {
			return acts(p.Action{AfterMs: 0})
		}
		var list []p.Action
		for _, v := range s.servers {
			for _, o := range v.Calls {
				if o.Header("x-id") == k.Header("x-id") && o != k {
					list = append(list, p.Action{AfterMs: 0, Run: func(*p.Server, *p.ServerCall) {
						p.SendHeaders(0).Run(o.Server, o)
						p.SendMessage(0, "one").Run(o.Server, o)
						p.SendTrailers(0, 0).Run(o.Server, o)
						o.Conn().Flush()
					}})
				}
			}
		}
		return append(list, p.SendHeaders(0), p.SendMessage(0, "two"), p.SendTrailers(0, 0))
	})
	c := p.Dial(s.world, 1)
	since := s.world.Engine.Counters.Outcomes
	a := c.Call(&p.ClientCall{Path: "/quick.message/Get", Fields: []string{"x-id", "7"}, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(1100)
	if a.FinalStatuses != 1 || a.Status != 0 || messagesOf(a.ReceivedBody) != "one" && messagesOf(a.ReceivedBody) != "two" {
		t.Errorf("%d finals, status %d, %q", a.FinalStatuses, a.Status, a.ReceivedBody)
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
		v.ActsOnHeaders = true
		v.Script = func(_ *p.ServerCall) []p.Action {
			return acts(p.SendHeaders(1), p.SendMessage(5, "first"), p.SendMessage(50, "second"), p.SendTrailers(60, 0))
		}
	}
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: "/quick.headers/Talk", TimeoutMs: 2000, KeepsOpen: true, Body: [][]byte{p.EncodeMessage("a")}})
	s.world.Run(30)
	if messagesOf(a.ReceivedBody) != "first" || a.Done() {
		t.Fatalf("%q while open", a.ReceivedBody)
	}
	a.Write(p.EncodeMessage("b"))
	a.End()
	s.world.Run(300)
	if a.Status != 0 || messagesOf(a.ReceivedBody) != "first,second" || messagesOf(s.requestBody()) != "a,b" {
		t.Errorf("status %d, client %q, server %q", a.Status, a.ReceivedBody, s.requestBody())
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
		a := c.Call(&p.ClientCall{Path: "/quick.message/Put", TimeoutMs: 1000, KeepsOpen: true, Body: [][]byte{p.EncodeMessage("a")}})
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
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(0, 14)) })
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: "/keyed.message/Put", TimeoutMs: 900, KeepsOpen: true, Body: [][]byte{p.EncodeMessage("a")}})
	s.world.Run(450)
	a.End()
	s.world.Run(300)
	if a.Status != 14 || s.attemptsSeen() != 1 || a.Trailer("grpc-retry-pushback-ms") != "-1" {
		t.Errorf("status %d, %d sub-requests, pushback %q", a.Status, s.attemptsSeen(), a.Trailer("grpc-retry-pushback-ms"))
	}
	s.closeAndCheck(c)
}

func TestCallIsCommittedPastRetryBuffer(t *testing.T) {
	// 4 KiB are kept. If a server dies before that, another gets all of it; after that none does.
	for _, sent := range []int{3 << 10, 6 << 10} {
		s := newHarness(t, 9, 2, "")
		for _, v := range s.servers {
			v.ActsOnHeaders = true
		}
		s.scriptByAttempt(func(_ *p.ServerCall) []p.Action { return acts(p.Crash(50)) },
			func(_ *p.ServerCall) []p.Action {
				return acts(p.SendHeaders(100), p.SendMessage(0, "ok"), p.SendTrailers(0, 0))
			})
		c := p.Dial(s.world, 1)
		body := p.EncodeMessage(strings.Repeat("x", sent))
		a := c.Call(&p.ClientCall{Path: "/quick.message/Put", TimeoutMs: 900, KeepsOpen: true, Body: [][]byte{body}})
		s.world.Run(80)
		a.End()
		s.world.Run(600)
		if small := sent < 4<<10; small && (a.Status != 0 || s.attemptsSeen() != 2) || !small && (a.Status != 14 || s.attemptsSeen() != 1) {
			t.Errorf("%d sent: status %d, %d sub-requests", sent, a.Status, s.attemptsSeen())
		}
		if sent < 4<<10 {
			for _, v := range s.servers {
				for _, k := range v.Calls {
					if k.Header("grpc-previous-rpc-attempts") != "" && !bytes.Equal(k.Body, body) {
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
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(270, 14)) })
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 300, Body: [][]byte{p.EncodeMessage("q")}})
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
	if a.FinalStatuses != 1 || a.DoneAtMs > a.StartedAtMs+300 || a.Status == 0 {
		t.Errorf("%d finals, status %d after %.1f", a.FinalStatuses, a.Status, a.DoneAtMs-a.StartedAtMs)
	}
	s.closeAndCheck(c)
}
