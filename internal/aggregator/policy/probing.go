package policy

const (
	maxFirstTrialDelay       = 1000.  // ms to an ejected server's first trial; each further one comes after twice as long
	firstTrialSlowThresholds = 8.0    // but no later than so many fleet lines: one that only paused is missed meanwhile
	maxTrialBackoff          = 2000.  // ms
	sendSpan                 = 10000. // ms over which this aggregator's own rate of attempts is measured
	serversPerAssumedSend    = 10     // at least one attempt for so many servers is taken to be sent in the span
	maxRefusedProbeTime      = 100.   // ms; a health check that fails after longer was not refused
)

// trialDue tells whether an ejected server may get one attempt; where health checks are allowed, an
// unresponsive one must have passed one before.
func (p *Policy) trialDue(server *serverState) bool {
	return p.now >= server.trialAt && server.trial == nil &&
		(server.probePassed || !server.unresponsive || !p.reports.mayProbe)
}

// endTrial: one that this aggregator cancelled says nothing of the server, and the next stays due.
func (p *Policy) endTrial(server *serverState, attempt *attemptState, how Outcome) {
	if server.trial != attempt {
		return
	}
	server.trial = nil
	if how != Answered && how != NeverSent && how != Cancelled && server.ejected {
		p.backOffTrial(server)
	}
}

// backOffTrial doubles the time to the next trial.
func (p *Policy) backOffTrial(server *serverState) {
	server.probePassed = false
	server.trialBackoff = min(2*server.trialBackoff, max(maxTrialBackoff, 2*p.meanSendInterval()))
	server.trialAt = p.now + server.trialBackoff
}

// meanSendInterval is how long this aggregator leaves a server alone by itself: at full size, trials
// sooner than that would be all that it sends there, and an ejected server would get as much as
// ever.
func (p *Policy) meanSendInterval() float64 {
	ready := float64(p.readyServers)
	return min(sendSpan*ready/max(p.sent.Sum(p.now, sendSpan), ready/serversPerAssumedSend), sendSpan)
}

// probeIfDue asks for a health check of an unresponsive server before its trial.
func (p *Policy) probeIfDue(id int) {
	server := p.servers[id]
	if server.listed && server.state == Ready && p.reports.mayProbe && !server.probing &&
		server.ejected && server.unresponsive && !server.probePassed && p.now >= server.trialAt {
		server.probing = true
		p.out.Probe(id)
	}
}

// Probed implements Port; the result counts only for a server that is ejected as unresponsive. No
// answer to a health check that waits in a queue proves nothing, so only a quick failure is one.
func (p *Policy) Probed(id int, ok bool, elapsed float64, report []float64) {
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
