package passthrough

import (
	"testing"

	p "kestrelspread/internal/standin/grpcpeer"
)

func TestNothingBeginsForACallThatWasLeft(t *testing.T) {
	// Each way to wait: for a connect, and as a head that stands before a network which takes nothing.
	for _, how := range []string{"connect", "stands still"} {
		s := newScene(t, 31, 1, "")
		s.all(func(k *p.Got) []p.Act { return acts(p.Only(20, 0)) })
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
