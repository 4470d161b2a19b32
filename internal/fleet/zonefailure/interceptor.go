package zonefailure

import (
	"fmt"

	"kestrelspread/internal/aggregator/policy"
)

// Interceptor is placed between the aggregator's event loop and its policy. It observes the calls in both directions and tells
// the policy when a whole site is lost or answers again. It decides nothing else, and passes all calls on unchanged.
type Interceptor struct {
	policy.Port // the policy that receives the calls
	out         policy.Out
	detector    *Detector
	now         float64 // time of the current turn, in milliseconds
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
func Intercept(out policy.Out, ownSite int, config Config, newPolicy func(policy.Out) policy.Port) *Interceptor {
	p := &Interceptor{out: out, detector: New(config, ownSite)}
	p.Port = newPolicy((*policyOutput)(p))
	return p
}

// Detector returns the detector, so that the states of sites can be reported.
func (p *Interceptor) Detector() *Detector { return p.detector }

// QueryType implements policy.Port. It also passes the latency target to the detector.
func (p *Interceptor) QueryType(targetMs, value, lateValue float64, effect policy.Effect, tokenWindow float64) {
	p.detector.SetLatencyTarget(targetMs)
	p.Port.QueryType(targetMs, value, lateValue, effect, tokenWindow)
}

// Begin implements policy.Port. It also begins a turn of the detector at the same time.
func (p *Interceptor) Begin(now float64) {
	p.now = now
	p.detector.BeginTurn(now)
	p.Port.Begin(now)
}

// ShardRequest implements policy.Port. It also clears the attempts of an earlier shard request with the same id.
func (p *Interceptor) ShardRequest(search, id, shard int, weight, work float64, key uint64) {
	p.growAttempts(id)
	p.attempts[id] = p.attempts[id][:0]
	p.Port.ShardRequest(search, id, shard, weight, work, key)
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

// Done implements policy.Port. It also tells the detector whether the server has answered or failed.
func (p *Interceptor) Done(request, attemptIndex int, outcome policy.Outcome, report []float64) {
	if sent := p.pending(request, attemptIndex); sent != nil {
		server := sent.server
		sent.server = ended
		answered := outcome == policy.Answered || outcome == policy.Errored || outcome == policy.Rejected
		failed := outcome == policy.TimedOut || outcome == policy.ConnectFailed || outcome == policy.Reset
		p.detector.RecordDone(server, sent.sentAt, answered, failed)
	}
	p.Port.Done(request, attemptIndex, outcome, report)
}

// Committed implements policy.Port. It also records an answer in the detector when the first bytes of one have arrived, as they
// show that the server is alive.
func (p *Interceptor) Committed(request, attemptIndex int, answering bool) bool {
	if sent := p.pending(request, attemptIndex); sent != nil && answering {
		p.detector.RecordAnswer(sent.server, sent.sentAt)
	}
	return p.Port.Committed(request, attemptIndex, answering)
}

// Probed implements policy.Port. It also tells the detector of a server that has answered a probe.
func (p *Interceptor) Probed(server int, ok bool, elapsed float64, report []float64) {
	if ok {
		p.detector.RecordAnswer(server, p.now-elapsed)
	}
	p.Port.Probed(server, ok, elapsed, report)
}

// Server implements policy.Port. It also tells the detector the server's site and whether the server is ready.
func (p *Interceptor) Server(id, site, position int, state policy.State, size, startedAt float64) {
	p.detector.SetServer(id, site, state == policy.Ready)
	p.Port.Server(id, site, position, state, size, startedAt)
}

// RemoveServer implements policy.Port. It removes the server from the detector only if the policy has removed it.
func (p *Interceptor) RemoveServer(id int) bool {
	if !p.Port.RemoveServer(id) {
		return false
	}
	p.detector.RemoveServer(id)
	return true
}

// End implements policy.Port. It tells the policy of changes of sites before the policy makes its decisions of the turn.
func (p *Interceptor) End() {
	for _, change := range p.detector.EndTurn() {
		if p.OnChange != nil {
			p.OnChange(change)
		}
		p.apply(change)
	}
	p.Port.End()
}

// apply logs a change of a site's state and passes it to the policy. In ZoneChanged, a negative spread means that the loss was a
// false alarm and how long ago it was declared.
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

// Send implements policy.Out. It records the attempt, tells the detector of it and passes the call on.
func (o *policyOutput) Send(request, server int, within, begin float64) {
	(*Interceptor)(o).growAttempts(request)
	o.attempts[request] = append(o.attempts[request], attempt{server, o.now})
	o.detector.RecordSent(server)
	o.out.Send(request, server, within, begin)
}

// Cancel implements policy.Out. It passes the call on.
func (o *policyOutput) Cancel(request, attemptIndex int) { o.out.Cancel(request, attemptIndex) }

// Answer implements policy.Out. It passes the call on.
func (o *policyOutput) Answer(search int, complete bool) { o.out.Answer(search, complete) }

// Shed implements policy.Out. It passes the call on.
func (o *policyOutput) Shed(search int, retryAfter float64) { o.out.Shed(search, retryAfter) }

// Fail implements policy.Out. It passes the call on.
func (o *policyOutput) Fail(search int) { o.out.Fail(search) }

// Probe implements policy.Out. It passes the call on.
func (o *policyOutput) Probe(server int) { o.out.Probe(server) }

// Close implements policy.Out. It passes the call on.
func (o *policyOutput) Close(server int) { o.out.Close(server) }

// Subscribe implements policy.Out. It passes the call on.
func (o *policyOutput) Subscribe() { o.out.Subscribe() }

// Wake implements policy.Out. It passes the call on.
func (o *policyOutput) Wake(delay float64) { o.out.Wake(delay) }

// Log implements policy.Out. It passes the call on.
func (o *policyOutput) Log(text string) { o.out.Log(text) }

// Forget implements policy.Out. It passes the call on.
func (o *policyOutput) Forget(search int) { o.out.Forget(search) }

var (
	_ policy.Port = (*Interceptor)(nil)
	_ policy.Out  = (*policyOutput)(nil)
)
