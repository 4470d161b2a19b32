package policy

// Shares of weight are sums of rounded numbers, so they are compared with a tolerance.
const (
	shareTolerance = 1e-5
	minAnswerShare = 1e-3 // smallest share of a search's weight that makes an answer, whatever the query type allows
)

// progress sums up the shard requests of a search in its present phase.
type progress struct {
	weight, openWeight float64 // of the shard requests that are answered, and of those that may still be
	answers, open      int     // their numbers
}

// answerOrGiveUp ends a search, or its phase, when there is no more reason to wait. It is answered
// completely as soon as that is possible, and partially at its latency target where a partial
// answer is worth more than a late complete one. It is given up while there is still time to tell
// the client.
func (p *Policy) answerOrGiveUp(placement *placement) stageResult {
	search, qt := placement.search, placement.search.queryType
	done := p.progressOf(search)
	completeShare, minimumShare := search.requiredShares()
	complete := search.phase == 0 && done.weight >= completeShare-shareTolerance ||
		search.phase > 0 && done.answers >= search.expectedRequests
	deadlineNear := p.now >= search.deadline-answerMargin
	partial := done.weight >= max(minimumShare, minAnswerShare)-shareTolerance && done.answers > 0
	// If the minimum share can no longer be reached, the search ends whatever is in flight, as that
	// work would be for nobody.
	hopeless := len(search.requests) > 0 &&
		(done.open == 0 || search.phase == 0 && done.weight+done.openWeight < minimumShare-weightTolerance)
	due := p.now >= search.targetAt-answerMargin && qt.partialValue*done.weight >= qt.lateValue*completeShare
	switch {
	case complete && done.answers > 0, partial && (deadlineNear || hopeless || due):
		return p.answer(search, complete, done.answers)
	case deadlineNear || hopeless && done.answers < search.expectedRequests:
		p.giveUp(search, GivenUp)
		return finished
	}
	return proceed
}

// progressOf sums up the shard requests that are answered, and those that may still be answered.
func (p *Policy) progressOf(search *searchState) (done progress) {
	for _, req := range search.requests {
		switch {
		case req.phase != search.phase:
		case req.answered:
			done.weight += req.weight
			done.answers++
		case p.mayStillAnswer(req):
			done.openWeight += req.weight
			done.open++
		}
	}
	return done
}

// requiredShares returns the shares of a search's weight that a complete answer needs and that any
// answer needs. In the follow-up phase a complete answer needs everything, as does any answer if
// the query type allows no partial ones.
func (search *searchState) requiredShares() (completeShare, minimumShare float64) {
	qt := search.queryType
	if search.phase == 0 {
		return qt.completeShare, qt.minimumShare
	}
	if qt.minimumShare >= qt.completeShare {
		return 1, 1
	}
	return 1, qt.minimumShare
}

// answer ends the present phase of a search with an answer. Where the query type has a follow-up
// phase, its shard requests come next.
func (p *Policy) answer(search *searchState, complete bool, answers int) stageResult {
	p.out.Answer(search.id, complete && (search.phase == 0 || search.firstComplete))
	if search.phase == 0 && search.queryType.followUpRequests > 0 {
		search.firstComplete, search.phase = complete, 1
		search.expectedRequests = min(search.queryType.followUpRequests, answers)
		p.cancelSearch(search)
		return stop
	}
	p.closeSearch(search)
	return finished
}

// mayStillAnswer reports whether a shard request may still be answered, by an attempt in flight or
// by a further one.
func (p *Policy) mayStillAnswer(req *shardRequest) bool {
	if req.abandoned {
		return false
	}
	if len(req.attempts) < p.limits.maxAttempts && p.mayRetry(req) {
		return true
	}
	for _, attempt := range req.attempts {
		if attempt.inFlight {
			return true
		}
	}
	return false
}

// recordAnswer marks a shard request as answered by the first answer, and cancels its other
// attempts.
func (p *Policy) recordAnswer(attempt *attemptState, outcome Outcome) {
	req := attempt.request
	if outcome != Answered || req.answered || req.search.finished || req.phase != req.search.phase ||
		req.committed != nil && req.committed != attempt {
		return
	}
	req.answered = true
	p.limits.pending--
	p.cancelAttempts(req)
}

// giveUp ends a search at once. It is shed, which tells the client that a retry is harmless, only
// if no attempt can have had an effect; otherwise it fails.
func (p *Policy) giveUp(search *searchState, reason RefusalReason) {
	harmless := true
	for _, req := range search.requests {
		harmless = harmless && req.committed == nil &&
			(req.firstPossiblyRun() == nil || search.queryType.effect == Idempotent)
	}
	search.countRefusal(reason)
	if harmless {
		p.out.Shed(search.id, p.retryAfter(search.queryType))
	} else {
		p.out.Fail(search.id)
	}
	p.closeSearch(search)
}

// closeSearch removes a search from the pending work and cancels its attempts in flight.
func (p *Policy) closeSearch(search *searchState) {
	search.finished = true
	p.limits.pending--
	for _, req := range search.requests {
		if !req.answered {
			p.limits.pending--
		}
	}
	p.cancelSearch(search)
}

// cancelSearch cancels all attempts of a search.
func (p *Policy) cancelSearch(search *searchState) {
	for _, req := range search.requests {
		p.cancelAttempts(req)
	}
}

// cancelAttempts cancels the attempts of a shard request that are in flight, except the committed
// one of a search that has not ended.
func (p *Policy) cancelAttempts(req *shardRequest) {
	if !p.limits.mayCancel {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.inFlight && !attempt.cancelled && (attempt != req.committed || req.search.finished) {
			attempt.cancelled = true
			p.out.Cancel(req.id, attempt.number)
		}
	}
}
