package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
)

// A request whose answer would begin too late, because of what waits at every broker, earns more if it is refused at once and
// served in time when it comes again (RULES.md, "Worth"), and the others wait less. So first tries of that kind are told to
// come back when the brokers will have read what waits. Who comes again is served, however late.
const (
	lateFactor   = 1.1 // times the target latency, from which an answer is expected to be late
	lateByWait   = 0.5 // of the target must be due to what waits
	returnShare  = 0.5 // of the target that is to be left of it when the client returns
	freshShare   = 0.99
	longestKept  = 10 * time.Second
	waitingShare = 0.5 // of the brokers that told lately must have requests waiting
)

// fresh reports whether a request is its client's first try: as much time is left as any of the class had lately. What comes
// again has less.
func (c *class) fresh(now core.Time, request *Request) bool {
	left := request.ClientWait
	if left == 0 {
		left = request.Deadline - request.Received
	}
	if left >= c.longest || now > c.longestAt+longestKept {
		c.longest, c.longestAt = left, now
	}
	return float64(left) >= freshShare*float64(c.longest)
}

// postponed reports whether a first try is to be sent back, and after which time it should come again.
func (r *Router) postponed(now core.Time, req *request, f *field, chosen *candidate) (after core.Time, ok bool) {
	target := req.Route.TargetLatencyMs
	if req.model == "" || !r.switches.On(mechanism.Postponing) || !req.fresh || target <= 0 || !req.pool.pace.known() {
		return 0, false
	}
	waiting := r.waiting(now, req.pool, chosen.broker)
	expected := waiting + chosen.reading
	if expected <= lateFactor*target || waiting < lateByWait*target || !requestsWait(now, f) {
		return 0, false
	}
	rest := returnShare * target
	after = units.FromMilliseconds(expected - target + rest + rest*r.options.Random.Float64())
	return after, after <= (req.Deadline-now)/adviceShare
}

// requestsWait reports whether most candidates that told lately have requests waiting: else a refusal would be one while
// places are free (RULES.md, "Prices").
func requestsWait(now core.Time, f *field) bool {
	told, waiting := 0, 0
	for i := range f.sound {
		report := &f.sound[i].broker.report
		if !report.heard || now-report.at > overloadReport {
			continue
		}
		told++
		if report.load.Waiting > 0 {
			waiting++
		}
	}
	return told > 0 && float64(waiting) >= waitingShare*float64(told)
}
