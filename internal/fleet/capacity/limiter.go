package capacity

import (
	"fmt"
	"slices"

	"kestrelspread/internal/aggregator/policy"
)

// Limiter wraps a decision module and adds the capacity estimate to it: it observes demand, outcomes and the server list, and
// tells the module the threshold below which searches are rejected. It passes every call on unchanged and makes no other
// decision.
type Limiter struct {
	policy.Decider
	out       policy.Executor
	estimator *Estimator
	now       float64 // ms

	latencyTargets []float64 // by query type, in ms
	typeValues     []float64 // by query type

	searchType     []int     // by search: its query type; -1: unknown
	searchRequests []int     // by search: its number of shard requests
	arrivals       []arrival // searches that arrived in this round

	requestIsTop         []bool      // by shard request: whether its search is of the highest value
	requestLatencyTarget []float64   // by shard request, in ms; 0: none
	attemptSentAt        [][]float64 // by shard request and attempt

	servers         []server     // by id
	lostZones       map[int]bool // by zone
	thresholdLogged bool         // whether the latest log line told of a threshold
}

// arrival is a search that arrived in the current round, with its number of shard requests.
type arrival struct{ search, requests int }

// server holds what a server contributes to the usable capacity.
type server struct {
	zone     int
	capacity float64
	ready    bool
}

var (
	_ policy.Decider  = (*Limiter)(nil)
	_ policy.Executor = (*observedOut)(nil)
)

// Wrap returns a Limiter in front of the module that newModule creates. The module is given an output that observes its
// decisions and passes them on to out.
func Wrap(out policy.Executor, config Config, newModule func(policy.Executor) policy.Decider) *Limiter {
	l := &Limiter{out: out, estimator: New(config), lostZones: map[int]bool{}}
	l.Decider = newModule(&observedOut{out, l})
	return l
}

// Estimator returns the limiter's estimator, for reports.
func (l *Limiter) Estimator() *Estimator { return l.estimator }

// AddQueryType records the latency target and the value of the next query type (policy.Decider).
func (l *Limiter) AddQueryType(latencyTarget, value, lateValue float64, effect policy.RepeatEffect, tokenWindow float64) {
	l.latencyTargets = append(l.latencyTargets, latencyTarget)
	l.typeValues = append(l.typeValues, value)
	l.Decider.AddQueryType(latencyTarget, value, lateValue, effect, tokenWindow)
}

// SetPriority records the priority that replaces the value of a query type (policy.Decider).
func (l *Limiter) SetPriority(queryType int, priority float64) {
	if queryType >= 0 && queryType < len(l.typeValues) {
		l.typeValues[queryType] = priority
	}
	l.Decider.SetPriority(queryType, priority)
}

// isTopType reports whether no query type has a higher value than the given one.
func (l *Limiter) isTopType(queryType int) bool {
	return queryType >= 0 && queryType < len(l.typeValues) && l.typeValues[queryType] >= slices.Max(l.typeValues)
}

// BeginRound begins a round at the time now, in ms (policy.Decider).
func (l *Limiter) BeginRound(now float64) {
	l.now = now
	l.estimator.BeginRound(now)
	l.Decider.BeginRound(now)
}

// AddSearch records the arrival of a search (policy.Decider).
func (l *Limiter) AddSearch(id, queryType, customer int, deadline float64, requests int) {
	for len(l.searchType) <= id {
		l.searchType, l.searchRequests = append(l.searchType, -1), append(l.searchRequests, 0)
	}
	l.searchType[id], l.searchRequests[id] = queryType, requests
	l.arrivals = append(l.arrivals, arrival{id, requests})
	l.Decider.AddSearch(id, queryType, customer, deadline, requests)
}

// AddShardRequest records the latency target of a shard request, and whether its search is of the highest value (policy.Decider).
func (l *Limiter) AddShardRequest(search, id, shard int, weight, work float64, key uint64) {
	l.growRequests(id)
	l.attemptSentAt[id], l.requestLatencyTarget[id], l.requestIsTop[id] = l.attemptSentAt[id][:0], 0, false
	if queryType := l.searchType[search]; queryType >= 0 && queryType < len(l.latencyTargets) {
		l.requestLatencyTarget[id], l.requestIsTop[id] = l.latencyTargets[queryType], l.isTopType(queryType)
	}
	l.Decider.AddShardRequest(search, id, shard, weight, work, key)
}

// growRequests extends the slices that are indexed by shard request so that they include id.
func (l *Limiter) growRequests(id int) {
	for len(l.attemptSentAt) <= id {
		l.attemptSentAt = append(l.attemptSentAt, nil)
		l.requestLatencyTarget = append(l.requestLatencyTarget, 0)
		l.requestIsTop = append(l.requestIsTop, false)
	}
}

