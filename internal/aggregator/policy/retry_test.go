package policy

import (
	"testing"
)

// Refusals are quick, and free their place at once: without a rest everything goes to whoever
// refuses.
func TestServerThatRejectsIsLeftAlone(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	runSearch(b, 1000, 0, 1)
	endLastAttempts(b, 1002, Rejected, 1)
	failIf(t, len(n.servers) != 2 || n.servers[1] == n.servers[0], "sent to %v: want the other server after a refusal", n.servers)
	runSearch(b, 1003, 10, 1)
	failIf(t, n.servers[2] == n.servers[0], "sent to a full server again at once")
}

// One of eight servers failed at once, and the parts of a search that had no other place just then
// spent all their tries on it within ten milliseconds: 95 of 100 parts were in when such a search
// was given up.
func TestAttemptsAreNotSpentAtOnceOnFailingServers(t *testing.T) {
	b, n := newTestPolicy(2, func(b *Policy) { b.Limits(4, 100, true, true) })
	b.eject(0, false, "test")
	b.servers[1].rejectsUntil = 1300
	runSearch(b, 1000, 0, 1)
	wantInts(t, "the first", n.servers, 0)
	endLastAttempts(b, 1005, Errored, 1)
	for at := 1010.; at < 1290; at += 10 {
		b.Begin(at)
		b.Woken()
		b.End()
	}
	wantInts(t, "within the pause", n.servers, 0)
	b.Begin(1310)
	b.Woken()
	b.End()
	wantInts(t, "once the other has room", n.servers, 0, 1)
}
