package policy

// Weights between servers that are equal by the design, in average loads: a choice that saves work
// is worth less than one that saves a wait.
const (
	openBatchBonus     = 1.1 // a batch that is open anyway: more than its own load and chance make of it
	latencyPenalty     = 2.0 // its recent latency, in medians
	otherZonePenalty   = 2.2 // against a server of another zone
	trialBonus         = 10. // for a trial that is due
	randomPenalty      = 0.1
	clientBoundPenalty = 1.0 // batches that wait for their client or are being read: an average server's worth

	overloadSlowMedians        = 2.0  // medians that a server takes which is slow even in an overload, as one that warms up
	maxReplacementLatencyShare = 0.67 // a second server must be expected to take at most so much of what was waited
)

// preference of a candidate: first not slow, then fewest batches, then the lowest tie.
type preference struct {
	slow     bool
	batches  int // in flight there, this shard request's included
	tieBreak float64
}

func (a preference) better(b preference) bool {
	if a.slow != b.slow {
		return b.slow
	}
	return a.batches < b.batches || a.batches == b.batches && a.tieBreak < b.tieBreak
}

// chooseServer is the design's: skip the predicted-slow, then the fewest own batches in flight,
// also when all look slow.
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

// preferenceOf draws once for each candidate. In an overload, what looks fast is who was left alone
// for a second, and all aggregators come at once: there the prediction doesn't choose. But who
// takes far longer than even in an overload, as one that warms up, is slow there too.
func (p *Policy) preferenceOf(server *serverState, overloaded bool) preference {
	slow := p.predictedSlow(p.predictor.features(p.now, server, p.estimatedLoad(server))) &&
		!(overloaded && p.expectedLatency(server) < overloadSlowMedians*p.predictor.median)
	batches, joins := server.batches-server.clientBoundBatches+1, p.joinsBatch(server)
	tie := p.estimatedLoad(server)/(p.predictor.avgLoad+1) +
		latencyPenalty*p.expectedLatency(server)/max(p.predictor.median, 1)
	tie += randomPenalty * p.random.next()
	tie += clientBoundPenalty * float64(server.clientBoundBatches*p.readyServers) / float64(p.clientBoundBatches+p.readyServers)
	if joins {
		batches--
		tie -= openBatchBonus
	}
	if server.zone != p.zone {
		tie += otherZonePenalty
	}
	if server.ejected {
		tie -= trialBonus
	}
	return preference{slow, batches, tie}
}

// replacementPays: two attempts in slow places keep an overload up, as what a shard request gains
// there, another loses.
func (p *Policy) secondAttemptPays(req *shardRequest, server int) bool {
	last := req.attempts[len(req.attempts)-1]
	return !(p.expectedLatency(p.servers[server]) > maxReplacementLatencyShare*(p.now-last.startedAt))
}

// joinsBatch tells whether a shard request that is sent now goes in a batch of this round.
func (p *Policy) joinsBatch(server *serverState) bool {
	return server.openBatch != nil && server.openRound == p.round && server.openBatch.size < p.fleet.maxBatch
}

// send makes the attempt at the chosen server.
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
	begin := p.beginLimit(req) // before this attempt is one of those that may have run
	req.attempts = append(req.attempts, attempt)
	if !attempt.clientSending {
		server.waiting = append(server.waiting, attempt)
	}
	p.sent.Add(p.now, 1)
	p.watchServer(placement.server)
	search.inFlight++
	p.out.Send(req.id, placement.server, p.attemptLimit(search), begin)
	return proceed
}

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
