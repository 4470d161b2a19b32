package policy

import (
	"slices"
	"testing"
)

func TestRemovedServerLeavesNothingToItsIndex(t *testing.T) {
	b, n := newTestPolicy(2, func(b *Policy) {
		b.Reports(true, []Field{InFlight})
		b.WarmUp(0.2, 5000, 2, 2000)
	})
	now := runAnsweredSearches(b, 1000, 30)
	runSearch(b, now, 1, 1)
	at := n.servers[len(n.servers)-1]
	b.Begin(now + 10)
	b.Server(at, 0, 0, Gone, 0, 0)
	failIf(t, b.RemoveServer(at), "dropped with a part out")
	b.Done(2, 0, ConnectFailed, []float64{9}) // which sets it aside, and reports what counts no more
	b.End()
	b.Begin(now + 10)
	failIf(t, b.RemoveServer(at), "dropped while what it was sent counts")
	b.End()
	now += 5000
	b.Begin(now)
	failIf(t, !b.servers[at].ejected || !b.RemoveServer(at) || !b.RemoveServer(at), "not dropped with nothing out")
	failIf(t, b.predictor.reportingServers != 0 || b.predictor.reportedLoad != 0, "what it reported stays: %v", b.predictor.reportedLoad)
	b.End()
	b.Begin(now + 30)
	b.Server(at, 0, 0, Ready, 1, 0) // another, under the same index
	b.Server(1-at, 0, 0, Gone, 0, 0)
	b.End()
	s := b.servers[at]
	failIf(t, s.ejected || s.meanLatency != 0 || slices.Contains(b.watched, at), "the new one is taken for the old: %+v, %v", s, b.watched)
	sent := len(n.servers)
	runSearch(b, now+40, 10, 1)
	wantInts(t, "sent to the new one", n.servers[sent:], at)
}
