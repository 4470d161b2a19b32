package policy

import (
	"testing"
)

// Rejections are fast and free the place in flight at once: without a pause everything would be
// sent to the server that rejects.
func TestServerThatRejectsIsPaused(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	runSearch(p, 1000, 0, 1)
	endLastAttempts(p, 1002, Rejected, 1)
	failIf(t, len(out.servers) != 2 || out.servers[1] == out.servers[0], "sent to %v: want the other server after a rejection", out.servers)
	runSearch(p, 1003, 10, 1)
	failIf(t, out.servers[2] == out.servers[0], "sent to a full server again without a pause")
}

// Guards against a shard request using up its attempts on a server that fails at once, while its
// other replicas are busy. With one of eight servers failing, all attempts were spent within ten
// milliseconds, and the search was given up with 95 of its 100 shard requests answered.
func TestAttemptsAreNotSpentAtOnceOnFailingServers(t *testing.T) {
	p, out := newTestPolicy(2, func(p *Policy) { p.SetLimits(4, 100, true, true) })
	p.eject(0, false, "test")
	p.servers[1].rejectsUntil = 1300
	runSearch(p, 1000, 0, 1)
	wantInts(t, "sent first to", out.servers, 0)
	endLastAttempts(p, 1005, Errored, 1)
	for at := 1010.; at < 1290; at += 10 {
		p.BeginRound(at)
		p.WakeUpDue()
		p.EndRound()
	}
	wantInts(t, "sent within the pause to", out.servers, 0)
	p.BeginRound(1310)
	p.WakeUpDue()
	p.EndRound()
	wantInts(t, "sent once the other server has room to", out.servers, 0, 1)
}
