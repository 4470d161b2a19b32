package policy

import (
	"testing"
)

func TestUnresponsiveServerIsEjectedAndItsRequestRetried(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 30)
	out.sent, out.servers = nil, nil
	runSearch(p, now, 0, 1)
	for at := now + 10; at <= now+600; at += 10 {
		p.BeginRound(at)
		p.WakeUpDue()
		p.EndRound()
	}
	if s := p.servers[out.servers[0]]; !s.ejected || !s.unresponsive {
		t.Fatal("a server that answers nothing is not ejected as unresponsive")
	}
	failIf(t, len(out.servers) != 2 || out.servers[1] == out.servers[0],
		"sent to %v: want the request retried at the other server", out.servers)
}

// After a stall of its own an aggregator has received nothing for a while. It must not take all its
// servers for unresponsive.
func TestOwnStallEjectsNoServer(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 30)
	runSearch(p, now, 0, 1)
	endLastAttempts(p, now+2000, Answered)
	if s := p.servers[out.servers[len(out.servers)-1]]; s.ejected {
		t.Fatal("a server is ejected because of a stall of the aggregator")
	}
}

// Guards against ejecting healthy servers as unreachable because a few connections broke, and then
// limiting them as if they had restarted.
func TestBrokenConnectionIsOneErrorAndEjectsNoServer(t *testing.T) {
	p, _ := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 30)
	runSearch(p, now, 0, 4)
	endLastAttempts(p, now+10, ConnectionReset, 1, 2, 3, 4)
	for i, s := range p.servers {
		failIf(t, s.ejected, "server %d is ejected because of one broken connection", i)
	}
}
