package zonefailure

import (
	"fmt"

	"kestrelspread/internal/aggregator/policy"
)

// Interceptor stands between a caller and the module that decides: it observes what both say to each other, and tells the
// module when a whole site is lost or answers again. It decides nothing else and changes no call.
type Interceptor struct {
	policy.Port
	out      policy.Out
	detector *Detector
	now      float64
	// OnChange, where it is set, is called with each change of a site, in the loop.
	OnChange func(c Change)
	attempts [][]attempt // by part, in the order in which its sub-requests were sent
}

// attempt is one sub-request.
type attempt struct {
	server int // -1: ended
	sentAt float64
}

// ended marks an attempt's server once it has ended.
const ended = -1

// Intercept puts a detector before the module that newModule makes for a given output. ownSite is the broker's site, or -1.
func Intercept(out policy.Out, ownSite int, config Config, newModule func(policy.Out) policy.Port) *Interceptor {
	p := &Interceptor{out: out, detector: New(config, ownSite)}
	p.Port = newModule((*moduleOutput)(p))
	return p
}

// Detector returns the detector, for reports.
func (p *Interceptor) Detector() *Detector { return p.detector }

// QueryType implements policy.Port; it gives the detector a latency target.
func (p *Interceptor) QueryType(targetMs, value, late float64, effect policy.Effect, tokenFor float64) {
	p.detector.SetLatencyTarget(targetMs)
	p.Port.QueryType(targetMs, value, late, effect, tokenFor)
}

// Begin implements policy.Port; it keeps the time of the turn.
func (p *Interceptor) Begin(now float64) {
	p.now = now
	p.detector.BeginTurn(now)
	p.Port.Begin(now)
}

// ShardRequest implements policy.Port; the part has no attempts yet.
func (p *Interceptor) ShardRequest(search, id, shard int, weight, work float64, key uint64) {
	p.growAttempts(id)
	p.attempts[id] = p.attempts[id][:0]
	p.Port.ShardRequest(search, id, shard, weight, work, key)
}

func (p *Interceptor) growAttempts(part int) {
	for len(p.attempts) <= part {
		p.attempts = append(p.attempts, nil)
	}
}

// pending returns an attempt that was sent and has not ended, or nil.
func (p *Interceptor) pending(part, try int) *attempt {
	if part >= len(p.attempts) || try >= len(p.attempts[part]) {
		return nil
	}
	sent := &p.attempts[part][try]
	if sent.server < 0 {
		return nil
	}
	return sent
}

// Done implements policy.Port; it tells the detector whether the server answered.
func (p *Interceptor) Done(part, try int, how policy.Outcome, report []float64) {
	if sent := p.pending(part, try); sent != nil {
		server := sent.server
		sent.server = ended
		answered := how == policy.Answered || how == policy.Errored || how == policy.Rejected
		failed := how == policy.TimedOut || how == policy.ConnectFailed || how == policy.Reset
		p.detector.RecordDone(server, sent.sentAt, answered, failed)
	}
	p.Port.Done(part, try, how, report)
}

// Committed implements policy.Port; the first bytes of an answer show that the server is alive.
func (p *Interceptor) Committed(part, try int, answering bool) bool {
	if sent := p.pending(part, try); sent != nil && answering {
		p.detector.RecordAnswer(sent.server, sent.sentAt)
	}
	return p.Port.Committed(part, try, answering)
}

// Probed implements policy.Port; it tells the detector of a server that answered a probe.
func (p *Interceptor) Probed(server int, ok bool, elapsed float64, report []float64) {
	if ok {
		p.detector.RecordAnswer(server, p.now-elapsed)
	}
	p.Port.Probed(server, ok, elapsed, report)
}

// Server implements policy.Port; it tells the detector at which site (hall) a server stands.
func (p *Interceptor) Server(id, hall, cell int, state policy.State, size, started float64) {
	p.detector.SetServer(id, hall, state == policy.Ready)
	p.Port.Server(id, hall, cell, state, size, started)
}

