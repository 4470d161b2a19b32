package zonefailure

import (
	"fmt"

	"kestrelspread/internal/aggregator/policy"
)

// Interceptor stands between a caller and the module that decides: it observes what both say to each other, and tells the
// module when a whole site is lost or answers again. It decides nothing else and changes no call.
type Interceptor struct {
	policy.Decider
	out      policy.Executor
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
func Intercept(out policy.Executor, ownSite int, config Config, newModule func(policy.Executor) policy.Decider) *Interceptor {
	p := &Interceptor{out: out, detector: New(config, ownSite)}
	p.Decider = newModule((*moduleOutput)(p))
	return p
}

// Detector returns the detector, for reports.
func (p *Interceptor) Detector() *Detector { return p.detector }

// AddQueryType implements policy.Decider; it gives the detector a latency target.
func (p *Interceptor) AddQueryType(targetMs, value, late float64, effect policy.RepeatEffect, tokenFor float64) {
	p.detector.SetLatencyTarget(targetMs)
	p.Decider.AddQueryType(targetMs, value, late, effect, tokenFor)
}

// BeginRound implements policy.Decider; it keeps the time of the turn.
func (p *Interceptor) BeginRound(now float64) {
	p.now = now
	p.detector.BeginTurn(now)
	p.Decider.BeginRound(now)
}

// AddShardRequest implements policy.Decider; the part has no attempts yet.
func (p *Interceptor) AddShardRequest(search, id, shard int, weight, work float64, key uint64) {
	p.growAttempts(id)
	p.attempts[id] = p.attempts[id][:0]
	p.Decider.AddShardRequest(search, id, shard, weight, work, key)
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

// AttemptDone implements policy.Decider; it tells the detector whether the server answered.
func (p *Interceptor) AttemptDone(part, try int, how policy.Outcome, report []float64) {
	if sent := p.pending(part, try); sent != nil {
		server := sent.server
		sent.server = ended
		answered := how == policy.Answered || how == policy.Errored || how == policy.Rejected
		failed := how == policy.TimedOut || how == policy.ConnectFailed || how == policy.ConnectionReset
		p.detector.RecordDone(server, sent.sentAt, answered, failed)
	}
	p.Decider.AttemptDone(part, try, how, report)
}

// CommitAttempt implements policy.Decider; the first bytes of an answer show that the server is alive.
func (p *Interceptor) CommitAttempt(part, try int, answering bool) bool {
	if sent := p.pending(part, try); sent != nil && answering {
		p.detector.RecordAnswer(sent.server, sent.sentAt)
	}
	return p.Decider.CommitAttempt(part, try, answering)
}

// ProbeDone implements policy.Decider; it tells the detector of a server that answered a probe.
func (p *Interceptor) ProbeDone(server int, ok bool, elapsed float64, report []float64) {
	if ok {
		p.detector.RecordAnswer(server, p.now-elapsed)
	}
	p.Decider.ProbeDone(server, ok, elapsed, report)
}

// UpdateServer implements policy.Decider; it tells the detector at which site (hall) a server stands.
func (p *Interceptor) UpdateServer(id, hall, cell int, state policy.ServerStatus, size, started float64) {
	p.detector.SetServer(id, hall, state == policy.Ready)
	p.Decider.UpdateServer(id, hall, cell, state, size, started)
}

// RemoveServer implements policy.Decider; it removes the server from the detector once the module has dropped it.
func (p *Interceptor) RemoveServer(id int) bool {
	if !p.Decider.RemoveServer(id) {
		return false
	}
	p.detector.RemoveServer(id)
	return true
}

// EndRound implements policy.Decider; it passes changes of whole sites on before the module decides.
func (p *Interceptor) EndRound() {
	for _, change := range p.detector.EndTurn() {
		if p.OnChange != nil {
			p.OnChange(change)
		}
		p.apply(change)
	}
	p.Decider.EndRound()
}

func (p *Interceptor) apply(c Change) {
	switch {
	case c.FalseAlarmMs > 0:
		p.out.Log(fmt.Sprintf("site %d was not lost: it answers what was sent before, after %.0f ms", c.Site, c.FalseAlarmMs))
		p.Decider.ZoneChanged(c.Site, false, -c.FalseAlarmMs)
	case c.ProbeHint:
		p.Decider.ZoneChanged(c.Site, true, c.ProbeSpreadMs)
	case c.To == Lost || c.To == Recovering:
		p.out.Log(fmt.Sprintf("site %d %v after %v: %d servers failed together, %.0f ms mute, alone %v", c.Site, c.To, c.From,
			c.FailedServers, c.SilentMs, c.Isolated))
		p.Decider.ZoneChanged(c.Site, c.To == Lost, c.ProbeSpreadMs)
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

// Send implements policy.Executor; it tells the detector of the sub-request and passes it on.
func (o *moduleOutput) Send(part, server int, within, begin float64) {
	(*Interceptor)(o).growAttempts(part)
	o.attempts[part] = append(o.attempts[part], attempt{server, o.now})
	o.detector.RecordSent(server)
	o.out.Send(part, server, within, begin)
}

// Cancel implements policy.Executor; it passes the call on.
func (o *moduleOutput) Cancel(part, try int) { o.out.Cancel(part, try) }

// Answer implements policy.Executor; it passes the call on.
func (o *moduleOutput) Answer(search int, complete bool) { o.out.Answer(search, complete) }

// Shed implements policy.Executor; it passes the call on.
func (o *moduleOutput) Shed(search int, retryAfter float64) { o.out.Shed(search, retryAfter) }

// Fail implements policy.Executor; it passes the call on.
func (o *moduleOutput) Fail(search int) { o.out.Fail(search) }

// Probe implements policy.Executor; it passes the call on.
func (o *moduleOutput) Probe(server int) { o.out.Probe(server) }

// CloseIdleConnections implements policy.Executor; it passes the call on.
func (o *moduleOutput) CloseIdleConnections(server int) { o.out.CloseIdleConnections(server) }

// SubscribeToServers implements policy.Executor; it passes the call on.
func (o *moduleOutput) SubscribeToServers() { o.out.SubscribeToServers() }

// ScheduleWakeUp implements policy.Executor; it passes the call on.
func (o *moduleOutput) ScheduleWakeUp(in float64) { o.out.ScheduleWakeUp(in) }

// Log implements policy.Executor; it passes the call on.
func (o *moduleOutput) Log(text string) { o.out.Log(text) }

// ReleaseSearch implements policy.Executor; it passes the call on.
func (o *moduleOutput) ReleaseSearch(search int) { o.out.ReleaseSearch(search) }

var (
	_ policy.Decider  = (*Interceptor)(nil)
	_ policy.Executor = (*moduleOutput)(nil)
)
