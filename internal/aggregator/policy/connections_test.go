package policy

import (
	"testing"
)

// Guards against idle connections that were dropped without notice, over which the first attempt
// after an idle time, and each trial, gets lost.
func TestFaultyIdleConnectionsAreClosedBeforeSend(t *testing.T) {
	for _, idle := range []bool{true, false} { // false: attempts get lost on all connections, so the server hangs
		p, out := newTestPolicy(2, nil)
		now := runAnsweredSearches(p, 1000, 30) + 1500
		p.servers[0].answeredAt, p.servers[1].answeredAt = now-1500, now-1500
		for range minIdleLost {
			p.connections.record(now, &attemptState{onIdleConnection: idle}, true)
			p.connections.record(now, &attemptState{}, !idle)
		}
		runSearch(p, now, 0, 1)
		failIf(t, len(out.closed) > 0 != idle, "lost on idle connections only: %v; closed %v", idle, out.closed)
		p.connections.idleWereFaulty = false
		p.eject(0, true, "test")
		p.eject(1, true, "test")
		endLastAttempts(p, now+100, Answered, 1)
		out.closed = nil
		s := p.servers[0]
		if !s.ejected {
			s = p.servers[1]
		}
		failIf(t, s.trialAt <= now+100 != idle, "lost on idle connections only: %v; trial in %.0f ms", idle, s.trialAt-now)
	}
}
