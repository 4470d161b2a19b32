package policy

import (
	"slices"
	"testing"
)

// A server can be removed only when nothing of it counts any more; a new server with its index starts afresh.
func TestReusedServerIndexHasNoOldState(t *testing.T) {
	p, out := newTestPolicy(2, func(p *Policy) {
		p.SetLoadReports(true, []ReportField{InFlightField})
		p.SetWarmUp(0.2, 5000, 2, 2000)
	})
	now := runAnsweredSearches(p, 1000, 30)
	runSearch(p, now, 1, 1)
	id := out.servers[len(out.servers)-1]
	p.BeginRound(now + 10)
	p.UpdateServer(id, 0, 0, Gone, 0, 0)
	failIf(t, p.RemoveServer(id), "removed with an attempt in flight")
	p.AttemptDone(2, 0, ConnectFailed, []float64{9}) // ejects the server; its load report must not count any more
	p.EndRound()
	p.BeginRound(now + 10)
	failIf(t, p.RemoveServer(id), "removed while the work sent to it counts towards the warm-up limit")
	p.EndRound()
	now += 5000
	p.BeginRound(now)
	failIf(t, !p.servers[id].ejected || !p.RemoveServer(id) || !p.RemoveServer(id), "not removed with nothing in flight")
	failIf(t, p.predictor.reportingServers != 0 || p.predictor.reportedLoad != 0, "its load report still counts: %v", p.predictor.reportedLoad)
	p.EndRound()
	p.BeginRound(now + 30)
	p.UpdateServer(id, 0, 0, Ready, 1, 0) // another server with the same index
	p.UpdateServer(1-id, 0, 0, Gone, 0, 0)
	p.EndRound()
	s := p.servers[id]
	failIf(t, s.ejected || s.meanLatency != 0 || slices.Contains(p.watched, id),
		"the new server has state of the old one: %+v, watched %v", s, p.watched)
	sent := len(out.servers)
	runSearch(p, now+40, 10, 1)
	wantInts(t, "sent to the new server", out.servers[sent:], id)
}
