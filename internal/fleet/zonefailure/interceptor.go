package zonefailure

import (
	"fmt"

	"kestrelspread/internal/aggregator/policy"
)

// Interceptor is placed between the aggregator's event loop and its policy. It observes the calls in both directions and tells
// the policy when a whole site is lost or answers again. It decides nothing else, and passes all calls on unchanged.
type Interceptor struct {
	policy.Decider // the policy that receives the calls
	out            policy.Executor
	detector       *Detector
	now            float64 // time of the current turn, in milliseconds
	// OnChange, if it is set, is called with each change of a site's state, within the event loop.
	OnChange func(c Change)
	attempts [][]attempt // by shard request, in the order in which its attempts were sent
}

// attempt is one sub-request that the policy has sent for a shard request.
type attempt struct {
	server int     // index of the server, or ended
	sentAt float64 // in milliseconds
}

// ended replaces the server of an attempt that has ended.
const ended = -1

// Intercept returns an Interceptor in front of the policy that newPolicy creates for the output it is given. Calls of the policy
// to that output are passed on to out. ownSite is the index of the aggregator's site, or -1 if it belongs to none.
func Intercept(out policy.Executor, ownSite int, config Config, newPolicy func(policy.Executor) policy.Decider) *Interceptor {
	p := &Interceptor{out: out, detector: New(config, ownSite)}
	p.Decider = newPolicy((*policyOutput)(p))
	return p
}

// Detector returns the detector, so that the states of sites can be reported.
func (p *Interceptor) Detector() *Detector { return p.detector }

// AddQueryType implements policy.Decider. It also passes the latency target to the detector.
func (p *Interceptor) AddQueryType(targetMs, value, lateValue float64, effect policy.RepeatEffect, tokenWindow float64) {
	p.detector.SetLatencyTarget(targetMs)
	p.Decider.AddQueryType(targetMs, value, lateValue, effect, tokenWindow)
}

// BeginRound implements policy.Decider. It also begins a turn of the detector at the same time.
func (p *Interceptor) BeginRound(now float64) {
	p.now = now
	p.detector.BeginTurn(now)
	p.Decider.BeginRound(now)
}

// AddShardRequest implements policy.Decider. It also clears the attempts of an earlier shard request with the same id.
func (p *Interceptor) AddShardRequest(search, id, shard int, weight, work float64, key uint64) {
	p.growAttempts(id)
	p.attempts[id] = p.attempts[id][:0]
	p.Decider.AddShardRequest(search, id, shard, weight, work, key)
}

// growAttempts extends attempts to hold an entry for the shard request.
func (p *Interceptor) growAttempts(request int) {
	for len(p.attempts) <= request {
		p.attempts = append(p.attempts, nil)
	}
}

// pending returns an attempt of a shard request that was sent and has not ended, or nil. attemptIndex counts from 0 in the order
// of sending.
func (p *Interceptor) pending(request, attemptIndex int) *attempt {
	if request >= len(p.attempts) || attemptIndex >= len(p.attempts[request]) {
		return nil
	}
	sent := &p.attempts[request][attemptIndex]
	if sent.server < 0 {
		return nil
	}
	return sent
}

// AttemptDone implements policy.Decider. It also tells the detector whether the server has answered or failed.
func (p *Interceptor) AttemptDone(request, attemptIndex int, outcome policy.Outcome, report []float64) {
	if sent := p.pending(request, attemptIndex); sent != nil {
		server := sent.server
		sent.server = ended
		answered := outcome == policy.Answered || outcome == policy.Errored || outcome == policy.Rejected
		failed := outcome == policy.TimedOut || outcome == policy.ConnectFailed || outcome == policy.ConnectionReset
		p.detector.RecordDone(server, sent.sentAt, answered, failed)
	}
	p.Decider.AttemptDone(request, attemptIndex, outcome, report)
}

// CommitAttempt implements policy.Decider. It also records an answer in the detector when the first bytes of one have arrived, as they
// show that the server is alive.
func (p *Interceptor) CommitAttempt(request, attemptIndex int, answering bool) bool {
	if sent := p.pending(request, attemptIndex); sent != nil && answering {
		p.detector.RecordAnswer(sent.server, sent.sentAt)
	}
	return p.Decider.CommitAttempt(request, attemptIndex, answering)
}

