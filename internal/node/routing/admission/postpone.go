package admission

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
)

const (
	lateThresholdFactor  = 1.1 // multiple of the target latency above which an expected answer counts as late
	minBacklogShare      = 0.5 // share of the target that the wait for the backlog must take
	backlogShareOnReturn = 0.5 // share of the target that the backlog may still take when the client tries again
	minQueueingShare     = 0.5 // share of the brokers with a recent load report that must have requests waiting
)

// ShouldPostpone reports whether the first try of a client is refused because its answer would be
// late, and the Retry-After for it.
//
// A request whose answer would begin too late because of the backlog of every broker is worth more
// if it is refused at once and served in time on its second try (RULES.md, "Worth"), and other
// requests wait less. The client is asked to come back when the brokers will have read most of
// their backlog. Only first tries are postponed: a client that comes again is served, however late.
func (c *Controller) ShouldPostpone(
	now core.Time, req *inflight.Request, s *candidate.Set, chosen *candidate.Candidate,
) (after core.Time, ok bool) {
	target := req.Route.TargetLatencyMs
	if req.ServedModel == "" || !c.switches.On(mechanism.Postponing) || !req.FirstTry || target <= 0 || !req.Pool.PrefillTimeKnown() {
		return 0, false
	}
	backlog := req.Pool.PrefillWait(now, chosen.Broker)
	expected := backlog + chosen.Plan.PrefillTime
	if expected <= lateThresholdFactor*target || backlog < minBacklogShare*target || !mostBrokersQueueing(now, s) {
		return 0, false
	}
	remaining := backlogShareOnReturn * target
	after = units.FromMilliseconds(expected - target + remaining + remaining*c.random.Float64())
	return after, after <= (req.Deadline-now)/retryAfterDivisor
}

// mostBrokersQueueing reports whether at least minQueueingShare of the candidates with a recent load
// report have requests waiting. While fewer have, a request would be refused although slots are free
// (RULES.md, "Prices").
func mostBrokersQueueing(now core.Time, s *candidate.Set) bool {
	reports, waiting := 0, 0
	for i := range s.Eligible {
		load, recent := s.Eligible[i].Broker.RecentReport(now, maxReportAge)
		if !recent {
			continue
		}
		reports++
		if load.Waiting > 0 {
			waiting++
		}
	}
	return reports > 0 && float64(waiting) >= minQueueingShare*float64(reports)
}
