package policy

const (
	timeoutSlowThresholds    = 2.0   // fleet lines without an answer, with attempts in flight, after which a server is unresponsive
	timeoutMinSlowThresholds = 1.6   // and never fewer, however short the latency target
	timeoutOwnLatencies      = 1.5   // nor fewer than so many times its own recent latency
	timeoutTargetShare       = 0.5   // of the shortest latency target
	minErrors                = 2.0   // errors in the span before a share of them counts
	minErrorsInfrequent      = 1.0   // where this aggregator comes by less than once in the span
	maxErrorShare            = 0.3   // a server that fails more is ejected
	errorSpan                = 4000. // ms
	answersToReadmit         = 2     // in a row, of a server that was ejected for errors
	restartReportDelay       = 4000. // ms within which the list tells of a restart
	restartLikelyAfter       = 5000. // ms; unresponsive for longer, a server may have restarted unannounced
)

// observeHealth judges a server by its outcomes, never by the list alone: a list is late, and tells
// only of processes.
func (p *Policy) observeHealth(attempt *attemptState, how Outcome) {
	server := p.servers[attempt.server]
	p.endTrial(server, attempt, how)
	p.recordConnection(attempt, how)
	switch how {
	case Answered:
		p.observeAnswer(server, attempt)
	case Errored, TimedOut, Reset:
		p.observeError(server, attempt.server, how)
	case Rejected:
		p.observeRejection(server, attempt.request)
	case ConnectFailed:
		server.successStreak = 0
		p.eject(attempt.server, true, "unreachable")
		server.connectFailed = true
	}
}

// observeAnswer takes an ejected server back. An answer that was judged when it began counts for
// its time alone.
func (p *Policy) observeAnswer(server *serverState, attempt *attemptState) {
	server.answeredAt = p.now
	if attempt.answering {
		return
	}
	server.successes.Add(p.now, 1)
	server.successStreak++
	if !server.ejected || !server.unresponsive && server.successStreak < answersToReadmit {
		return
	}
	if p.restartLikely(server, attempt) {
		server.warmUpFrom, server.warmUpUntil = p.now, p.now+restartReportDelay
	}
	server.ejected, server.connectFailed = false, false
	p.log("server %d back after %.0f ms", attempt.server, p.now-server.ejectedAt)
}

// restartLikely: the server may have restarted and no list has told yet. An answer to what was sent
// before its ejection disproves that; without a list's word in time it was a hang or an overload,
// and the guard lets go.
func (p *Policy) restartLikely(server *serverState, attempt *attemptState) bool {
	return attempt.startedAt > server.ejectedAt &&
		(server.connectFailed || server.unresponsive && p.now-server.ejectedAt > restartLikelyAfter) &&
		p.now >= server.warmUpUntil
}

// observeError ejects a server for its share of errors. Attempts that share a connection break
// together: one event, and no proof that the server is gone. Where this aggregator comes by seldom,
// two errors seldom fall into one span, and one costs a search an attempt.
func (p *Policy) observeError(server *serverState, id int, how Outcome) {
	server.successStreak = 0
	if how != Reset || server.resetAt != p.now {
		server.errors.Add(p.now, 1)
	}
	if how == Reset {
		server.resetAt = p.now
	}
	enough := minErrors
	if p.meanSendInterval() > errorSpan {
		enough = minErrorsInfrequent
	}
	errors := server.errors.Sum(p.now, errorSpan)
	if errors >= enough && errors > maxErrorShare*(errors+server.successes.Sum(p.now, errorSpan)) {
		p.eject(id, false, "errors")
	}
}

// observeRejection: a rejection is quick, and frees this aggregator's place there at once; without
// a pause, the choice of the fewest in flight would send everything to whoever rejects it. It
// counts as a late answer: the queue is so long that no more fits. Where a whole set of replicas is
// full, a third attempt only takes the place of another shard request.
func (p *Policy) observeRejection(server *serverState, req *shardRequest) {
	server.rejectsUntil = p.now + rejectionBackoff
	p.predictor.recentLatencies.Add(p.now, req.search.queryType.latencyTarget)
	req.rejections++
	if req.rejections >= maxRejections {
		req.abandoned = true
	}
}

// eject keeps a server from getting anything but trials. One that was ejected as unresponsive stays
// so.
func (p *Policy) eject(id int, unresponsive bool, why string) {
	server := p.servers[id]
	if server.ejected && (server.unresponsive || !unresponsive) {
		return
	}
	server.ejected, server.unresponsive, server.probePassed = true, unresponsive, false
	server.ejectedAt, server.successStreak = p.now, 0
	server.trialBackoff = p.firstTrialDelay
	if !p.connections.idleConnectionsFaulty(p.now) { // there a fresh connection may do at once
		server.trialBackoff = max(p.firstTrialDelay, p.meanSendInterval())
	}
	server.trialAt = p.now + server.trialBackoff
	p.watchServer(id)
	p.log("server %d aside: %s", id, why)
}

// checkServers looks at what has not come: attempts older than the line are evidence of slowness,
// and a server with attempts in flight that answers nothing is unresponsive, hung or lost alike.
func (p *Policy) checkServers() {
	p.measureFleet()
	timeout := p.serverTimeout()
	faulty := p.connections.idleConnectionsFaulty(p.now)
	found := faulty && !p.connections.idleWereFaulty // then those ejected for it need not wait
	p.connections.idleWereFaulty = faulty
	kept := p.watched[:0]
	for _, id := range p.watched {
		server := p.servers[id]
		p.trainOnOverdueAttempts(server)
		p.checkServer(id, timeout)
		if found && server.ejected && server.unresponsive {
			server.trialAt, server.trialBackoff = min(server.trialAt, p.now), p.firstTrialDelay
		}
		p.probeIfDue(id)
		server.watched = server.ejected || len(server.waiting) > 0
		if server.watched {
			kept = append(kept, id)
		}
	}
	p.watched = kept
	p.measureWarmServers()
}

// serverTimeout is how long a server with attempts in flight may go without an answer; it sets when
// the first trial of a server comes that is ejected now.
func (p *Policy) serverTimeout() float64 {
	line := p.predictor.fleetSlowThreshold
	if p.predictor.samples < minSamples {
		p.firstTrialDelay = maxFirstTrialDelay
		return timeoutTargetShare * p.shortestTarget
	}
	p.firstTrialDelay = min(maxFirstTrialDelay, firstTrialSlowThresholds*line)
	return max(timeoutMinSlowThresholds*line, min(timeoutSlowThresholds*line, timeoutTargetShare*p.shortestTarget))
}

// checkServer ends a trial that takes too long and ejects a server that is unresponsive. Slow in
// answering is not unresponsive, and the time for which this aggregator itself stood still doesn't
// count.
func (p *Policy) checkServer(id int, timeout float64) {
	server := p.servers[id]
	if len(server.waiting) > 0 && p.now-server.answeredAt < reportFadeSpan {
		timeout = max(timeout, timeoutOwnLatencies*server.meanLatency)
	}
	if server.trial != nil && p.now-max(server.trial.startedAt, p.stallEndedAt) > timeout {
		server.trial = nil
		p.backOffTrial(server)
		return
	}
	if server.ejected || len(server.waiting) == 0 {
		return
	}
	if p.now-max(server.answeredAt, server.waiting[0].startedAt, p.stallEndedAt) > timeout {
		p.connections.record(p.now, server.waiting[0], true)
		p.eject(id, true, "silent")
	}
}
