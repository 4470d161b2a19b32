package policy

// Shares of weight are sums of rounded numbers.
const (
	shareTolerance = 1e-5
	minAnswerShare = 1e-3 // an answer from less than that of a search's weight is none
)

// progress of a search in its present phase.
type progress struct {
	weight, openWeight float64 // of shard requests that are answered, and of those that may still be
	answers, open      int     // how many they are
}

// answerOrGiveUp ends a search: completely as soon as it is complete, partially at its latency target
// where that is worth more than waiting, and given up while the client can still hear of it.
func (p *Policy) answerOrGiveUp(placement *placement) stageResult {
	search, qt := placement.search, placement.search.queryType
	done := p.progressOf(search)
	need, floor := search.requiredShares()
	complete := search.phase == 0 && done.weight >= need-shareTolerance ||
		search.phase > 0 && done.answers >= search.expectedRequests
	lastMoment := p.now >= search.deadline-answerMargin
	some := done.weight >= max(floor, minAnswerShare)-shareTolerance && done.answers > 0
	// What can't reach its least share any more is over, whatever is in flight: that work is for
	// nobody.
	over := len(search.requests) > 0 &&
		(done.open == 0 || search.phase == 0 && done.weight+done.openWeight < floor-weightTolerance)
	due := p.now >= search.targetAt-answerMargin && qt.partialValue*done.weight >= qt.lateValue*need
	switch {
	case complete && done.answers > 0, some && (lastMoment || over || due):
		return p.answer(search, complete, done.answers)
	case lastMoment || over && done.answers < search.expectedRequests:
		p.giveUp(search, GivenUp)
		return finished
	}
	return proceed
}

// progressOf counts what the search has, and what may still come.
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

// requiredShares are the shares of a search's weight that make its answer complete, and that it needs
// at least. In a follow-up phase all is needed for the first, and the floor holds where it demands
// completeness.
func (search *searchState) requiredShares() (need, floor float64) {
	qt := search.queryType
	if search.phase == 0 {
		return qt.completeShare, qt.minimumShare
	}
	if qt.minimumShare >= qt.completeShare {
		return 1, 1
	}
	return 1, qt.minimumShare
}

// answer ends the present phase; where the type has a follow-up, its shard requests come next.
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

// mayStillAnswer tells whether an answer to the shard request may still come.
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

// recordAnswer counts a shard request once, and cancels what its answer made needless.
func (p *Policy) recordAnswer(attempt *attemptState, how Outcome) {
	req := attempt.request
	if how != Answered || req.answered || req.search.finished || req.phase != req.search.phase ||
		req.committed != nil && req.committed != attempt {
		return
	}
	req.answered = true
	p.limits.pending--
	p.cancelAttempts(req)
}

// giveUp ends a search at once. It may be shed, which means that asking again is harmless, only
// where no attempt can have had an effect; otherwise it fails.
func (p *Policy) giveUp(search *searchState, why RefusalReason) {
	harmless := true
	for _, req := range search.requests {
		harmless = harmless && req.committed == nil &&
			(req.firstPossiblyRun() == nil || search.queryType.effect == Idempotent)
	}
	search.countRefusal(why)
	if harmless {
		p.out.Shed(search.id, p.retryAfter(search.queryType))
	} else {
		p.out.Fail(search.id)
	}
	p.closeSearch(search)
}

// closeSearch takes a search off the pending work and cancels what is in flight for it.
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

// cancelAttempts cancels what is in flight for a shard request, but the committed attempt of a
// search that goes on.
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
