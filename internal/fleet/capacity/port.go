package capacity

import (
	"fmt"
	"slices"

	"kestrelspread/internal/decide"
)

// Port stands between a caller and the module: it hears what is asked, how sub-requests end and what the list holds, and
// tells the module below which worth servers bear no more. It decides nothing else and changes no call.
type Port struct {
	decide.Port
	estimator         *Estimator
	now               float64
	latencyTargets    []float64 // by type
	typeValues        []float64
	searchParts       []int  // by search, its parts
	partIsTop         []bool // by part
	servers           []server
	lostHalls         map[int]bool // by hall
	attemptSentAt     [][]float64  // by part: when each of its sub-requests went
	searchType        []int        // by search
	partLatencyTarget []float64    // by part
	arrivals          []arrival    // in this turn
	out               decide.Out
	thresholdSet      bool
}

type arrival struct{ search, parts int }

type server struct {
	hall     int
	capacity float64
	ready    bool
}

// Wrap puts a plan before the module that module makes of the given way out.
func Wrap(out decide.Out, rules Config, module func(decide.Out) decide.Port) *Port {
	p := &Port{estimator: New(rules), lostHalls: map[int]bool{}, out: out}
	p.Port = module(&outbound{out, p})
	return p
}

// Estimator is for reports.
func (p *Port) Estimator() *Estimator { return p.estimator }

// QueryType implements decide.Port; it keeps its latency target and value.
func (p *Port) QueryType(aim, value, late float64, effect decide.Effect, tokenFor float64) {
	p.latencyTargets, p.typeValues = append(p.latencyTargets, aim), append(p.typeValues, value)
	p.Port.QueryType(aim, value, late, effect, tokenFor)
}

// Order implements decide.Port; it keeps what a type counts with in place of its value.
func (p *Port) Order(kind int, worth float64) {
	if kind >= 0 && kind < len(p.typeValues) {
		p.typeValues[kind] = worth
	}
	p.Port.Order(kind, worth)
}

// isTopType tells whether no type is worth more.
func (p *Port) isTopType(kind int) bool {
	return kind >= 0 && kind < len(p.typeValues) && p.typeValues[kind] >= slices.Max(p.typeValues)
}

// Begin implements decide.Port; it keeps the time of the round.
func (p *Port) Begin(now float64) {
	p.now = now
	p.estimator.BeginTurn(now)
	p.Port.Begin(now)
}

// Search implements decide.Port; it keeps its type and the number of its parts.
func (p *Port) Search(id, kind, customer int, until float64, parts int) {
	for len(p.searchType) <= id {
		p.searchType, p.searchParts = append(p.searchType, -1), append(p.searchParts, 0)
	}
	p.searchType[id], p.searchParts[id] = kind, parts
	p.arrivals = append(p.arrivals, arrival{id, parts})
	p.Port.Search(id, kind, customer, until, parts)
}

// Part implements decide.Port; it keeps for which type it is.
func (p *Port) Part(search, id, shard int, weight, work float64, key uint64) {
	for len(p.attemptSentAt) <= id {
		p.attemptSentAt, p.partLatencyTarget, p.partIsTop = append(p.attemptSentAt, nil), append(p.partLatencyTarget, 0), append(p.partIsTop, false)
	}
	p.attemptSentAt[id], p.partLatencyTarget[id], p.partIsTop[id] = p.attemptSentAt[id][:0], 0, false
	if k := p.searchType[search]; k >= 0 && k < len(p.latencyTargets) {
		p.partLatencyTarget[id], p.partIsTop[id] = p.latencyTargets[k], p.isTopType(k)
	}
	p.Port.Part(search, id, shard, weight, work, key)
}

// Done implements decide.Port; it tells the plan how the sub-request ended.
func (p *Port) Done(part, try int, how decide.Outcome, report []float64) {
	if part < len(p.attemptSentAt) && try < len(p.attemptSentAt[part]) {
		took := p.now - p.attemptSentAt[part][try]
		late := p.partLatencyTarget[part] > 0 && took > p.estimator.config.LateFraction*p.partLatencyTarget[part]
		switch {
		case how == decide.Full, late && (how == decide.Answered || how == decide.Cancelled):
			p.estimator.RecordOutcomes(OutcomeHarmed, p.partIsTop[part], 1)
		case how == decide.Answered:
			p.estimator.RecordOutcomes(OutcomeOK, p.partIsTop[part], 1)
		}
	}
	p.Port.Done(part, try, how, report)
}

// Server implements decide.Port; it keeps what the server can bear.
func (p *Port) Server(id, hall, cell int, state decide.State, size, started float64) {
	for len(p.servers) <= id {
		p.servers = append(p.servers, server{})
	}
	if s := &p.servers[id]; state != decide.Gone {
		s.hall, s.capacity, s.ready = hall, max(size, 0), state == decide.Ready
	} else {
		s.ready = false
	}
	p.updateUsable()
	p.Port.Server(id, hall, cell, state, size, started)
}

// Site implements decide.Port; it measures anew what the halls that are left can bear.
func (p *Port) Site(hall int, lost bool, spread float64) {
	p.lostHalls[hall] = lost
	p.updateUsable()
	p.Port.Site(hall, lost, spread)
}

// updateUsable adds up what is there to carry.
func (p *Port) updateUsable() {
	usable := 0.0
	for _, s := range p.servers {
		if s.ready && !p.lostHalls[s.hall] {
			usable += s.capacity
		}
	}
	p.estimator.SetUsable(usable)
}

// End implements decide.Port; it has the plan draw its line before the module decides.
func (p *Port) End() {
	for _, c := range p.arrivals { // only now is all known that it counts with
		p.estimator.RecordDemand(p.Port.Counts(c.search), c.parts)
	}
	if p.arrivals = p.arrivals[:0]; p.estimator.EndTurn() {
		l := p.estimator.Threshold()
		p.Port.Bears(l.Value, l.RejectedShare)
		if on := l.Value > 0; on != p.thresholdSet {
			p.thresholdSet = on
			p.out.Log(fmt.Sprintf("servers bear %.2f of what is asked; refused: what counts under %.3g", p.estimator.AdmittedShare(), l.Value))
		}
	}
	p.Port.End()
}

// outbound hears what the module asks for.
type outbound struct {
	decide.Out
	port *Port
}

func (o *outbound) Send(part, server int, within, begin float64) {
	p := o.port
	for len(p.attemptSentAt) <= part {
		p.attemptSentAt, p.partLatencyTarget, p.partIsTop = append(p.attemptSentAt, nil), append(p.partLatencyTarget, 0), append(p.partIsTop, false)
	}
	p.attemptSentAt[part] = append(p.attemptSentAt[part], p.now)
	o.Out.Send(part, server, within, begin)
}

func (o *outbound) Shed(search int, comeBack float64) {
	o.recordRejection(search)
	o.Out.Shed(search, comeBack)
}

func (o *outbound) Fail(search int) {
	o.recordRejection(search)
	o.Out.Fail(search)
}

// recordRejection: while others are taken, one of the most valued that is not is harm done to it.
func (o *outbound) recordRejection(search int) {
	if p := o.port; search < len(p.searchType) && p.estimator.AdmitsLowerValues() && p.isTopType(p.searchType[search]) {
		p.estimator.RecordOutcomes(OutcomeHarmed, true, float64(p.searchParts[search]))
	}
}

var (
	_ decide.Port = (*Port)(nil)
	_ decide.Out  = (*outbound)(nil)
)
