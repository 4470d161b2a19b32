package policy

import (
	"testing"
)

// Connections that were dropped unnoticed must not fail each request after an idle time, or its trials.
func TestFaultyIdleConnectionsAreClosedBeforeSend(t *testing.T) {
	for _, idle := range []bool{true, false} { // lost on idle connections alone, or on all: then the server hangs
		b, n := newTestPolicy(2, nil)
		now := runAnsweredSearches(b, 1000, 30) + 1500
		b.servers[0].answeredAt, b.servers[1].answeredAt = now-1500, now-1500
		for range minIdleLost {
			b.connections.record(now, &attemptState{onIdleConnection: idle}, true)
			b.connections.record(now, &attemptState{}, !idle)
		}
		runSearch(b, now, 0, 1)
		failIf(t, len(n.closed) > 0 != idle, "lost on idle connections %v: closed %v", idle, n.closed)
		b.connections.idleWereFaulty = false
		b.eject(0, true, "test")
		b.eject(1, true, "test")
		endLastAttempts(b, now+100, Answered, 1)
		n.closed = nil
		s := b.servers[0]
		if !s.ejected {
			s = b.servers[1]
		}
		failIf(t, s.trialAt <= now+100 != idle, "lost on idle connections %v: tried in %.0f ms", idle, s.trialAt-now)
	}
}