// RemoveServer implements policy.Port; it removes the server from the detector once the module has dropped it.
func (p *Interceptor) RemoveServer(id int) bool {
	if !p.Port.RemoveServer(id) {
		return false
	}
	p.detector.RemoveServer(id)
	return true
}

// End implements policy.Port; it passes changes of whole sites on before the module decides.
func (p *Interceptor) End() {
	for _, change := range p.detector.EndTurn() {
		if p.OnChange != nil {
			p.OnChange(change)
		}
		p.apply(change)
	}
	p.Port.End()
}

func (p *Interceptor) apply(c Change) {
	switch {
	case c.FalseAlarmMs > 0:
		p.out.Log(fmt.Sprintf("site %d was not lost: it answers what was sent before, after %.0f ms", c.Site, c.FalseAlarmMs))
		p.Port.ZoneChanged(c.Site, false, -c.FalseAlarmMs)
	case c.ProbeHint:
		p.Port.ZoneChanged(c.Site, true, c.ProbeSpreadMs)
	case c.To == Lost || c.To == Recovering:
		p.out.Log(fmt.Sprintf("site %d %v after %v: %d servers failed together, %.0f ms mute, alone %v", c.Site, c.To, c.From,
			c.FailedServers, c.SilentMs, c.Isolated))
		p.Port.ZoneChanged(c.Site, c.To == Lost, c.ProbeSpreadMs)
	}
}

// HandlePeerReport passes a peer's report to the detector.
func (p *Interceptor) HandlePeerReport(peer string, site int, lost bool, ageMs float64) {
	p.detector.HandlePeerReport(peer, site, lost, ageMs)
}

// HandleRecoveryShare passes the fleet's share of a site's recovery to the detector.
func (p *Interceptor) HandleRecoveryShare(site int, share, ageMs float64) {
	p.detector.HandleRecoveryShare(site, share, ageMs)
}

// moduleOutput observes what the module sends, and passes all on.
type moduleOutput Interceptor

// Send implements policy.Out; it tells the detector of the sub-request and passes it on.
func (o *moduleOutput) Send(part, server int, within, begin float64) {
	(*Interceptor)(o).growAttempts(part)
	o.attempts[part] = append(o.attempts[part], attempt{server, o.now})
	o.detector.RecordSent(server)
	o.out.Send(part, server, within, begin)
}

// Cancel implements policy.Out; it passes the call on.
func (o *moduleOutput) Cancel(part, try int) { o.out.Cancel(part, try) }

// Answer implements policy.Out; it passes the call on.
func (o *moduleOutput) Answer(search int, complete bool) { o.out.Answer(search, complete) }

// Shed implements policy.Out; it passes the call on.
func (o *moduleOutput) Shed(search int, retryAfter float64) { o.out.Shed(search, retryAfter) }

// Fail implements policy.Out; it passes the call on.
func (o *moduleOutput) Fail(search int) { o.out.Fail(search) }

// Probe implements policy.Out; it passes the call on.
func (o *moduleOutput) Probe(server int) { o.out.Probe(server) }

// Close implements policy.Out; it passes the call on.
func (o *moduleOutput) Close(server int) { o.out.Close(server) }

// Subscribe implements policy.Out; it passes the call on.
func (o *moduleOutput) Subscribe() { o.out.Subscribe() }

// Wake implements policy.Out; it passes the call on.
func (o *moduleOutput) Wake(in float64) { o.out.Wake(in) }

// Log implements policy.Out; it passes the call on.
func (o *moduleOutput) Log(text string) { o.out.Log(text) }

// Forget implements policy.Out; it passes the call on.
func (o *moduleOutput) Forget(search int) { o.out.Forget(search) }

var (
	_ policy.Port = (*Interceptor)(nil)
	_ policy.Out  = (*moduleOutput)(nil)
)
