package capacity

import (
	"fmt"
	"slices"

	"kestrelspread/internal/aggregator/policy"
)

// Port stands between a caller and the decision module, as the estimator's eyes and hands: it
// observes demand, outcomes and the server list, and tells the module the threshold. It changes no
// call, and decides nothing else. (The module's words are those of policy.Decider: a search's kind is
// its type, a try an attempt, a hall a site.)
type Port struct {
	policy.Decider
	out       policy.Executor
	estimator *Estimator
	now       float64

	latencyTargets []float64 // by type
	typeValues     []float64 // by type

	searchType  []int // by search; -1: not known
	searchParts []int // by search
	arrivals    []arrival

	partIsTop         []bool      // by part: its search is of the highest value
	partLatencyTarget []float64   // by part; 0: none
	attemptSentAt     [][]float64 // by part and attempt

	servers      []server     // by id
	lostHalls    map[int]bool // by hall
	thresholdSet bool         // as it was logged
}

// arrival is a search of this turn.
type arrival struct{ search, parts int }

// server is what counts towards the usable capacity.
type server struct {
	hall     int
	capacity float64
	ready    bool
}

var (
	_ policy.Decider  = (*Port)(nil)
	_ policy.Executor = (*outbound)(nil)
)

// Wrap puts an estimator before the module that newModule makes of the given output.
func Wrap(out policy.Executor, config Config, newModule func(policy.Executor) policy.Decider) *Port {
	p := &Port{out: out, estimator: New(config), lostHalls: map[int]bool{}}
	p.Decider = newModule(&outbound{out, p})
	return p
}

// Estimator is the port's, for reports.
func (p *Port) Estimator() *Estimator { return p.estimator }

// AddQueryType takes up a type's latency target and value (policy.Decider).
func (p *Port) AddQueryType(latencyTarget, value, late float64, effect policy.RepeatEffect, tokenFor float64) {
	p.latencyTargets = append(p.latencyTargets, latencyTarget)
	p.typeValues = append(p.typeValues, value)
	p.Decider.AddQueryType(latencyTarget, value, late, effect, tokenFor)
}

// SetPriority takes up what a type counts with in place of its value (policy.Decider).
func (p *Port) SetPriority(kind int, value float64) {
	if kind >= 0 && kind < len(p.typeValues) {
		p.typeValues[kind] = value
	}
	p.Decider.SetPriority(kind, value)
}

// isTopType tells whether no type has a higher value.
func (p *Port) isTopType(kind int) bool {
	return kind >= 0 && kind < len(p.typeValues) && p.typeValues[kind] >= slices.Max(p.typeValues)
}

// BeginRound opens a turn (policy.Decider).
func (p *Port) BeginRound(now float64) {
	p.now = now
	p.estimator.BeginTurn(now)
	p.Decider.BeginRound(now)
}

// AddSearch takes up a search that arrived (policy.Decider).
func (p *Port) AddSearch(id, kind, customer int, until float64, parts int) {
	for len(p.searchType) <= id {
		p.searchType, p.searchParts = append(p.searchType, -1), append(p.searchParts, 0)
	}
	p.searchType[id], p.searchParts[id] = kind, parts
	p.arrivals = append(p.arrivals, arrival{id, parts})
	p.Decider.AddSearch(id, kind, customer, until, parts)
}

// AddShardRequest takes up a part of a search (policy.Decider).
func (p *Port) AddShardRequest(search, id, shard int, weight, work float64, key uint64) {
	p.growParts(id)
	p.attemptSentAt[id], p.partLatencyTarget[id], p.partIsTop[id] = p.attemptSentAt[id][:0], 0, false
	if kind := p.searchType[search]; kind >= 0 && kind < len(p.latencyTargets) {
		p.partLatencyTarget[id], p.partIsTop[id] = p.latencyTargets[kind], p.isTopType(kind)
	}
	p.Decider.AddShardRequest(search, id, shard, weight, work, key)
}

// growParts makes room for a part's id.
func (p *Port) growParts(id int) {
	for len(p.attemptSentAt) <= id {
		p.attemptSentAt = append(p.attemptSentAt, nil)
		p.partLatencyTarget = append(p.partLatencyTarget, 0)
		p.partIsTop = append(p.partIsTop, false)
	}
}

