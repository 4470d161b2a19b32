package grpcproxy

import (
	"testing"

	p "kestrelspread/internal/standin/grpcpeer"
)

func TestNothingBeginsForACallThatWasLeft(t *testing.T) {
	// Each way to wait: for a connect, and as a head that stands before a network which takes nothing.
	for _, how := range []string{"connect", "stands still"} {
		s := newScene(t, 31, 1, "")
		s.all(func(_ *p.Got) []p.Act { return acts(p.Only(20, 0)) })
		c := p.Dial(s.w, 1)
		first := c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
		s.w.Run(100)
		if first.Status != 0 || len(s.servers[0].Conns) != 1 {
			t.Fatal(first.Status, len(s.servers[0].Conns))
		}
		held := s.servers[0].Conns[0].End
		if how == "connect" { // the connection that is there goes, and the next one takes its time
			s.servers[0].Conns[0].End.Close()
			s.w.Run(5)
			s.w.Delay = 60
		} else {
			held.Stuck = true
		}
		a := c.Call(&p.Ask{Path: quick, Timeout: 900, Body: [][]byte{p.Message("q")}})
		s.w.Run(2 * s.w.Delay)
		if how != "connect" && held.Backlog() == 0 {
			t.Fatal("no head waits")
		}
		c.E.Close()
		s.w.Run(300)
		held.Unstick()
		s.w.Delay = 0.2
		s.w.Run(1000)
		if s.subs() != 1 {
			t.Errorf("%s: a sub-request began for who had left", how)
		}
		_ = a
		s.clean()
	}
}

func TestNoLaterTryBeginsForACallThatWasLeft(t *testing.T) {
	// Its server turns it away and names a time to come back; where the client stays it goes again then.
	for _, how := range []string{"stays", "closes", "resets"} {
		s := newScene(t, 33, 1, "")
		s.all(func(_ *p.Got) []p.Act { return acts(p.Only(5, 14, "grpc-retry-pushback-ms", "300")) })
		c := p.Dial(s.w, 1)
		a := c.Call(&p.Ask{Path: quick, Timeout: 1500, Body: [][]byte{p.Message("q")}})
		s.w.Run(100)
		if s.subs() != 1 || a.Done() {
			t.Fatal(s.subs(), "sub-requests, done: ", a.Done())
		}
		switch how {
		case "closes":
			c.E.Close()
		case "resets":
			a.Cancel()
			c.Flush()
		}
		s.w.Run(2000)
		if n := s.subs(); (how == "stays") != (n > 1) {
			t.Errorf("%s: %d sub-requests", how, n)
		}
		if how != "closes" {
			c.E.Close()
			s.w.Run(100)
		}
		s.clean()
	}
}
