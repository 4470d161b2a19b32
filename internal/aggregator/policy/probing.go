package policy

const (
	maxFirstTrialDelay       = 1000.  // ms from an ejection to the first trial at most, or the mean send interval if that is longer
	firstTrialSlowThresholds = 8.0    // slow thresholds of the fleet, a further upper bound: capacity is short while a paused server waits
	maxTrialBackoff          = 2000.  // ms between two trials at most, or twice the mean send interval if that is longer
	sendSpan                 = 10000. // ms over which this aggregator's rate of attempts is measured
	serversPerAssumedSend    = 10     // the rate is taken to be at least one attempt for this many ready servers in the span
	maxRefusedProbeTime      = 100.   // ms; a health check that fails later than this was not refused
)

// trialDue reports whether an ejected server may get a trial. Where health checks are allowed, an
// unresponsive server must have had one first that did not fail quickly.
func (p *Policy) trialDue(server *serverState) bool {
	return p.now >= server.trialAt && server.trial == nil &&
		(server.probePassed || !server.unresponsive || !p.reports.mayProbe)
}

// endTrial evaluates the end of a trial. A trial that this aggregator cancelled says nothing about
// the server, so the next one stays due.
func (p *Policy) endTrial(server *serverState, attempt *attemptState, outcome Outcome) {
	if server.trial != attempt {
		return
	}
	server.trial = nil
	if outcome != Answered && outcome != NeverSent && outcome != Cancelled && server.ejected {
		p.backOffTrial(server)
	}
}

// backOffTrial doubles the delay until the next trial, up to its limit, and requires another health
// check.
func (p *Policy) backOffTrial(server *serverState) {
	server.probePassed = false
	server.trialBackoff = min(2*server.trialBackoff, max(maxTrialBackoff, 2*p.meanSendInterval()))
	server.trialAt = p.now + server.trialBackoff
}

// meanSendInterval returns the mean time in milliseconds between two attempts of this aggregator at
// the same server, at most sendSpan. In a large fleet it is long, and trials at shorter intervals
// would have an ejected server get as many attempts as any other.
func (p *Policy) meanSendInterval() float64 {
	ready := float64(p.readyServers)
	return min(sendSpan*ready/max(p.sent.Sum(p.now, sendSpan), ready/serversPerAssumedSend), sendSpan)
}

// probeIfDue starts a health check of an unresponsive server whose trial is due.
func (p *Policy) probeIfDue(id int) {
	server := p.servers[id]
	if server.listed && server.state == Ready && p.reports.mayProbe && !server.probing &&
		server.ejected && server.unresponsive && !server.probePassed && p.now >= server.trialAt {
		server.probing = true
		p.out.Probe(id)
	}
}

// ProbeDone evaluates a health check of a server that is ejected as unresponsive. A health check that
// waits in a queue and times out does not prove a failure, so only one that fails quickly counts as
// failed.
func (p *Policy) ProbeDone(id int, ok bool, elapsed float64, report []float64) {
	server := p.servers[id]
	server.probing = false
	if ok {
		p.recordReport(server, report)
	}
	if !server.ejected || !server.unresponsive {
		return
	}
	if !ok && elapsed < maxRefusedProbeTime {
		p.backOffTrial(server)
		return
	}
	if !server.probePassed {
		server.probePassedAt = p.now
	}
	server.probePassed = true
}
