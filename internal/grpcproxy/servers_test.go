package grpcproxy

import (
	"fmt"
	"math"
	"testing"

	"kestrelspread/internal/aggregator/policy"
	p "kestrelspread/internal/standin/grpcpeer"
	"kestrelspread/internal/standin/invariants"
	"kestrelspread/internal/standin/simnet"
)

func TestDrainingServerGetsNothingNew(t *testing.T) {
	// What runs there goes on, what waits for a connection goes elsewhere, nothing new starts.
	s := newHarness(t, 13, 2, "")
	s.scriptAll(func(_ *p.ServerCall) []p.Action {
		return acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.SendMessage(800, "b"), p.SendTrailers(0, 0))
	})
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 3000, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(50)
	at := 0
	if len(s.servers[1].Calls) > 0 {
		at = 1
	}
	s.world.UpdateInstances(func(list []simnet.Instance) []simnet.Instance { list[at].State = "draining"; return list })
	notifiedAt := s.world.NowMs
	s.world.Run(1)
	for range 20 {
		c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 500, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(30)
	}
	s.world.Run(2000)
	if a.Status != 0 || messagesOf(a.ReceivedBody) != "a,b" {
		t.Errorf("the running call: status %d, %q", a.Status, a.ReceivedBody)
	}
	for _, k := range s.servers[at].Calls {
		if k.ReceivedAtMs > notifiedAt+1 {
			t.Errorf("started %.1f ms after the server was listed as draining", k.ReceivedAtMs-notifiedAt)
		}
	}
	s.closeAndCheck(c)
}

func TestMovedServerIsCalledAtNewAddress(t *testing.T) {
	s := newHarness(t, 14, 2, "")
	s.warmUp(5)
	moved := s.proxy.servers[0].address.Addr().Next().Next().Next()
	s.world.UpdateInstances(func(list []simnet.Instance) []simnet.Instance {
		list[0].Addr = netipFrom(moved, 80)
		return list
	})
	next := &p.Server{Network: s.world, Name: "moved", Script: echo}
	s.world.Listen(netipFrom(moved, 1080), next.Accept)
	old := len(s.servers[0].Calls)
	s.world.Run(5)
	c := p.Dial(s.world, 1)
	for range 30 {
		a := c.Call(&p.ClientCall{Path: quickPath, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(10)
		if a.Status != 0 {
			t.Fatal(a.Status)
		}
	}
	if len(s.servers[0].Calls) != old || len(next.Calls) == 0 {
		t.Errorf("%d calls at the old address, %d at the new", len(s.servers[0].Calls)-old, len(next.Calls))
	}
	s.closeAndCheck(c)
}

func TestUnreachableServerCostsFewConnects(t *testing.T) {
	s := newHarness(t, 15, 2, "")
	s.warmUp(10)
	s.world.RefusedAddresses[s.proxy.servers[0].address] = true
	for _, x := range s.servers[0].Conns {
		x.Kill()
	}
	before := s.proxy.pool.Counters.Opened
	c := p.Dial(s.world, 1)
	for range 200 {
		a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 500, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(5)
		if a.Status != 0 {
			t.Fatalf("status %d: %v", a.Status, a.Trailers)
		}
	}
	if n := s.proxy.pool.Counters.Opened - before; n > 15 {
		t.Errorf("%d connects in a second", n)
	}
	s.closeAndCheck(c)
}

func TestServerWithoutHTTP2GetsNoCall(t *testing.T) {
	s := newHarness(t, 16, 2, "")
	for _, v := range s.servers {
		v.OnOpen = func(c *p.Conn) bool { c.Endpoint.Send([]byte("SSH-2.0-x\r\n\r\n")); return false }
	}
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: oncePath, TimeoutMs: 400, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(600)
	if a.FinalStatuses != 1 || a.Status == 0 || s.attemptsSeen() != 0 || s.world.Engine.Counters.Outcomes[policy.ConnectFailed] == 0 {
		t.Errorf("%d finals, status %d, outcomes %v", a.FinalStatuses, a.Status, s.world.Engine.Counters.Outcomes)
	}
	s.closeAndCheck(c)
}

func TestWaitingAttemptsAreBounded(t *testing.T) {
	// Connections accept two streams each and twenty may wait: what comes beyond is rejected at once.
	s := newHarness(t, 17, 1, "")
	s.servers[0].Limits = h2Limits(2)
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(700, 0)) })
	c := p.Dial(s.world, 1)
	var calls []*p.ClientCall
	for range 60 {
		calls = append(calls, c.Call(&p.ClientCall{Path: oncePath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}}))
	}
	s.world.Run(100)
	if n := s.proxy.pool.Waiting(); n > 20 || n == 0 {
		t.Errorf("%d wait", n)
	}
	if s.attemptsSeen() > 4 {
		t.Errorf("%d streams at a server that takes two on each of two connections", s.attemptsSeen())
	}
	s.world.Run(1500)
	for i, a := range calls {
		if a.FinalStatuses != 1 {
			t.Fatalf("call %d: %d finals", i, a.FinalStatuses)
		}
	}
	if s.proxy.pool.Counters.QueueFull == 0 {
		t.Error("none was rejected as too many wait")
	}
	s.closeAndCheck(c)
}

