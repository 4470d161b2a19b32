package grpcproxy

import (
	"testing"

	p "kestrelspread/internal/standin/grpcpeer"
)

func TestNoAttemptStartsForACancelledCall(t *testing.T) {
	// Both ways to wait: for a connect, and as headers that the network doesn't take.
	for _, how := range []string{"connect", "stalled network"} {
		s := newHarness(t, 31, 1, "")
		s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(20, 0)) })
		c := p.Dial(s.world, 1)
		first := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(100)
		if first.Status != 0 || len(s.servers[0].Conns) != 1 {
			t.Fatal(first.Status, len(s.servers[0].Conns))
		}
		stalled := s.servers[0].Conns[0].Endpoint
		if how == "connect" { // the connection goes, and the next one takes long
			s.servers[0].Conns[0].Endpoint.Close()
			s.world.Run(5)
			s.world.DelayMs = 60
		} else {
			stalled.WriteBlocked = true
		}
		a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(2 * s.world.DelayMs)
		if how != "connect" && stalled.Backlog() == 0 {
			t.Fatal("no headers wait")
		}
		c.Endpoint.Close()
		s.world.Run(300)
		stalled.UnblockWrites()
		s.world.DelayMs = 0.2
		s.world.Run(1000)
		if s.attemptsSeen() != 1 {
			t.Errorf("%s: an attempt started for a client that had gone", how)
		}
		_ = a
		s.checkReleased()
	}
}

func TestNoRetryStartsForACancelledCall(t *testing.T) {
	// Its server rejects it with a pushback; if the client stays, it is retried then.
	for _, how := range []string{"stays", "closes", "resets"} {
		s := newHarness(t, 33, 1, "")
		s.scriptAll(func(_ *p.ServerCall) []p.Action {
			return acts(p.SendTrailersOnly(5, 14, "grpc-retry-pushback-ms", "300"))
		})
		c := p.Dial(s.world, 1)
		a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 1500, Body: [][]byte{p.EncodeMessage("q")}})
		s.world.Run(100)
		if s.attemptsSeen() != 1 || a.Done() {
			t.Fatal(s.attemptsSeen(), "sub-requests, done: ", a.Done())
		}
		switch how {
		case "closes":
			c.Endpoint.Close()
		case "resets":
			a.Cancel()
			c.Flush()
		}
		s.world.Run(2000)
		if n := s.attemptsSeen(); (how == "stays") != (n > 1) {
			t.Errorf("%s: %d sub-requests", how, n)
		}
		if how != "closes" {
			c.Endpoint.Close()
			s.world.Run(100)
		}
		s.checkReleased()
	}
}
