package grpcproxy

import (
	"strings"
	"testing"

	"kestrelspread/internal/routes"
	p "kestrelspread/internal/standin/grpcpeer"
)

func TestReloadKeepsRoutesOfOpenCalls(t *testing.T) {
	s := newHarness(t, 18, 2, "")
	s.scriptAll(func(_ *p.ServerCall) []p.Action {
		return acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.SendMessage(300, strings.Repeat("b", 40<<10)), p.SendTrailers(0, 0))
	})
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(50)
	next := defaultSettings(&routes.Route{Name: "other", Service: "other", DefaultTimeout: 500, MaxTimeout: 500, MaxMessageBytes: 1 << 10})
	s.proxy.NextSettings.Store(next)
	s.world.After(0, s.proxy.ReloadSettings)
	s.world.Run(5)
	b := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(900)
	if a.Status != 0 || len(a.ReceivedBody) < 40<<10 {
		t.Errorf("the open call: status %d, %d bytes", a.Status, len(a.ReceivedBody))
	}
	if b.Status != 12 {
		t.Errorf("its route is gone: status %d", b.Status)
	}
	s.closeAndCheck(c)
}

func TestShutdownGivesEveryCallAStatus(t *testing.T) {
	s := newHarness(t, 19, 2, "")
	s.scriptAll(func(_ *p.ServerCall) []p.Action {
		return acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.SendMessage(9000, "b"), p.SendTrailers(0, 0))
	})
	c := p.Dial(s.world, 1)
	long := c.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 5000, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(50)
	s.world.After(0, func() { s.world.Engine.Notified(0) })
	s.world.Run(50)
	if !c.Draining {
		t.Error("no GOAWAY at once")
	}
	s.scriptAll(func(_ *p.ServerCall) []p.Action { return acts(p.SendTrailersOnly(1, 0)) })
	short := p.Dial(s.world, 1)
	a := short.Call(&p.ClientCall{Path: quickPath, TimeoutMs: 300, Body: [][]byte{p.EncodeMessage("q")}})
	s.world.Run(4000)
	if a.Status != 0 {
		t.Errorf("a call in the grace: status %d", a.Status)
	}
	if long.FinalStatuses != 1 || long.Status != 14 || messagesOf(long.ReceivedBody) != "a" {
		t.Errorf("the long call: %d finals, status %d, %q", long.FinalStatuses, long.Status, long.ReceivedBody)
	}
	if !s.world.Stopped {
		t.Error("the broker has not ended")
	}
	if long.DoneAtMs > s.world.Engine.Now() {
		t.Error("after the end")
	}
}