// AttemptDone records how an attempt ended (policy.Decider).
func (l *Limiter) AttemptDone(request, attempt int, result policy.Outcome, report []float64) {
	if request < len(l.attemptSentAt) && attempt < len(l.attemptSentAt[request]) {
		outcome := l.classify(request, l.now-l.attemptSentAt[request][attempt], result)
		l.estimator.RecordOutcomes(outcome, l.requestIsTop[request], 1)
	}
	l.Decider.AttemptDone(request, attempt, result, report)
}

// classify returns what the end of an attempt says about the capacity of its server.
func (l *Limiter) classify(request int, tookMs float64, result policy.Outcome) Outcome {
	target := l.requestLatencyTarget[request]
	late := target > 0 && tookMs > l.estimator.config.LateFraction*target
	switch {
	case result == policy.Rejected:
		return OutcomeOverloaded
	case late && (result == policy.Answered || result == policy.Cancelled):
		return OutcomeOverloaded
	case result == policy.Answered:
		return OutcomeOK
	}
	return OutcomeUnknown
}

// UpdateServer records the zone, state and capacity of a listed server (policy.Decider).
func (l *Limiter) UpdateServer(id, zone, position int, state policy.ServerStatus, size, startedAt float64) {
	for len(l.servers) <= id {
		l.servers = append(l.servers, server{})
	}
	s := &l.servers[id]
	s.ready = state == policy.Ready
	if state != policy.Gone {
		s.zone, s.capacity = zone, max(size, 0)
	}
	l.updateUsableCapacity()
	l.Decider.UpdateServer(id, zone, position, state, size, startedAt)
}

// ZoneChanged records that a zone is lost or has come back (policy.Decider).
func (l *Limiter) ZoneChanged(zone int, lost bool, spread float64) {
	l.lostZones[zone] = lost
	l.updateUsableCapacity()
	l.Decider.ZoneChanged(zone, lost, spread)
}

// updateUsableCapacity passes the total capacity of the servers that are ready and in no lost zone to the estimator.
func (l *Limiter) updateUsableCapacity() {
	usable := 0.0
	for _, s := range l.servers {
		if s.ready && !l.lostZones[s.zone] {
			usable += s.capacity
		}
	}
	l.estimator.SetUsableCapacity(usable)
}

// EndRound records the demand of the round and passes on a changed threshold (policy.Decider). Demand is recorded only here because a
// search's value depends on all the events of its round, for example on MarkRetry.
func (l *Limiter) EndRound() {
	for _, a := range l.arrivals {
		l.estimator.RecordDemand(l.Decider.SearchValue(a.search), a.requests)
	}
	l.arrivals = l.arrivals[:0]
	if l.estimator.EndRound() {
		threshold := l.estimator.Threshold()
		l.Decider.SetCapacityFloor(threshold.Value, threshold.RejectedShare)
		l.logThreshold(threshold)
	}
	l.Decider.EndRound()
}

// logThreshold logs when a threshold is set and when it is lifted. Changes of its value are not logged.
func (l *Limiter) logThreshold(threshold Threshold) {
	set := threshold.Value > 0
	if set == l.thresholdLogged {
		return
	}
	l.thresholdLogged = set
	l.out.Log(fmt.Sprintf("servers bear %.2f of what is asked; refused: what counts under %.3g",
		l.estimator.AdmittedShare(), threshold.Value))
}

// observedOut passes the module's decisions on and lets the limiter observe them.
type observedOut struct {
	policy.Executor
	limiter *Limiter
}

// Send records when an attempt was sent (policy.Executor).
func (o *observedOut) Send(request, server int, within, begin float64) {
	o.limiter.growRequests(request)
	o.limiter.attemptSentAt[request] = append(o.limiter.attemptSentAt[request], o.limiter.now)
	o.Executor.Send(request, server, within, begin)
}

// Shed records that a search was rejected (policy.Executor).
func (o *observedOut) Shed(search int, retryAfter float64) {
	o.limiter.recordRejection(search)
	o.Executor.Shed(search, retryAfter)
}

// Fail records that a search failed (policy.Executor).
func (o *observedOut) Fail(search int) {
	o.limiter.recordRejection(search)
	o.Executor.Fail(search)
}

// recordRejection records all shard requests of a search as overloaded if the search is of the highest value and lower values
// are still admitted: the threshold can't be the reason then, as it rejects lower values first.
func (l *Limiter) recordRejection(search int) {
	if search < len(l.searchType) && l.estimator.AdmitsLowerValues() && l.isTopType(l.searchType[search]) {
		l.estimator.RecordOutcomes(OutcomeOverloaded, true, float64(l.searchRequests[search]))
	}
}
