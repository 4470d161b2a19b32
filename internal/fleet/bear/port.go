package bear

import (
	"fmt"
	"slices"

	"kestrelspread/internal/aggregator/policy"
)

// Port stands between a caller and the module: it hears what is asked, how sub-requests end and what the list holds, and
// tells the module below which worth servers bear no more. It decides nothing else and changes no call.
type Port struct {
	policy.Port
	plan    *Plan
	now     float64
	aims    []float64 // by type
	worth   []float64
	sizes   []int  // by search, its parts
	topOf   []bool // by part
	servers []holder
	lost    map[int]bool // by hall
	parts   [][]float64  // by part: when each of its sub-requests went
	kindOf  []int        // by search
	aimOf   []float64    // by part
	came    []came       // in this turn
	out     policy.Out
	drawn   bool
}

type came struct{ search, parts int }

type holder struct {
	hall  int
	size  float64
	ready bool
}

// Watch puts a plan before the module that module makes of the given way out.
func Watch(out policy.Out, rules Rules, module func(policy.Out) policy.Port) *Port {
	p := &Port{plan: New(rules), lost: map[int]bool{}, out: out}
	p.Port = module(&outward{out, p})
	return p
}

// Plan is for reports.
func (p *Port) Plan() *Plan { return p.plan }

// QueryType implements policy.Port; it keeps its latency target and value.
func (p *Port) QueryType(aim, value, late float64, effect policy.Effect, tokenFor float64) {
	p.aims, p.worth = append(p.aims, aim), append(p.worth, value)
	p.Port.QueryType(aim, value, late, effect, tokenFor)
}

// Priority implements policy.Port; it keeps what a type counts with in place of its value.
func (p *Port) Priority(kind int, worth float64) {
	if kind >= 0 && kind < len(p.worth) {
		p.worth[kind] = worth
	}
	p.Port.Priority(kind, worth)
}

// top tells whether no type is worth more.
func (p *Port) top(kind int) bool {
	return kind >= 0 && kind < len(p.worth) && p.worth[kind] >= slices.Max(p.worth)
}

// Begin implements policy.Port; it keeps the time of the round.
func (p *Port) Begin(now float64) {
	p.now = now
	p.plan.Begin(now)
	p.Port.Begin(now)
}

// Search implements policy.Port; it keeps its type and the number of its parts.
func (p *Port) Search(id, kind, customer int, until float64, parts int) {
	for len(p.kindOf) <= id {
		p.kindOf, p.sizes = append(p.kindOf, -1), append(p.sizes, 0)
	}
	p.kindOf[id], p.sizes[id] = kind, parts
	p.came = append(p.came, came{id, parts})
	p.Port.Search(id, kind, customer, until, parts)
}

// ShardRequest implements policy.Port; it keeps for which type it is.
func (p *Port) ShardRequest(search, id, shard int, weight, work float64, key uint64) {
	for len(p.parts) <= id {
		p.parts, p.aimOf, p.topOf = append(p.parts, nil), append(p.aimOf, 0), append(p.topOf, false)
	}
	p.parts[id], p.aimOf[id], p.topOf[id] = p.parts[id][:0], 0, false
	if k := p.kindOf[search]; k >= 0 && k < len(p.aims) {
		p.aimOf[id], p.topOf[id] = p.aims[k], p.top(k)
	}
	p.Port.ShardRequest(search, id, shard, weight, work, key)
}

// Done implements policy.Port; it tells the plan how the sub-request ended.
func (p *Port) Done(part, try int, how policy.Outcome, report []float64) {
	if part < len(p.parts) && try < len(p.parts[part]) {
		took := p.now - p.parts[part][try]
		late := p.aimOf[part] > 0 && took > p.plan.rules.Late*p.aimOf[part]
		switch {
		case how == policy.Rejected, late && (how == policy.Answered || how == policy.Cancelled):
			p.plan.Ended(Harm, p.topOf[part], 1)
		case how == policy.Answered:
			p.plan.Ended(Well, p.topOf[part], 1)
		}
	}
	p.Port.Done(part, try, how, report)
}

// Server implements policy.Port; it keeps what the server can bear.
func (p *Port) Server(id, hall, cell int, state policy.State, size, started float64) {
	for len(p.servers) <= id {
		p.servers = append(p.servers, holder{})
	}
	if s := &p.servers[id]; state != policy.Gone {
		s.hall, s.size, s.ready = hall, max(size, 0), state == policy.Ready
	} else {
		s.ready = false
	}
	p.measure()
	p.Port.Server(id, hall, cell, state, size, started)
}

// ZoneChanged implements policy.Port; it measures anew what the halls that are left can bear.
func (p *Port) ZoneChanged(hall int, lost bool, spread float64) {
	p.lost[hall] = lost
	p.measure()
	p.Port.ZoneChanged(hall, lost, spread)
}

// measure adds up what is there to carry.
func (p *Port) measure() {
	usable := 0.0
	for _, s := range p.servers {
		if s.ready && !p.lost[s.hall] {
			usable += s.size
		}
	}
	p.plan.Size(usable)
}

// End implements policy.Port; it has the plan draw its line before the module decides.
func (p *Port) End() {
	for _, c := range p.came { // only now is all known that it counts with
		p.plan.Asked(p.Port.SearchValue(c.search), c.parts)
	}
	if p.came = p.came[:0]; p.plan.End() {
		l := p.plan.Line()
		p.Port.CapacityFloor(l.Worth, l.Beyond)
		if on := l.Worth > 0; on != p.drawn {
			p.drawn = on
			p.out.Log(fmt.Sprintf("servers bear %.2f of what is asked; refused: what counts under %.3g", p.plan.Share(), l.Worth))
		}
	}
	p.Port.End()
}

// outward hears what the module asks for.
type outward struct {
	policy.Out
	p *Port
}

// Send implements policy.Out; it keeps when the sub-request was sent and to which server.
func (o *outward) Send(part, server int, within, begin float64) {
	p := o.p
	for len(p.parts) <= part {
		p.parts, p.aimOf, p.topOf = append(p.parts, nil), append(p.aimOf, 0), append(p.topOf, false)
	}
	p.parts[part] = append(p.parts[part], p.now)
	o.Out.Send(part, server, within, begin)
}

// Shed implements policy.Out; it tells the plan of a search that was refused.
func (o *outward) Shed(search int, comeBack float64) {
	o.refused(search)
	o.Out.Shed(search, comeBack)
}

// Fail implements policy.Out; it tells the plan of a search that ended in error.
func (o *outward) Fail(search int) {
	o.refused(search)
	o.Out.Fail(search)
}

// refused: while others are taken, one of the most valued that is not is harm done to it.
func (o *outward) refused(search int) {
	if p := o.p; search < len(p.kindOf) && p.plan.Strict() && p.top(p.kindOf[search]) {
		p.plan.Ended(Harm, true, float64(p.sizes[search]))
	}
}

var (
	_ policy.Port = (*Port)(nil)
	_ policy.Out  = (*outward)(nil)
)