// TestRestartedServerIsWarmedUp has a server die with streams on it and come back warming up. Streams
// that were committed end with a status, the others go on elsewhere; while it warms up it gets no more
// than slow start allows, which is the policy's doing alone.
func TestRestartedServerIsWarmedUp(t *testing.T) {
	const slowStart = `,"cold-from":0.2,"cold-ms":3000,"tip-multiple":1.2,"tip-after-ms":1000`
	without := callsAfterRestart(t, "")
	with := callsAfterRestart(t, slowStart)
	if len(with) == 0 || 2*len(with) > len(without) {
		t.Errorf("in its first second it got %d calls, without slow start %d", len(with), len(without))
	}
	t.Logf("in its first second: %d calls, without slow start %d", len(with), len(without))
	if violations := warmUpViolations(with, len(without)/2); len(violations) > 0 {
		t.Error(violations)
	}
	if len(warmUpViolations(without, len(without)/2)) == 0 {
		t.Error("the check of servers in slow start does not find that there is none")
	}
}

// warmUpViolations checks calls, by the times at which a server in slow start received them, against a maximum within a
// second.
func warmUpViolations(receivedAtMs []float64, maxCalls int) []string {
	const server = "restarted"
	rules := invariants.New()
	rules.MaxWarmUpRequests, rules.WarmUpWindowMs = maxCalls, 1000
	rules.RecordWarmUp(server, 0, math.Inf(1))
	for i, at := range receivedAtMs {
		id := fmt.Sprint("call ", i)
		rules.RecordQuery(id, invariants.Idempotent, at, math.Inf(1))
		rules.RecordAttempt(id, "", server, at)
	}
	return rules.Check(0)
}

// callsAfterRestart returns when a restarted server gets calls in its first second, ms.
func callsAfterRestart(t *testing.T, safety string) []float64 {
	t.Helper()
	s := newHarness(t, 25, 4, safety)
	c := p.Dial(s.world, 1)
	s.callOften(c, 600) // its capacity is learnt from what it did
	s.scriptAll(func(k *p.ServerCall) []p.Action {
		if k.Header("x-long") != "" {
			return acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.SendMessage(2000, "b"), p.SendTrailers(0, 0))
		}
		return echo(k)
	})
	var long []*p.ClientCall
	for range 8 {
		long = append(long, c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 4000, Fields: []string{"x-long", "1"}}))
	}
	s.world.Run(100)
	restarted := s.servers[1]
	streams := 0
	for _, k := range restarted.Calls {
		if k.Header("x-long") != "" {
			streams++
		}
	}
	for _, conn := range restarted.Conns {
		if !conn.Dead {
			conn.Kill()
		}
	}
	restartedAt := s.world.NowMs
	s.world.UpdateInstances(func(list []simnet.Instance) []simnet.Instance { list[1].Started = restartedAt; return list })
	var calls []float64
	restarted.OnCall = func(*p.ServerCall) { calls = append(calls, s.world.NowMs) }
	s.callOften(c, 100)
	restarted.OnCall = nil
	s.world.Run(4000)
	if broken := countBroken(t, long); streams == 0 || broken != streams {
		t.Errorf("%d streams were on it, %d broke", streams, broken)
	}
	s.closeAndCheck(c)
	return calls
}

// callOften makes n calls, one every 10 ms.
func (s *harness) callOften(c *p.Client, n int) {
	for range n {
		c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(10)
	}
}

// countBroken returns how many of the calls ended with UNAVAILABLE; the others must have been answered.
func countBroken(t *testing.T, calls []*p.ClientCall) int {
	t.Helper()
	broken := 0
	for _, a := range calls {
		if a.FinalStatuses != 1 || a.Status != 0 && a.Status != 14 {
			t.Errorf("a long call: %d finals, status %d", a.FinalStatuses, a.Status)
		}
		if a.Status == 14 {
			broken++
		}
	}
	return broken
}
