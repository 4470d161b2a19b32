package admission

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
)

const (
	lateFactor    = 1.1 // times the target latency, from which an answer is expected to be late
	lateWaitShare = 0.5 // of the target must be due to the backlog
	returnShare   = 0.5 // of the target that is to be left of the backlog when the client returns
	waitingShare  = 0.5 // of the brokers with a recent report must have requests waiting
)

// Postpones reports whether a client's first try is to be sent back, and after which time it should
// come again.
//
// A request whose answer would begin too late, because of the backlog of every broker, earns more
// if it is refused at once and served in time when it comes again (RULES.md, "Worth"), and the
// others wait less. So such first tries are advised to come back when the brokers will have read
// their backlog. Who comes again is served, however late.
func (g *Gate) Postpones(now core.Time, req *inflight.Request, s *candidate.Set, chosen *candidate.Candidate) (after core.Time, ok bool) {
	target := req.Route.TargetLatencyMs
	if req.ServedModel == "" || !g.switches.On(mechanism.Postponing) || !req.FirstTry || target <= 0 || !req.Pool.PrefillPaceKnown() {
		return 0, false
	}
	backlog := req.Pool.PrefillWait(now, chosen.Broker)
	expected := backlog + chosen.Plan.PrefillTime
	if expected <= lateFactor*target || backlog < lateWaitShare*target || !requestsWait(now, s) {
		return 0, false
	}
	rest := returnShare * target
	after = units.FromMilliseconds(expected - target + rest + rest*g.random.Float64())
	return after, after <= (req.Deadline-now)/adviceFactor
}

// requestsWait reports whether most candidates with a recent report have requests waiting: else a
// refusal would be one while slots are free (RULES.md, "Prices").
func requestsWait(now core.Time, s *candidate.Set) bool {
	reports, waiting := 0, 0
	for i := range s.Eligible {
		load, recent := s.Eligible[i].Broker.RecentReport(now, reportAge)
		if !recent {
			continue
		}
		reports++
		if load.Waiting > 0 {
			waiting++
		}
	}
	return reports > 0 && float64(waiting) >= waitingShare*float64(reports)
}
