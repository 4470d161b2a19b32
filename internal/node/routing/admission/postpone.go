package admission

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
)

const (
	lateThresholdFactor  = 1.1 // times the target latency, from which an answer is expected to be late
	minBacklogShare      = 0.5 // of the target must be due to the backlog
	backlogShareOnReturn = 0.5 // of the target that is to be left of the backlog when the client returns
	minQueueingShare     = 0.5 // of the brokers with a recent report must have requests waiting
)

// ShouldPostpone reports whether a client's first try is to be sent back, and after which time it should
// come again.
//
// A request whose answer would begin too late, because of the backlog of every broker, earns more
// if it is refused at once and served in time when it comes again (RULES.md, "Worth"), and the
// others wait less. So such first tries are advised to come back when the brokers will have read
// their backlog. Who comes again is served, however late.
func (g *Controller) ShouldPostpone(now core.Time, req *inflight.Request, s *candidate.Set, chosen *candidate.Candidate) (after core.Time, ok bool) {
	target := req.Route.TargetLatencyMs
	if req.ServedModel == "" || !g.switches.On(mechanism.Postponing) || !req.FirstTry || target <= 0 || !req.Pool.PrefillPaceKnown() {
		return 0, false
	}
	backlog := req.Pool.PrefillWait(now, chosen.Broker)
	expected := backlog + chosen.Plan.PrefillTime
	if expected <= lateThresholdFactor*target || backlog < minBacklogShare*target || !mostBrokersQueueing(now, s) {
		return 0, false
	}
	rest := backlogShareOnReturn * target
	after = units.FromMilliseconds(expected - target + rest + rest*g.random.Float64())
	return after, after <= (req.Deadline-now)/retryAfterDivisor
}

// mostBrokersQueueing reports whether most candidates with a recent report have requests waiting: else a
// refusal would be one while slots are free (RULES.md, "Prices").
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