// ProbeDone implements policy.Decider. It also tells the detector of a server that has answered a probe.
func (p *Interceptor) ProbeDone(server int, ok bool, elapsed float64, report []float64) {
	if ok {
		p.detector.RecordAnswer(server, p.now-elapsed)
	}
	p.Decider.ProbeDone(server, ok, elapsed, report)
}

// UpdateServer implements policy.Decider. It also tells the detector the server's site and whether the server is ready.
func (p *Interceptor) UpdateServer(id, site, position int, state policy.ServerStatus, size, startedAt float64) {
	p.detector.SetServer(id, site, state == policy.Ready)
	p.Decider.UpdateServer(id, site, position, state, size, startedAt)
}

// RemoveServer implements policy.Decider. It removes the server from the detector only if the policy has removed it.
func (p *Interceptor) RemoveServer(id int) bool {
	if !p.Decider.RemoveServer(id) {
		return false
	}
	p.detector.RemoveServer(id)
	return true
}

// EndRound implements policy.Decider. It tells the policy of changes of sites before the policy makes its decisions of the turn.
func (p *Interceptor) EndRound() {
	for _, change := range p.detector.EndTurn() {
		if p.OnChange != nil {
			p.OnChange(change)
		}
		p.apply(change)
	}
	p.Decider.EndRound()
}

// apply logs the loss of a site, the beginning of its recovery or the end of a false alarm, and passes it to the policy. It passes a
// probe hint on without logging it, and ignores all other changes. A negative spread in ZoneChanged tells the policy that the loss was
// a false alarm; its absolute value is the time since the loss was declared, in milliseconds.
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

// HandlePeerReport passes a peer's report of a site, made ageMs milliseconds ago, to the detector.
func (p *Interceptor) HandlePeerReport(peer string, site int, lost bool, ageMs float64) {
	p.detector.HandlePeerReport(peer, site, lost, ageMs)
}

// HandleRecoveryShare passes the share up to which a site has recovered for the whole fleet, reported ageMs milliseconds ago, to
// the detector.
func (p *Interceptor) HandleRecoveryShare(site int, share, ageMs float64) {
	p.detector.HandleRecoveryShare(site, share, ageMs)
}

// policyOutput is the output that the policy is given. It records the attempts that the policy sends, and passes all calls on.
type policyOutput Interceptor

// Send implements policy.Executor. It records the attempt, tells the detector of it and passes the call on.
func (o *policyOutput) Send(request, server int, within, begin float64) {
	(*Interceptor)(o).growAttempts(request)
	o.attempts[request] = append(o.attempts[request], attempt{server, o.now})
	o.detector.RecordSent(server)
	o.out.Send(request, server, within, begin)
}

// Cancel implements policy.Executor. It passes the call on.
func (o *policyOutput) Cancel(request, attemptIndex int) { o.out.Cancel(request, attemptIndex) }

// Answer implements policy.Executor. It passes the call on.
func (o *policyOutput) Answer(search int, complete bool) { o.out.Answer(search, complete) }

// Shed implements policy.Executor. It passes the call on.
func (o *policyOutput) Shed(search int, retryAfter float64) { o.out.Shed(search, retryAfter) }

// Fail implements policy.Executor. It passes the call on.
func (o *policyOutput) Fail(search int) { o.out.Fail(search) }

// Probe implements policy.Executor. It passes the call on.
func (o *policyOutput) Probe(server int) { o.out.Probe(server) }

// CloseIdleConnections implements policy.Executor. It passes the call on.
func (o *policyOutput) CloseIdleConnections(server int) { o.out.CloseIdleConnections(server) }

// SubscribeToServers implements policy.Executor. It passes the call on.
func (o *policyOutput) SubscribeToServers() { o.out.SubscribeToServers() }

// ScheduleWakeUp implements policy.Executor. It passes the call on.
func (o *policyOutput) ScheduleWakeUp(delay float64) { o.out.ScheduleWakeUp(delay) }

// Log implements policy.Executor. It passes the call on.
func (o *policyOutput) Log(text string) { o.out.Log(text) }

// ReleaseSearch implements policy.Executor. It passes the call on.
func (o *policyOutput) ReleaseSearch(search int) { o.out.ReleaseSearch(search) }

var (
	_ policy.Decider  = (*Interceptor)(nil)
	_ policy.Executor = (*policyOutput)(nil)
)
