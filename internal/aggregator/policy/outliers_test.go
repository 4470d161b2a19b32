package policy

import (
	"testing"
)

func TestUnresponsiveServerIsEjectedAndItsRequestRetried(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 30)
	n.sent, n.servers = nil, nil
	runSearch(b, now, 0, 1)
	for at := now + 10; at <= now+600; at += 10 {
		b.Begin(at)
		b.Woken()
		b.End()
	}
	if s := b.servers[n.servers[0]]; !s.ejected || !s.unresponsive {
		t.Fatal("a server that answers nothing is not set aside")
	}
	failIf(t, len(n.servers) != 2 || n.servers[1] == n.servers[0], "sent to %v: want the request retried on the other server than the unresponsive one", n.servers)
}

// A broker that stood still heard nothing meanwhile, and took all its servers for silent at once.
func TestOwnStallIsNoTimeoutOfServers(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 30)
	runSearch(b, now, 0, 1)
	endLastAttempts(b, now+2000, Answered)
	if s := b.servers[n.servers[len(n.servers)-1]]; s.ejected {
		t.Fatal("a server is set aside for this broker's own stall")
	}
}

// Connections that broke here and there set sound servers aside as dead, and throttled them as
// restarted.
func TestBrokenConnectionIsOneErrorAndEjectsNobody(t *testing.T) {
	b, _ := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 30)
	runSearch(b, now, 0, 4)
	endLastAttempts(b, now+10, Reset, 1, 2, 3, 4)
	for i, s := range b.servers {
		failIf(t, s.ejected, "server %d is set aside for one broken connection", i)
	}
}
