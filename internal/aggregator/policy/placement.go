package policy

// Terms of the tie-break among servers with equally many batches in flight; the lowest sum wins.
// All terms are in units of the average load of a server. Saving work counts less than avoiding a
// wait.
const (
	openBatchBonus     = 1.1 // for joining a batch that is open anyway; outweighs the batch's own load and the random term
	latencyPenalty     = 2.0 // for each fleet median of the server's recent latency
	otherZonePenalty   = 2.2 // for a server in another zone
	trialBonus         = 10. // for an ejected server whose trial is due
	randomPenalty      = 0.1 // maximum of the random term
	clientBoundPenalty = 1.0 // for the average number of client-bound batches of a server

	overloadSlowMedians        = 2.0  // in an overload, a server is slow if it takes this many medians, as one that warms up does
	maxReplacementLatencyShare = 0.67 // of the time waited so far: the longest expected latency that is worth a second attempt
)

// preference ranks a candidate: servers not predicted slow first, then those with the fewest
// batches in flight, then the lowest tie-break.
type preference struct {
	slow     bool
	batches  int // that would be in flight there, with this shard request
	tieBreak float64
}

// better reports whether a ranks before b.
func (a preference) better(b preference) bool {
	if a.slow != b.slow {
		return b.slow
	}
	return a.batches < b.batches || a.batches == b.batches && a.tieBreak < b.tieBreak
}

// chooseServer chooses among the candidates as LinnOS does: it skips servers that are predicted
// slow and takes the one with the fewest of this aggregator's batches in flight. If all are
// predicted slow, it takes the best of them. While the shard request has an attempt in flight, it
// takes none unless the best is predicted fast and expected to answer soon enough.
func (p *Policy) chooseServer(placement *placement) stageResult {
	best := -1
	var bestPreference preference
	overloaded := p.predictor.overloaded()
	for _, id := range placement.candidates {
		preference := p.preferenceOf(p.servers[id], overloaded)
		if best < 0 || preference.better(bestPreference) {
			best, bestPreference = id, preference
		}
	}
	if placement.requireFast && (bestPreference.slow || !p.secondAttemptPays(placement.request, best)) {
		return stop
	}
	placement.server = best
	return proceed
}

// preferenceOf ranks a server; it draws one random number. In an overload the prediction does not
// decide: a server that looks fast then is one that was left alone for a second, and all
// aggregators would send to it at once. But a server that takes far longer than the others even
// then, as one that warms up, counts as slow.
func (p *Policy) preferenceOf(server *serverState, overloaded bool) preference {
	slow := p.predictedSlow(p.predictor.features(p.now, server, p.estimatedLoad(server))) &&
		!(overloaded && p.expectedLatency(server) < overloadSlowMedians*p.predictor.median)
	batches, joins := server.batches-server.clientBoundBatches+1, p.joinsBatch(server)
	tieBreak := p.estimatedLoad(server)/(p.predictor.avgLoad+1) +
		latencyPenalty*p.expectedLatency(server)/max(p.predictor.median, 1)
	tieBreak += randomPenalty * p.random.next()
	tieBreak += clientBoundPenalty * float64(server.clientBoundBatches*p.readyServers) / float64(p.clientBoundBatches+p.readyServers)
	if joins {
		batches--
		tieBreak -= openBatchBonus
	}
	if server.zone != p.zone {
		tieBreak += otherZonePenalty
	}
	if server.ejected {
		tieBreak -= trialBonus
	}
	return preference{slow, batches, tieBreak}
}

// secondAttemptPays reports whether a second attempt at the server is expected to take much less
// time than the first has waited already. In an overload second attempts at slow servers only
// prolong it: what one shard request gains, another loses.
func (p *Policy) secondAttemptPays(req *shardRequest, server int) bool {
	last := req.attempts[len(req.attempts)-1]
	return !(p.expectedLatency(p.servers[server]) > maxReplacementLatencyShare*(p.now-last.startedAt))
}

// joinsBatch reports whether a shard request that is sent now joins a batch of this round.
func (p *Policy) joinsBatch(server *serverState) bool {
	return server.openBatch != nil && server.openRound == p.round && server.openBatch.size < p.fleet.maxBatch
}

// send makes an attempt at the chosen server.
func (p *Policy) send(placement *placement) stageResult {
	req, search, server := placement.request, placement.search, p.servers[placement.server]
	attempt := p.newAttempt(req, placement.server)
	p.prepareConnection(attempt)
	attempt.features = p.predictor.features(p.now, server, attempt.loadAtSend)
	attempt.predictedFast = !p.predictedSlow(attempt.features)
	p.addToBatch(attempt)
	server.sentWork.Add(p.now, p.expectedWork(req))
	if len(req.attempts) > 0 {
		p.budget.countRetry(p.now)
	}
	if placement.hedge {
		req.hedged = true
		search.hedges++
	}
	if server.ejected {
		server.trial = attempt
	}
	beginWithin := p.beginLimit(req) // computed before this attempt counts among those that may have run
	req.attempts = append(req.attempts, attempt)
	if !attempt.clientSending {
		server.waiting = append(server.waiting, attempt)
	}
	p.sent.Add(p.now, 1)
	p.watchServer(placement.server)
	search.inFlight++
	p.out.Send(req.id, placement.server, p.attemptLimit(search), beginWithin)
	return proceed
}

// newAttempt returns a new attempt of a shard request at the server with the given index.
func (p *Policy) newAttempt(req *shardRequest, id int) *attemptState {
	server := p.servers[id]
	return &attemptState{
		request:       req,
		number:        len(req.attempts),
		server:        id,
		loadAtSend:    p.estimatedLoad(server),
		serverBatches: server.batches - server.clientBoundBatches,
		startedAt:     p.now,
		sentAt:        p.now,
		inFlight:      true,
		extraWork:     p.extraWork(req),
	}
}
