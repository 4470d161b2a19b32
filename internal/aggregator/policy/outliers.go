package policy

const (
	timeoutSlowThresholds    = 2.0   // times the fleet's slow threshold without an answer: the server is unresponsive
	timeoutMinSlowThresholds = 1.6   // lower bound of that multiple, however short the latency target
	timeoutOwnLatencies      = 1.5   // times the server's own recent latency, a further lower bound
	timeoutTargetShare       = 0.5   // of the shortest latency target, an upper bound
	minErrors                = 2.0   // errors within errorSpan from which on their share is considered
	minErrorsInfrequent      = 1.0   // the same where this aggregator sends to a server less than once in errorSpan
	maxErrorShare            = 0.3   // a server whose share of errors exceeds this is ejected
	errorSpan                = 4000. // ms over which errors and answers are counted
	answersToReadmit         = 2     // answers in a row that readmit a server ejected for errors
	restartReportDelay       = 4000. // ms within which the server list reports a restart
	restartLikelyAfter       = 5000. // ms; a server that was unresponsive for longer may have restarted unreported
)

// observeHealth judges the health of a server by the outcome of an attempt. The server list alone
// would not do: it is late, and tells only whether the process runs.
func (p *Policy) observeHealth(attempt *attemptState, outcome Outcome) {
	server := p.servers[attempt.server]
	p.endTrial(server, attempt, outcome)
	p.recordConnection(attempt, outcome)
	switch outcome {
	case Answered:
		p.observeAnswer(server, attempt)
	case Errored, TimedOut, ConnectionReset:
		p.observeError(server, attempt.server, outcome)
	case Rejected:
		p.observeRejection(server, attempt.request)
	case ConnectFailed:
		server.successStreak = 0
		p.eject(attempt.server, true, "unreachable")
		server.connectFailed = true
	}
}

// observeAnswer records an answer and readmits an ejected server. Where the attempt was recorded
// when its answer began, only the time of the answer is updated.
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

// restartLikely reports whether the server may have restarted without the server list having
// reported it yet. An answer to an attempt that was sent before the ejection disproves that. If the
// list does not report a restart within restartReportDelay, the server had only hung or been
// overloaded, and the warm-up limit is lifted.
func (p *Policy) restartLikely(server *serverState, attempt *attemptState) bool {
	return attempt.startedAt > server.ejectedAt &&
		(server.connectFailed || server.unresponsive && p.now-server.ejectedAt > restartLikelyAfter) &&
		p.now >= server.warmUpUntil
}

// observeError ejects a server whose share of errors is too high. Attempts that share a connection
// fail together when it breaks; that counts as one error, and does not prove that the server is
// gone. Where this aggregator sends to a server rarely, one error suffices for an ejection: two
// errors rarely fall into one span, and each costs a search an attempt.
func (p *Policy) observeError(server *serverState, id int, outcome Outcome) {
	server.successStreak = 0
	if outcome != ConnectionReset || server.resetAt != p.now {
		server.errors.Add(p.now, 1)
	}
	if outcome == ConnectionReset {
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

// observeRejection pauses sending to a server that rejected an attempt. A rejection is fast and
// immediately reduces what is in flight at the server, so that without a pause the choice of the
// fewest batches in flight would send everything there. The rejection counts as an answer at the
// latency target, as the queue is too long to take more. A shard request that was rejected
// maxRejections times is abandoned: where all replicas are full, another attempt only takes the
// slot of another shard request.
func (p *Policy) observeRejection(server *serverState, req *shardRequest) {
	server.rejectsUntil = p.now + rejectionBackoff
	p.predictor.recentLatencies.Add(p.now, req.search.queryType.latencyTarget)
	req.rejections++
	if req.rejections >= maxRejections {
		req.abandoned = true
	}
}

// eject stops sending anything but trials to a server. A server that is already ejected as
// unresponsive stays so.
func (p *Policy) eject(id int, unresponsive bool, reason string) {
	server := p.servers[id]
	if server.ejected && (server.unresponsive || !unresponsive) {
		return
	}
	server.ejected, server.unresponsive, server.probePassed = true, unresponsive, false
	server.ejectedAt, server.successStreak = p.now, 0
	server.trialBackoff = p.firstTrialDelay
	// Where idle connections are faulty, a fresh one may work at once, so the trial need not wait.
	if !p.connections.idleConnectionsFaulty(p.now) {
		server.trialBackoff = max(p.firstTrialDelay, p.meanSendInterval())
	}
	server.trialAt = p.now + server.trialBackoff
	p.watchServer(id)
	p.log("server %d aside: %s", id, reason)
}

// checkServers examines the watched servers, once in each round before the searches are decided.
// Attempts in flight for longer than the slow threshold train the predictor as slow, and a server
// with attempts in flight that answers nothing is ejected as unresponsive, whether it hangs or is
// gone.
func (p *Policy) checkServers() {
	p.measureFleet()
	timeout := p.serverTimeout()
	faulty := p.connections.idleConnectionsFaulty(p.now)
	// Servers that were ejected because of faulty idle connections need not wait for their trial.
	newlyFaulty := faulty && !p.connections.idleWereFaulty
	p.connections.idleWereFaulty = faulty
	kept := p.watched[:0]
	for _, id := range p.watched {
		server := p.servers[id]
		p.trainOnOverdueAttempts(server)
		p.checkServer(id, timeout)
		if newlyFaulty && server.ejected && server.unresponsive {
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

// serverTimeout returns how long a server with attempts in flight may go without an answer. It also
// sets the delay of the first trial of servers that are ejected from now on.
func (p *Policy) serverTimeout() float64 {
	threshold := p.predictor.fleetSlowThreshold
	if p.predictor.samples < minSamples {
		p.firstTrialDelay = maxFirstTrialDelay
		return timeoutTargetShare * p.shortestTarget
	}
	p.firstTrialDelay = min(maxFirstTrialDelay, firstTrialSlowThresholds*threshold)
	return max(timeoutMinSlowThresholds*threshold,
		min(timeoutSlowThresholds*threshold, timeoutTargetShare*p.shortestTarget))
}

// checkServer ends a trial that takes too long, and ejects a server that is unresponsive. A server
// that answers slowly is not unresponsive, and time during which this aggregator itself stalled
// does not count.
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
