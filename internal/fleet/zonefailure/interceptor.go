package zonefailure

import (
	"fmt"

	"kestrelspread/internal/decide"
)

// Interceptor stands between a caller and the module: it hears what both say to each other, and tells the module when a whole
// site is lost or answers again. It decides nothing else and changes no call.
type Interceptor struct {
	decide.Port
	out      decide.Out
	detector *Detector
	now      float64
	// OnChange, where it is set, hears of each change of a site, in the loop.
	OnChange func(c Change)
	attempts [][]attempt // by part: where and when each of its sub-requests went
}

type attempt struct {
	server int
	sentAt float64
}

// Intercept puts a view before the module that module makes of the given way out; own is the broker's site.
func Intercept(out decide.Out, own int, rules Config, module func(decide.Out) decide.Port) *Interceptor {
	p := &Interceptor{out: out, detector: New(rules, own)}
	p.Port = module((*moduleOutput)(p))
	return p
}

// Detector is the view, for reports.
func (p *Interceptor) Detector() *Detector { return p.detector }

// QueryType implements decide.Port; it gives the sight a latency target.
func (p *Interceptor) QueryType(aim, value, late float64, effect decide.Effect, tokenFor float64) {
	p.detector.SetLatencyTarget(aim)
	p.Port.QueryType(aim, value, late, effect, tokenFor)
}

// Begin implements decide.Port; it keeps the time of the round.
func (p *Interceptor) Begin(now float64) {
	p.now = now
	p.detector.BeginTurn(now)
	p.Port.Begin(now)
}

// Part implements decide.Port; it makes place for its sub-requests.
func (p *Interceptor) Part(search, id, shard int, weight, work float64, key uint64) {
	for len(p.attempts) <= id {
		p.attempts = append(p.attempts, nil)
	}
	p.attempts[id] = p.attempts[id][:0]
	p.Port.Part(search, id, shard, weight, work, key)
}

// Done implements decide.Port; it tells the sight whether the server answered.
func (p *Interceptor) Done(part, try int, how decide.Outcome, report []float64) {
	if part < len(p.attempts) && try < len(p.attempts[part]) {
		if s := p.attempts[part][try]; s.server >= 0 {
			p.attempts[part][try].server = -1
			alive := how == decide.Answered || how == decide.Errored || how == decide.Full
			p.detector.RecordDone(s.server, s.sentAt, alive, how == decide.TimedOut || how == decide.NoConnect || how == decide.Reset)
		}
	}
	p.Port.Done(part, try, how, report)
}

// Committed implements decide.Port; bytes of an answer show that the server lives.
func (p *Interceptor) Committed(part, try int, answering bool) bool {
	if answering && part < len(p.attempts) && try < len(p.attempts[part]) && p.attempts[part][try].server >= 0 {
		p.detector.RecordAnswer(p.attempts[part][try].server, p.attempts[part][try].sentAt)
	}
	return p.Port.Committed(part, try, answering)
}

// Probed implements decide.Port; it tells the sight of a server that answers.
func (p *Interceptor) Probed(server int, ok bool, elapsed float64, report []float64) {
	if ok {
		p.detector.RecordAnswer(server, p.now-elapsed)
	}
	p.Port.Probed(server, ok, elapsed, report)
}

// Server implements decide.Port; it tells the sight in which hall a server stands.
func (p *Interceptor) Server(id, hall, cell int, state decide.State, size, started float64) {
	p.detector.SetServer(id, hall, state == decide.Ready)
	p.Port.Server(id, hall, cell, state, size, started)
}

// Drop implements decide.Port; it drops the server from the sight too.
func (p *Interceptor) Drop(id int) bool {
	if !p.Port.Drop(id) {
		return false
	}
	p.detector.RemoveServer(id)
	return true
}

// End implements decide.Port; it passes on what has changed of whole sites before the module decides.
func (p *Interceptor) End() {
	for _, c := range p.detector.EndTurn() {
		if p.OnChange != nil {
			p.OnChange(c)
		}
		switch {
		case c.FalseAlarmMs > 0:
			p.out.Log(fmt.Sprintf("site %d was not lost: it answers what was sent before, after %.0f ms", c.Site, c.FalseAlarmMs))
			p.Port.Site(c.Site, false, -c.FalseAlarmMs)
		case c.ProbeHint:
			p.Port.Site(c.Site, true, c.ProbeSpreadMs)
		case c.To == Lost || c.To == Recovering:
			p.out.Log(fmt.Sprintf("site %d %v after %v: %d servers failed together, %.0f ms mute, alone %v", c.Site, c.To, c.From,
				c.FailedServers, c.SilentMs, c.Isolated))
			p.Port.Site(c.Site, c.To == Lost, c.ProbeSpreadMs)
		}
	}
	p.Port.End()
}

// HandlePeerReport hands in what a peer saw.
func (p *Interceptor) HandlePeerReport(peer string, at int, lost bool, age float64) {
	p.detector.HandlePeerReport(peer, at, lost, age)
}

// HandleRecoveryShare hands in how far the fleet holds a site to have come back.
func (p *Interceptor) HandleRecoveryShare(at int, share, age float64) {
	p.detector.HandleRecoveryShare(at, share, age)
}

// moduleOutput hears what the module asks for.
type moduleOutput Interceptor

func (o *moduleOutput) Send(part, server int, within, begin float64) {
	for len(o.attempts) <= part {
		o.attempts = append(o.attempts, nil)
	}
	o.attempts[part] = append(o.attempts[part], attempt{server, o.now})
	o.detector.RecordSent(server)
	o.out.Send(part, server, within, begin)
}

func (o *moduleOutput) Cancel(part, try int)              { o.out.Cancel(part, try) }
func (o *moduleOutput) Answer(search int, whole bool)     { o.out.Answer(search, whole) }
func (o *moduleOutput) Shed(search int, comeBack float64) { o.out.Shed(search, comeBack) }
func (o *moduleOutput) Fail(search int)                   { o.out.Fail(search) }
func (o *moduleOutput) Probe(server int)                  { o.out.Probe(server) }
func (o *moduleOutput) Close(server int)                  { o.out.Close(server) }
func (o *moduleOutput) Subscribe()                        { o.out.Subscribe() }
func (o *moduleOutput) Wake(in float64)                   { o.out.Wake(in) }
func (o *moduleOutput) Log(text string)                   { o.out.Log(text) }
func (o *moduleOutput) Forget(search int)                 { o.out.Forget(search) }

var (
	_ decide.Port = (*Interceptor)(nil)
	_ decide.Out  = (*moduleOutput)(nil)
)
