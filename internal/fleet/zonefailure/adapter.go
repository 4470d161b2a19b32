package zonefailure

import (
	"fmt"

	"kestrelspread/internal/aggregator/policy"
)

// Port stands between a caller and the module: it hears what both say to each other, and tells the module when a whole
// site is lost or answers again. It decides nothing else and changes no call.
type Port struct {
	policy.Port
	out   policy.Out
	sight *Sight
	now   float64
	// Changed, where it is set, hears of each change of a site, in the loop.
	Changed func(c Change)
	parts   [][]sent // by part: where and when each of its sub-requests went
}

type sent struct {
	server int
	at     float64
}

// Watch puts a view before the module that module makes of the given way out; own is the broker's site.
func Watch(out policy.Out, own int, rules Rules, module func(policy.Out) policy.Port) *Port {
	p := &Port{out: out, sight: New(rules, own)}
	p.Port = module((*outward)(p))
	return p
}

// Sight is the view, for reports.
func (p *Port) Sight() *Sight { return p.sight }

// QueryType implements policy.Port; it gives the sight a latency target.
func (p *Port) QueryType(aim, value, late float64, effect policy.Effect, tokenFor float64) {
	p.sight.Target(aim)
	p.Port.QueryType(aim, value, late, effect, tokenFor)
}

// Begin implements policy.Port; it keeps the time of the round.
func (p *Port) Begin(now float64) {
	p.now = now
	p.sight.Begin(now)
	p.Port.Begin(now)
}

// ShardRequest implements policy.Port; it makes place for its sub-requests.
func (p *Port) ShardRequest(search, id, shard int, weight, work float64, key uint64) {
	for len(p.parts) <= id {
		p.parts = append(p.parts, nil)
	}
	p.parts[id] = p.parts[id][:0]
	p.Port.ShardRequest(search, id, shard, weight, work, key)
}

// Done implements policy.Port; it tells the sight whether the server answered.
func (p *Port) Done(part, try int, how policy.Outcome, report []float64) {
	if part < len(p.parts) && try < len(p.parts[part]) {
		if s := p.parts[part][try]; s.server >= 0 {
			p.parts[part][try].server = -1
			alive := how == policy.Answered || how == policy.Errored || how == policy.Rejected
			p.sight.Done(s.server, s.at, alive, how == policy.TimedOut || how == policy.ConnectFailed || how == policy.Reset)
		}
	}
	p.Port.Done(part, try, how, report)
}

// Committed implements policy.Port; bytes of an answer show that the server lives.
func (p *Port) Committed(part, try int, answering bool) bool {
	if answering && part < len(p.parts) && try < len(p.parts[part]) && p.parts[part][try].server >= 0 {
		p.sight.Alive(p.parts[part][try].server, p.parts[part][try].at)
	}
	return p.Port.Committed(part, try, answering)
}

// Probed implements policy.Port; it tells the sight of a server that answers.
func (p *Port) Probed(server int, ok bool, elapsed float64, report []float64) {
	if ok {
		p.sight.Alive(server, p.now-elapsed)
	}
	p.Port.Probed(server, ok, elapsed, report)
}

// Server implements policy.Port; it tells the sight in which hall a server stands.
func (p *Port) Server(id, hall, cell int, state policy.State, size, started float64) {
	p.sight.Server(id, hall, state == policy.Ready)
	p.Port.Server(id, hall, cell, state, size, started)
}

// RemoveServer implements policy.Port; it drops the server from the sight too.
func (p *Port) RemoveServer(id int) bool {
	if !p.Port.RemoveServer(id) {
		return false
	}
	p.sight.Drop(id)
	return true
}

// End implements policy.Port; it passes on what has changed of whole sites before the module decides.
func (p *Port) End() {
	for _, c := range p.sight.End() {
		if p.Changed != nil {
			p.Changed(c)
		}
		switch {
		case c.Wrong > 0:
			p.out.Log(fmt.Sprintf("site %d was not lost: it answers what was sent before, after %.0f ms", c.Site, c.Wrong))
			p.Port.ZoneChanged(c.Site, false, -c.Wrong)
		case c.Hint:
			p.Port.ZoneChanged(c.Site, true, c.Spread)
		case c.To == Lost || c.To == Returning:
			p.out.Log(fmt.Sprintf("site %d %v after %v: %d servers failed together, %.0f ms mute, alone %v", c.Site, c.To, c.From,
				c.Failed, c.Mute, c.Alone))
			p.Port.ZoneChanged(c.Site, c.To == Lost, c.Spread)
		}
	}
	p.Port.End()
}

// Told hands in what a peer saw.
func (p *Port) Told(peer string, at int, lost bool, age float64) { p.sight.Told(peer, at, lost, age) }

// Staged hands in how far the fleet holds a site to have come back.
func (p *Port) Staged(at int, share, age float64) { p.sight.Staged(at, share, age) }

// outward hears what the module asks for.
type outward Port

// Send implements policy.Out; it tells the sight of the sub-request and passes it on.
func (o *outward) Send(part, server int, within, begin float64) {
	for len(o.parts) <= part {
		o.parts = append(o.parts, nil)
	}
	o.parts[part] = append(o.parts[part], sent{server, o.now})
	o.sight.Sent(server)
	o.out.Send(part, server, within, begin)
}

// Cancel implements policy.Out; it passes the decision on.
func (o *outward) Cancel(part, try int) { o.out.Cancel(part, try) }

// Answer implements policy.Out; it passes the decision on.
func (o *outward) Answer(search int, whole bool) { o.out.Answer(search, whole) }

// Shed implements policy.Out; it passes the decision on.
func (o *outward) Shed(search int, comeBack float64) { o.out.Shed(search, comeBack) }

// Fail implements policy.Out; it passes the decision on.
func (o *outward) Fail(search int) { o.out.Fail(search) }

// Probe implements policy.Out; it passes the decision on.
func (o *outward) Probe(server int) { o.out.Probe(server) }

// Close implements policy.Out; it passes the decision on.
func (o *outward) Close(server int) { o.out.Close(server) }

// Subscribe implements policy.Out; it passes the decision on.
func (o *outward) Subscribe() { o.out.Subscribe() }

// Wake implements policy.Out; it passes the decision on.
func (o *outward) Wake(in float64) { o.out.Wake(in) }

// Log implements policy.Out; it passes the decision on.
func (o *outward) Log(text string) { o.out.Log(text) }

// Forget implements policy.Out; it passes the decision on.
func (o *outward) Forget(search int) { o.out.Forget(search) }

var (
	_ policy.Port = (*Port)(nil)
	_ policy.Out  = (*outward)(nil)
)