// AttemptDone records how an attempt ended (policy.Decider).
func (p *Port) AttemptDone(part, try int, how policy.Outcome, report []float64) {
	if part < len(p.attemptSentAt) && try < len(p.attemptSentAt[part]) {
		outcome := p.classify(part, p.now-p.attemptSentAt[part][try], how)
		p.estimator.RecordOutcomes(outcome, p.partIsTop[part], 1)
	}
	p.Decider.AttemptDone(part, try, how, report)
}

// classify says what the end of an attempt tells of its server's capacity.
func (p *Port) classify(part int, tookMs float64, how policy.Outcome) Outcome {
	target := p.partLatencyTarget[part]
	late := target > 0 && tookMs > p.estimator.config.LateFraction*target
	switch {
	case how == policy.Rejected:
		return OutcomeHarmed
	case late && (how == policy.Answered || how == policy.Cancelled):
		return OutcomeHarmed
	case how == policy.Answered:
		return OutcomeOK
	}
	return OutcomeUnknown
}

// UpdateServer takes up a server of the list (policy.Decider).
func (p *Port) UpdateServer(id, hall, cell int, state policy.ServerStatus, size, started float64) {
	for len(p.servers) <= id {
		p.servers = append(p.servers, server{})
	}
	s := &p.servers[id]
	s.ready = state == policy.Ready
	if state != policy.Gone {
		s.hall, s.capacity = hall, max(size, 0)
	}
	p.updateUsable()
	p.Decider.UpdateServer(id, hall, cell, state, size, started)
}

// ZoneChanged takes up that a hall is lost, or is back (policy.Decider).
func (p *Port) ZoneChanged(hall int, lost bool, spread float64) {
	p.lostHalls[hall] = lost
	p.updateUsable()
	p.Decider.ZoneChanged(hall, lost, spread)
}

// updateUsable adds up the capacity of the servers that are ready and at no lost site.
func (p *Port) updateUsable() {
	usable := 0.0
	for _, s := range p.servers {
		if s.ready && !p.lostHalls[s.hall] {
			usable += s.capacity
		}
	}
	p.estimator.SetUsable(usable)
}

// EndRound records the turn's demand, and passes on a threshold that has moved (policy.Decider). Only now
// is all known that a search counts with.
func (p *Port) EndRound() {
	for _, a := range p.arrivals {
		p.estimator.RecordDemand(p.Decider.SearchValue(a.search), a.parts)
	}
	p.arrivals = p.arrivals[:0]
	if p.estimator.EndTurn() {
		threshold := p.estimator.Threshold()
		p.Decider.SetCapacityFloor(threshold.Value, threshold.RejectedShare)
		p.logThreshold(threshold)
	}
	p.Decider.EndRound()
}

// logThreshold logs when a threshold is set, and when it is lifted.
func (p *Port) logThreshold(threshold Threshold) {
	set := threshold.Value > 0
	if set == p.thresholdSet {
		return
	}
	p.thresholdSet = set
	p.out.Log(fmt.Sprintf("servers bear %.2f of what is asked; refused: what counts under %.3g",
		p.estimator.AdmittedShare(), threshold.Value))
}

// outbound observes what the module does.
type outbound struct {
	policy.Executor
	port *Port
}

// Send records when an attempt was sent (policy.Executor).
func (o *outbound) Send(part, server int, within, begin float64) {
	o.port.growParts(part)
	o.port.attemptSentAt[part] = append(o.port.attemptSentAt[part], o.port.now)
	o.Executor.Send(part, server, within, begin)
}

// Shed records a search that was rejected (policy.Executor).
func (o *outbound) Shed(search int, comeBack float64) {
	o.port.recordRejection(search)
	o.Executor.Shed(search, comeBack)
}

// Fail records a search that failed (policy.Executor).
func (o *outbound) Fail(search int) {
	o.port.recordRejection(search)
	o.Executor.Fail(search)
}

// recordRejection records harm in all parts where a search of the highest value was not served
// while lower values are admitted.
func (p *Port) recordRejection(search int) {
	if search < len(p.searchType) && p.estimator.AdmitsLowerValues() && p.isTopType(p.searchType[search]) {
		p.estimator.RecordOutcomes(OutcomeHarmed, true, float64(p.searchParts[search]))
	}
}
